package choice

// Rates of a unit, and the token bucket by which this relay limits its own rate there.

import (
	"math"
	"time"
)

const (
	// A refusal multiplies the rate limit of a unit by rateCutFactor. Without one it grows exponentially, by
	// listedRateGrowth a second, or by rateGrowth if the rate of the unit is not listed.
	rateCutFactor, listedRateGrowth, rateGrowth = 0.8, 0.05, 0.07
	// briskRate, in calls a second, is the limit above which it grows by calls, not by time.
	briskRate = 4
	maxRate   = 1e6      // calls a second
	fullToken = 1 - 1e-9 // tokens for a call: sums are not exact
)

// fleetRate returns the calls a second that a unit takes from all relays together: the rate that is listed or
// reported, else an estimate of the rate served to this relay times the fleet, and at least a call in an
// eighth of the shortest latency target.
func (c *Chooser) fleetRate(unit *healthUnit) float64 {
	if unit.listedRate > 0 {
		return unit.listedRate
	}
	return max(c.servedRate(unit)*float64(c.cfg.Fleet), 8/c.minTarget.Seconds())
}

// servedRate returns the messages a second that a unit serves to this relay. The smoothed rate starts at 0,
// so it is divided by the weight of the time since the unit was listed.
func (c *Chooser) servedRate(unit *healthUnit) float64 {
	age, cold := max(c.now-unit.createdAt, 2*time.Second), c.cfg.Rules.Cold
	return unit.servedRate / (1 - math.Exp(-age.Seconds()/cold.Seconds()))
}

// evenShareInterval returns the time in which this relay's even share of the fleet rate is one call.
func (c *Chooser) evenShareInterval(unit *healthUnit) time.Duration {
	return time.Duration(float64(c.cfg.Fleet) / c.fleetRate(unit) * float64(time.Second))
}

// rarelyCalls reports whether the even share is too small to learn a rate limit from this relay's own calls.
func (c *Chooser) rarelyCalls(unit *healthUnit) bool {
	return c.evenShareInterval(unit) > c.minTarget/2
}

// updateRateLimits updates the rate limits and tokens of a destination's units to the current time. Limits
// grow only while the destination has demand, and by one second at the end of a time without. The result does
// not depend on how often it is called.
func (c *Chooser) updateRateLimits(dest *destination) {
	if c.now < dest.demandSince {
		return
	}
	for _, unit := range dest.units {
		span := c.now - unit.rateLimitAt
		lull := min(max(0, dest.demandSince-unit.rateLimitAt), span)
		lost := max(0, lull-time.Second)
		if unit.rateLimitAt = c.now; unit.rateLimit > 0 {
			unit.tokens += unit.rateLimit * lost.Seconds()
			unit.tokens += unit.growRateLimit((span - lost).Seconds())
			unit.tokens = min(unit.tokens, max(1, unit.rateLimit*c.minTarget.Seconds()/8))
		}
	}
}

// growRateLimit lets the rate limit grow for a span in seconds and returns the number of calls that it allows
// in this time. Each served call is as much evidence, so above briskRate the limit grows at a rate
// proportional to itself, up to four times rateGrowth.
func (u *healthUnit) growRateLimit(span float64) (calls float64) {
	growTo := func(rate, top float64) {
		if span <= 0 || u.rateLimit >= top {
			return
		}
		growing := min(span, math.Log(top/u.rateLimit)/rate)
		grown := u.rateLimit * math.Exp(rate*growing)
		calls += (grown - u.rateLimit) / rate
		u.rateLimit, span = grown, span-growing
	}
	if u.listedRate > 0 {
		growTo(listedRateGrowth, u.listedRate)
		u.rateLimit = min(u.rateLimit, u.listedRate)
		return calls + u.rateLimit*span
	}
	growTo(rateGrowth, briskRate)
	if span > 0 && u.rateLimit < 4*briskRate { // at a rate of rateGrowth*limit/briskRate
		growing := min(span, briskRate/rateGrowth*(1/u.rateLimit-1/(4.0*briskRate)))
		grown := 1 / (1/u.rateLimit - rateGrowth*growing/briskRate)
		calls += briskRate / rateGrowth * math.Log(grown/u.rateLimit)
		u.rateLimit, span = grown, span-growing
	}
	growTo(4*rateGrowth, maxRate)
	return calls + u.rateLimit*span
}

// tokenAt returns a time before which the rate limit allows no call; it allows one then or soon after.
func (c *Chooser) tokenAt(unit *healthUnit) time.Duration {
	if unit.rateLimit == 0 || unit.tokens >= fullToken {
		return c.now
	}
	need, later := 1-unit.tokens, *unit
	later.growRateLimit(need / unit.rateLimit)
	return c.now + max(1, time.Duration(min(need/later.rateLimit, 1e9)*float64(time.Second)))
}
