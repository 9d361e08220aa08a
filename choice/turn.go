package choice

// The turn: what goes next, and where.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// aside is the share of worth by which a host that just failed, or is not yet well, comes later.
const aside = 0.02

// anyAge is past by any age.
const anyAge = -never

// turn fills the free slots: the destination with the fewest calls out goes first.
func (c *Chooser) turn() {
	for d, ok := c.soon.Min(); ok && d.lookAt <= c.now; d, ok = c.soon.Min() {
		c.soon.Remove(d)
		c.touch(d)
	}
	for _, d := range c.changed {
		c.look(d)
	}
	c.changed = c.changed[:0]
	most := max(1, (3*c.set.Workers+3)/4-1)
	half := max(1, c.set.Workers/2)
	var full []*dest
	for c.busy < c.set.Workers {
		d, ok := c.ready.Min()
		last := len(full) - 1
		if !ok && last >= 0 && full[last].out < most { // all others have sent what they could
			c.ready.Set(full[last])
			full = full[:last]
			continue
		}
		if !ok {
			break
		}
		top := most
		if c.ready.Len() > 1 {
			top = half
		}
		switch {
		case d.out >= top:
			c.ready.Remove(d)
			full = append(full, d)
		case c.sendOne(d):
			c.look(d)
		default: // it guards against asking for ever: what was ready can be sent
			c.ready.Remove(d)
		}
	}
	c.changed = c.changed[:0] // those sent to have been looked at
	if c.set.Cancels && c.busy >= c.set.Workers && c.ready.Len()+len(full) > 0 {
		c.callOff()
	}
	for _, d := range full {
		c.ready.Set(d)
	}
}

// byTurn is the order of destinations that could be sent to. Trials go last, lest a small relay's slots fill
// with calls that may hang; those long due do not.
func byTurn(a, b turnKey) int {
	if a.trial != b.trial {
		if b.trial {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.out, b.out), cmp.Compare(a.lastTurn, b.lastTurn))
}

// look finds out whether a destination may be sent to now, and when that may change by itself.
func (c *Chooser) look(d *dest) {
	if d.waits == 0 || c.now < d.since {
		c.place(d, false, turnKey{}, d.since)
		return
	}
	c.settle(d)
	ready, again, trial := false, never, never
	for _, h := range d.hosts {
		if h.State != Ready {
			continue
		}
		if at := c.roomAt(h.unit); at > c.now {
			again = min(again, at)
			continue
		}
		for _, g := range d.groups {
			if m, ok := g.messages.Min(); ok && g.turn {
				if age := c.fitAge(g, h); c.now-m.born > age {
					ready = true
				} else if age < never {
					again = min(again, m.born+age+1)
				}
			}
		}
	}
	for _, u := range d.units {
		if u.state != suspect {
			trial = c.now
			break
		}
		trial = min(trial, u.trialAt+c.set.Rules.Fall+1)
	}
	if ready && trial > c.now {
		again = min(again, trial)
	}
	c.place(d, ready, turnKey{trial > c.now, d.out, d.lastTurn}, again)
}

// callOff frees a slot while all are taken and a message waits for one: the oldest call out beyond its
// destination's patience, twice that if the unit has served others since, and as often as it was tried, so
// that slow ones are served in the end. It guards against calls that nobody will answer. An unsafe message
// is lost by it: twice the patience while such calls hold no more than half of the slots. Half the room
// taken halves the patience.
func (c *Chooser) callOff() {
	var stuck []*call
	for _, d := range c.calling {
		for _, u := range d.units {
			for _, k := range u.outs {
				if k.off {
					return // one at a time
				}
				patience := c.patience(d)
				if c.set.MaxHeld > 0 && 2*c.held > c.set.MaxHeld {
					patience /= 2
				}
				if u.lastServed >= k.sent {
					patience *= 2
				}
				patience *= time.Duration(k.members[0].attempts)
				if c.now-k.sent > patience {
					stuck = append(stuck, k)
				} else {
					c.watchAt = min(c.watchAt, k.sent+patience+1)
				}
			}
		}
	}
	slices.SortFunc(stuck, func(a, b *call) int { return cmp.Compare(a.number, b.number) })
	for _, k := range stuck {
		unsafe := slices.ContainsFunc(k.members, func(m *message) bool { return m.class.Effect == Unsafe })
		late := k.sent + 2*c.patience(k.host.dest)
		if unsafe && 2*len(stuck) <= c.set.Workers && c.now < late {
			c.watchAt = min(c.watchAt, late)
			continue
		}
		k.off = true
		for _, m := range k.members {
			c.act(Cancel{m.ID, m.attempts - 1})
		}
		return
	}
}

// sendOne sends the best message of a destination, and others along in the same call.
func (c *Chooser) sendOne(d *dest) bool {
	c.settle(d)
	m, h := c.pick(d)
	if m == nil {
		return false
	}
	u := h.unit
	c.calls++
	k := &call{number: c.calls, host: h, sent: c.now}
	c.busy, d.out, h.out, d.lastTurn = c.busy+1, d.out+1, h.out+1, c.now
	if !d.calling {
		d.calling, c.calling = true, append(c.calling, d)
	}
	old, _ := slices.BinarySearch(u.sends, c.now-max(c.set.Rules.Cold, time.Second))
	u.outs, u.sends = append(u.outs, k), append(u.sends[old:], c.now)
	u.tokens--
	if u.state == suspect {
		u.trialAt = c.now + c.patience(d)<<min(u.trials, 4) + c.gap(u)
	}
	c.spend(k)
	c.send(m, k)
	for len(k.members) < d.kind.PerCall && u.state != suspect {
		m := c.best(d, append(c.open[:0], h))
		if m == nil {
			break
		}
		c.send(m, k)
	}
	if len(k.members) > 1 {
		u.sends = append(u.sends, c.now) // further messages weigh a little: counted as one more call
	}
	c.watchFrom(max(k.sent, u.lastServed), d)
	return true
}

func (c *Chooser) send(m *message, k *call) {
	m.timeout = c.timeout(m, k.host.unit)
	c.dequeue(m)
	m.attempts++
	m.call = k
	k.members = append(k.members, m)
	c.act(Send{m.ID, k.host.Addr, m.timeout})
}

// fitAge is the age that messages of a group must be past to go to a host, room in its unit apart; never if
// none may go there.
func (c *Chooser) fitAge(g *group, h *host) time.Duration {
	if h.State != Ready || g.zone != anyZone && g.zone != h.Zone {
		return never
	}
	// What cannot be repeated is kept from a unit whose failures may have run until it has served
	// a few, unless its own time runs short.
	u, k := h.unit, &c.set.Classes[g.class]
	proven := u.state == healthy || !u.risky || u.state == recovering && (!u.errors || u.streak >= history)
	if proven || k.Effect != Unsafe {
		return anyAge
	}
	return k.Deadline - k.Deadline/4
}

// loss is what a message of a class loses if it waits a while longer at an age. It is nothing up to the aim,
// then rises until the aim has passed, then falls or stays; where the deadline comes into reach it is all
// that is left, which falls again.
func (c *Chooser) loss(k *Class, age, wait time.Duration) float64 {
	if !c.set.Halving && age > k.Aim && age+wait < k.Deadline {
		return k.Worth * (1 - k.LateShare) * wait.Seconds() / (k.Deadline - k.Aim).Seconds()
	}
	return c.worth(k, age) - c.worth(k, age+wait)
}

// best is the message that loses most by waiting, among those that may go to one of some hosts. Within a
// group it is next to an age at which the course of the loss changes.
func (c *Chooser) best(d *dest, hosts []*host) *message {
	rate := 0.0
	for _, u := range d.units {
		rate += u.served
	}
	wait := c.minAim
	if rate > 0 {
		wait = time.Duration(min(float64(d.waits)/rate, 1e9) * float64(time.Second))
	}
	wait = min(max(wait, c.minAim/8), 4*c.bound)
	var best *message
	most := math.Inf(-1)
	consider := func(m *message, from time.Duration) {
		if c.now-m.born <= from {
			return
		}
		loss := c.loss(m.class, c.now-m.born, wait) + c.ahead(m)
		if best == nil || loss > most || loss == most && byDue(m, best) {
			best, most = m, loss
		}
	}
	for _, g := range d.groups {
		oldest, ok := g.messages.Min()
		from := never
		for _, h := range hosts {
			from = min(from, c.fitAge(g, h))
		}
		if !ok || !g.turn || c.now-oldest.born <= from {
			continue
		}
		consider(oldest, from)
		k := &c.set.Classes[g.class]
		for _, age := range [...]time.Duration{
			max(from, -k.Deadline), k.Aim - wait, k.Aim, k.Deadline - wait} {
			if m, ok := c.within(g, age); ok {
				consider(m, from)
			}
			if m, ok := c.past(g, age); ok {
				consider(m, from)
			}
		}
	}
	return best
}

// pick chooses a message of a destination and a host for it.
func (c *Chooser) pick(d *dest) (*message, *host) {
	c.open = c.open[:0]
	for _, h := range d.hosts {
		if h.State == Ready && c.roomAt(h.unit) <= c.now {
			c.open = append(c.open, h)
		}
	}
	m := c.best(d, c.open)
	var best *host
	least := math.Inf(1)
	for _, h := range c.open {
		if m != nil && c.now-m.born > c.fitAge(m.group, h) && c.cost(m, h) < least {
			best, least = h, c.cost(m, h)
		}
	}
	return m, best
}

// cost of a route in shares of worth: its fee, and what its pace and its calls out take of the aim.
func (c *Chooser) cost(m *message, h *host) float64 {
	u := h.unit
	cost := 0.0
	if m.dest.kind.Apart && h.Zone < len(c.set.ZoneFee) {
		cost += c.set.ZoneFee[h.Zone]
	}
	if c.thin(u) && !c.set.Granted {
		cost = cost/10 + h.liking/20
	}
	finish := u.pace * float64(h.out+1) / m.class.Aim.Seconds()
	cost += max(0, finish-0.25) + finish/100
	if c.set.Granted && !c.warm(h) {
		cost += c.set.Handshake
	}
	if h == m.last || u.state != healthy || h.fails > 0 {
		cost += aside
	}
	if c.now < h.retryAt {
		cost++
	}
	return cost
}
