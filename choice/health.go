package choice

// Health, pacing and waits.

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// outage of the last history outcomes of a unit must have failed: one stray error is none.
	outcomeHistory, outageFailures = 5, 2
	budgetFraction                 = 0.9 // of the rule's budget for a cold destination
)

// bad takes in a failure or a refusal.
func (c *Chooser) recordUnsuccessful(unit *healthUnit) {
	unit.servedStreak = 0
	unit.unsuccessful++
	if unit.state == suspect {
		unit.failedTrials++
		unit.nextTrialAt = c.now + c.trialBackoff(unit)
	}
}

// failed takes in a failure. It is held against the host alone while another of its unit is well: that
// guards against the loss of one building, and of one machine among several.
func (c *Chooser) applyFailure(host *endpoint, outcome Outcome) {
	unit, dest := host.unit, host.dest
	host.failures++
	host.avoidUntil = c.now + min(c.cfg.Rules.Fall/8<<min(host.failures, 3), c.cfg.Rules.Fall/3)
	isWell := func(g *endpoint) bool { return g.unit == unit && g.State == Ready && g.failures == 0 }
	if slices.ContainsFunc(dest.hosts, isWell) {
		return
	}
	c.recordUnsuccessful(unit)
	unit.mayHaveRun = unit.mayHaveRun || outcome != NoConnection
	unit.sawErrors = unit.sawErrors || outcome == Error
	unit.recordOutcome(true)
	alone := c.rarelyCalls(unit) && c.now-unit.lastServed > c.cfg.Rules.Fall // nothing here speaks against an outage
	if unit.state != suspect && (alone || bits.OnesCount(unit.recentFailures) >= outageFailures) {
		c.markSuspect(unit, dest, "failures")
	}
}

// note remembers whether the last outcome was a failure.
func (u *healthUnit) recordOutcome(failed bool) {
	u.recentFailures = u.recentFailures << 1 & (1<<outcomeHistory - 1)
	if failed {
		u.recentFailures |= 1
	}
}

// budget is this relay's share of the calls that the rule allows in its window, a while after a return.
func (c *Chooser) slowStartBudget(unit *healthUnit, back time.Duration) float64 {
	rate := unit.listedRate
	if rate == 0 {
		rate = unit.rateBeforeOutage * float64(c.cfg.Fleet)
	}
	rules := c.cfg.Rules
	share := min(1, rules.ColdFrom+(1-rules.ColdFrom)*back.Seconds()/rules.Cold.Seconds())
	return budgetFraction * rules.OverloadFactor * share * rate * rules.Fall.Seconds() / float64(c.cfg.Fleet)
}

// gap between trials, drawn by chance: it doubles up to a third of the rule's window, or to what leaves the
// trials of all relays within twice the budget of a unit just back. In a large fleet each relay tries for
// itself, and those that failed just before the return would come at once: there it is long from the start.
func (c *Chooser) trialBackoff(unit *healthUnit) time.Duration {
	window := c.cfg.Rules.Fall
	longest := max(window/3, min(2*c.cfg.Rules.Cold, time.Duration(float64(window)/(2*c.slowStartBudget(unit, 0)))))
	gap := min(window/8<<min(unit.failedTrials, 6), longest)
	if c.rarelyCalls(unit) {
		gap = longest
	}
	return gap/2 + time.Duration(c.rand.Float64()*float64(gap))
}

func (c *Chooser) markSuspect(unit *healthUnit, dest *destination, why string) {
	if unit.state == healthy {
		unit.rateBeforeOutage = max(c.servedRate(unit), 1/c.cfg.Rules.Cold.Seconds())
	}
	c.logf("destination %d unit %s suspect: %s", dest.id, unit.name, why)
	unit.state, unit.stateSince, unit.stateReason, unit.failedTrials, unit.servedStreak = suspect, c.now, why, 0, 0
	unit.nextTrialAt = c.now + c.trialBackoff(unit)
	c.emit(Health{unit.name, true, unit.rateBeforeOutage})
}

// refused takes in a refusal: a wait if one was told, a pause of its own and a lower pace if not.
func (c *Chooser) applyRefusal(unit *healthUnit, dest *destination, wait time.Duration) {
	c.recordUnsuccessful(unit)
	unit.retryAfterUntil = max(unit.retryAfterUntil, c.now+wait)
	if c.cfg.Granted { // whoever gives the grants hears of it
		return
	}
	unit.backoffUntil = max(c.now, unit.retryAfterUntil)
	if wait <= 0 || c.rarelyCalls(unit) {
		unit.backoffUntil += c.refusalBackoff(unit, dest, unit.unsuccessful-1)
	}
	if dest.refusals > 0 {
		*dest.retrySuccess -= *dest.retrySuccess / 16
	}
	if dest.refusals++; dest.refusals >= len(dest.units) && c.rarelyCalls(unit) {
		c.backOff(dest, c.now+2*c.refusalBackoff(unit, dest, dest.refusals-len(dest.units)))
	}
	if c.now-unit.rateCutAt >= time.Second && !c.rarelyCalls(unit) {
		// Over at least the even share of a call, or the refused call alone counts as more than its share.
		window := min(max(time.Second, c.evenShareInterval(unit)), c.cfg.Rules.Cold)
		sentRate := c.sentWithin(unit, window) / window.Seconds()
		if flow := c.servedRate(unit); flow > briskRate { // one refusal in a lull says little of what it takes
			sentRate = max(sentRate, flow)
		}
		if unit.rateLimit == 0 || sentRate < unit.rateLimit {
			unit.rateLimit = sentRate
		}
		unit.rateLimit = max(unit.rateLimit*rateCutFactor, 1/c.cfg.Rules.Cold.Seconds(), unit.listedRate/float64(c.cfg.Fleet)/2)
		unit.rateCutAt, unit.tokens = c.now, max(-unit.rateLimit/2, min(unit.tokens, 0)) // calls without a limit are no debt
	}
	// Refusals alone, for longer than a limit explains, are those of a shut destination.
	fall := c.cfg.Rules.Fall
	if unit.state == healthy && (wait > 2*fall/3 || unit.unsuccessful > 6 && c.now-unit.lastServed >= fall) {
		c.markSuspect(unit, dest, "refusals only")
	}
}

// spread is a pause drawn by chance, so that relays do not come back in step. It doubles with each step up
// to the even share of a call, sooner the fewer calls after a refusal are served at this kind: where refused
// calls use up the limit, retries alone can keep it shut. It may harm where refusals come by chance.
func (c *Chooser) refusalBackoff(unit *healthUnit, dest *destination, step int) time.Duration {
	pause := (c.minTarget / 4).Seconds() * math.Exp2(float64(min(step, 10))) / math.Pow(2*(*dest.retrySuccess), 3)
	return time.Duration(min(pause, c.evenShareInterval(unit).Seconds()) * (0.5 + c.rand.Float64()) * float64(time.Second))
}

func (c *Chooser) applyServed(unit *healthUnit, dest *destination, took time.Duration) {
	if unit.latency == 0 {
		unit.latency = took.Seconds()
	}
	unit.latency += (took.Seconds() - unit.latency) / 8
	cold := c.cfg.Rules.Cold.Seconds()
	unit.servedRate = unit.servedRate*math.Exp(-(c.now-unit.lastServed).Seconds()/cold) + 1/cold
	briefly := unit.unsuccessful == 0 || !unit.sawErrors && c.now-unit.lastServed < c.cfg.Rules.Fall
	unit.lastServed, unit.unsuccessful = c.now, 0
	unit.servedStreak++
	unit.recordOutcome(false)
	switch {
	case unit.state == healthy && unit.recentFailures == 0:
		unit.mayHaveRun, unit.sawErrors = false, false
	case unit.state == suspect && briefly:
		unit.state, unit.stateSince, unit.mayHaveRun, unit.recentFailures = healthy, c.now, false, 0
		c.emit(Health{unit.name, false, 0})
	case unit.state == suspect:
		unit.state, unit.stateSince, unit.recentFailures = recovering, c.now, 0
		c.logf("destination %d unit %s recovering", dest.id, unit.name)
	case unit.state == recovering && c.now-unit.stateSince >= c.cfg.Rules.Cold:
		unit.state, unit.stateSince, unit.mayHaveRun, unit.sawErrors = healthy, c.now, false, false
		c.logf("destination %d unit %s healthy", dest.id, unit.name)
		c.emit(Health{unit.name, false, 0})
	}
}

// watch makes units suspect that leave calls unanswered: a guard against any silence, before a
// time-out tells. It holds as well against calls that unsafe messages leave out for long.
func (c *Chooser) detectUnresponsive() {
	c.watchAt = never
	c.calling = slices.DeleteFunc(c.calling, func(dest *destination) bool {
		for _, unit := range dest.units {
			if unit.state != healthy || len(unit.inFlight) == 0 {
				continue
			}
			if quiet := c.now - max(unit.inFlight[0].sentAt, unit.lastServed); quiet < c.unresponsiveTimeout(dest) {
				c.scheduleWatch(c.now-quiet, dest)
				continue
			}
			unit.mayHaveRun = true
			c.markSuspect(unit, dest, "silent")
			c.markDirty(dest)
		}
		dest.listedCalling = dest.inFlight > 0
		return !dest.listedCalling
	})
}

// watchFrom has a silence noticed that began at a time.
func (c *Chooser) scheduleWatch(begin time.Duration, dest *destination) {
	c.watchAt = min(c.watchAt, begin+c.unresponsiveTimeout(dest))
}

// sent counts the calls to a unit within a span until now.
func (c *Chooser) sentWithin(unit *healthUnit, span time.Duration) float64 {
	first, _ := slices.BinarySearch(unit.sendTimes, c.now-span)
	return float64(len(unit.sendTimes) - first)
}

// roomAt is when a unit may be sent a call, by what is known now: at once, never unless something happens, or
// not before that time.
func (c *Chooser) sendableAt(unit *healthUnit) time.Duration {
	at := max(c.now, unit.retryAfterUntil, unit.backoffUntil)
	switch {
	case c.cfg.Granted:
		return unit.grantedAt(at)
	case unit.state == suspect && len(unit.inFlight) > 1:
		return never
	case unit.state == suspect:
		return max(at, unit.nextTrialAt)
	case unit.state == recovering:
		at = max(at, c.slowStartAt(unit))
	}
	return max(at, c.tokenAt(unit))
}

// budgetAt is when the budget of a cold unit has room for a call, or a time before that.
func (c *Chooser) slowStartAt(unit *healthUnit) time.Duration {
	at := c.budgetFreeAt(unit, c.slowStartBudget(unit, c.now-unit.stateSince))
	if at > c.now { // and the budget grows until then
		at = max(c.now+1, c.budgetFreeAt(unit, c.slowStartBudget(unit, at-unit.stateSince)))
	}
	return at
}

// freeAt is when a budget of calls in the rule's window, or of one in a longer one, has room for a call.
func (c *Chooser) budgetFreeAt(unit *healthUnit, budget float64) time.Duration {
	span := time.Duration(float64(c.cfg.Rules.Fall) / min(1, budget))
	first, _ := slices.BinarySearch(unit.sendTimes, c.now-span)
	excess := len(unit.sendTimes) - first + 1 - int(max(1, budget))
	if excess <= 0 {
		return c.now
	}
	return unit.sendTimes[first+excess-1] + span + 1
}
