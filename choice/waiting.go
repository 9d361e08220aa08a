package choice

// The messages that wait and the destinations that could be sent to, each in an order in which a decision
// finds what it needs at once. This file keeps the orders true; it decides nothing.

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/choice/oracle"
	"larchrouter/internal/relay/queue"
)

func (c *Chooser) initOrders() {
	c.ready = queue.NewHeap(func(a, b *destination) bool {
		return cmp.Or(compareSendOrder(a.sendOrder, b.sendOrder), cmp.Compare(a.id, b.id)) < 0
	},
		func(dest *destination) *queue.Place { return &dest.readyIndex })
	c.evaluations = queue.NewHeap(func(a, b *destination) bool {
		return cmp.Or(cmp.Compare(a.evaluateAt, b.evaluateAt), cmp.Compare(a.id, b.id)) < 0
	},
		func(dest *destination) *queue.Place { return &dest.evaluationIndex })
	c.expiries = queue.NewHeap(func(a, b *message) bool { return compareExpiry(a, b) < 0 },
		func(msg *message) *queue.Place { return &msg.expiryIndex })
	c.settling = queue.NewHeap(func(a, b *keyOrder) bool {
		return cmp.Or(cmp.Compare(a.settledAt, b.settledAt), cmp.Compare(a.key, b.key)) < 0
	},
		func(order *keyOrder) *queue.Place { return &order.settleIndex })
	c.addShedOrders()
}

// moreClasses makes room for classes that have come.
func (c *Chooser) addShedOrders() {
	for class := len(c.shedOrders); class < len(c.cfg.Classes); class++ {
		c.shedOrders = append(c.shedOrders, queue.NewHeap(func(a, b *destination) bool { return compareShedBacklog(a, b) < 0 },
			func(dest *destination) *queue.Place { return &dest.sheddable[class].index }))
		for _, dest := range c.destinations {
			dest.sheddable = append(dest.sheddable, sheddableCount{})
		}
	}
}

func (c *Chooser) newDestination(id int) *destination {
	return &destination{id: id, kind: Kind{PerCall: 1}, retrySuccess: &c.retrySuccess[0], demandSince: never, evaluateAt: never,
		latencies: oracle.New(c.maxTimeout/oracle.Buckets, restartCost), sheddable: make([]sheddableCount, len(c.cfg.Classes))}
}

func newKeyOrder(key string) *keyOrder {
	return &keyOrder{key: key, messages: queue.NewSorted(func(a, b *message) bool { return a.keySequence < b.keySequence })}
}

func compareExpiry(a, b *message) int {
	return cmp.Or(cmp.Compare(a.expiresAt, b.expiresAt), cmp.Compare(a.queueSequence, b.queueSequence))
}

func compareShedBacklog(a, b *destination) int {
	return cmp.Or(cmp.Compare(b.shedBacklog, a.shedBacklog), cmp.Compare(a.id, b.id))
}

func earlierDeadline(a, b *message) bool {
	return a.deadline < b.deadline || a.deadline == b.deadline && a.queueSequence < b.queueSequence
}

// within is the oldest message of a group that is at most so old, past the youngest that is older. Of those
// of one age it is the one that has waited longest.
func (c *Chooser) oldestWithin(group *messageGroup, age time.Duration) (*message, bool) {
	c.searchPivot.deadline = c.now + c.cfg.Classes[group.class].Deadline - age
	return group.messages.From(&c.searchPivot)
}

func (c *Chooser) youngestPast(group *messageGroup, age time.Duration) (*message, bool) {
	c.searchPivot.deadline = c.now + c.cfg.Classes[group.class].Deadline - age
	msg, ok := group.messages.Before(&c.searchPivot)
	if ok {
		c.searchPivot.deadline = msg.deadline
		msg, _ = group.messages.From(&c.searchPivot)
	}
	return msg, ok
}

// oldest of the messages of a class that may be turned away; nil if there is none.
func (c *Chooser) oldestSheddable(dest *destination, class int) *message {
	var first *message
	for _, group := range dest.groups {
		if group.class != class || group.owedFirstAttempt || group.mayHaveRun && c.cfg.Classes[class].Effect != Safe {
			continue
		}
		if msg, ok := group.messages.Min(); ok && (first == nil || earlierDeadline(msg, first)) {
			first = msg
		}
	}
	return first
}

// message makes one of an arrival.
func (c *Chooser) newMessage(arrival Arrival) *message {
	arrival.Class = min(max(arrival.Class, 0), len(c.cfg.Classes)-1)
	class := &c.cfg.Classes[arrival.Class]
	due := c.now + arrival.Left
	return &message{Arrival: arrival, class: class, dest: c.destination(arrival.Dest), deadline: due, createdAt: due - class.Deadline, uncertainAt: -1}
}

// hold takes a message on.
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

// queue lets a message wait for its next try.
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

// dequeue ends the waiting of a message; one that does not wait does nothing.
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

// owed tells whether a message is still owed its first try from before a restart.
func (m *message) owedFirstAttempt() bool { return m.restoredUntried && m.attempts == 0 }

// ahead is what a message gains on others of its destination: those owed a try from before a restart go first. They have
// waited while nobody could send them, and by the loss of waiting alone, which is little once the aim has passed,
// most of them would wait behind what comes in until their time is up.
func (c *Chooser) priorityBonus(msg *message) float64 {
	if msg.owedFirstAttempt() {
		return c.maxValue
	}
	return 0
}

// sooner is how many messages have to be answered before their time is up, as more fall due together than can be
// told at once.
func (c *Chooser) dueEarly() (count int) {
	if c.now >= c.nextBatchAt {
		count, c.nextBatchAt = c.batches.Look(c.now)
	}
	return count
}

// join puts a message that waits into its group.
func (c *Chooser) joinGroup(msg *message) {
	dest, key := msg.dest, groupKey{class: msg.Class, zone: anyZone, mayHaveRun: msg.mayHaveRun, keyAllows: c.keyAllows(msg), owedFirstAttempt: msg.owedFirstAttempt()}
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

func (c *Chooser) leaveGroup(msg *message) {
	dest := msg.dest
	msg.group.messages.Remove(msg)
	if msg.group = nil; msg.sheddable() {
		dest.sheddable[msg.Class].count--
	}
	c.markDirty(dest)
}

// touch has a destination looked at: something has happened that may change what is sent to it.
func (c *Chooser) markDirty(dest *destination) {
	if !dest.dirty {
		dest.dirty = true
		c.dirty = append(c.dirty, dest)
	}
}

// place puts a destination where it belongs in the orders of turns and of looks, after a look.
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

// recrowd puts a destination where it belongs in the orders of crowds.
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

// pause holds a destination back until a time.
func (c *Chooser) backOff(dest *destination, until time.Duration) {
	if dest.backoffUntil = until; dest.queued > 0 {
		dest.demandSince = max(c.now, until)
	}
}

// wake asks to be woken when something changes by the passing of time alone, no sooner than a nap from now.
func (c *Chooser) requestWake() {
	at := min(c.watchAt, c.nextGrantExpiry)
	if c.subscribeAt >= 0 {
		at = min(at, c.subscribeAt)
	}
	soonest := c.now + c.wakeInterval
	if msg, ok := c.expiries.Min(); ok {
		if at = min(at, msg.expiresAt); at <= c.now { // the rest of more than a piece
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
