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
func (c *Chooser) restore(restored Restored) {
	msg := c.newMessage(restored.Arrival)
	msg.attempts, msg.lastTimeout, msg.restoredUntried = restored.Attempts, restored.Timeout, restored.Attempts == 0 && !restored.Ran
	if msg.mayHaveRun = restored.Ran; restored.Ran {
		msg.mayHaveRunAt, msg.mayHaveRunZone, msg.uncertainAt = c.now-restored.RanAgo, restored.RanZone, c.now
	}
	c.accept(msg)
	if c.exhausted(msg) {
		c.answer(msg, c.exhaustedReason(msg))
	}
}

// spent tells whether a message may not be tried again.
func (c *Chooser) exhausted(msg *message) bool {
	return msg.attempts >= c.cfg.MaxAttempts || !c.mayRetry(msg)
}

// Unwell says that an earlier process of this relay saw an outage at a host whose
// end it did not see. It follows the first Listing.
type Unwell struct {
	Host string
	Base float64 // as Health told it
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

// told keeps to a wait that another process was told.
func (c *Chooser) applyWait(e Told) {
	if host := c.hosts[e.Host]; host != nil {
		host.unit.retryAfterUntil = max(host.unit.retryAfterUntil, c.now+e.Wait)
		c.markDirty(host.dest)
	}
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
		after = max(after, min(c.minTarget, time.Duration(float64(dest.queued)/rate*float64(time.Second))))
	}
	return min(after, c.maxTimeout)
}
