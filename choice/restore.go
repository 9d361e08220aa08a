package choice

// State that outlives a process of the relay: pending messages, outages and waits.

import "time"

// Restored submits a message that an earlier process of this relay accepted, with the state of its attempts.
// An attempt whose outcome was not recorded counts as one that may have run.
type Restored struct {
	Arrival
	Attempts int           // number of attempts made
	Timeout  time.Duration // of the last attempt
	Ran      bool          // an attempt may have run
	RanAgo   time.Duration // time since the first such attempt was sent
	RanZone  int           // zone of its host
}

// restore continues a message where the earlier process left it. Its effect and its attempts count as if
// there had been no restart; a message that must not be retried is answered now.
func (c *Chooser) restore(restored Restored) {
	msg := c.newMessage(restored.Arrival)
	msg.attempts, msg.lastTimeout = restored.Attempts, restored.Timeout
	msg.restoredUntried = restored.Attempts == 0 && !restored.Ran
	if msg.mayHaveRun = restored.Ran; restored.Ran {
		msg.mayHaveRunAt, msg.mayHaveRunZone, msg.uncertainAt = c.now-restored.RanAgo, restored.RanZone, c.now
	}
	c.accept(msg)
	if c.exhausted(msg) {
		c.answer(msg, c.exhaustedReason(msg))
	}
}

// exhausted reports whether a message must not be sent again.
func (c *Chooser) exhausted(msg *message) bool {
	return msg.attempts >= c.cfg.MaxAttempts || !c.mayRetry(msg)
}

// Unwell reports an outage of a host that an earlier process of this relay saw begin, but not end. It follows
// the first Listing.
type Unwell struct {
	Host string
	Base float64 // as in Health
}

// applyUnwell continues an outage, so that a restart of the relay does not skip the slow start of a
// destination.
func (c *Chooser) applyUnwell(unwell Unwell) {
	host := c.hosts[unwell.Host]
	if host == nil {
		return
	}
	host.unit.servedRate = unwell.Base
	host.unit.mayHaveRun, host.unit.sawErrors = true, true
	host.unit.unsuccessful = 1 // a single served call does not end the outage
	c.markSuspect(host.unit, host.dest, "unwell before the restart")
}

// applyWait applies a retry-after that another process of the relay received.
func (c *Chooser) applyWait(e Told) {
	if host := c.hosts[e.Host]; host != nil {
		host.unit.retryAfterUntil = max(host.unit.retryAfterUntil, c.now+e.Wait)
		c.markDirty(host.dest)
	}
}

// retryAfter returns the time after which a client should submit a rejected message again: when a unit of its
// destination can be sent to and the backlog there has been served.
func (c *Chooser) retryAfter(dest *destination) time.Duration {
	soonest, rate := time.Duration(-1), 0.0
	for _, unit := range dest.units {
		at := max(unit.retryAfterUntil, unit.backoffUntil)
		if unit.state == suspect {
			at = max(at, unit.nextTrialAt)
		}
		if left := max(0, at-c.now); soonest < 0 || left < soonest {
			soonest = left
		}
		rate += unit.servedRate
	}
	after := max(soonest, c.minTarget/4)
	if rate > 0 {
		after = max(after, min(c.minTarget, time.Duration(float64(dest.queued)/rate*float64(time.Second))))
	}
	return min(after, c.maxTimeout)
}
