package choice

// How long a call may take, by the timeout oracle.

import (
	"time"

	"larchrouter/choice/oracle"
)

// restartCost is the paper's c: the attempt runs on, its successor waits behind it.
var restartCost = oracle.Cost{Buckets: 1, Means: 4}

// patience is how long a call to a destination may stay unanswered before its silence means something.
func (c *Chooser) patience(d *dest) time.Duration {
	t, least := &d.table, c.minAim/8
	if t.Few() {
		t, least = &c.pool, c.minAim/2
	}
	if t.Look(); t.High() == 0 {
		return c.minAim / 2
	}
	return min(max(2*t.High(), least), c.bound)
}

// timeout for the next try of a message at a unit.
func (c *Chooser) timeout(m *message, u *unit) time.Duration {
	left := m.due - c.now
	if !c.repeatable(m) || m.attempts+1 >= c.set.MaxAttempts {
		return left
	}
	d := m.dest
	d.table.Look()
	t := d.table.Edge()
	switch {
	case u.state == suspect:
		t = c.patience(d) << min(u.trials, 4)
	case t > 0 && d.waits > 1:
		// With a message waiting here a restart takes its place, and feeds an overload:
		// only calls that are very likely lost are given up.
		t = max(t, c.patience(d))
	}
	t <<= min(d.backoff, 4)
	if t == 0 {
		return left
	}
	t = max(t, m.timeout+d.table.Width())
	restart := c.now + t + time.Duration(u.pace*float64(time.Second))
	if restart >= m.due || m.class.Effect == Keyed && restart >= c.windowEnd(m) {
		return left
	}
	return t
}
