package reference

// Admission, load shedding, outcomes of attempts and final answers.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// shedThreshold is the fraction of MaxHeld above which the messages with the least value are shed.
const shedThreshold = 0.9

// admit accepts a message or rejects it at once; a restored one is never rejected.
func (c *Chooser) admit(arrival Arrival, restored bool) {
	class := &c.cfg.Classes[min(max(arrival.Class, 0), len(c.cfg.Classes)-1)]
	msg := &message{Arrival: arrival, class: class, dest: c.destination(arrival.Dest),
		deadline: c.now + arrival.Left, uncertainAt: -1}
	msg.createdAt = msg.deadline - class.Deadline
	if !restored && c.rejection(msg) {
		c.emit(Refuse{ID: msg.ID, After: c.retryAfter(msg.dest)})
		return
	}
	c.messages[arrival.ID] = msg
	c.pending++
	c.enqueue(msg)
	if class.Ordered && arrival.Key != "" {
		order := c.keyOrders[arrival.Key]
		if order == nil {
			order = &keyOrder{key: arrival.Key}
			c.keyOrders[arrival.Key] = order
		}
		order.messages = append(order.messages, msg)
	}
}

// applyResult ends an attempt: it updates limits and health, then retries or finishes the message.
func (c *Chooser) applyResult(result Result) {
	msg := c.messages[result.ID]
	if msg == nil || msg.call == nil {
		return
	}
	call, host, dest := msg.call, msg.call.host, msg.dest
	c.updateRateLimits(dest)
	c.releaseCall(msg, result)
	c.applyOutcome(result, call, dest)
	certain := result.Outcome == Served || result.Outcome == Refused ||
		result.Outcome == NoConnection || result.Outcome == NotSent
	if !certain {
		if msg.uncertainAt = c.now; !msg.mayHaveRun {
			msg.mayHaveRun, msg.mayHaveRunAt, msg.mayHaveRunZone = true, call.sentAt, host.Zone
		}
	}
	switch {
	case result.Done || msg.finished:
		c.finish(msg)
	case !c.mayRetry(msg) || msg.attempts >= c.cfg.MaxAttempts:
		c.answer(msg)
	default:
		c.enqueue(msg)
	}
}

// releaseCall detaches a message from its call, and frees the call's slot with its last message.
func (c *Chooser) releaseCall(msg *message, result Result) {
	call, host, unit, dest := msg.call, msg.call.host, msg.call.host.unit, msg.dest
	unit.retryAfterUntil = max(unit.retryAfterUntil, c.now+result.Wait) // a wait applies with any outcome
	msg.call, msg.lastHost = nil, host
	if call.messages = removeElement(call.messages, msg); len(call.messages) == 0 {
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
		dest.latencies.add(result.Took)
		c.pooledLatencies.add(result.Took)
		if result.Took <= dest.latencies.edge {
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
		dest.latencies.cutShort()
		if unit.lastServed < call.sentAt {
			dest.timeouts++
			if result.Took >= c.unresponsiveTimeout(dest) {
				c.applyFailure(host, result.Outcome)
			}
		}
	case NoConnection:
		dest.latencies.cutShort()
		c.applyFailure(host, result.Outcome)
	}
}

// enqueue queues a message for its next attempt.
func (c *Chooser) enqueue(msg *message) {
	dest := msg.dest
	c.queueSequence++
	msg.queueSequence = c.queueSequence
	if len(dest.waiting) == 0 {
		dest.demandSince = max(c.now, dest.backoffUntil)
	}
	if dest.waiting = append(dest.waiting, msg); !dest.listedActive {
		dest.listedActive, c.active = true, append(c.active, dest)
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

// answer gives a queued message its final answer: Refuse where the client may safely submit it again, else
// Fail.
func (c *Chooser) answer(msg *message) {
	if !msg.mayHaveRun || msg.class.Effect == Safe || msg.class.Effect == Keyed && !msg.class.SameZone {
		c.emit(Refuse{ID: msg.ID, After: c.retryAfter(msg.dest)})
	} else {
		c.emit(Fail{ID: msg.ID})
	}
	c.finish(msg)
}

// finish ends a message. One in flight keeps its record, and blocks its ordering key, until its outcome.
func (c *Chooser) finish(msg *message) {
	if !msg.finished {
		msg.finished = true
		c.pending--
		if msg.call == nil {
			c.updateRateLimits(msg.dest)
			msg.dest.waiting = removeElement(msg.dest.waiting, msg)
		}
	}
	if msg.call != nil {
		return
	}
	delete(c.messages, msg.ID)
	if order := c.keyOrders[msg.Key]; order != nil && msg.class.Ordered {
		order.messages = removeElement(order.messages, msg)
		if msg.uncertainAt >= 0 {
			order.settledAt = max(order.settledAt, msg.uncertainAt+c.cfg.Rules.OrderSettle)
		}
		if len(order.messages) == 0 {
			c.settling = append(c.settling, order)
		}
	}
}

// value returns the value of a message if it is delivered at a time.
func (c *Chooser) value(msg *message, at time.Duration) float64 {
	class := msg.class
	if at >= msg.deadline {
		return 0
	}
	age := at - msg.createdAt
	if age <= class.Aim {
		return class.Worth
	}
	late := (age - class.Aim).Seconds()
	if c.cfg.Halving {
		return class.Worth * max(class.LateShare, math.Exp2(-late/class.Aim.Seconds()))
	}
	return class.Worth * (1 - (1-class.LateShare)*late/(class.Deadline-class.Aim).Seconds())
}

// answerExpired answers queued messages that expire, in the order of their expiry.
func (c *Chooser) answerExpired() {
	var over []*message
	for _, dest := range c.active {
		for _, msg := range dest.waiting {
			if c.expiryOf(msg) <= c.now || !c.mayRetry(msg) {
				over = append(over, msg)
			}
		}
	}
	slices.SortFunc(over, func(a, b *message) int {
		return cmp.Or(cmp.Compare(c.expiryOf(a), c.expiryOf(b)),
			cmp.Compare(a.queueSequence, b.queueSequence))
	})
	for _, msg := range over {
		c.answer(msg)
	}
}

// expiryOf returns the time at which a queued message gets its final answer if it was not sent until then.
func (c *Chooser) expiryOf(msg *message) time.Duration {
	at := msg.deadline - expiryMarginTicks*c.cfg.Tick - c.wakeInterval
	if msg.mayHaveRun && msg.class.Effect == Keyed {
		at = min(at, c.keyWindowEnd(msg))
	}
	return at
}

// shedLoad sheds messages while the number of pending messages is above the threshold.
func (c *Chooser) shedLoad() {
	for c.cfg.MaxHeld > 0 && float64(c.pending) > shedThreshold*float64(c.cfg.MaxHeld) {
		msg, _ := c.shedCandidate()
		if msg == nil {
			return
		}
		c.answer(msg)
	}
}

// oldestSheddable returns the oldest message of a class that may be shed; nil if there is none.
func oldestSheddable(dest *destination, class int) *message {
	var first *message
	for _, msg := range dest.waiting {
		if msg.Class != class || msg.owedFirstAttempt() || msg.mayHaveRun && msg.class.Effect != Safe {
			continue
		}
		if first == nil || msg.deadline < first.deadline {
			first = msg
		}
	}
	return first
}

// shedCandidate returns the message to be shed next and its value, divided by the backlog of its destination.
// Of each class the oldest message at the destination with the longest backlog is considered; the least value
// wins.
func (c *Chooser) shedCandidate() (worst *message, least float64) {
	least = math.Inf(1)
	for class := range c.cfg.Classes {
		var most *destination
		var oldest *message
		for _, dest := range c.active {
			if most != nil && (len(dest.waiting) < len(most.waiting) ||
				len(dest.waiting) == len(most.waiting) && dest.id > most.id) {
				continue
			}
			if first := oldestSheddable(dest, class); first != nil {
				most, oldest = dest, first
			}
		}
		if most == nil {
			continue
		}
		if value := c.value(oldest, c.now) / float64(len(most.waiting)); value < least {
			least, worst = value, oldest
		}
	}
	return worst, least
}

// rejection reports whether a message is rejected on arrival.
//
// The quota of a destination is a multiple of the free capacity, the dynamic threshold of Choudhury and Hahne
// (1998): however long its backlog, some capacity stays free, and the more destinations have a backlog the
// smaller is the quota of each. Classes of greater value have larger quotas, so that messages of low value
// cannot starve them. Above shedThreshold a message must have much more value than the one shed for it, which
// was accepted earlier.
func (c *Chooser) rejection(msg *message) bool {
	if c.cfg.MaxHeld == 0 {
		return false
	}
	most := 1e-9
	for _, class := range c.cfg.Classes {
		most = max(most, class.Worth)
	}
	waits, room := float64(len(msg.dest.waiting)), float64(c.cfg.MaxHeld)
	if waits >= (1+3*msg.class.Worth/most)*(room-float64(c.pending)) {
		return true
	}
	if float64(c.pending+1) <= shedThreshold*room {
		return false
	}
	_, least := c.shedCandidate()
	return c.value(msg, c.now)/(waits+1) < 2*least
}
