package reference

import "time"

// restore takes a message up where the earlier process left it. Its effect and
// its attempts bind as if no restart had been; what may not go again is answered now.
func (c *Chooser) restore(restored Restored) {
	c.admit(restored.Arrival, true)
	msg := c.messages[restored.ID]
	msg.attempts, msg.lastTimeout, msg.restoredUntried = restored.Attempts, restored.Timeout, restored.Attempts == 0 && !restored.Ran
	if msg.mayHaveRun = restored.Ran; restored.Ran {
		msg.mayHaveRunAt, msg.mayHaveRunZone, msg.uncertainAt = c.now-restored.RanAgo, restored.RanZone, c.now
	}
	if msg.attempts >= c.cfg.MaxAttempts || !c.mayRetry(msg) {
		c.answer(msg)
	}
}

// unwell guards a returning destination against a relay that forgot the outage by a restart.
func (c *Chooser) applyUnwell(unwell Unwell) {
	host := c.hosts[unwell.Host]
	if host == nil {
		return
	}
	host.unit.servedRate = unwell.Base
	host.unit.mayHaveRun, host.unit.sawErrors, host.unit.unsuccessful = true, true, 1 // one answer does not prove it well
	c.markSuspect(host.unit, host.dest, "unwell before the restart")
}

// comeBack is when a client had best hand a refused message in again: once a unit of its
// destination may be sent to, and what waits there has gone.
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
		after = max(after, min(c.minTarget, time.Duration(float64(len(dest.waiting))/rate*float64(time.Second))))
	}
	return min(after, c.maxTimeout)
}
