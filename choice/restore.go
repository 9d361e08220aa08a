package choice

import "time"

// Restored hands in a message that an earlier process of this relay had taken
// on, with what is known of its attempts. An attempt whose outcome was never
// recorded counts as one that may have run.
type Restored struct {
	Arrival
	Attempts int           // used up
	Timeout  time.Duration // of the last of them
	Ran      bool          // one of them may have run
	RanAgo   time.Duration // since the first such attempt went out
	RanZone  int           // zone of its host
}

// restore takes a message up where the earlier process left it. Its effect and
// its attempts bind as if no restart had been; what may not go again is answered now.
func (c *Chooser) restore(e Restored) {
	m := c.message(e.Arrival)
	m.attempts, m.timeout, m.found = e.Attempts, e.Timeout, e.Attempts == 0 && !e.Ran
	if m.ran = e.Ran; e.Ran {
		m.ranAt, m.ranZone, m.unsure = c.now-e.RanAgo, e.RanZone, c.now
	}
	c.hold(m)
	if c.spent(m) {
		c.final(m, c.whySpent(m))
	}
}

// spent tells whether a message may not be tried again.
func (c *Chooser) spent(m *message) bool { return m.attempts >= c.set.MaxAttempts || !c.repeatable(m) }

// Unwell says that an earlier process of this relay saw an outage at a host whose
// end it did not see. It follows the first Listing.
type Unwell struct {
	Host string
	Base float64 // as Health told it
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

// told keeps to a wait that another process was told.
func (c *Chooser) told(e Told) {
	if h := c.hosts[e.Host]; h != nil {
		h.unit.waitUntil = max(h.unit.waitUntil, c.now+e.Wait)
		c.touch(h.dest)
	}
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
		after = max(after, min(c.minAim, time.Duration(float64(d.waits)/rate*float64(time.Second))))
	}
	return min(after, c.bound)
}
