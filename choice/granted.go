package choice

// Calls on grants: what this relay could use of them is told, those that it has are kept until they are used or
// lapse, and what became of each is told. Which call goes on one is decided where it ever was.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// lookAgain is how often a want is looked at again while it waits: messages grow old.
const lookAgain = 250 * time.Millisecond

// grant is leave for one call.
type grant struct {
	id    uint32
	until time.Duration
	worst Outcome // of the call's messages so far
	ended bool    // one of them has ended
	wait  time.Duration
}

// granted takes in a grant. One for a route that is not known is given back.
func (c *Chooser) granted(e Granted) {
	d := c.dests[e.Dest]
	at := -1
	if d != nil {
		at = slices.IndexFunc(d.units, func(u *unit) bool { return u.key == e.Route })
	}
	if at < 0 {
		c.act(Spent{Dest: e.Dest, Route: e.Route, Grant: e.Grant, Outcome: NotSent})
		return
	}
	u := d.units[at]
	if e.Well && u.state != healthy && !slices.ContainsFunc(d.hosts, func(h *host) bool { return h.unit == u && c.now < h.retryAt }) {
		u.state, u.since, u.risky, u.errors, u.recent, u.bad = healthy, c.now, false, false, 0, 0
		c.act(Health{u.name, false, 0})
	}
	u.grants = append(u.grants, grant{id: e.Grant, until: c.now + e.For})
	c.lapseAt = min(c.lapseAt, c.now+e.For)
	c.touch(d)
}

// leaveAt is when a call may go to a unit that may be sent to from a time: then if there is a grant for it.
func (u *unit) leaveAt(at time.Duration) time.Duration {
	if len(u.grants) > 0 {
		return at
	}
	return never
}

// lapse gives back the grants that were not used in time.
func (c *Chooser) lapse() {
	if c.now < c.lapseAt {
		return
	}
	c.lapseAt = never
	for _, id := range slices.Sorted(maps.Keys(c.dests)) { // the same events give the same actions
		d := c.dests[id]
		for _, u := range d.units {
			u.grants = slices.DeleteFunc(u.grants, func(g grant) bool {
				if c.now < g.until {
					c.lapseAt = min(c.lapseAt, g.until)
					return false
				}
				c.act(Spent{Dest: d.id, Route: u.key, Grant: g.id, Outcome: NotSent})
				c.touch(d)
				return true
			})
		}
	}
}

// spend has a call go on the grant that lapses first.
func (c *Chooser) spend(k *call) {
	if u := k.host.unit; len(u.grants) > 0 {
		g := u.grants[0]
		u.grants = slices.Delete(u.grants, 0, 1)
		k.leave = &g
	}
}

// report takes in how one message of a call ended, and tells of the call once all have. It was served if one of
// them was.
func (c *Chooser) report(k *call, e Result) {
	g := k.leave
	if e.Outcome == Served || e.Outcome == Refused {
		k.host.endedAt = c.now
	}
	if g == nil {
		return
	}
	if !g.ended || e.Outcome == Served {
		g.worst = e.Outcome
	}
	g.ended, g.wait = true, max(g.wait, e.Wait)
	if len(k.members) == 0 {
		u := k.host.unit
		c.act(Spent{Dest: k.host.dest.id, Route: u.key, Grant: g.id, Outcome: g.worst, Took: e.Took, Wait: g.wait})
	}
}

// want works out what could go to a destination, and when to do so again.
func (c *Chooser) want(d *dest) (again time.Duration) {
	w := Want{Dest: d.id}
	again = never
	if d.waits > 0 && c.now >= d.since {
		again = c.now + lookAgain
		var open []*host
		for _, h := range d.hosts {
			if at := max(h.unit.waitUntil, h.unit.pauseUntil); h.State == Ready && at > c.now {
				again = min(again, at)
			} else if h.State == Ready && slices.ContainsFunc(d.groups, func(g *group) bool { return c.fits(g, h) }) {
				open = append(open, h)
			}
		}
		if m := c.best(d, open); m != nil {
			slices.SortStableFunc(open, func(a, b *host) int { return cmp.Compare(c.cost(m, a), c.cost(m, b)) })
			live := 0
			for _, h := range open {
				if !slices.Contains(w.Routes, h.unit.key) {
					w.Routes = append(w.Routes, h.unit.key)
					live += len(h.unit.grants)
				}
			}
			w.Calls = max(0, min(c.set.Workers, (d.waits+d.kind.PerCall-1)/d.kind.PerCall)-live)
			// Between worth and one for each message: the worst-served class counts for itself as well.
			w.Value = math.Sqrt(c.worth(m.class, c.now-m.born)+c.ahead(m)) * float64(min(d.waits, d.kind.PerCall))
		}
	}
	if w.Calls == 0 {
		w.Value, w.Routes = 0, nil
	}
	if w.Calls == d.wanted.Calls && slices.Equal(w.Routes, d.wanted.Routes) &&
		math.Abs(w.Value-d.wanted.Value) <= 0.1*d.wanted.Value {
		return again
	}
	if d.wanted = w; !d.wanting {
		d.wanting, c.wanting = true, append(c.wanting, d)
	}
	return again
}

// fits tells whether a message of a group may go to a host by all but grants and waits.
func (c *Chooser) fits(g *group, h *host) bool {
	oldest, ok := g.messages.Min()
	return ok && g.turn && c.now-oldest.born > c.fitAge(g, h)
}

// ask tells the wants that have changed; while all slots are taken it waits, as a grant could not be used.
func (c *Chooser) ask() {
	if !c.set.Granted || c.busy >= c.set.Workers {
		return
	}
	for _, d := range c.wanting {
		d.wanting = false
		c.act(d.wanted)
	}
	c.wanting = c.wanting[:0]
}
