package fleetlimit

import (
	"math"
	"time"

	"larchrouter/choice"
)

// state of a route, as its steward holds it.
type state int

const (
	open      state = iota
	down            // single trials only
	warmingUp       // within the budget of one that has come back
)

const (
	initialRate        = 15.0 // calls a second of the whole fleet to a route that nobody knows
	minRate            = 0.5
	maxRate            = 1e5
	slowStartGrowth    = 1.0 // growth a second until the first refusal, as a share
	minGrowth          = 0.04
	maxGrowth          = 0.5
	growthDoubling     = 1000 * time.Millisecond // growth doubles in this time without a refusal
	slowStartCredit    = 0.15                    // of growth, for each call that is served, until the first refusal: what a rate stands for has to be seen
	creditPerCall      = 0.05                    // later
	maxCredit          = 0.5
	servedRateWindow   = 2 * time.Second
	peakWindow         = time.Minute
	grantedRateWindow  = time.Second
	maxHeadroom        = 2.0                    // a rate grows no further beyond what is used of it
	burstTime          = 250 * time.Millisecond // tokens for so long are kept
	minMeasureTime     = 500 * time.Millisecond // a rate is measured over no less
	unmeasuredBackoff  = 0.7                    // of the rate, where nothing was measured
	maxBackoff         = 0.5
	measuredMargin     = 0.96 // of the measured rate
	outageFailures     = 3    // in a row are an outage
	firstTrialInterval = 200 * time.Millisecond
	minAnswerTime      = 700 * time.Millisecond // calls unanswered for less mean nothing
	inFlightTTL        = 20 * time.Second       // a grant whose end was never told
	warmupMargin       = 0.9                    // of the rule's, for a cold route
	sameEndTolerance   = 100 * time.Millisecond // waits told so long apart that end within it end at one instant
	longRetryAfter     = 5 * time.Second        // no limit by rate tells so much
	minWindow          = time.Second            // a shorter span needs no care
)

// pacer decides when the next call of the fleet may go to one route. It learns the route's limit: every call counts,
// refused ones too, so between two instants at which there was no room the calls made are what the limit gave.
type pacer struct {
	rules               choice.Rules
	rate                float64 // calls a second of the whole fleet
	share               float64 // of it that may be granted here
	previousShare       float64 // that share, when the tokens were last counted
	alone               bool    // this relay sees no calls but its own
	quotaShares         bool    // the share is of rights that are conserved
	limit               float64 // as last measured, or as another steward had it; 0 if it was not
	limitKnown          bool    // the rate has met the route's limit, here or at a steward before
	tokens              float64
	updatedAt           time.Duration // of rate and tokens
	growthTime          time.Duration // how long it has grown since the last cut
	lastFullAt          time.Duration // last instant without room; below 0 if there was none
	callsSinceFull      int           // since then
	shareSeconds        float64       // seconds since then, each by the share of it that could be granted here
	reducedAt           time.Duration
	inFlight            []inFlightGrant
	state               state
	stateSince          time.Duration
	rateBeforeOutage    float64 // rate before the outage
	consecutiveFailures int     // in a row
	failedTrials        int     // failed in a row
	nextTrialAt         time.Duration
	blockedUntil        time.Duration // the route has said that there is no room before
	retryAfterEnd       time.Duration // of the wait told last ...
	retryAfterAt        time.Duration // ... at this time
	windowStart         time.Duration // the end of the hold before
	servedInWindow      int           // calls served since then
	lastServed          time.Duration // last
	meanLatency         float64       // of the time that a served call takes, seconds
	servedRate          float64       // smoothed rate of calls served
	peakServedRate      float64       // the highest of late
	grantedRate         float64       // smoothed rate of calls granted
	growthCredit        float64       // by which the rate may grow, as a logarithm
	witnesses           map[int]bool  // of relays that were cut off: they saw it fail
}

// inFlightGrant is a grant whose end has not been told.
type inFlightGrant struct {
	relay     int
	id        uint32
	grantedAt time.Duration
}

func newPacer(rules choice.Rules, now time.Duration) *pacer {
	return &pacer{rules: rules, rate: initialRate, share: 1, previousShare: 1, tokens: 1, updatedAt: now, lastFullAt: -1, reducedAt: -1, windowStart: now, lastServed: now, meanLatency: 0.2}
}

// adopt takes in what another steward held, where nothing is known yet.
func (p *pacer) adopt(now time.Duration, x estimate) {
	if x.rate == 0 {
		return
	}
	p.rate, p.rateBeforeOutage, p.limitKnown, p.tokens = x.rate, x.rate, x.limitKnown, min(p.tokens, 0)
	if p.limitKnown {
		p.limit = x.rate
	}
	if !x.witnessed && (x.state == down || x.state == warmingUp) {
		p.state, p.stateSince, p.nextTrialAt = x.state, now-x.inState, now
	}
}

// adoptIfUnknown takes in what a steward before this one had found, where this one began at a guess and has not met the limit yet.
// Once it has, what comes may be its own word, and old.
func (p *pacer) adoptIfUnknown(now time.Duration, x estimate) {
	if !p.limitKnown && x.limitKnown && !x.witnessed && p.state == open {
		p.adopt(now, x)
	}
}

// estimate is what is told of a route.
func (p *pacer) estimate(now time.Duration, route uint32) estimate {
	x := estimate{route: route, rate: p.rate, limitKnown: p.limitKnown, state: p.state, inState: now - p.stateSince}
	if p.state != open {
		x.rate = p.rateBeforeOutage
	}
	return x
}

// advance brings rate and tokens up to date. The rate grows while there are asks that wait for it.
// Each relay was last heard at a time.
func (p *pacer) advance(now time.Duration, heard func(relay int) time.Duration, waiting bool) {
	span := max(0, now-p.updatedAt)
	p.updatedAt = now
	if waiting && span > 0 && p.mayGrow(now) {
		grow := slowStartGrowth
		if p.limitKnown {
			grow = min(maxGrowth, minGrowth*math.Exp2(p.growthTime.Seconds()/growthDoubling.Seconds()))
		}
		p.growthTime += span
		by := min(grow*span.Seconds(), p.growthCredit)
		p.growthCredit -= by
		p.rate = min(maxRate, p.rate*math.Exp(by))
	}
	allowed := p.allowedFor(now, min(p.share, p.previousShare)) // whatever came or lapsed since, it was no less
	p.shareSeconds += min(p.share, p.previousShare) * span.Seconds()
	p.previousShare = p.share
	p.tokens = min(p.tokens+allowed*span.Seconds(), max(1, allowed*burstTime.Seconds()))
	p.grantedRate *= math.Exp(-span.Seconds() / grantedRateWindow.Seconds())
	p.servedRate *= math.Exp(-span.Seconds() / servedRateWindow.Seconds())
	p.peakServedRate *= math.Exp(-span.Seconds() / peakWindow.Seconds())
	for len(p.inFlight) > 0 && now-p.inFlight[0].grantedAt > inFlightTTL {
		p.inFlight = p.inFlight[1:]
	}
	p.detectUnanswered(now, heard)
}

// mayGrow tells whether a higher rate would be used, and is not kept down by the budget of a cold route.
func (p *pacer) mayGrow(now time.Duration) bool {
	used := p.rate < maxHeadroom*p.grantedRate+2
	if p.quotaShares {
		used = p.share*p.rate < maxHeadroom*p.grantedRate+2 && (p.share >= nearlyAll || !p.limitKnown || p.rate < p.limit)
	}
	return used && (p.state == open || p.state == warmingUp && p.share*p.rate <= p.allowed(now))
}

// allowed is the rate, within the budget of a route that has come back cold.
func (p *pacer) allowed(now time.Duration) float64 { return p.allowedFor(now, p.share) }

func (p *pacer) allowedFor(now time.Duration, share float64) float64 {
	switch {
	case p.alone && !p.quotaShares && p.state == open:
		return p.isolatedFactor() * p.rate
	case p.state != warmingUp:
		return share * p.rate
	}
	return share * min(p.rate, warmupMargin*p.rules.OverloadFactor*p.warmupFactor(now)*p.rateBeforeOutage)
}

// warmupFactor is the share of its capacity that a route has at the least, after its return.
func (p *pacer) warmupFactor(now time.Duration) float64 {
	return min(1, p.rules.ColdFrom+(1-p.rules.ColdFrom)*(now-p.stateSince).Seconds()/p.rules.Cold.Seconds())
}

// nextAt is when a call may go, after settle: then or later.
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

// grant notes a call that may go.
func (p *pacer) grant(now time.Duration, relay int, id uint32) {
	p.tokens--
	p.callsSinceFull++
	p.grantedRate += 1 / grantedRateWindow.Seconds()
	p.inFlight = append(p.inFlight, inFlightGrant{relay, id, now})
	if p.state == down {
		p.nextTrialAt = now + time.Duration(float64(p.trialInterval())/p.positiveShare())
	}
}
