// Package reference decides as package choice does, by looking at all that waits in every Step: the way in which
// it decided until its orders were built. It is the standard against which tests hold choice; nothing else
// uses it, and it is changed only where a decision of choice is meant to change.
//
// It differs from what it was in these points, for which docs/design/002-backlog.md gives the reasons: pace
// grows with time in demand and not with looks; it is brought up to date before a refusal cuts it; a silence
// counts when patience is up, not a tick later; destinations that have nothing they could send do not count
// as waiting; a loss that is equal is computed as equal; final answers come in the order of their time; what
// is turned away follows shares and crowds.
package reference

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// buckets is the paper's H; their bound is the longest aim.
	buckets = 100
	// minSamples before the oracle is heard: the 98% edge means nothing with fewer.
	minSamples = 30
	// memory in samples of a latency table. Twice H: it fills the tail's buckets and still relearns.
	memory = 200
	// wasted is the restart cost c in mean latencies: the attempt runs on, its successor waits behind it.
	wasted = 4.0
	// outage of the last history outcomes of a unit must have failed: one stray error is none.
	history, outage = 5, 2
	margin          = 4   // ticks between the last own look at a message and its deadline
	budgetShare     = 0.9 // of the rule's budget for a cold destination
	// cut of a unit's pace: a fifth on a refusal. grow is what it regains in a second without, and
	// search the same where no rate is listed.
	cut, grow, search = 0.8, 0.05, 0.07
	brisk             = 4 // calls a second from which pace is learnt by calls, not by seconds
	// aside is the share of worth by which a host that just failed, or is not yet well, comes later.
	aside  = 0.02
	glance = 200 // looks without news within the shortest aim
	// crowded is the part of the holding room above which the least worth is turned away.
	crowded = 0.9
)

// New returns a Chooser for one relay. Pauses are drawn from the seed.
func New(s Settings, seed uint64) (*Chooser, error) {
	c := &Chooser{set: s, minAim: math.MaxInt64, msgs: map[string]*message{}, dests: map[int]*dest{},
		hosts: map[string]*host{}, lines: map[string]*line{},
		rand: rand.New(rand.NewPCG(seed, 0)), pool: table{weight: 1}}
	for _, k := range s.Classes {
		c.bound, c.minAim = max(c.bound, k.Aim), min(c.minAim, k.Aim)
	}
	if !s.Subscribe {
		c.askAt = -1
	}
	c.pool.width = c.bound / buckets
	c.luck = slices.Repeat([]float64{0.5}, max(1, len(s.Kinds)))
	c.nap = max(s.Tick, c.minAim/glance)
	return c, nil
}

// Step takes in all that happened, then decides once.
func (c *Chooser) Step(now time.Duration, events []Event) []Action {
	c.now, c.acts = now, nil
	for _, e := range events {
		switch e := e.(type) {
		case Arrival:
			c.arrive(e, false)
		case Restored:
			c.restore(e)
		case Unwell:
			c.unwell(e)
		case Result:
			c.result(e)
		case Withdrawn:
			if m := c.msgs[e.ID]; m != nil && !m.over {
				c.end(m)
			}
		case Listing:
			c.list(e)
		}
	}
	if c.askAt >= 0 && now >= c.askAt {
		c.askAt = -1
		c.act(Subscribe{})
	}
	c.freeLines()
	c.live = slices.DeleteFunc(c.live, func(d *dest) bool {
		d.live = len(d.waiting) > 0 || d.out > 0
		return !d.live
	})
	c.watch()
	c.answer()
	c.shed()
	c.turn()
	at := now + c.nap
	if (c.held+c.busy > 0 || c.askAt >= 0) && (c.wakeAt <= now || at < c.wakeAt) {
		c.wakeAt = at
		c.act(Wake{After: at - now})
	}
	return c.acts
}

func (c *Chooser) act(a Action) { c.acts = append(c.acts, a) }

// list takes in news of the endpoint list.
func (c *Chooser) list(e Listing) {
	if e.Failed {
		c.askAt = c.now + time.Second
		return
	}
	if e.Whole {
		for _, h := range c.hosts {
			h.State = Gone
		}
	}
	for _, n := range e.Hosts {
		h := c.hosts[n.Addr]
		if h == nil && n.State == Gone {
			continue
		}
		c.settle(c.dest(n.Dest))
		if h == nil {
			d := c.dest(n.Dest)
			h = &host{dest: d, liking: c.rand.Float64()}
			c.hosts[n.Addr], d.hosts = h, append(d.hosts, h)
			if n.Kind >= 0 && n.Kind < len(c.set.Kinds) {
				d.kind, d.luck = c.set.Kinds[n.Kind], &c.luck[n.Kind]
			}
			if d.kind.Apart || len(d.units) == 0 {
				u := &unit{name: n.Addr, born: c.now - time.Second, lastServed: c.now - time.Second}
				if c.set.Fleet >= 16 && !c.set.Listed {
					u.limit, u.limitAt, u.tokens = 15/float64(c.set.Fleet), c.now, c.rand.Float64()
				}
				d.units = append(d.units, u)
			}
			h.unit = d.units[len(d.units)-1]
		}
		if h.Host = n; c.set.Listed && n.State == Ready {
			if h.unit.listed = n.Rate; h.unit.limit == 0 {
				h.unit.limit = n.Rate // all relays together may send no more, so neither may one
			}
		}
	}
	for _, d := range c.order {
		d.hosts = slices.DeleteFunc(d.hosts, func(h *host) bool {
			// A host that may come back keeps its wait, and what is known of its health.
			left := h.State == Gone && h.out == 0 && c.now >= h.unit.waitUntil &&
				(h.unit.state == healthy || c.now-h.unit.since > c.set.Rules.Cold)
			if left {
				delete(c.hosts, h.Addr)
			}
			if left && d.kind.Apart {
				d.units = remove(d.units, h.unit)
			}
			return left
		})
	}
	c.order = slices.DeleteFunc(c.order, func(d *dest) bool {
		idle := len(d.hosts) == 0 && len(d.waiting) == 0 && d.out == 0
		if idle {
			delete(c.dests, d.id)
		}
		return idle
	})
}

func (c *Chooser) dest(id int) *dest {
	d := c.dests[id]
	if d == nil {
		d = &dest{id: id, kind: Kind{PerCall: 1}, luck: &c.luck[0]}
		d.table = table{width: c.bound / buckets, weight: 1}
		c.dests[id] = d
		c.order = append(c.order, d)
	}
	return d
}

// The timeout oracle.

// table holds the latencies of one destination. Old samples fade: each new one weighs a
// little more than the one before it.
type table struct {
	width  time.Duration
	weight float64
	count  []float64     // N_i; made with the first sample
	sum    []float64     // N_i times M_i, seconds
	beyond float64       // N_tau
	total  float64       // samples, not faded
	edge   time.Duration // least-E edge, 0 for none
	high   time.Duration // edge below which 98% of the answers lie, 0 if unknown
	stale  bool
}

// add enters one served latency; cutShort one attempt that was given up at the bound.
func (t *table) add(took time.Duration) {
	i := int(took / t.width)
	if i < 0 || i >= buckets {
		t.cutShort()
		return
	}
	t.fade()
	if t.count == nil {
		t.count, t.sum = make([]float64, buckets), make([]float64, buckets)
	}
	t.count[i] += t.weight
	t.sum[i] += t.weight * took.Seconds()
}

func (t *table) cutShort() { t.fade(); t.beyond += t.weight }

func (t *table) fade() {
	t.total++
	t.stale = true
	if t.weight *= 1 + 1.0/memory; t.weight > 1e6 {
		for i := range t.count {
			t.count[i] /= t.weight
			t.sum[i] /= t.weight
		}
		t.beyond, t.weight = t.beyond/t.weight, 1
	}
}

// look brings edge and high up to date.
func (t *table) look() {
	if !t.stale || t.total < minSamples {
		return
	}
	t.stale = false
	served := 0.0
	for _, n := range t.count {
		served += n
	}
	all, cost := served+t.beyond, t.width.Seconds()
	if served > 0 {
		for _, s := range t.sum {
			cost += wasted * s / served
		}
	}
	f, m, best := 0.0, 0.0, math.Inf(1)
	t.edge, t.high = 0, 0
	for i := range t.count {
		f += t.count[i] / all
		m += t.sum[i] / all
		edge := time.Duration(i+1) * t.width
		if f <= 0 {
			continue
		}
		if e := m/f + (1-f)/f*(edge.Seconds()+cost); e < best {
			best, t.edge = e, edge
		}
		if t.high == 0 && f*all >= 0.98*served {
			t.high = edge
		}
	}
}

// patience is how long a call to a destination may stay unanswered before its silence means something.
func (c *Chooser) patience(d *dest) time.Duration {
	t, least := &d.table, c.minAim/8
	if t.total < minSamples {
		t, least = &c.pool, c.minAim/2
	}
	if t.look(); t.high == 0 {
		return c.minAim / 2
	}
	return min(max(2*t.high, least), c.bound)
}

// timeout for the next try of a message at a unit.
func (c *Chooser) timeout(m *message, u *unit) time.Duration {
	left := m.due - c.now
	if !c.repeatable(m) || m.attempts+1 >= c.set.MaxAttempts {
		return left
	}
	d := m.dest
	d.table.look()
	t := d.table.edge
	switch {
	case u.state == suspect:
		t = c.patience(d) << min(u.trials, 4)
	case t > 0 && len(d.waiting) > 1:
		// With a message waiting here a restart takes its place, and feeds an overload:
		// only calls that are very likely lost are given up.
		t = max(t, c.patience(d))
	}
	t <<= min(d.backoff, 4)
	if t == 0 {
		return left
	}
	t = max(t, m.timeout+d.table.width)
	restart := c.now + t + time.Duration(u.pace*float64(time.Second))
	if restart >= m.due || m.class.Effect == Keyed && restart >= c.windowEnd(m) {
		return left
	}
	return t
}

// Health, pacing and waits.

// bad takes in a failure or a refusal.
func (c *Chooser) bad(u *unit) {
	u.streak = 0
	u.bad++
	if u.state == suspect {
		u.trials++
		u.trialAt = c.now + c.gap(u)
	}
}

// failed takes in a failure. It is held against the host alone while another of its unit is well: that
// guards against the loss of one building, and of one machine among several.
func (c *Chooser) failed(h *host, o Outcome) {
	u, d := h.unit, h.dest
	h.fails++
	h.retryAt = c.now + min(c.set.Rules.Fall/8<<min(h.fails, 3), c.set.Rules.Fall/3)
	well := func(g *host) bool { return g.unit == u && g.State == Ready && g.fails == 0 }
	if slices.ContainsFunc(d.hosts, well) {
		return
	}
	c.bad(u)
	u.risky = u.risky || o != NoConnection
	u.errors = u.errors || o == Error
	u.note(true)
	alone := c.thin(u) && c.now-u.lastServed > c.set.Rules.Fall // nothing here speaks against an outage
	if u.state != suspect && (alone || bits.OnesCount(u.recent) >= outage) {
		c.suspect(u, d, "failures")
	}
}

// note remembers whether the last outcome was a failure.
func (u *unit) note(failed bool) {
	u.recent = u.recent << 1 & (1<<history - 1)
	if failed {
		u.recent |= 1
	}
}

// budget is this relay's share of the calls that the rule allows in its window, a while after a return.
func (c *Chooser) budget(u *unit, back time.Duration) float64 {
	rate := u.listed
	if rate == 0 {
		rate = u.base * float64(c.set.Fleet)
	}
	k := c.set.Rules
	share := min(1, k.ColdFrom+(1-k.ColdFrom)*back.Seconds()/k.Cold.Seconds())
	return budgetShare * k.OverloadFactor * share * rate * k.Fall.Seconds() / float64(c.set.Fleet)
}

// gap between trials, drawn by chance: it doubles up to a third of the rule's window, or to what leaves the
// trials of all relays within twice the budget of a unit just back. In a large fleet each relay tries for
// itself, and those that failed just before the return would come at once: there it is long from the start.
func (c *Chooser) gap(u *unit) time.Duration {
	fall := c.set.Rules.Fall
	longest := max(fall/3, min(2*c.set.Rules.Cold, time.Duration(float64(fall)/(2*c.budget(u, 0)))))
	gap := min(fall/8<<min(u.trials, 6), longest)
	if c.thin(u) {
		gap = longest
	}
	return gap/2 + time.Duration(c.rand.Float64()*float64(gap))
}

func (c *Chooser) suspect(u *unit, d *dest, why string) {
	if u.state == healthy {
		u.base = max(c.flow(u), 1/c.set.Rules.Cold.Seconds())
	}
	c.log("destination %d unit %s suspect: %s", d.id, u.name, why)
	u.state, u.since, u.why, u.trials, u.streak = suspect, c.now, why, 0, 0
	u.trialAt = c.now + c.gap(u)
	c.act(Health{Host: u.name, Unwell: true, Base: u.base})
}

func (c *Chooser) log(format string, args ...any) { c.act(Log{Text: fmt.Sprintf(format, args...)}) }

// refused takes in a refusal: a wait if one was told, a pause of its own and a lower pace if not.
func (c *Chooser) refused(u *unit, d *dest, wait time.Duration) {
	c.bad(u)
	u.waitUntil = max(u.waitUntil, c.now+wait)
	u.pauseUntil = max(c.now, u.waitUntil)
	if wait <= 0 || c.thin(u) {
		u.pauseUntil += c.spread(u, d, u.bad-1)
	}
	if d.refused > 0 {
		*d.luck -= *d.luck / 16
	}
	if d.refused++; d.refused >= len(d.units) && c.thin(u) {
		d.pauseUntil = c.now + 2*c.spread(u, d, d.refused-len(d.units))
		if len(d.waiting) > 0 {
			d.since = max(c.now, d.pauseUntil)
		}
	}
	if c.now-u.cutAt >= time.Second && !c.thin(u) {
		// Over at least the even share of a call, or the refused call alone counts as more than its share.
		span := min(max(time.Second, c.even(u)), c.set.Rules.Cold)
		own := c.sent(u, span) / span.Seconds()
		if flow := c.flow(u); flow > brisk { // one refusal in a lull says little of what it takes
			own = max(own, flow)
		}
		if u.limit == 0 || own < u.limit {
			u.limit = own
		}
		u.limit = max(u.limit*cut, 1/c.set.Rules.Cold.Seconds(), u.listed/float64(c.set.Fleet)/2)
		u.cutAt, u.tokens = c.now, max(-u.limit/2, min(u.tokens, 0)) // calls without a limit are no debt
	}
	// Refusals alone, for longer than a limit explains, are those of a shut destination.
	fall := c.set.Rules.Fall
	if u.state == healthy && (wait > 2*fall/3 || u.bad > 6 && c.now-u.lastServed >= fall) {
		c.suspect(u, d, "refusals only")
	}
}

// spread is a pause drawn by chance, so that relays do not come back in step. It doubles with each step up
// to the even share of a call, sooner the fewer calls after a refusal are served at this kind: where refused
// calls use up the limit, retries alone can keep it shut. It may harm where refusals come by chance.
func (c *Chooser) spread(u *unit, d *dest, step int) time.Duration {
	pause := (c.minAim / 4).Seconds() * math.Exp2(float64(min(step, 10))) / math.Pow(2*(*d.luck), 3)
	return time.Duration(min(pause, c.even(u).Seconds()) * (0.5 + c.rand.Float64()) * float64(time.Second))
}

func (c *Chooser) served(u *unit, d *dest, took time.Duration) {
	if u.pace == 0 {
		u.pace = took.Seconds()
	}
	u.pace += (took.Seconds() - u.pace) / 8
	cold := c.set.Rules.Cold.Seconds()
	u.served = u.served*math.Exp(-(c.now-u.lastServed).Seconds()/cold) + 1/cold
	short := u.bad == 0 || !u.errors && c.now-u.lastServed < c.set.Rules.Fall
	u.lastServed, u.bad = c.now, 0
	u.streak++
	u.note(false)
	switch {
	case u.state == healthy && u.recent == 0:
		u.risky, u.errors = false, false
	case u.state == suspect && short:
		u.state, u.since, u.risky, u.recent = healthy, c.now, false, 0
		c.act(Health{Host: u.name})
	case u.state == suspect:
		u.state, u.since, u.recent = recovering, c.now, 0
		c.log("destination %d unit %s recovering", d.id, u.name)
	case u.state == recovering && c.now-u.since >= c.set.Rules.Cold:
		u.state, u.since, u.risky, u.errors = healthy, c.now, false, false
		c.log("destination %d unit %s healthy", d.id, u.name)
		c.act(Health{Host: u.name})
	}
}

// watch makes units suspect that leave calls unanswered: a guard against any silence, before a
// time-out tells. It holds as well against calls that unsafe messages leave out for long.
func (c *Chooser) watch() {
	c.calling = slices.DeleteFunc(c.calling, func(d *dest) bool {
		for _, u := range d.units {
			if u.state == healthy && len(u.outs) > 0 {
				quiet := c.now - max(u.outs[0].sent, u.lastServed)
				if quiet >= c.patience(d) {
					u.risky = true
					c.suspect(u, d, "silent")
				}
			}
		}
		return d.out == 0
	})
}

// sent counts the calls to a unit within a span until now.
func (c *Chooser) sent(u *unit, span time.Duration) float64 {
	n := 0.0
	for _, t := range u.sends {
		if c.now-t <= span {
			n++
		}
	}
	return n
}

// room tells whether a unit may be sent a call now.
func (c *Chooser) room(u *unit) bool {
	if c.now < u.waitUntil || c.now < u.pauseUntil {
		return false
	}
	switch u.state {
	case suspect:
		return len(u.outs) <= 1 && c.now >= u.trialAt
	case recovering:
		n, span := c.budget(u, c.now-u.since), c.set.Rules.Fall
		if n < 1 {
			n, span = 1, time.Duration(float64(span)/n)
		}
		if c.sent(u, span)+1 > n {
			return false
		}
	}
	return u.limit == 0 || u.tokens >= 1-1e-9
}

// Admission and final answers.

func (c *Chooser) arrive(e Arrival, restored bool) {
	k := &c.set.Classes[min(max(e.Class, 0), len(c.set.Classes)-1)]
	m := &message{Arrival: e, class: k, dest: c.dest(e.Dest), due: c.now + e.Left, unsure: -1}
	m.born = m.due - k.Deadline
	if !restored && c.tooMany(m) {
		c.act(Refuse{ID: m.ID, After: c.comeBack(m.dest)})
		return
	}
	c.msgs[e.ID] = m
	c.held++
	c.queue(m)
	if k.Ordered && e.Key != "" {
		l := c.lines[e.Key]
		if l == nil {
			l = &line{key: e.Key}
			c.lines[e.Key] = l
		}
		l.queue = append(l.queue, m)
	}
}

// result takes in how an attempt ended.
func (c *Chooser) result(e Result) {
	m := c.msgs[e.ID]
	if m == nil || m.call == nil {
		return
	}
	k, h, u, d := m.call, m.call.host, m.call.host.unit, m.dest
	c.settle(d)
	u.waitUntil = max(u.waitUntil, c.now+e.Wait) // it binds with any outcome
	m.call, m.last = nil, h
	if k.members = remove(k.members, m); len(k.members) == 0 {
		c.busy, d.out, h.out = c.busy-1, d.out-1, h.out-1
		u.outs = remove(u.outs, k)
	}
	if r := c.set.ReportLimit; r >= 0 && r < len(e.Report) && e.Report[r] > 0 {
		u.listed = e.Report[r]
	}
	switch e.Outcome {
	case Served:
		d.table.add(e.Took)
		c.pool.add(e.Took)
		if e.Took <= d.table.edge {
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
		d.table.cutShort()
		if u.lastServed < k.sent {
			d.backoff++
			if e.Took >= c.patience(d) {
				c.failed(h, e.Outcome)
			}
		}
	case NoConnection:
		d.table.cutShort()
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
	case !c.repeatable(m) || m.attempts >= c.set.MaxAttempts:
		c.final(m)
	default:
		c.queue(m)
	}
}

// queue lets a message wait for its next try.
func (c *Chooser) queue(m *message) {
	d := m.dest
	c.queued++
	m.queued = c.queued
	if len(d.waiting) == 0 {
		d.since = max(c.now, d.pauseUntil)
	}
	if d.waiting = append(d.waiting, m); !d.live {
		d.live, c.live = true, append(c.live, d)
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

// final answers a message that is not out: refused where that is lawful, else failed.
func (c *Chooser) final(m *message) {
	if !m.ran || m.class.Effect == Safe || m.class.Effect == Keyed && !m.class.SameZone {
		c.act(Refuse{ID: m.ID, After: c.comeBack(m.dest)})
	} else {
		c.act(Fail{ID: m.ID})
	}
	c.end(m)
}

// end frees a message; one that is out keeps its record, and its key, until its outcome.
func (c *Chooser) end(m *message) {
	if !m.over {
		m.over = true
		c.held--
		if m.call == nil {
			c.settle(m.dest)
			m.dest.waiting = remove(m.dest.waiting, m)
		}
	}
	if m.call != nil {
		return
	}
	delete(c.msgs, m.ID)
	if l := c.lines[m.Key]; l != nil && m.class.Ordered {
		l.queue = remove(l.queue, m)
		if m.unsure >= 0 {
			l.rest = max(l.rest, m.unsure+c.set.Rules.OrderSettle)
		}
		if len(l.queue) == 0 {
			c.resting = append(c.resting, l)
		}
	}
}

// worth of a message if it is served at a time.
func (c *Chooser) worth(m *message, at time.Duration) float64 {
	k := m.class
	if at >= m.due {
		return 0
	}
	age := at - m.born
	if age <= k.Aim {
		return k.Worth
	}
	late := (age - k.Aim).Seconds()
	if c.set.Halving {
		return k.Worth * max(k.LateShare, math.Exp2(-late/k.Aim.Seconds()))
	}
	return k.Worth * (1 - (1-k.LateShare)*late/(k.Deadline-k.Aim).Seconds())
}

// answer ends messages whose time is up, in the order of that time.
func (c *Chooser) answer() {
	var over []*message
	for _, d := range c.live {
		for _, m := range d.waiting {
			if c.endAt(m) <= c.now || !c.repeatable(m) {
				over = append(over, m)
			}
		}
	}
	slices.SortFunc(over, func(a, b *message) int {
		return cmp.Or(cmp.Compare(c.endAt(a), c.endAt(b)), cmp.Compare(a.queued, b.queued))
	})
	for _, m := range over {
		c.final(m)
	}
}

func (c *Chooser) endAt(m *message) time.Duration {
	at := m.due - margin*c.set.Tick - c.nap
	if m.ran && m.class.Effect == Keyed {
		at = min(at, c.windowEnd(m))
	}
	return at
}

// shed turns messages away while the holding room is crowded.
func (c *Chooser) shed() {
	for c.set.MaxHeld > 0 && float64(c.held) > crowded*float64(c.set.MaxHeld) {
		m, _ := c.worst()
		if m == nil {
			return
		}
		c.final(m)
	}
}

func (c *Chooser) worst() (worst *message, least float64) {
	least = math.Inf(1)
	for k := range c.set.Classes {
		var most *dest
		var oldest *message
		for _, d := range c.live {
			if most != nil && (len(d.waiting) < len(most.waiting) || len(d.waiting) == len(most.waiting) && d.id > most.id) {
				continue
			}
			var first *message
			for _, m := range d.waiting {
				if m.Class == k && !m.owed() && (!m.ran || m.class.Effect == Safe) && (first == nil || m.due < first.due) {
					first = m
				}
			}
			if first != nil {
				most, oldest = d, first
			}
		}
		if most == nil {
			continue
		}
		if w := c.worth(oldest, c.now) / float64(len(most.waiting)); w < least {
			least, worst = w, oldest
		}
	}
	return worst, least
}

func (c *Chooser) tooMany(m *message) bool {
	if c.set.MaxHeld == 0 {
		return false
	}
	most := 1e-9
	for _, k := range c.set.Classes {
		most = max(most, k.Worth)
	}
	waits, room := float64(len(m.dest.waiting)), float64(c.set.MaxHeld)
	if waits >= (1+3*m.class.Worth/most)*(room-float64(c.held)) {
		return true
	}
	if float64(c.held+1) <= crowded*room {
		return false
	}
	_, least := c.worst()
	return c.worth(m, c.now)/(waits+1) < 2*least
}

// The turn.

// turn fills the free slots: the destination with the fewest calls out goes first.
func (c *Chooser) turn() {
	most := max(1, (3*c.set.Workers+3)/4-1)
	half := max(1, c.set.Workers/2)
	// Trials go last, lest a small relay's slots fill with calls that may hang; those long due do not.
	well := func(u *unit) bool { return u.state != suspect || c.now-u.trialAt > c.set.Rules.Fall }
	trial := func(d *dest) int {
		if slices.ContainsFunc(d.units, well) {
			return 0
		}
		return 1
	}
	var ready []*dest
	for _, d := range c.live {
		if len(d.waiting) == 0 || c.now < d.pauseUntil {
			continue
		}
		for _, u := range d.units {
			c.refill(u, d)
		}
		if slices.ContainsFunc(d.units, c.room) {
			ready = append(ready, d)
		}
	}
	var full []*dest
	for c.busy < c.set.Workers {
		ready = slices.DeleteFunc(ready, func(d *dest) bool { m, _ := c.pick(d); return m == nil })
		if len(ready) == 0 {
			last := len(full) - 1
			if last < 0 || full[last].out >= most {
				break
			}
			ready, full = append(ready, full[last]), full[:last]
		}
		d := slices.MinFunc(ready, func(a, b *dest) int {
			return cmp.Or(cmp.Compare(trial(a), trial(b)), cmp.Compare(a.out, b.out),
				cmp.Compare(a.lastTurn, b.lastTurn), cmp.Compare(a.id, b.id))
		})
		top := most
		if len(ready) > 1 {
			top = half
		}
		if d.out >= top {
			full = append(full, d)
		}
		if d.out >= top || !c.sendOne(d) {
			ready = remove(ready, d)
		}
	}
	waits := func(d *dest) bool { m, _ := c.pick(d); return m != nil }
	if c.set.Cancels && c.busy >= c.set.Workers && slices.ContainsFunc(append(ready, full...), waits) {
		c.callOff()
	}
}

// callOff frees a slot while all are taken and a message waits for one: the oldest call out beyond its
// destination's patience, twice that if the unit has served others since, and as often as it was tried, so
// that slow ones are served in the end. It guards against calls that nobody will answer. An unsafe message
// is lost by it: twice the patience while such calls hold no more than half of the slots. Half the room
// taken halves the patience.
func (c *Chooser) callOff() {
	var stuck []*call
	for _, d := range c.live {
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
				}
			}
		}
	}
	slices.SortFunc(stuck, func(a, b *call) int { return cmp.Compare(a.number, b.number) })
	for _, k := range stuck {
		unsafe := slices.ContainsFunc(k.members, func(m *message) bool { return m.class.Effect == Unsafe })
		if unsafe && 2*len(stuck) <= c.set.Workers && c.now-k.sent < 2*c.patience(k.host.dest) {
			continue
		}
		k.off = true
		for _, m := range k.members {
			c.act(Cancel{ID: m.ID, Attempt: m.attempts - 1})
		}
		return
	}
}

// sendOne sends the best message of a destination, and others along in the same call.
func (c *Chooser) sendOne(d *dest) bool {
	m, h := c.pick(d)
	if m == nil {
		return false
	}
	u := h.unit
	c.calls++
	k := &call{number: c.calls, host: h, sent: c.now}
	if !slices.Contains(c.calling, d) {
		c.calling = append(c.calling, d)
	}
	c.busy, d.out, h.out, d.lastTurn = c.busy+1, d.out+1, h.out+1, c.now
	old := func(t time.Duration) bool { return c.now-t > max(c.set.Rules.Cold, time.Second) }
	u.outs, u.sends = append(u.outs, k), append(slices.DeleteFunc(u.sends, old), c.now)
	u.tokens--
	if u.state == suspect {
		u.trialAt = c.now + c.patience(d)<<min(u.trials, 4) + c.gap(u)
	}
	c.send(m, k)
	for len(k.members) < d.kind.PerCall && u.state != suspect {
		m := c.best(d, func(m *message) bool { return c.fits(m, h) })
		if m == nil {
			break
		}
		c.send(m, k)
	}
	if len(k.members) > 1 {
		u.sends = append(u.sends, c.now) // further messages weigh a little: counted as one more call
	}
	return true
}

func (c *Chooser) send(m *message, k *call) {
	d := m.dest
	m.timeout = c.timeout(m, k.host.unit)
	d.waiting = remove(d.waiting, m)
	m.attempts++
	m.call = k
	k.members = append(k.members, m)
	c.act(Send{ID: m.ID, Host: k.host.Addr, Timeout: m.timeout})
}

// fits tells whether a message may go to a host now, room in its unit apart.
func (c *Chooser) fits(m *message, h *host) bool {
	if h.State != Ready || !c.repeatable(m) || m.attempts >= c.set.MaxAttempts {
		return false
	}
	if m.class.Effect == Keyed && m.class.SameZone && m.ran && h.Zone != m.ranZone {
		return false
	}
	// What cannot be repeated is kept from a unit whose failures may have run until it has served
	// a few, unless its own time runs short.
	u := h.unit
	proven := u.state == healthy || !u.risky || u.state == recovering && (!u.errors || u.streak >= history)
	return proven || m.class.Effect != Unsafe || m.due-c.now < m.class.Deadline/4
}

// owed tells whether a message is still owed its first try from before a restart.
func (m *message) owed() bool { return m.found && m.attempts == 0 }

// best is the message that loses most by waiting, among those that a test lets through.
func (c *Chooser) best(d *dest, test func(*message) bool) *message {
	rate := 0.0
	for _, u := range d.units {
		rate += u.served
	}
	wait := c.minAim
	if rate > 0 {
		wait = time.Duration(float64(len(d.waiting)) / rate * float64(time.Second))
	}
	wait = min(max(wait, c.minAim/8), 4*c.bound)
	var best *message
	most := math.Inf(-1)
	for _, m := range d.waiting {
		if !c.hasTurn(m) || !test(m) {
			continue
		}
		loss := c.worth(m, c.now) - c.worth(m, c.now+wait)
		if k, age := m.class, c.now-m.born; !c.set.Halving && age > k.Aim && age+wait < k.Deadline {
			loss = k.Worth * (1 - k.LateShare) * wait.Seconds() / (k.Deadline - k.Aim).Seconds()
		}
		if m.owed() {
			loss += slices.MaxFunc(c.set.Classes, func(a, b Class) int { return cmp.Compare(a.Worth, b.Worth) }).Worth
		}
		if best == nil || loss > most || loss == most && m.due < best.due {
			best, most = m, loss
		}
	}
	return best
}

// pick chooses a message of a destination and a host for it.
func (c *Chooser) pick(d *dest) (*message, *host) {
	var open []*host
	for _, h := range d.hosts {
		if h.State == Ready && c.room(h.unit) {
			open = append(open, h)
		}
	}
	m := c.best(d, func(m *message) bool {
		return slices.ContainsFunc(open, func(h *host) bool { return c.fits(m, h) })
	})
	var best *host
	least := math.Inf(1)
	for _, h := range open {
		if m != nil && c.fits(m, h) && c.cost(m, h) < least {
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
	if c.thin(u) {
		cost = cost/10 + h.liking/20
	}
	finish := u.pace * float64(h.out+1) / m.class.Aim.Seconds()
	cost += max(0, finish-0.25) + finish/100
	if h == m.last || u.state != healthy || h.fails > 0 {
		cost += aside
	}
	if c.now < h.retryAt {
		cost++
	}
	return cost
}
