package choice

// How long a call may take, by the timeout oracle.

import (
	"time"

	"larchrouter/choice/oracle"
)

// restartCost is the paper's c: the attempt runs on, its successor waits behind it.
var restartCost = oracle.Cost{Buckets: 1, Means: 4}

// patience is how long a call to a destination may stay unanswered before its silence means something.
func (c *Chooser) unresponsiveTimeout(dest *destination) time.Duration {
	latencies, least := &dest.latencies, c.minTarget/8
	if latencies.Few() {
		latencies, least = &c.pooledLatencies, c.minTarget/2
	}
	if latencies.Look(); latencies.High() == 0 {
		return c.minTarget / 2
	}
	return min(max(2*latencies.High(), least), c.maxTimeout)
}

// timeout for the next try of a message at a unit.
func (c *Chooser) attemptTimeout(msg *message, unit *healthUnit) time.Duration {
	left := msg.deadline - c.now
	if !c.mayRetry(msg) || msg.attempts+1 >= c.cfg.MaxAttempts {
		return left
	}
	dest := msg.dest
	dest.latencies.Look()
	timeout := dest.latencies.Edge()
	switch {
	case unit.state == suspect:
		timeout = c.unresponsiveTimeout(dest) << min(unit.failedTrials, 4)
	case timeout > 0 && dest.queued > 1:
		// With a message waiting here a restart takes its place, and feeds an overload:
		// only calls that are very likely lost are given up.
		timeout = max(timeout, c.unresponsiveTimeout(dest))
	}
	timeout <<= min(dest.timeouts, 4)
	if timeout == 0 {
		return left
	}
	timeout = max(timeout, msg.lastTimeout+dest.latencies.Width())
	restart := c.now + timeout + time.Duration(unit.latency*float64(time.Second))
	if restart >= msg.deadline || msg.class.Effect == Keyed && restart >= c.keyWindowEnd(msg) {
		return left
	}
	return timeout
}
