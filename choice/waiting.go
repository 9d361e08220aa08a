package choice

// Queues of messages and destinations, in the orders in which the decisions need them. This file keeps the
// orders up to date and makes no decisions.

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/choice/oracle"
	"larchrouter/internal/relay/queue"
)

// initOrders creates the queues.
func (c *Chooser) initOrders() {
	c.ready = queue.NewHeap(func(a, b *destination) bool {
		return cmp.Or(compareSendOrder(a.sendOrder, b.sendOrder), cmp.Compare(a.id, b.id)) < 0
	}, func(dest *destination) *queue.Place { return &dest.readyIndex })
	c.evaluations = queue.NewHeap(func(a, b *destination) bool {
		return cmp.Or(cmp.Compare(a.evaluateAt, b.evaluateAt), cmp.Compare(a.id, b.id)) < 0
	}, func(dest *destination) *queue.Place { return &dest.evaluationIndex })
	c.expiries = queue.NewHeap(func(a, b *message) bool { return compareExpiry(a, b) < 0 },
		func(msg *message) *queue.Place { return &msg.expiryIndex })
	c.settling = queue.NewHeap(func(a, b *keyOrder) bool {
		return cmp.Or(cmp.Compare(a.settledAt, b.settledAt), cmp.Compare(a.key, b.key)) < 0
	}, func(order *keyOrder) *queue.Place { return &order.settleIndex })
	c.addShedOrders()
}

// addShedOrders creates the shedding orders of classes that have none.
func (c *Chooser) addShedOrders() {
	for class := len(c.shedOrders); class < len(c.cfg.Classes); class++ {
		less := func(a, b *destination) bool { return compareShedBacklog(a, b) < 0 }
		index := func(dest *destination) *queue.Place { return &dest.sheddable[class].index }
		c.shedOrders = append(c.shedOrders, queue.NewHeap(less, index))
		for _, dest := range c.destinations {
			dest.sheddable = append(dest.sheddable, sheddableCount{})
		}
	}
}

// newDestination returns a destination without hosts or messages.
func (c *Chooser) newDestination(id int) *destination {
	return &destination{id: id, kind: Kind{PerCall: 1}, retrySuccess: &c.retrySuccess[0],
		demandSince: never, evaluateAt: never,
		latencies: oracle.New(c.maxTimeout/oracle.Buckets, restartCost),
		sheddable: make([]sheddableCount, len(c.cfg.Classes))}
}

// newKeyOrder returns an ordering key without messages.
func newKeyOrder(key string) *keyOrder {
	bySequence := func(a, b *message) bool { return a.keySequence < b.keySequence }
	return &keyOrder{key: key, messages: queue.NewSorted(bySequence)}
}

// compareExpiry orders messages by expiry, equal ones by when they were queued.
func compareExpiry(a, b *message) int {
	return cmp.Or(cmp.Compare(a.expiresAt, b.expiresAt), cmp.Compare(a.queueSequence, b.queueSequence))
}

// compareShedBacklog orders destinations by backlog, the longest first.
func compareShedBacklog(a, b *destination) int {
	return cmp.Or(cmp.Compare(b.shedBacklog, a.shedBacklog), cmp.Compare(a.id, b.id))
}

// earlierDeadline orders messages by deadline, equal ones by when they were queued.
func earlierDeadline(a, b *message) bool {
	return a.deadline < b.deadline || a.deadline == b.deadline && a.queueSequence < b.queueSequence
}

// oldestWithin returns the oldest message of a group up to an age; of several the one that was queued first.
func (c *Chooser) oldestWithin(group *messageGroup, age time.Duration) (*message, bool) {
	c.searchPivot.deadline = c.now + c.cfg.Classes[group.class].Deadline - age
	return group.messages.From(&c.searchPivot)
}

// youngestPast returns the youngest message of a group above an age; of several the one that was queued
// first.
func (c *Chooser) youngestPast(group *messageGroup, age time.Duration) (*message, bool) {
	c.searchPivot.deadline = c.now + c.cfg.Classes[group.class].Deadline - age
	msg, ok := group.messages.Before(&c.searchPivot)
	if ok {
		c.searchPivot.deadline = msg.deadline
		msg, _ = group.messages.From(&c.searchPivot)
	}
	return msg, ok
}

// oldestSheddable returns the oldest message of a class that may be shed; nil if there is none.
func (c *Chooser) oldestSheddable(dest *destination, class int) *message {
	var first *message
	for _, group := range dest.groups {
		unsafe := group.mayHaveRun && c.cfg.Classes[class].Effect != Safe
		if group.class != class || group.owedFirstAttempt || unsafe {
			continue
		}
		if msg, ok := group.messages.Min(); ok && (first == nil || earlierDeadline(msg, first)) {
			first = msg
		}
	}
	return first
}

// newMessage returns the message of an arrival. A class out of range counts as the nearest.
func (c *Chooser) newMessage(arrival Arrival) *message {
	arrival.Class = min(max(arrival.Class, 0), len(c.cfg.Classes)-1)
	class := &c.cfg.Classes[arrival.Class]
	deadline := c.now + arrival.Left
	return &message{Arrival: arrival, class: class, dest: c.destination(arrival.Dest), deadline: deadline,
		createdAt: deadline - class.Deadline, uncertainAt: -1}
}

// accept makes a message pending and queues it.
func (c *Chooser) accept(msg *message) {
	c.messages[msg.ID] = msg
	c.pending++
	if msg.class.Ordered && msg.Key != "" {
		order := c.keyOrders[msg.Key]
		if order == nil {
			order = newKeyOrder(msg.Key)
			c.keyOrders[msg.Key] = order
		}
		c.keySequence++
		msg.keySequence = c.keySequence
		order.messages.Add(msg)
	}
	c.enqueue(msg)
}

// enqueue queues a message for its next attempt.
func (c *Chooser) enqueue(msg *message) {
	dest := msg.dest
	c.queueSequence++
	msg.queueSequence, msg.expiresAt = c.queueSequence, c.expiryOf(msg)
	if dest.queued++; dest.queued == 1 {
		dest.demandSince = max(c.now, dest.backoffUntil)
	}
	c.expiries.Set(msg)
	c.batches.Add(msg.expiresAt)
	c.nextBatchAt = min(c.nextBatchAt, c.now+c.wakeInterval)
	c.joinGroup(msg)
	c.updateShedOrders(dest)
}

// dequeue removes a message from the queues; it does nothing if the message is not queued.
func (c *Chooser) dequeue(msg *message) {
	if msg.group == nil {
		return
	}
	dest := msg.dest
	c.updateRateLimits(dest)
	dest.queued--
	c.expiries.Remove(msg)
	c.batches.Remove(msg.expiresAt)
	c.leaveGroup(msg)
	c.updateShedOrders(dest)
	if dest.queued == 0 {
		dest.demandSince = never
	}
}

// owedFirstAttempt reports whether a message was restored after a restart without an attempt, and has had
// none yet.
func (m *message) owedFirstAttempt() bool { return m.restoredUntried && m.attempts == 0 }

// priorityBonus returns the value added to a message's loss by waiting: messages that are owed a first
// attempt since a restart go first. They aged while the relay was down, and past the latency target the loss
// by waiting is small, so that most of them would expire behind new arrivals.
func (c *Chooser) priorityBonus(msg *message) float64 {
	if msg.owedFirstAttempt() {
		return c.maxValue
	}
	return 0
}

// dueEarly returns the number of messages to answer now before they expire, since more expire together than
// one Step answers.
func (c *Chooser) dueEarly() (count int) {
	if c.now >= c.nextBatchAt {
		count, c.nextBatchAt = c.batches.Look(c.now)
	}
	return count
}

// joinGroup adds a queued message to its group.
func (c *Chooser) joinGroup(msg *message) {
	dest := msg.dest
	key := groupKey{class: msg.Class, zone: anyZone, mayHaveRun: msg.mayHaveRun, keyAllows: c.keyAllows(msg),
		owedFirstAttempt: msg.owedFirstAttempt()}
	if msg.zoneBound() {
		key.zone = msg.mayHaveRunZone
	}
	i := slices.IndexFunc(dest.groups, func(group *messageGroup) bool { return group.groupKey == key })
	if i < 0 {
		i = len(dest.groups)
		dest.groups = append(dest.groups, &messageGroup{key, queue.NewSorted(earlierDeadline)})
	}
	msg.group = dest.groups[i]
	msg.group.messages.Add(msg)
	if msg.sheddable() {
		dest.sheddable[msg.Class].count++
	}
	c.markDirty(dest)
}

// leaveGroup removes a queued message from its group.
func (c *Chooser) leaveGroup(msg *message) {
	dest := msg.dest
	msg.group.messages.Remove(msg)
	if msg.group = nil; msg.sheddable() {
		dest.sheddable[msg.Class].count--
	}
	c.markDirty(dest)
}

// markDirty schedules the evaluation of a destination in this Step, after an event that may change what it is
// sent.
func (c *Chooser) markDirty(dest *destination) {
	if !dest.dirty {
		dest.dirty = true
		c.dirty = append(c.dirty, dest)
	}
}

// reschedule stores the result of an evaluation: whether the destination can be sent to now, in which order,
// and when it is evaluated again.
func (c *Chooser) reschedule(dest *destination, ready bool, order sendOrder, evaluateAt time.Duration) {
	dest.dirty = false
	if c.cfg.Granted {
		evaluateAt = min(evaluateAt, c.updateWant(dest))
	}
	if dest.sendOrder = order; ready {
		c.ready.Set(dest)
	} else {
		c.ready.Remove(dest)
	}
	if dest.evaluateAt = evaluateAt; evaluateAt < never {
		c.evaluations.Set(dest)
	} else {
		c.evaluations.Remove(dest)
	}
}

// updateShedOrders updates the position of a destination in the shedding orders.
func (c *Chooser) updateShedOrders(dest *destination) {
	if c.cfg.MaxHeld == 0 {
		return
	}
	dest.shedBacklog = dest.queued
	for class, order := range c.shedOrders {
		if dest.sheddable[class].count > 0 {
			order.Set(dest)
		} else {
			order.Remove(dest)
		}
	}
}

// backOff blocks a destination until a time.
func (c *Chooser) backOff(dest *destination, until time.Duration) {
	if dest.backoffUntil = until; dest.queued > 0 {
		dest.demandSince = max(c.now, until)
	}
}

// requestWake requests a wake-up for the next time at which a decision may change without an event, no sooner
// than after wakeInterval.
func (c *Chooser) requestWake() {
	at := min(c.watchAt, c.nextGrantExpiry)
	if c.subscribeAt >= 0 {
		at = min(at, c.subscribeAt)
	}
	soonest := c.now + c.wakeInterval
	if msg, ok := c.expiries.Min(); ok {
		if at = min(at, msg.expiresAt); at <= c.now { // the rest of more than a batch
			soonest = c.now + time.Millisecond
		}
	}
	if c.batches.Len() > c.batches.Piece() {
		at = min(at, c.nextBatchAt)
	}
	if dest, ok := c.evaluations.Min(); ok {
		at = min(at, dest.evaluateAt)
	}
	if order, ok := c.settling.Min(); ok {
		at = min(at, order.settledAt)
	}
	if at == never {
		return
	}
	if at = max(at, soonest); c.wakeAt <= c.now || at < c.wakeAt {
		c.wakeAt = at
		c.emit(Wake{at - c.now})
	}
}
