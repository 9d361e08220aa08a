package reference

// State that outlives a process of the relay: pending messages and outages.

import "time"

// restore continues a message where the earlier process left it. Its effect and its attempts count as if
// there had been no restart; a message that must not be retried is answered now.
func (c *Chooser) restore(restored Restored) {
	c.admit(restored.Arrival, true)
	msg := c.messages[restored.ID]
	msg.attempts, msg.lastTimeout = restored.Attempts, restored.Timeout
	msg.restoredUntried = restored.Attempts == 0 && !restored.Ran
	if msg.mayHaveRun = restored.Ran; restored.Ran {
		msg.mayHaveRunAt, msg.mayHaveRunZone, msg.uncertainAt = c.now-restored.RanAgo, restored.RanZone, c.now
	}
	if msg.attempts >= c.cfg.MaxAttempts || !c.mayRetry(msg) {
		c.answer(msg)
	}
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
		backlog := time.Duration(float64(len(dest.waiting)) / rate * float64(time.Second))
		after = max(after, min(c.minTarget, backlog))
	}
	return min(after, c.maxTimeout)
}
