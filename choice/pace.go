package choice

import (
	"math"
	"time"
)

const (
	// cut of a unit's pace: a fifth on a refusal. It regains at the rate grow a second without one, at the
	// rate search where no rate is listed; either compounds.
	rateCutFactor, listedRateGrowth, rateGrowth = 0.8, 0.05, 0.07
	briskRate                                   = 4        // calls a second from which pace is learnt by calls, not by seconds
	maxRate                                     = 1e6      // calls a second
	fullToken                                   = 1 - 1e-9 // of a token, for a call: sums are not exact
)

// Rates of a unit, and the pace that this relay allows itself there.

// rate that a unit takes from all relays together: listed or reported; else what it served here times
// the fleet, and at least a call in an eighth of an aim.
func (c *Chooser) fleetRate(unit *healthUnit) float64 {
	if unit.listedRate > 0 {
		return unit.listedRate
	}
	return max(c.servedRate(unit)*float64(c.cfg.Fleet), 8/c.minTarget.Seconds())
}

// flow is the rate that a unit served to this relay, messages a second. The smoothed rate begins at 0: it is
// scaled by the part of its time that has passed, lest a young unit pass for one that takes little.
func (c *Chooser) servedRate(unit *healthUnit) float64 {
	age, cold := max(c.now-unit.createdAt, 2*time.Second), c.cfg.Rules.Cold
	return unit.servedRate / (1 - math.Exp(-age.Seconds()/cold.Seconds()))
}

// even is the time in which this relay's even share of that is one call.
func (c *Chooser) evenShareInterval(unit *healthUnit) time.Duration {
	return time.Duration(float64(c.cfg.Fleet) / c.fleetRate(unit) * float64(time.Second))
}

// thin tells whether this relay meets a unit too seldom to learn a pace from its own calls.
func (c *Chooser) rarelyCalls(unit *healthUnit) bool {
	return c.evenShareInterval(unit) > c.minTarget/2
}

// settle brings pace and tokens of a destination's units up to date. Pace grows while messages wait that a
// pause does not hold back, however often it is looked at; at the end of a lull it regains a second's worth.
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

// grow has a pace grow for so many seconds, and returns the calls that it allows in them. Each served call
// tells as much: from brisk on pace grows faster the higher it is, up to four times as fast.
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
	if span > 0 && u.rateLimit < 4*briskRate { // by search*limit/brisk
		growing := min(span, briskRate/rateGrowth*(1/u.rateLimit-1/(4.0*briskRate)))
		grown := 1 / (1/u.rateLimit - rateGrowth*growing/briskRate)
		calls += briskRate / rateGrowth * math.Log(grown/u.rateLimit)
		u.rateLimit, span = grown, span-growing
	}
	growTo(4*rateGrowth, maxRate)
	return calls + u.rateLimit*span
}

// tokenAt is a time before which a pace allows no call; it allows one then, or soon after.
func (c *Chooser) tokenAt(unit *healthUnit) time.Duration {
	if unit.rateLimit == 0 || unit.tokens >= fullToken {
		return c.now
	}
	need, later := 1-unit.tokens, *unit
	later.growRateLimit(need / unit.rateLimit)
	return c.now + max(1, time.Duration(min(need/later.rateLimit, 1e9)*float64(time.Second)))
}
