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

func (c *Chooser) makeOrders() {
	c.ready = queue.NewHeap(func(a, b *dest) bool { return cmp.Or(byTurn(a.turn, b.turn), cmp.Compare(a.id, b.id)) < 0 },
		func(d *dest) *queue.Place { return &d.readyPlace })
	c.soon = queue.NewHeap(func(a, b *dest) bool { return cmp.Or(cmp.Compare(a.lookAt, b.lookAt), cmp.Compare(a.id, b.id)) < 0 },
		func(d *dest) *queue.Place { return &d.lookPlace })
	c.ends = queue.NewHeap(func(a, b *message) bool { return byEnd(a, b) < 0 },
		func(m *message) *queue.Place { return &m.endPlace })
	c.resting = queue.NewHeap(func(a, b *line) bool { return cmp.Or(cmp.Compare(a.rest, b.rest), cmp.Compare(a.key, b.key)) < 0 },
		func(l *line) *queue.Place { return &l.place })
	c.moreClasses()
}

// moreClasses makes room for classes that have come.
func (c *Chooser) moreClasses() {
	for k := len(c.crowds); k < len(c.set.Classes); k++ {
		c.crowds = append(c.crowds, queue.NewHeap(func(a, b *dest) bool { return byCrowd(a, b) < 0 },
			func(d *dest) *queue.Place { return &d.cheap[k].place }))
		for _, d := range c.dests {
			d.cheap = append(d.cheap, shed{})
		}
	}
}

func (c *Chooser) newDest(id int) *dest {
	return &dest{id: id, kind: Kind{PerCall: 1}, luck: &c.luck[0], since: never, lookAt: never,
		table: oracle.New(c.bound/oracle.Buckets, restartCost), cheap: make([]shed, len(c.set.Classes))}
}

func newLine(key string) *line {
	return &line{key: key, queue: queue.NewSorted(func(a, b *message) bool { return a.number < b.number })}
}

func byEnd(a, b *message) int {
	return cmp.Or(cmp.Compare(a.endAt, b.endAt), cmp.Compare(a.queued, b.queued))
}

func byCrowd(a, b *dest) int { return cmp.Or(cmp.Compare(b.crowd, a.crowd), cmp.Compare(a.id, b.id)) }

func byDue(a, b *message) bool {
	return a.due < b.due || a.due == b.due && a.queued < b.queued
}

// within is the oldest message of a group that is at most so old, past the youngest that is older. Of those
// of one age it is the one that has waited longest.
func (c *Chooser) within(g *group, age time.Duration) (*message, bool) {
	c.pivot.due = c.now + c.set.Classes[g.class].Deadline - age
	return g.messages.From(&c.pivot)
}

func (c *Chooser) past(g *group, age time.Duration) (*message, bool) {
	c.pivot.due = c.now + c.set.Classes[g.class].Deadline - age
	m, ok := g.messages.Before(&c.pivot)
	if ok {
		c.pivot.due = m.due
		m, _ = g.messages.From(&c.pivot)
	}
	return m, ok
}

// oldest of the messages of a class that may be turned away; nil if there is none.
func (c *Chooser) oldest(d *dest, class int) *message {
	var first *message
	for _, g := range d.groups {
		if g.class != class || g.owed || g.ran && c.set.Classes[class].Effect != Safe {
			continue
		}
		if m, ok := g.messages.Min(); ok && (first == nil || byDue(m, first)) {
			first = m
		}
	}
	return first
}

// message makes one of an arrival.
func (c *Chooser) message(e Arrival) *message {
	e.Class = min(max(e.Class, 0), len(c.set.Classes)-1)
	k := &c.set.Classes[e.Class]
	due := c.now + e.Left
	return &message{Arrival: e, class: k, dest: c.dest(e.Dest), due: due, born: due - k.Deadline, unsure: -1}
}

// hold takes a message on.
func (c *Chooser) hold(m *message) {
	c.msgs[m.ID] = m
	c.held++
	if m.class.Ordered && m.Key != "" {
		l := c.lines[m.Key]
		if l == nil {
			l = newLine(m.Key)
			c.lines[m.Key] = l
		}
		c.number++
		m.number = c.number
		l.queue.Add(m)
	}
	c.queue(m)
}

// queue lets a message wait for its next try.
func (c *Chooser) queue(m *message) {
	d := m.dest
	c.queued++
	m.queued, m.endAt = c.queued, c.endAt(m)
	if d.waits++; d.waits == 1 {
		d.since = max(c.now, d.pauseUntil)
	}
	c.ends.Set(m)
	c.pieces.Add(m.endAt)
	c.pieceAt = min(c.pieceAt, c.now+c.nap)
	c.join(m)
	c.recrowd(d)
}

// dequeue ends the waiting of a message; one that does not wait does nothing.
func (c *Chooser) dequeue(m *message) {
	if m.group == nil {
		return
	}
	d := m.dest
	c.settle(d)
	d.waits--
	c.ends.Remove(m)
	c.pieces.Remove(m.endAt)
	c.leave(m)
	c.recrowd(d)
	if d.waits == 0 {
		d.since = never
	}
}

// owed tells whether a message is still owed its first try from before a restart.
func (m *message) owed() bool { return m.found && m.attempts == 0 }

// ahead is what a message gains on others of its destination: those owed a try from before a restart go first. They have
// waited while nobody could send them, and by the loss of waiting alone, which is little once the aim has passed,
// most of them would wait behind what comes in until their time is up.
func (c *Chooser) ahead(m *message) float64 {
	if m.owed() {
		return c.mostWorth
	}
	return 0
}

// sooner is how many messages have to be answered before their time is up, as more fall due together than can be
// told at once.
func (c *Chooser) sooner() (must int) {
	if c.now >= c.pieceAt {
		must, c.pieceAt = c.pieces.Look(c.now)
	}
	return must
}

// join puts a message that waits into its group.
func (c *Chooser) join(m *message) {
	d, of := m.dest, groupKey{class: m.Class, zone: anyZone, ran: m.ran, turn: c.hasTurn(m), owed: m.owed()}
	if m.tied() {
		of.zone = m.ranZone
	}
	i := slices.IndexFunc(d.groups, func(g *group) bool { return g.groupKey == of })
	if i < 0 {
		i = len(d.groups)
		d.groups = append(d.groups, &group{of, queue.NewSorted(byDue)})
	}
	m.group = d.groups[i]
	m.group.messages.Add(m)
	if m.mayShed() {
		d.cheap[m.Class].count++
	}
	c.touch(d)
}

func (c *Chooser) leave(m *message) {
	d := m.dest
	m.group.messages.Remove(m)
	if m.group = nil; m.mayShed() {
		d.cheap[m.Class].count--
	}
	c.touch(d)
}

// touch has a destination looked at: something has happened that may change what is sent to it.
func (c *Chooser) touch(d *dest) {
	if !d.changed {
		d.changed = true
		c.changed = append(c.changed, d)
	}
}

// place puts a destination where it belongs in the orders of turns and of looks, after a look.
func (c *Chooser) place(d *dest, ready bool, turn turnKey, lookAt time.Duration) {
	d.changed = false
	if c.set.Granted {
		lookAt = min(lookAt, c.want(d))
	}
	if d.turn = turn; ready {
		c.ready.Set(d)
	} else {
		c.ready.Remove(d)
	}
	if d.lookAt = lookAt; lookAt < never {
		c.soon.Set(d)
	} else {
		c.soon.Remove(d)
	}
}

// recrowd puts a destination where it belongs in the orders of crowds.
func (c *Chooser) recrowd(d *dest) {
	if c.set.MaxHeld == 0 {
		return
	}
	d.crowd = d.waits
	for k, crowd := range c.crowds {
		if d.cheap[k].count > 0 {
			crowd.Set(d)
		} else {
			crowd.Remove(d)
		}
	}
}

// pause holds a destination back until a time.
func (c *Chooser) pause(d *dest, until time.Duration) {
	if d.pauseUntil = until; d.waits > 0 {
		d.since = max(c.now, until)
	}
}

// wake asks to be woken when something changes by the passing of time alone, no sooner than a nap from now.
func (c *Chooser) wake() {
	at := min(c.watchAt, c.lapseAt)
	if c.askAt >= 0 {
		at = min(at, c.askAt)
	}
	soonest := c.now + c.nap
	if m, ok := c.ends.Min(); ok {
		if at = min(at, m.endAt); at <= c.now { // the rest of more than a piece
			soonest = c.now + time.Millisecond
		}
	}
	if c.pieces.Len() > c.pieces.Piece() {
		at = min(at, c.pieceAt)
	}
	if d, ok := c.soon.Min(); ok {
		at = min(at, d.lookAt)
	}
	if l, ok := c.resting.Min(); ok {
		at = min(at, l.rest)
	}
	if at == never {
		return
	}
	if at = max(at, soonest); c.wakeAt <= c.now || at < c.wakeAt {
		c.wakeAt = at
		c.act(Wake{at - c.now})
	}
}
