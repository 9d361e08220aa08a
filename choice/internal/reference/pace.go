package reference

import (
	"math"
	"time"
)

// Rates of a unit, and the pace that this relay allows itself there.

// rate that a unit takes from all relays together: listed or reported; else what it served here times
// the fleet, and at least a call in an eighth of an aim.
func (c *Chooser) rate(u *unit) float64 {
	if u.listed > 0 {
		return u.listed
	}
	return max(c.flow(u)*float64(c.set.Fleet), 8/c.minAim.Seconds())
}

// flow is the rate that a unit served to this relay, messages a second. The smoothed rate begins at 0: it is
// scaled by the part of its time that has passed, lest a young unit pass for one that takes little.
func (c *Chooser) flow(u *unit) float64 {
	age, cold := max(c.now-u.born, 2*time.Second), c.set.Rules.Cold
	return u.served / (1 - math.Exp(-age.Seconds()/cold.Seconds()))
}

// even is the time in which this relay's even share of that is one call.
func (c *Chooser) even(u *unit) time.Duration {
	return time.Duration(float64(c.set.Fleet) / c.rate(u) * float64(time.Second))
}

// thin tells whether this relay meets a unit too seldom to learn a pace from its own calls.
func (c *Chooser) thin(u *unit) bool { return c.even(u) > c.minAim/2 }

// settle brings a destination with messages that wait up to date.
func (c *Chooser) settle(d *dest) {
	if len(d.waiting) > 0 && c.now >= d.pauseUntil {
		for _, u := range d.units {
			c.refill(u, d)
		}
	}
}

// refill brings pace and tokens up to date.
func (c *Chooser) refill(u *unit, d *dest) {
	dt := c.now - u.limitAt
	lull := min(max(0, d.since-u.limitAt), dt)
	u.limitAt = c.now
	if u.limit == 0 {
		return
	}
	lost := max(0, lull-time.Second)
	u.tokens += u.limit * lost.Seconds()
	u.tokens += u.grow((dt - lost).Seconds())
	u.tokens = min(u.tokens, max(1, u.limit*c.minAim.Seconds()/8))
}

const fastest = 1e6

// grow has a pace grow for so many seconds, and returns the calls that it allows in them. Each served call
// tells as much: from brisk on pace grows faster the higher it is, from four times brisk on four times as fast.
func (u *unit) grow(span float64) (calls float64) {
	rise := func(rate, top float64) {
		if span <= 0 || u.limit >= top {
			return
		}
		t := min(span, math.Log(top/u.limit)/rate)
		next := u.limit * math.Exp(rate*t)
		calls += (next - u.limit) / rate
		u.limit, span = next, span-t
	}
	if u.listed > 0 {
		rise(grow, u.listed)
		u.limit = min(u.limit, u.listed)
		return calls + u.limit*span
	}
	rise(search, brisk)
	if span > 0 && u.limit < 4*brisk { // by search*limit/brisk
		t := min(span, brisk/search*(1/u.limit-1/(4.0*brisk)))
		next := 1 / (1/u.limit - search*t/brisk)
		calls += brisk / search * math.Log(next/u.limit)
		u.limit, span = next, span-t
	}
	rise(4*search, fastest)
	return calls + u.limit*span
}
