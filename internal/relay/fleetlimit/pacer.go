package fleetlimit

import (
	"math"
	"time"

	"larchrouter/choice"
)

// state of a route, as its coordinator sees it. The numbers are on the wire.
type state int

const (
	open      state = iota
	down            // single trial calls only
	warmingUp       // within the budget of a route that has come back
)

const (
	initialRate     = 15.0 // calls a second of the whole fleet to an unknown route
	minRate         = 0.5
	maxRate         = 1e5
	slowStartGrowth = 1.0  // relative growth a second until the first refusal
	minGrowth       = 0.04 // relative growth a second right after a refusal
	maxGrowth       = 0.5
	growthDoubling  = 1000 * time.Millisecond // in which growth doubles without a refusal
	// slowStartCredit is the growth credit of a served call until the first refusal, and creditPerCall later: a
	// rate grows only if the calls that it allows are made.
	slowStartCredit    = 0.15
	creditPerCall      = 0.05
	maxCredit          = 0.5
	servedRateWindow   = 2 * time.Second
	peakWindow         = time.Minute
	grantedRateWindow  = time.Second
	maxHeadroom        = 2.0                    // a rate does not grow beyond this multiple of what is used of it
	burstTime          = 250 * time.Millisecond // for which tokens accumulate
	minMeasureTime     = 500 * time.Millisecond // a rate is measured over no less
	unmeasuredBackoff  = 0.7                    // of the rate, where nothing was measured
	maxBackoff         = 0.5                    // of the rate
	measuredMargin     = 0.96                   // of the measured rate
	outageFailures     = 3                      // consecutive failures that are an outage
	firstTrialInterval = 200 * time.Millisecond
	minAnswerTime      = 700 * time.Millisecond // calls unanswered for less mean nothing
	inFlightTTL        = 20 * time.Second       // of a grant whose outcome was never reported
	warmupMargin       = 0.9                    // of the rule's budget, for a route that is warming up
	// sameEndTolerance is by how much the ends of two retry-after times may differ to count as one, and how long
	// apart they must be sent.
	sameEndTolerance = 100 * time.Millisecond
	longRetryAfter   = 5 * time.Second // no limit by rate asks for so much
	minWindow        = time.Second     // a shorter one needs no care
)

// pacer decides when the next call of the fleet may go to one route, and learns the route's limit: every call
// counts, refused ones too, so between two instants without room the calls made are what the limit allowed.
type pacer struct {
	rules         choice.Rules
	rate          float64 // calls a second of the whole fleet
	share         float64 // of the rate that may be granted here
	previousShare float64 // when the tokens were last counted
	alone         bool    // this relay is isolated and sees only its own calls
	quotaShares   bool    // the share is conserved
	limit         float64 // as last measured here or by another coordinator; 0 if it was not
	// The rate has reached the route's limit, here or at a coordinator before this one.
	limitKnown          bool
	tokens              float64       // calls
	updatedAt           time.Duration // of rate and tokens
	growthTime          time.Duration // time of growth since the last reduction
	lastFullAt          time.Duration // last refusal for lack of room; -1 if there was none
	callsSinceFull      int
	shareSeconds        float64         // seconds since lastFullAt, each times the share that could be granted
	reducedAt           time.Duration   // -1 if never
	inFlight            []inFlightGrant // grants without an outcome, by time
	state               state
	stateSince          time.Duration
	rateBeforeOutage    float64
	consecutiveFailures int
	failedTrials        int // consecutive
	nextTrialAt         time.Duration
	blockedUntil        time.Duration // the route announced that there is no room before
	retryAfterEnd       time.Duration // end of the last retry-after
	retryAfterAt        time.Duration // when the first retry-after with that end arrived
	windowStart         time.Duration // end of the previous block
	servedInWindow      int           // calls served since then
	lastServed          time.Duration
	meanLatency         float64      // of served calls, seconds
	servedRate          float64      // smoothed, calls a second
	peakServedRate      float64      // highest one lately
	grantedRate         float64      // smoothed, calls a second
	growthCredit        float64      // by which the rate may grow, as a logarithm
	witnesses           map[int]bool // relays that were isolated: whether they saw the route fail
}

// inFlightGrant is a grant whose outcome was not reported.
type inFlightGrant struct {
	relay     int
	id        uint32
	grantedAt time.Duration
}

// newPacer returns the pacer of a route of which nothing is known.
func newPacer(rules choice.Rules, now time.Duration) *pacer {
	return &pacer{
		rules:         rules,
		rate:          initialRate,
		share:         1,
		previousShare: 1,
		tokens:        1,
		updatedAt:     now,
		lastFullAt:    -1,
		reducedAt:     -1,
		windowStart:   now,
		lastServed:    now,
		meanLatency:   0.2,
	}
}

// adopt takes over the estimate of another coordinator, where nothing is known yet.
func (p *pacer) adopt(now time.Duration, known estimate) {
	if known.rate == 0 {
		return
	}
	p.rate, p.rateBeforeOutage, p.limitKnown, p.tokens = known.rate, known.rate, known.limitKnown, min(p.tokens, 0)
	if p.limitKnown {
		p.limit = known.rate
	}
	if !known.witnessed && (known.state == down || known.state == warmingUp) {
		p.state, p.stateSince, p.nextTrialAt = known.state, now-known.inState, now
	}
}

// adoptIfUnknown takes over what a coordinator before this one measured, if this one has not reached the limit
// yet. Once it has, estimates that arrive may be its own, and old.
func (p *pacer) adoptIfUnknown(now time.Duration, known estimate) {
	if !p.limitKnown && known.limitKnown && !known.witnessed && p.state == open {
		p.adopt(now, known)
	}
}

// estimate returns the estimate of the route that is gossiped.
func (p *pacer) estimate(now time.Duration, route uint32) estimate {
	known := estimate{route: route, rate: p.rate, limitKnown: p.limitKnown, state: p.state, inState: now - p.stateSince}
	if p.state != open {
		known.rate = p.rateBeforeOutage
	}
	return known
}

// advance updates rate, tokens and smoothed rates. The rate grows while requests wait for it. received returns
// when the last message of a relay arrived.
func (p *pacer) advance(now time.Duration, received func(relay int) time.Duration, waiting bool) {
	elapsed := max(0, now-p.updatedAt)
	p.updatedAt = now
	if waiting && elapsed > 0 && p.mayGrow(now) {
		growth := slowStartGrowth
		if p.limitKnown {
			growth = min(maxGrowth, minGrowth*math.Exp2(p.growthTime.Seconds()/growthDoubling.Seconds()))
		}
		p.growthTime += elapsed
		by := min(growth*elapsed.Seconds(), p.growthCredit)
		p.growthCredit -= by
		p.rate = min(maxRate, p.rate*math.Exp(by))
	}
	allowed := p.allowedFor(now, min(p.share, p.previousShare)) // the share was no less in between
	p.shareSeconds += min(p.share, p.previousShare) * elapsed.Seconds()
	p.previousShare = p.share
	p.tokens = min(p.tokens+allowed*elapsed.Seconds(), max(1, allowed*burstTime.Seconds()))
	p.grantedRate *= math.Exp(-elapsed.Seconds() / grantedRateWindow.Seconds())
	p.servedRate *= math.Exp(-elapsed.Seconds() / servedRateWindow.Seconds())
	p.peakServedRate *= math.Exp(-elapsed.Seconds() / peakWindow.Seconds())
	for len(p.inFlight) > 0 && now-p.inFlight[0].grantedAt > inFlightTTL {
		p.inFlight = p.inFlight[1:]
	}
	p.detectUnanswered(now, received)
}

// mayGrow reports whether a higher rate would be used, and is not limited by the budget of a route that is
// warming up.
func (p *pacer) mayGrow(now time.Duration) bool {
	used := p.rate < maxHeadroom*p.grantedRate+2
	if p.quotaShares {
		used = p.share*p.rate < maxHeadroom*p.grantedRate+2 && (p.share >= nearlyAll || !p.limitKnown || p.rate < p.limit)
	}
	return used && (p.state == open || p.state == warmingUp && p.share*p.rate <= p.allowed(now))
}

// allowed returns the rate that may be granted here, within the budget of a route that is warming up.
func (p *pacer) allowed(now time.Duration) float64 { return p.allowedFor(now, p.share) }

// allowedFor is allowed with the given share.
func (p *pacer) allowedFor(now time.Duration, share float64) float64 {
	switch {
	case p.alone && !p.quotaShares && p.state == open:
		return p.isolatedFactor() * p.rate
	case p.state != warmingUp:
		return share * p.rate
	}
	return share * min(p.rate, warmupMargin*p.rules.OverloadFactor*p.warmupFactor(now)*p.rateBeforeOutage)
}

// warmupFactor returns the least share of its capacity that a route has by now, after its return.
func (p *pacer) warmupFactor(now time.Duration) float64 {
	return min(1, p.rules.ColdFrom+(1-p.rules.ColdFrom)*(now-p.stateSince).Seconds()/p.rules.Cold.Seconds())
}

// nextAt returns when a call may be granted, after advance: now or later.
func (p *pacer) nextAt(now time.Duration) time.Duration {
	if p.state == down {
		return max(now, p.nextTrialAt)
	}
	now = max(now, p.blockedUntil)
	if p.tokens >= 1-1e-9 {
		return now
	}
	return now + max(time.Millisecond, time.Duration((1-p.tokens)/max(p.allowed(now), 1e-3)*float64(time.Second)))
}

// grant records a call that was granted.
func (p *pacer) grant(now time.Duration, relay int, id uint32) {
	p.tokens--
	p.callsSinceFull++
	p.grantedRate += 1 / grantedRateWindow.Seconds()
	p.inFlight = append(p.inFlight, inFlightGrant{relay, id, now})
	if p.state == down {
		p.nextTrialAt = now + time.Duration(float64(p.trialInterval())/p.positiveShare())
	}
}
