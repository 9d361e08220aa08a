package fleetlimit

import (
	"time"

	"larchrouter/choice"
)

// under way are the calls that may not have reached the route yet, or whose answer may not have come back.
func (p *pacer) recentInFlight(now time.Duration) int {
	n, recent := 0, now-p.answerTime()
	for i := len(p.inFlight) - 1; i >= 0 && p.inFlight[i].grantedAt > recent; i-- {
		n++
	}
	return n
}

// answerTime is how long a call may be under way, and nothing is wrong.
func (p *pacer) answerTime() time.Duration {
	return max(minAnswerTime, time.Duration(4*p.meanLatency*float64(time.Second)))
}

// trialInterval between trials of a route that is down.
func (p *pacer) trialInterval() time.Duration {
	return min(firstTrialInterval<<min(p.failedTrials, 4), p.rules.Fall/3)
}

// complete takes in what became of a call, and tells whether its room may be given again.
func (p *pacer) complete(now time.Duration, relay int, id uint32, o choice.Outcome, took, wait time.Duration) (again bool) {
	at := -1
	for i, l := range p.inFlight {
		if l.relay == relay && l.id == id {
			at = i
			break
		}
	}
	if at < 0 {
		return false
	}
	granted := p.inFlight[at].grantedAt
	p.inFlight = append(p.inFlight[:at:at], p.inFlight[at+1:]...)
	switch o {
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

// returnGrant takes a grant back that was not used. Its room is there for another call if that is told soon; later it has
// passed, and what is measured since does not count the call.
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
		p.state = open // a slip, no outage
	case p.state == down && granted >= p.stateSince:
		p.state, p.stateSince, p.tokens, p.failedTrials = warmingUp, now, 0, 0
		p.growthTime, p.reducedAt, p.lastFullAt, p.callsSinceFull = 0, now, -1, 0
	case p.state == warmingUp && now-p.stateSince >= p.rules.Cold:
		p.state = open
	}
}

// refused takes in a refusal. Calls that were out when the room was last seen used up are refused with it, and are
// no news.
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
	case p.lastFullAt >= 0 && span >= minMeasureTime && p.shareSeconds > 0: // one that goes alone sees its own calls only
		measured := float64(p.callsSinceFull) / p.shareSeconds
		to = min(p.rate*measuredMargin, max(measuredMargin*measured, p.rate*maxBackoff))
		if p.limit = to; p.share < nearlyAll {
			p.limit = min(p.rate, measured)
		}
	}
	p.rate = max(minRate, to)
	p.limitKnown = true
	p.callsSinceFull, p.shareSeconds = p.recentInFlight(now), 0
	p.lastFullAt, p.reducedAt, p.growthTime, p.tokens = now, now, 0, -float64(p.callsSinceFull) // they will find no room either
}

// applyRetryAfter takes in a told applyRetryAfter. It binds the relay that was told; the others go on, as most routes tell the same time
// whatever room there is. But where waits told at different times end at one instant, or are long, the route counts
// calls in a fixed span of time, and until its end there is no room for anybody. What it took in the span before is
// what it takes in the next.
func (p *pacer) applyRetryAfter(now, wait time.Duration) {
	end := now + wait
	same := p.retryAfterEnd > 0 && max(end-p.retryAfterEnd, p.retryAfterEnd-end) < sameEndTolerance
	if !same {
		p.retryAfterAt = now
	}
	p.retryAfterEnd = end
	if end <= p.blockedUntil+sameEndTolerance || wait < minWindow || wait < longRetryAfter && !(same && now-p.retryAfterAt > sameEndTolerance) {
		return
	}
	if span := end - p.windowStart; span >= minWindow && !p.alone && p.share >= nearlyAll {
		p.rate = max(minRate, measuredMargin*float64(p.servedInWindow)/span.Seconds())
		p.limitKnown, p.limit = true, p.rate
	}
	p.blockedUntil, p.windowStart, p.servedInWindow = end, end, 0
	p.lastFullAt, p.reducedAt, p.growthTime, p.tokens = -1, now, 0, 0
}

func (p *pacer) failed(now time.Duration) {
	p.consecutiveFailures++
	if p.state == down {
		p.failedTrials++
		p.nextTrialAt = max(p.nextTrialAt, now+p.trialInterval()/2)
		return
	}
	if p.consecutiveFailures >= outageFailures || p.alone { // one that goes alone sees too little to wait for more
		p.markDown(now)
	}
}

// detectUnanswered notices that calls are left unanswered. Their ends are told by notes: those of a relay of which nothing has been
// heard since its call say nothing of the route.
func (p *pacer) detectUnanswered(now time.Duration, heard func(relay int) time.Duration) {
	if p.state == down || len(p.inFlight) < outageFailures {
		return
	}
	quiet := p.answerTime()
	n := 0
	for _, l := range p.inFlight {
		if now-max(l.grantedAt, p.lastServed) <= quiet {
			return
		}
		if heard(l.relay) > l.grantedAt {
			if n++; n == outageFailures {
				p.markDown(now)
				return
			}
		}
	}
}

func (p *pacer) markDown(now time.Duration) {
	if p.state == open {
		// What was measured, or served at its best, if that is more: the rate itself may have grown well beyond it. In large
		// fleets it is gone by where the limit was met: there the care cost service and prevented nothing (design/007).
		if p.rateBeforeOutage = p.rate; !p.limitKnown || p.quotaShares && p.limit > 0 {
			p.rateBeforeOutage = max(minRate, min(p.rate, max(p.limit, p.peakServedRate)))
		}
	}
	p.state, p.stateSince, p.failedTrials, p.nextTrialAt = down, now, 0, now+time.Duration(float64(firstTrialInterval)/p.positiveShare())
}

// healthy tells whether a route is well by what the fleet has seen.
func (p *pacer) healthy(now time.Duration) bool {
	return p.state == open && p.consecutiveFailures == 0 && now-p.lastServed < 2*time.Second
}

// addWitness takes in what a relay saw of a route while it heard nobody. A route that most of them saw fail went down, and
// came back cold if it came back; one that a few could not reach was on the other side of a cut.
func (p *pacer) addWitness(now time.Duration, from int, s state) {
	if p.state != open || p.alone {
		return
	}
	if p.witnesses == nil {
		p.witnesses = map[int]bool{}
	}
	p.witnesses[from] = s != open
	bad := 0
	for _, b := range p.witnesses {
		if b {
			bad++
		}
	}
	if len(p.witnesses) >= minWitnesses && 2*bad > len(p.witnesses) {
		p.witnesses = nil
		p.markDown(now)
	}
}

// resume takes a route up where it was after a time in which its ends could not be heard. Calls that were under way have
// ended, whatever became of them.
func (p *pacer) resume(now time.Duration) {
	p.inFlight, p.lastFullAt, p.callsSinceFull, p.witnesses = nil, -1, 0, nil
	p.updatedAt, p.lastServed, p.tokens = now, now, min(p.tokens, 0)
}
