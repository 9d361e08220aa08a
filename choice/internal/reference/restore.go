package reference

import "time"

// restore takes a message up where the earlier process left it. Its effect and
// its attempts bind as if no restart had been; what may not go again is answered now.
func (c *Chooser) restore(e Restored) {
	c.arrive(e.Arrival, true)
	m := c.msgs[e.ID]
	m.attempts, m.timeout, m.found = e.Attempts, e.Timeout, e.Attempts == 0 && !e.Ran
	if m.ran = e.Ran; e.Ran {
		m.ranAt, m.ranZone, m.unsure = c.now-e.RanAgo, e.RanZone, c.now
	}
	if m.attempts >= c.set.MaxAttempts || !c.repeatable(m) {
		c.final(m)
	}
}

// unwell guards a returning destination against a relay that forgot the outage by a restart.
func (c *Chooser) unwell(e Unwell) {
	h := c.hosts[e.Host]
	if h == nil {
		return
	}
	h.unit.served = e.Base
	h.unit.risky, h.unit.errors, h.unit.bad = true, true, 1 // one answer does not prove it well
	c.suspect(h.unit, h.dest, "unwell before the restart")
}

// comeBack is when a client had best hand a refused message in again: once a unit of its
// destination may be sent to, and what waits there has gone.
func (c *Chooser) comeBack(d *dest) time.Duration {
	open, rate := time.Duration(-1), 0.0
	for _, u := range d.units {
		at := max(u.waitUntil, u.pauseUntil)
		if u.state == suspect {
			at = max(at, u.trialAt)
		}
		if left := max(0, at-c.now); open < 0 || left < open {
			open = left
		}
		rate += u.served
	}
	after := max(open, c.minAim/4)
	if rate > 0 {
		after = max(after, min(c.minAim, time.Duration(float64(len(d.waiting))/rate*float64(time.Second))))
	}
	return min(after, c.bound)
}
