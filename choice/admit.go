package choice

// Admission and final answers.

import (
	"math"
	"time"
)

const (
	// crowded is the part of the holding room above which the least worth is turned away.
	crowded = 0.9
	// leastShare and mostShare are what a destination may hold of the room that is left, for messages worth
	// nothing and for those worth most.
	leastShare, mostShare = 1.0, 4.0
	// displaces is how many times the worth of another a message has that takes its place in a crowded room.
	displaces = 2
)

// arrive takes a message on, or turns it away at once.
func (c *Chooser) arrive(e Arrival) {
	m := c.message(e)
	if why := c.tooMany(m); why != NoReason {
		c.act(Refuse{m.ID, c.comeBack(m.dest), why})
		return
	}
	c.hold(m)
}

// tooMany is why the holding room has no place for one more message, which is refused at the door.
// A destination may hold a multiple of the room that is left, the dynamic threshold of Choudhury and Hahne
// (1998): whatever its backlog some room stays, and the more destinations have one the smaller each share.
// What is worth more has a larger share, so that the cheap cannot shut it out. In a crowded room a message
// must be worth a good deal more than the one turned away for it, which has been taken on already.
func (c *Chooser) tooMany(m *message) Reason {
	d, room := m.dest, float64(c.set.MaxHeld)
	factor := leastShare + (mostShare-leastShare)*m.class.Worth/c.mostWorth
	switch {
	case room > 0 && float64(d.waits) >= factor*(room-float64(c.held)):
		return Share
	case float64(c.held+1) <= crowded*room || room == 0:
		return NoReason
	}
	if _, least := c.worst(); c.worth(m.class, c.now-m.born)/float64(d.waits+1) < displaces*least {
		return Crowded
	}
	return NoReason
}

// result takes in how an attempt ended.
func (c *Chooser) result(e Result) {
	m := c.msgs[e.ID]
	if m == nil || m.call == nil {
		return
	}
	k, h, u, d := m.call, m.call.host, m.call.host.unit, m.dest
	c.settle(d)
	c.touch(d)
	u.waitUntil = max(u.waitUntil, c.now+e.Wait) // it binds with any outcome
	m.call, m.last = nil, h
	k.members = remove(k.members, m)
	if c.report(k, e); len(k.members) == 0 {
		c.busy, d.out, h.out = c.busy-1, d.out-1, h.out-1
		u.outs = remove(u.outs, k)
	}
	if r := c.set.ReportLimit; r >= 0 && r < len(e.Report) && e.Report[r] > 0 {
		u.listed = e.Report[r]
	}
	switch e.Outcome {
	case Served:
		d.table.Add(e.Took)
		c.pool.Add(e.Took)
		if e.Took <= d.table.Edge() {
			d.backoff = 0
		}
		h.fails, h.spoilt = 0, 0
		if d.refused > 0 {
			*d.luck += (1 - *d.luck) / 16
		}
		d.refused = 0
		c.served(u, d, e.Took)
	case Refused:
		c.refused(u, d, e.Wait)
	case Error, Reset:
		c.failed(h, e.Outcome)
	case Spoilt: // it guards against holding stray noise for an outage: the host did answer
		if h.spoilt++; h.spoilt > outage {
			c.failed(h, Error)
		}
	case Timeout, Cancelled:
		d.table.CutShort()
		if u.lastServed < k.sent {
			d.backoff++
			if e.Took >= c.patience(d) {
				c.failed(h, e.Outcome)
			}
		}
	case NoConnection:
		d.table.CutShort()
		c.failed(h, e.Outcome)
	}
	sure := e.Outcome == Served || e.Outcome == Refused || e.Outcome == NoConnection || e.Outcome == NotSent
	if !sure {
		if m.unsure = c.now; !m.ran {
			m.ran, m.ranAt, m.ranZone = true, k.sent, h.Zone
		}
	}
	switch {
	case e.Done || m.over:
		c.end(m)
	case c.spent(m):
		c.final(m, c.whySpent(m))
	default:
		c.queue(m)
	}
}

// repeatable tells whether the effect of a message allows one more send now.
func (c *Chooser) repeatable(m *message) bool {
	return !m.ran || m.class.Effect == Safe || m.class.Effect == Keyed && c.now < c.windowEnd(m)
}

func (c *Chooser) windowEnd(m *message) time.Duration {
	if !m.ran {
		return c.now + m.class.Window
	}
	return m.ranAt + m.class.Window
}

// endAt is when a message that waits is answered, come what may.
func (c *Chooser) endAt(m *message) time.Duration {
	at := m.due - margin*c.set.Tick - c.nap
	if m.ran && m.class.Effect == Keyed {
		at = min(at, c.windowEnd(m))
	}
	return at
}

// mayShed tells whether a message that waits may be turned away: with no harm, and with no first try owed.
func (m *message) mayShed() bool { return !m.owed() && (!m.ran || m.class.Effect == Safe) }

// tied tells whether a message may go to the zone of its last attempt only.
func (m *message) tied() bool { return m.ran && m.class.Effect == Keyed && m.class.SameZone }

// final answers a message that is not out: refused where that is lawful, else failed.
func (c *Chooser) final(m *message, why Reason) {
	if !m.ran || m.class.Effect == Safe || m.class.Effect == Keyed && !m.class.SameZone {
		c.act(Refuse{m.ID, c.comeBack(m.dest), why})
	} else {
		c.act(Fail{m.ID, why})
	}
	c.end(m)
}

// end frees a message; one that is out keeps its record, and its key, until its outcome.
func (c *Chooser) end(m *message) {
	if !m.over {
		m.over = true
		c.held--
		c.dequeue(m)
	}
	if m.call != nil {
		return
	}
	delete(c.msgs, m.ID)
	if l := c.lines[m.Key]; l != nil && m.class.Ordered {
		l.queue.Remove(m)
		if m.unsure >= 0 {
			l.rest = max(l.rest, m.unsure+c.set.Rules.OrderSettle)
		}
		c.advance(l)
	}
}

// worth of a message of a class if it is served at an age.
func (c *Chooser) worth(k *Class, age time.Duration) float64 {
	if age >= k.Deadline {
		return 0
	}
	if age <= k.Aim {
		return k.Worth
	}
	late := (age - k.Aim).Seconds()
	if c.set.Halving {
		return k.Worth * max(k.LateShare, math.Exp2(-late/k.Aim.Seconds()))
	}
	return k.Worth * (1 - (1-k.LateShare)*late/(k.Deadline-k.Aim).Seconds())
}

// answer ends messages whose time is up, a piece in a Step; the first of more than that a while before it.
func (c *Chooser) answer() {
	sooner := c.sooner()
	for n := range c.pieces.Piece() {
		m, ok := c.ends.Min()
		if !ok || m.endAt > c.now && n >= sooner {
			return
		}
		c.final(m, c.whyOver(m))
	}
}

// shed turns messages away while the holding room is crowded.
func (c *Chooser) shed() {
	for c.set.MaxHeld > 0 && float64(c.held) > crowded*float64(c.set.MaxHeld) {
		m, _ := c.worst()
		if m == nil {
			return
		}
		c.final(m, Crowded)
	}
}

// worst is the message to be turned away first, and its worth, spread over all that wait with it: of each
// class the oldest at the destination where most messages wait, and of these the least.
func (c *Chooser) worst() (worst *message, least float64) {
	least = math.Inf(1)
	for k, crowd := range c.crowds {
		d, ok := crowd.Min()
		if !ok {
			continue
		}
		m := c.oldest(d, k)
		if w := c.worth(m.class, c.now-m.born) / float64(d.waits); w < least {
			least, worst = w, m
		}
	}
	return worst, least
}
