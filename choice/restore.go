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
	c.arrive(e.Arrival)
	m := c.msgs[e.ID]
	m.attempts, m.timeout = e.Attempts, e.Timeout
	if m.ran = e.Ran; e.Ran {
		m.ranAt, m.ranZone, m.unsure = c.now-e.RanAgo, e.RanZone, c.now
	}
	if m.attempts >= c.set.MaxAttempts || !c.repeatable(m) {
		c.final(m)
	}
}
