package fleetlimit

import (
	"time"

	"larchrouter/choice"
)

// recentInFlight returns the number of calls that may not have reached the route yet, or whose answer may be in
// transit.
func (p *pacer) recentInFlight(now time.Duration) int {
	n, recent := 0, now-p.answerTime()
	for i := len(p.inFlight) - 1; i >= 0 && p.inFlight[i].grantedAt > recent; i-- {
		n++
	}
	return n
}

// answerTime returns for how long a call may be in flight without anything being wrong.
func (p *pacer) answerTime() time.Duration {
	return max(minAnswerTime, time.Duration(4*p.meanLatency*float64(time.Second)))
}

// trialInterval returns the time between trial calls to a route that is down.
func (p *pacer) trialInterval() time.Duration {
	return min(firstTrialInterval<<min(p.failedTrials, 4), p.rules.Fall/3)
}

// complete processes the outcome of a granted call, and reports whether its token may be granted again.
func (p *pacer) complete(now time.Duration, relay int, id uint32, outcome choice.Outcome,
	took, wait time.Duration) (again bool) {
	at := -1
	for i, grant := range p.inFlight {
		if grant.relay == relay && grant.id == id {
			at = i
			break
		}
	}
	if at < 0 {
		return false
	}
	granted := p.inFlight[at].grantedAt
	p.inFlight = append(p.inFlight[:at:at], p.inFlight[at+1:]...)
	switch outcome {
	case choice.NotSent:
		return p.returnGrant(now, granted)
	case choice.Served:
		p.succeeded(now, granted, took)
	case choice.Refused:
		p.refused(now, granted, wait)
	case choice.Spoilt, choice.Cancelled:
	default:
		p.failed(now)
	}
	return false
}

// returnGrant takes back a grant that was not used, and reports whether its token may be granted again. The
// token is returned if the report is in time; the room of a later one has passed, and what is measured since
// does not count the call.
func (p *pacer) returnGrant(now, granted time.Duration) (again bool) {
	if granted > p.lastFullAt-p.answerTime() {
		p.callsSinceFull = max(0, p.callsSinceFull-1)
	}
	if now-granted >= grantTTL+maxGrantDelay {
		return false
	}
	p.tokens++
	return true
}

// succeeded processes a served call.
func (p *pacer) succeeded(now, granted, took time.Duration) {
	p.meanLatency += (took.Seconds() - p.meanLatency) / 16
	p.servedRate += 1 / servedRateWindow.Seconds()
	p.peakServedRate = max(p.peakServedRate, p.servedRate)
	each := creditPerCall
	if !p.limitKnown {
		each = slowStartCredit
	}
	p.growthCredit = min(p.growthCredit+each, maxCredit)
	p.lastServed, p.consecutiveFailures = now, 0
	p.servedInWindow++
	switch {
	case p.state == down && p.failedTrials <= 1 && now-p.stateSince < time.Second:
		p.state = open // no outage
	case p.state == down && granted >= p.stateSince:
		p.state, p.stateSince, p.tokens, p.failedTrials = warmingUp, now, 0, 0
		p.growthTime, p.reducedAt, p.lastFullAt, p.callsSinceFull = 0, now, -1, 0
	case p.state == warmingUp && now-p.stateSince >= p.rules.Cold:
		p.state = open
	}
}

// refused processes a refusal. Calls that were in flight when the room was last used up are refused with it, and
// carry no new information.
func (p *pacer) refused(now, granted, wait time.Duration) {
	p.consecutiveFailures = 0
	if wait > 0 {
		p.applyRetryAfter(now, wait)
	}
	if p.state == down {
		p.failedTrials++
		return
	}
	if granted <= p.reducedAt {
		return
	}
	to := p.rate * unmeasuredBackoff
	switch span := granted - p.lastFullAt; {
	case p.alone && p.quotaShares: // all together keep to the limit: it has fallen, or this was chance
		to = p.rate * isolatedBackoff
	case p.alone:
		to = p.rate * isolatedEstimateBackoff
	case p.lastFullAt >= 0 && span >= minMeasureTime && p.shareSeconds > 0: // an isolated relay sees only its own calls
		measured := float64(p.callsSinceFull) / p.shareSeconds
		to = min(p.rate*measuredMargin, max(measuredMargin*measured, p.rate*maxBackoff))
		if p.limit = to; p.share < nearlyAll {
			p.limit = min(p.rate, measured)
		}
	}
	p.rate = max(minRate, to)
	p.limitKnown = true
	p.callsSinceFull, p.shareSeconds = p.recentInFlight(now), 0
	p.lastFullAt, p.reducedAt, p.growthTime = now, now, 0
	p.tokens = -float64(p.callsSinceFull) // they will find no room either
}

// applyRetryAfter processes a retry-after. It binds the relay that received it; the others go on, as most routes
// send the same time whatever room there is. But where retry-after times sent at different times end at one
// instant, or are long, the route counts calls in fixed windows, and until the end of the window there is no
// room for any relay. The calls served in the window before are the limit of the next.
func (p *pacer) applyRetryAfter(now, wait time.Duration) {
	end := now + wait
	same := p.retryAfterEnd > 0 && max(end-p.retryAfterEnd, p.retryAfterEnd-end) < sameEndTolerance
	if !same {
		p.retryAfterAt = now
	}
	p.retryAfterEnd = end
	fixedWindow := wait >= longRetryAfter || same && now-p.retryAfterAt > sameEndTolerance
	if end <= p.blockedUntil+sameEndTolerance || wait < minWindow || !fixedWindow {
		return
	}
	if span := end - p.windowStart; span >= minWindow && !p.alone && p.share >= nearlyAll {
		p.rate = max(minRate, measuredMargin*float64(p.servedInWindow)/span.Seconds())
		p.limitKnown, p.limit = true, p.rate
	}
	p.blockedUntil, p.windowStart, p.servedInWindow = end, end, 0
	p.lastFullAt, p.reducedAt, p.growthTime, p.tokens = -1, now, 0, 0
}

// failed processes a failure other than a refusal.
func (p *pacer) failed(now time.Duration) {
	p.consecutiveFailures++
	if p.state == down {
		p.failedTrials++
		p.nextTrialAt = max(p.nextTrialAt, now+p.trialInterval()/2)
		return
	}
	if p.consecutiveFailures >= outageFailures || p.alone { // an isolated relay sees too little to wait for more
		p.markDown(now)
	}
}

// detectUnanswered marks a route down whose calls are left unanswered. Outcomes arrive in messages: calls of a
// relay from which nothing was received since say nothing about the route.
func (p *pacer) detectUnanswered(now time.Duration, received func(relay int) time.Duration) {
	if p.state == down || len(p.inFlight) < outageFailures {
		return
	}
	answerTime := p.answerTime()
	unanswered := 0
	for _, grant := range p.inFlight {
		if now-max(grant.grantedAt, p.lastServed) <= answerTime {
			return
		}
		if received(grant.relay) > grant.grantedAt {
			if unanswered++; unanswered == outageFailures {
				p.markDown(now)
				return
			}
		}
	}
}

// markDown begins an outage.
func (p *pacer) markDown(now time.Duration) {
	if p.state == open {
		// What was measured, or served at its best, if that is more: the rate itself may have grown well beyond
		// it. In large fleets the rate is taken where the limit is known: there this care cost service and
		// prevented nothing (design/007).
		if p.rateBeforeOutage = p.rate; !p.limitKnown || p.quotaShares && p.limit > 0 {
			p.rateBeforeOutage = max(minRate, min(p.rate, max(p.limit, p.peakServedRate)))
		}
	}
	p.state, p.stateSince, p.failedTrials = down, now, 0
	p.nextTrialAt = now + time.Duration(float64(firstTrialInterval)/p.positiveShare())
}

// healthy reports whether the route is healthy by what the fleet has seen.
func (p *pacer) healthy(now time.Duration) bool {
	return p.state == open && p.consecutiveFailures == 0 && now-p.lastServed < 2*time.Second
}

// addWitness records what a relay saw of a route while it was isolated. A route that most of them saw fail went
// down, and is warming up if it came back; one that a few could not reach was on the other side of a partition.
func (p *pacer) addWitness(now time.Duration, from int, s state) {
	if p.state != open || p.alone {
		return
	}
	if p.witnesses == nil {
		p.witnesses = map[int]bool{}
	}
	p.witnesses[from] = s != open
	failed := 0
	for _, sawFailure := range p.witnesses {
		if sawFailure {
			failed++
		}
	}
	if len(p.witnesses) >= minWitnesses && 2*failed > len(p.witnesses) {
		p.witnesses = nil
		p.markDown(now)
	}
}

// resume continues after a time in which outcomes could not be received. Calls that were in flight have ended, with
// whatever outcome.
func (p *pacer) resume(now time.Duration) {
	p.inFlight, p.lastFullAt, p.callsSinceFull, p.witnesses = nil, -1, 0, nil
	p.updatedAt, p.lastServed, p.tokens = now, now, min(p.tokens, 0)
}
