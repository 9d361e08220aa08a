package reference

// Health of units, backoff and slow start.

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// A unit is taken to be in an outage once outageFailures of its last outcomeHistory outcomes are
	// failures.
	outcomeHistory, outageFailures = 5, 2
	// budgetFraction is the part of the slow-start budget of the operating rules that the fleet uses.
	budgetFraction = 0.9
)

// recordUnsuccessful records a failure or a refusal; that of a trial lengthens the backoff to the next one.
func (c *Chooser) recordUnsuccessful(unit *healthUnit) {
	unit.servedStreak = 0
	unit.unsuccessful++
	if unit.state == suspect {
		unit.failedTrials++
		unit.nextTrialAt = c.now + c.trialBackoff(unit)
	}
}

// applyFailure records a failure of a host. It counts against the health of its unit only if no other host of
// the unit is without failures, so that the loss of one machine or zone is not taken for an outage of all.
func (c *Chooser) applyFailure(host *endpoint, outcome Outcome) {
	unit, dest := host.unit, host.dest
	host.failures++
	host.avoidUntil = c.now + min(c.cfg.Rules.Fall/8<<min(host.failures, 3), c.cfg.Rules.Fall/3)
	working := func(g *endpoint) bool { return g.unit == unit && g.State == Ready && g.failures == 0 }
	if slices.ContainsFunc(dest.hosts, working) {
		return
	}
	c.recordUnsuccessful(unit)
	unit.mayHaveRun = unit.mayHaveRun || outcome != NoConnection
	unit.sawErrors = unit.sawErrors || outcome == Error
	unit.recordOutcome(true)
	// A relay that rarely calls the unit has no recent success that contradicts an outage.
	firstSign := c.rarelyCalls(unit) && c.now-unit.lastServed > c.cfg.Rules.Fall
	if unit.state != suspect && (firstSign || bits.OnesCount(unit.recentFailures) >= outageFailures) {
		c.markSuspect(unit, dest, "failures")
	}
}

// recordOutcome appends the last outcome to the recent ones.
func (u *healthUnit) recordOutcome(failed bool) {
	u.recentFailures = u.recentFailures << 1 & (1<<outcomeHistory - 1)
	if failed {
		u.recentFailures |= 1
	}
}

// slowStartBudget returns this relay's share of the calls that the operating rules allow in their window, at
// a time since the end of the outage.
func (c *Chooser) slowStartBudget(unit *healthUnit, sinceOutage time.Duration) float64 {
	rate := unit.listedRate
	if rate == 0 {
		rate = unit.rateBeforeOutage * float64(c.cfg.Fleet)
	}
	k := c.cfg.Rules
	share := min(1, k.ColdFrom+(1-k.ColdFrom)*sinceOutage.Seconds()/k.Cold.Seconds())
	return budgetFraction * k.OverloadFactor * share * rate * k.Fall.Seconds() / float64(c.cfg.Fleet)
}

// trialBackoff returns the randomized time to the next trial of a suspect unit: exponential, up to a third of
// the rules' window or, if longer, to what keeps the trials of all relays within twice the slow-start budget.
// Relays of a large fleet send trials independently, and those whose trials failed just before the end of the
// outage would come back together: there the backoff has its full length from the start.
func (c *Chooser) trialBackoff(unit *healthUnit) time.Duration {
	window := c.cfg.Rules.Fall
	perBudget := time.Duration(float64(window) / (2 * c.slowStartBudget(unit, 0)))
	longest := max(window/3, min(2*c.cfg.Rules.Cold, perBudget))
	gap := min(window/8<<min(unit.failedTrials, 6), longest)
	if c.rarelyCalls(unit) {
		gap = longest
	}
	return gap/2 + time.Duration(c.rand.Float64()*float64(gap))
}

// markSuspect begins an outage of a unit, or starts its trials over during the slow start after one.
func (c *Chooser) markSuspect(unit *healthUnit, dest *destination, why string) {
	if unit.state == healthy {
		unit.rateBeforeOutage = max(c.servedRate(unit), 1/c.cfg.Rules.Cold.Seconds())
	}
	c.logf("destination %d unit %s suspect: %s", dest.id, unit.name, why)
	unit.state, unit.stateSince, unit.stateReason = suspect, c.now, why
	unit.failedTrials, unit.servedStreak = 0, 0
	unit.nextTrialAt = c.now + c.trialBackoff(unit)
	c.emit(Health{Host: unit.name, Unwell: true, Base: unit.rateBeforeOutage})
}

// applyRefusal applies a refusal: its retry-after if it had one, else a backoff, and a lower rate limit.
func (c *Chooser) applyRefusal(unit *healthUnit, dest *destination, wait time.Duration) {
	c.recordUnsuccessful(unit)
	unit.retryAfterUntil = max(unit.retryAfterUntil, c.now+wait)
	unit.backoffUntil = max(c.now, unit.retryAfterUntil)
	if wait <= 0 || c.rarelyCalls(unit) {
		unit.backoffUntil += c.refusalBackoff(unit, dest, unit.unsuccessful-1)
	}
	if dest.refusals > 0 {
		*dest.retrySuccess -= *dest.retrySuccess / 16
	}
	if dest.refusals++; dest.refusals >= len(dest.units) && c.rarelyCalls(unit) {
		dest.backoffUntil = c.now + 2*c.refusalBackoff(unit, dest, dest.refusals-len(dest.units))
		if len(dest.waiting) > 0 {
			dest.demandSince = max(c.now, dest.backoffUntil)
		}
	}
	if c.now-unit.rateCutAt >= time.Second && !c.rarelyCalls(unit) {
		// Measured over at least the interval of the even share, so that the refused call alone is not above
		// it.
		window := min(max(time.Second, c.evenShareInterval(unit)), c.cfg.Rules.Cold)
		sentRate := c.sentWithin(unit, window) / window.Seconds()
		if rate := c.servedRate(unit); rate > briskRate { // else it may have sent little
			sentRate = max(sentRate, rate)
		}
		if unit.rateLimit == 0 || sentRate < unit.rateLimit {
			unit.rateLimit = sentRate
		}
		least := unit.listedRate / float64(c.cfg.Fleet) / 2
		unit.rateLimit = max(unit.rateLimit*rateCutFactor, 1/c.cfg.Rules.Cold.Seconds(), least)
		unit.rateCutAt = c.now
		unit.tokens = max(-unit.rateLimit/2, min(unit.tokens, 0)) // earlier calls are no debt
	}
	// Nothing but refusals, for longer than a rate limit explains, is an outage.
	window := c.cfg.Rules.Fall
	refusedFor := c.now - unit.lastServed
	if unit.state == healthy && (wait > 2*window/3 || unit.unsuccessful > 6 && refusedFor >= window) {
		c.markSuspect(unit, dest, "refusals only")
	}
}

// refusalBackoff returns a backoff with jitter, so that relays do not retry in step. It doubles with each
// step up to the interval of the even share, and starts longer the fewer calls after a refusal were served by
// destinations of this kind: if refused calls count against their rate limit, retries alone can keep it
// exhausted. It is too long where refusals are independent of the rate.
func (c *Chooser) refusalBackoff(unit *healthUnit, dest *destination, step int) time.Duration {
	exponential := (c.minTarget / 4).Seconds() * math.Exp2(float64(min(step, 10)))
	backoff := exponential / math.Pow(2*(*dest.retrySuccess), 3)
	backoff = min(backoff, c.evenShareInterval(unit).Seconds()) * (0.5 + c.rand.Float64())
	return time.Duration(backoff * float64(time.Second))
}

// applyServed records a served call: smoothed latency and rate, and the end of an outage or of the slow
// start.
func (c *Chooser) applyServed(unit *healthUnit, dest *destination, took time.Duration) {
	if unit.latency == 0 {
		unit.latency = took.Seconds()
	}
	unit.latency += (took.Seconds() - unit.latency) / 8
	cold := c.cfg.Rules.Cold.Seconds()
	unit.servedRate = unit.servedRate*math.Exp(-(c.now-unit.lastServed).Seconds()/cold) + 1/cold
	shortOutage := unit.unsuccessful == 0 || !unit.sawErrors && c.now-unit.lastServed < c.cfg.Rules.Fall
	unit.lastServed, unit.unsuccessful = c.now, 0
	unit.servedStreak++
	unit.recordOutcome(false)
	switch {
	case unit.state == healthy && unit.recentFailures == 0:
		unit.mayHaveRun, unit.sawErrors = false, false
	case unit.state == suspect && shortOutage:
		unit.state, unit.stateSince, unit.mayHaveRun, unit.recentFailures = healthy, c.now, false, 0
		c.emit(Health{Host: unit.name})
	case unit.state == suspect:
		unit.state, unit.stateSince, unit.recentFailures = recovering, c.now, 0
		c.logf("destination %d unit %s recovering", dest.id, unit.name)
	case unit.state == recovering && c.now-unit.stateSince >= c.cfg.Rules.Cold:
		unit.state, unit.stateSince, unit.mayHaveRun, unit.sawErrors = healthy, c.now, false, false
		c.logf("destination %d unit %s healthy", dest.id, unit.name)
		c.emit(Health{Host: unit.name})
	}
}

// detectUnresponsive marks units suspect that have not responded to any call for the unresponsive time-out.
// This is sooner than the time-outs of the calls, which can be long for messages that must not be retried.
func (c *Chooser) detectUnresponsive() {
	c.calling = slices.DeleteFunc(c.calling, func(dest *destination) bool {
		for _, unit := range dest.units {
			if unit.state == healthy && len(unit.inFlight) > 0 {
				since := max(unit.inFlight[0].sentAt, unit.lastServed)
				if c.now-since >= c.unresponsiveTimeout(dest) {
					unit.mayHaveRun = true
					c.markSuspect(unit, dest, "silent")
				}
			}
		}
		return dest.inFlight == 0
	})
}

// sentWithin returns the number of calls sent to a unit within a window until now.
func (c *Chooser) sentWithin(unit *healthUnit, window time.Duration) float64 {
	count := 0.0
	for _, sentAt := range unit.sendTimes {
		if c.now-sentAt <= window {
			count++
		}
	}
	return count
}

// maySend reports whether a unit can be sent a call now.
func (c *Chooser) maySend(unit *healthUnit) bool {
	if c.now < unit.retryAfterUntil || c.now < unit.backoffUntil {
		return false
	}
	switch unit.state {
	case suspect:
		return len(unit.inFlight) <= 1 && c.now >= unit.nextTrialAt
	case recovering:
		calls, span := c.slowStartBudget(unit, c.now-unit.stateSince), c.cfg.Rules.Fall
		if calls < 1 {
			calls, span = 1, time.Duration(float64(span)/calls)
		}
		if c.sentWithin(unit, span)+1 > calls {
			return false
		}
	}
	return unit.rateLimit == 0 || unit.tokens >= 1-1e-9
}
