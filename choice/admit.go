package choice

// Admission, load shedding, outcomes of attempts and final answers.

import (
	"math"
	"time"
)

const (
	// shedThreshold is the fraction of MaxHeld above which the messages with the least value are shed.
	shedThreshold = 0.9
	// minShareFactor and maxShareFactor bound the quota of a destination, as a multiple of the free capacity:
	// for messages without value and for those of the class with the greatest value.
	minShareFactor, maxShareFactor = 1.0, 4.0
	// displacementFactor is how many times the value of the message shed for it a new message must have once
	// shedThreshold is reached.
	displacementFactor = 2
)

// admit accepts a message or rejects it at once.
func (c *Chooser) admit(arrival Arrival) {
	msg := c.newMessage(arrival)
	if why := c.rejection(msg); why != NoReason {
		c.emit(Refuse{msg.ID, c.retryAfter(msg.dest), why})
		return
	}
	c.accept(msg)
}

// rejection returns the reason to reject a message on arrival, NoReason to accept it.
//
// The quota of a destination is a multiple of the free capacity, the dynamic threshold of Choudhury and Hahne
// (1998): however long its backlog, some capacity stays free, and the more destinations have a backlog the
// smaller is the quota of each. Classes of greater value have larger quotas, so that messages of low value
// cannot starve them. Above shedThreshold a message must have much more value than the one shed for it, which
// was accepted earlier.
func (c *Chooser) rejection(msg *message) Reason {
	dest, capacity := msg.dest, float64(c.cfg.MaxHeld)
	factor := minShareFactor + (maxShareFactor-minShareFactor)*msg.class.Worth/c.maxValue
	switch {
	case capacity > 0 && float64(dest.queued) >= factor*(capacity-float64(c.pending)):
		return Share
	case float64(c.pending+1) <= shedThreshold*capacity || capacity == 0:
		return NoReason
	}
	_, least := c.shedCandidate()
	if c.value(msg.class, c.now-msg.createdAt)/float64(dest.queued+1) < displacementFactor*least {
		return Crowded
	}
	return NoReason
}

// applyResult ends an attempt: it updates limits and health, then retries or finishes the message.
func (c *Chooser) applyResult(result Result) {
	msg := c.messages[result.ID]
	if msg == nil || msg.call == nil {
		return
	}
	call, host, dest := msg.call, msg.call.host, msg.dest
	c.updateRateLimits(dest)
	c.markDirty(dest)
	c.releaseCall(msg, result)
	c.applyOutcome(result, call, dest)
	if !result.Outcome.certain() {
		if msg.uncertainAt = c.now; !msg.mayHaveRun {
			msg.mayHaveRun, msg.mayHaveRunAt, msg.mayHaveRunZone = true, call.sentAt, host.Zone
		}
	}
	switch {
	case result.Done || msg.finished:
		c.finish(msg)
	case c.exhausted(msg):
		c.answer(msg, c.exhaustedReason(msg))
	default:
		c.enqueue(msg)
	}
}

// certain reports whether an outcome proves that the message ran, or that it did not.
func (o Outcome) certain() bool {
	return o == Served || o == Refused || o == NoConnection || o == NotSent
}

// releaseCall detaches a message from its call, and frees the call's slot with its last message.
func (c *Chooser) releaseCall(msg *message, result Result) {
	call, host, unit, dest := msg.call, msg.call.host, msg.call.host.unit, msg.dest
	unit.retryAfterUntil = max(unit.retryAfterUntil, c.now+result.Wait) // a wait applies with any outcome
	msg.call, msg.lastHost = nil, host
	call.messages = removeElement(call.messages, msg)
	if c.reportGrant(call, result); len(call.messages) == 0 {
		c.callsInFlight, dest.inFlight, host.inFlight = c.callsInFlight-1, dest.inFlight-1, host.inFlight-1
		unit.inFlight = removeElement(unit.inFlight, call)
	}
	i := c.cfg.ReportLimit
	if i >= 0 && i < len(result.Report) && result.Report[i] > 0 {
		unit.listedRate = result.Report[i]
	}
}

// applyOutcome updates latencies, health and rate limits by the outcome of an attempt.
func (c *Chooser) applyOutcome(result Result, call *outboundCall, dest *destination) {
	host, unit := call.host, call.host.unit
	switch result.Outcome {
	case Served:
		dest.latencies.Add(result.Took)
		c.pooledLatencies.Add(result.Took)
		if result.Took <= dest.latencies.Edge() {
			dest.timeouts = 0
		}
		host.failures, host.unreadable = 0, 0
		if dest.refusals > 0 {
			*dest.retrySuccess += (1 - *dest.retrySuccess) / 16
		}
		dest.refusals = 0
		c.applyServed(unit, dest, result.Took)
	case Refused:
		c.applyRefusal(unit, dest, result.Wait)
	case Error, Reset:
		c.applyFailure(host, result.Outcome)
	case Spoilt: // the host did respond: only repeated ones are taken for an outage
		if host.unreadable++; host.unreadable > outageFailures {
			c.applyFailure(host, Error)
		}
	case Timeout, Cancelled:
		dest.latencies.CutShort()
		if unit.lastServed < call.sentAt {
			dest.timeouts++
			if result.Took >= c.unresponsiveTimeout(dest) {
				c.applyFailure(host, result.Outcome)
			}
		}
	case NoConnection:
		dest.latencies.CutShort()
		c.applyFailure(host, result.Outcome)
	}
}

// mayRetry reports whether the effect of a message allows another attempt now.
func (c *Chooser) mayRetry(msg *message) bool {
	return !msg.mayHaveRun || msg.class.Effect == Safe ||
		msg.class.Effect == Keyed && c.now < c.keyWindowEnd(msg)
}

// keyWindowEnd returns the time until which the destination recognizes duplicates of a keyed message.
func (c *Chooser) keyWindowEnd(msg *message) time.Duration {
	if !msg.mayHaveRun {
		return c.now + msg.class.Window
	}
	return msg.mayHaveRunAt + msg.class.Window
}

// expiryOf returns the time at which a queued message gets its final answer if it was not sent until then.
func (c *Chooser) expiryOf(msg *message) time.Duration {
	at := msg.deadline - expiryMarginTicks*c.cfg.Tick - c.wakeInterval
	if msg.mayHaveRun && msg.class.Effect == Keyed {
		at = min(at, c.keyWindowEnd(msg))
	}
	return at
}

// sheddable reports whether a queued message may be shed: safely, and without a first attempt owed to it.
func (m *message) sheddable() bool {
	return !m.owedFirstAttempt() && (!m.mayHaveRun || m.class.Effect == Safe)
}

// zoneBound reports whether retries of a message are limited to the zone of the attempt that may have run.
func (m *message) zoneBound() bool {
	return m.mayHaveRun && m.class.Effect == Keyed && m.class.SameZone
}

// answer gives a queued message its final answer: Refuse where the client may safely submit it again, else
// Fail.
func (c *Chooser) answer(msg *message, why Reason) {
	if !msg.mayHaveRun || msg.class.Effect == Safe || msg.class.Effect == Keyed && !msg.class.SameZone {
		c.emit(Refuse{msg.ID, c.retryAfter(msg.dest), why})
	} else {
		c.emit(Fail{msg.ID, why})
	}
	c.finish(msg)
}

// finish ends a message. One in flight keeps its record, and blocks its ordering key, until its outcome.
func (c *Chooser) finish(msg *message) {
	if !msg.finished {
		msg.finished = true
		c.pending--
		c.dequeue(msg)
	}
	if msg.call != nil {
		return
	}
	delete(c.messages, msg.ID)
	if order := c.keyOrders[msg.Key]; order != nil && msg.class.Ordered {
		order.messages.Remove(msg)
		if msg.uncertainAt >= 0 {
			order.settledAt = max(order.settledAt, msg.uncertainAt+c.cfg.Rules.OrderSettle)
		}
		c.advance(order)
	}
}

// value returns the value of a delivery at an age since submission.
func (c *Chooser) value(class *Class, age time.Duration) float64 {
	if age >= class.Deadline {
		return 0
	}
	if age <= class.Aim {
		return class.Worth
	}
	late := (age - class.Aim).Seconds()
	if c.cfg.Halving {
		return class.Worth * max(class.LateShare, math.Exp2(-late/class.Aim.Seconds()))
	}
	return class.Worth * (1 - (1-class.LateShare)*late/(class.Deadline-class.Aim).Seconds())
}

// answerExpired answers queued messages that expire, a batch at most in a Step; if more than a batch expires
// at once, the first are answered early.
func (c *Chooser) answerExpired() {
	early := c.dueEarly()
	for n := range c.batches.Piece() {
		msg, ok := c.expiries.Min()
		if !ok || msg.expiresAt > c.now && n >= early {
			return
		}
		c.answer(msg, c.expiryReason(msg))
	}
}

// shedLoad sheds messages while the number of pending messages is above the threshold.
func (c *Chooser) shedLoad() {
	for c.cfg.MaxHeld > 0 && float64(c.pending) > shedThreshold*float64(c.cfg.MaxHeld) {
		msg, _ := c.shedCandidate()
		if msg == nil {
			return
		}
		c.answer(msg, Crowded)
	}
}

// shedCandidate returns the message to be shed next and its value, divided by the backlog of its destination.
// Of each class the oldest message at the destination with the longest backlog is considered; the least value
// wins.
func (c *Chooser) shedCandidate() (worst *message, least float64) {
	least = math.Inf(1)
	for class, crowd := range c.shedOrders {
		dest, ok := crowd.Min()
		if !ok {
			continue
		}
		msg := c.oldestSheddable(dest, class)
		if value := c.value(msg.class, c.now-msg.createdAt) / float64(dest.queued); value < least {
			least, worst = value, msg
		}
	}
	return worst, least
}
