package choice

// Admission and final answers.

import (
	"math"
	"time"
)

const (
	// crowded is the part of the holding room above which the least worth is turned away.
	shedThreshold = 0.9
	// leastShare and mostShare are what a destination may hold of the room that is left, for messages worth
	// nothing and for those worth most.
	minShareFactor, maxShareFactor = 1.0, 4.0
	// displaces is how many times the worth of another a message has that takes its place in a crowded room.
	displacementFactor = 2
)

// arrive takes a message on, or turns it away at once.
func (c *Chooser) admit(arrival Arrival) {
	msg := c.newMessage(arrival)
	if why := c.rejection(msg); why != NoReason {
		c.emit(Refuse{msg.ID, c.retryAfter(msg.dest), why})
		return
	}
	c.accept(msg)
}

// tooMany is why the holding room has no place for one more message, which is refused at the door.
// A destination may hold a multiple of the room that is left, the dynamic threshold of Choudhury and Hahne
// (1998): whatever its backlog some room stays, and the more destinations have one the smaller each share.
// What is worth more has a larger share, so that the cheap cannot shut it out. In a crowded room a message
// must be worth a good deal more than the one turned away for it, which has been taken on already.
func (c *Chooser) rejection(msg *message) Reason {
	dest, room := msg.dest, float64(c.cfg.MaxHeld)
	factor := minShareFactor + (maxShareFactor-minShareFactor)*msg.class.Worth/c.maxValue
	switch {
	case room > 0 && float64(dest.queued) >= factor*(room-float64(c.pending)):
		return Share
	case float64(c.pending+1) <= shedThreshold*room || room == 0:
		return NoReason
	}
	if _, least := c.shedCandidate(); c.value(msg.class, c.now-msg.createdAt)/float64(dest.queued+1) < displacementFactor*least {
		return Crowded
	}
	return NoReason
}

// result takes in how an attempt ended.
func (c *Chooser) applyResult(result Result) {
	msg := c.messages[result.ID]
	if msg == nil || msg.call == nil {
		return
	}
	call, host, unit, dest := msg.call, msg.call.host, msg.call.host.unit, msg.dest
	c.updateRateLimits(dest)
	c.markDirty(dest)
	unit.retryAfterUntil = max(unit.retryAfterUntil, c.now+result.Wait) // it binds with any outcome
	msg.call, msg.lastHost = nil, host
	call.messages = removeElement(call.messages, msg)
	if c.reportGrant(call, result); len(call.messages) == 0 {
		c.callsInFlight, dest.inFlight, host.inFlight = c.callsInFlight-1, dest.inFlight-1, host.inFlight-1
		unit.inFlight = removeElement(unit.inFlight, call)
	}
	if reportIndex := c.cfg.ReportLimit; reportIndex >= 0 && reportIndex < len(result.Report) && result.Report[reportIndex] > 0 {
		unit.listedRate = result.Report[reportIndex]
	}
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
	case Spoilt: // it guards against holding stray noise for an outage: the host did answer
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
	certain := result.Outcome == Served || result.Outcome == Refused || result.Outcome == NoConnection || result.Outcome == NotSent
	if !certain {
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

// repeatable tells whether the effect of a message allows one more send now.
func (c *Chooser) mayRetry(msg *message) bool {
	return !msg.mayHaveRun || msg.class.Effect == Safe || msg.class.Effect == Keyed && c.now < c.keyWindowEnd(msg)
}

func (c *Chooser) keyWindowEnd(msg *message) time.Duration {
	if !msg.mayHaveRun {
		return c.now + msg.class.Window
	}
	return msg.mayHaveRunAt + msg.class.Window
}

// endAt is when a message that waits is answered, come what may.
func (c *Chooser) expiryOf(msg *message) time.Duration {
	at := msg.deadline - expiryMarginTicks*c.cfg.Tick - c.lookInterval
	if msg.mayHaveRun && msg.class.Effect == Keyed {
		at = min(at, c.keyWindowEnd(msg))
	}
	return at
}

// mayShed tells whether a message that waits may be turned away: with no harm, and with no first try owed.
func (m *message) sheddable() bool {
	return !m.owedFirstAttempt() && (!m.mayHaveRun || m.class.Effect == Safe)
}

// tied tells whether a message may go to the zone of its last attempt only.
func (m *message) zoneBound() bool {
	return m.mayHaveRun && m.class.Effect == Keyed && m.class.SameZone
}

// final answers a message that is not out: refused where that is lawful, else failed.
func (c *Chooser) answer(msg *message, why Reason) {
	if !msg.mayHaveRun || msg.class.Effect == Safe || msg.class.Effect == Keyed && !msg.class.SameZone {
		c.emit(Refuse{msg.ID, c.retryAfter(msg.dest), why})
	} else {
		c.emit(Fail{msg.ID, why})
	}
	c.finish(msg)
}

// end frees a message; one that is out keeps its record, and its key, until its outcome.
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

// worth of a message of a class if it is served at an age.
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

// answer ends messages whose time is up, a piece in a Step; the first of more than that a while before it.
func (c *Chooser) answerExpired() {
	sooner := c.dueEarly()
	for n := range c.batches.Piece() {
		msg, ok := c.expiries.Min()
		if !ok || msg.expiresAt > c.now && n >= sooner {
			return
		}
		c.answer(msg, c.expiryReason(msg))
	}
}

// shed turns messages away while the holding room is crowded.
func (c *Chooser) shedLoad() {
	for c.cfg.MaxHeld > 0 && float64(c.pending) > shedThreshold*float64(c.cfg.MaxHeld) {
		msg, _ := c.shedCandidate()
		if msg == nil {
			return
		}
		c.answer(msg, Crowded)
	}
}

// worst is the message to be turned away first, and its worth, spread over all that wait with it: of each
// class the oldest at the destination where most messages wait, and of these the least.
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
