package reference

// Time-outs of attempts, by the time-out oracle.

import (
	"time"
)

// unresponsiveTimeout is the time without a response after which a call counts against the health of its
// destination. With few samples it is based on the latencies of all destinations.
func (c *Chooser) unresponsiveTimeout(dest *destination) time.Duration {
	latencies, least := &dest.latencies, c.minTarget/8
	if latencies.total < minSamples {
		latencies, least = &c.pooledLatencies, c.minTarget/2
	}
	if latencies.update(); latencies.high == 0 {
		return c.minTarget / 2
	}
	return min(max(2*latencies.high, least), c.maxTimeout)
}

// attemptTimeout returns the time-out of the next attempt of a message at a unit: the time to the deadline if
// there can be no retry after it, else one that grows with each attempt.
func (c *Chooser) attemptTimeout(msg *message, unit *healthUnit) time.Duration {
	left := msg.deadline - c.now
	if !c.mayRetry(msg) || msg.attempts+1 >= c.cfg.MaxAttempts {
		return left
	}
	dest := msg.dest
	dest.latencies.update()
	timeout := dest.latencies.edge
	switch {
	case unit.state == suspect:
		timeout = c.unresponsiveTimeout(dest) << min(unit.failedTrials, 4)
	case timeout > 0 && len(dest.waiting) > 1:
		// With other messages queued a retry displaces one of them and adds to an overload:
		// only calls that are very likely lost are abandoned.
		timeout = max(timeout, c.unresponsiveTimeout(dest))
	}
	timeout <<= min(dest.timeouts, 4)
	if timeout == 0 {
		return left
	}
	timeout = max(timeout, msg.lastTimeout+dest.latencies.width)
	restart := c.now + timeout + time.Duration(unit.latency*float64(time.Second))
	if restart >= msg.deadline || msg.class.Effect == Keyed && restart >= c.keyWindowEnd(msg) {
		return left
	}
	return timeout
}
