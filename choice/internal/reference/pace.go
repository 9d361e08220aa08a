package reference

import (
	"math"
	"time"
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

// settle brings a destination with messages that wait up to date.
func (c *Chooser) updateRateLimits(dest *destination) {
	if len(dest.waiting) > 0 && c.now >= dest.backoffUntil {
		for _, unit := range dest.units {
			c.updateRateLimit(unit, dest)
		}
	}
}

// refill brings pace and tokens up to date.
func (c *Chooser) updateRateLimit(unit *healthUnit, dest *destination) {
	dt := c.now - unit.rateLimitAt
	lull := min(max(0, dest.demandSince-unit.rateLimitAt), dt)
	unit.rateLimitAt = c.now
	if unit.rateLimit == 0 {
		return
	}
	lost := max(0, lull-time.Second)
	unit.tokens += unit.rateLimit * lost.Seconds()
	unit.tokens += unit.growRateLimit((dt - lost).Seconds())
	unit.tokens = min(unit.tokens, max(1, unit.rateLimit*c.minTarget.Seconds()/8))
}

const maxRate = 1e6

// grow has a pace grow for so many seconds, and returns the calls that it allows in them. Each served call
// tells as much: from brisk on pace grows faster the higher it is, from four times brisk on four times as fast.
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
