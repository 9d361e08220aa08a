// Package fleetlimit has the relays of a fleet share what a destination takes. Each destination has a steward among them.
// A relay that could make calls asks it for leave; the steward knows of all calls of the fleet and how they ended, and
// grants one by one what the routes have room for, to those first whose calls are worth most. So eighty relays that
// see little each keep under a limit as one would that sees all.
//
// The steward is the relay that comes first by rendezvous hashing (Thaler and Ravishankar 1998) of those that answer.
// What one learns goes along with its grants, so that another that takes its place goes on from there. A relay whose
// asks nobody answers grants to itself its share of what it last heard.
//
// The package decides and does nothing else: time and events in, actions out; no clock, no socket, no goroutine. The
// same events give the same actions.
package fleetlimit

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/quota"
)

const (
	never      = time.Duration(math.MaxInt64)
	answerIn   = 150 * time.Millisecond // an ask that is not answered by then is lost, or its steward is gone
	refresh    = 500 * time.Millisecond // an ask that waits is said again
	askTries   = 2
	silentFor  = 3 * time.Second // one that did not answer is passed over
	ranks      = 8               // stewards that are tried, before a relay goes alone
	helloEvery = 400 * time.Millisecond
	matters    = 1.1 // a value that changes by this factor is told
	sweepEvery = 10 * time.Second
	seenLife   = 5 * time.Second
	// hearsayLife is how long what a steward told of a route is passed on: limits change.
	hearsayLife = 15 * time.Second
	givenLife   = time.Minute // of a grant of which nothing is heard any more
	mostWait    = time.Minute // told, that is believed of another relay: nothing else that one says lasts so long
	// idleFor is how long a steward was not asked, when it takes up a destination anew: ends of calls that have not been told
	// by then were lost, and say nothing of the routes.
	idleFor = 3 * time.Second
)

// Settings of one relay's part.
type Settings struct {
	Index, Fleet int
	Seed         uint64 // for whom to greet
	Rules        choice.Rules
	Life         uint32              // differs from that of any start before
	Rights       bool                // limits are held as rights, which are conserved whoever hears whom
	Weights      []int               // of all relays, by which limits are divided; nil where all have one part
	Limits       map[int]quota.Limit // by destination, where they are told; the others are found out
}

// Fleet is one relay's part: it asks for what it wants, and is steward of some destinations. It is not safe for
// concurrent use.
type Fleet struct {
	set     Settings
	now     time.Duration
	errands map[int]*errand
	active  []*errand // with something asked for or wanted, by destination
	desks   map[int]*desk
	busy    []*desk         // with asks, by destination
	silent  []time.Duration // by relay: passed over until then
	misses  []int           // by relay: how often it was, since it was heard last
	heardAt []time.Duration // by relay: last
	metAt   []time.Duration // by relay: what it said last showed that it hears this one, as far as can be told
	probed  []time.Duration // by relay: it was asked whether it is there, and has not answered; below 0 if it was not
	hearing hearing
	number  uint32         // of the last grant given to any relay
	local   uint32         // of the last grant that the Chooser has been given
	notes   map[int][]byte // under way, by receiver
	acts    []choice.Action
	given   []choice.Event // grants for this relay
	wakeAt  time.Duration
	sweepAt time.Duration
	// Notes that come until then may be as old as this relay's absence.
	deafUntil time.Duration
	began     time.Duration  // the first step; below 0 before it
	rights    map[int]*right // by destination
	parts     int            // into which limits are divided: the sum of the weights
	lost      []bool         // by relay: it is gone for good, so its part is the others'
}

// errand is what this relay wants of one destination.
type errand struct {
	dest    int
	ranked  []int       // who may be its steward, the first first
	want    choice.Want // wanted now
	said    choice.Want // last told, less what was granted since
	asked   int         // whom it was told; -1 for nobody
	saidAt  time.Duration
	since   time.Duration // an answer is awaited; what is said anew meanwhile does not change it
	heard   bool          // an answer came since
	tries   int           // without an answer
	names   map[uint32]string
	heardOf map[uint32]hearsay      // by route
	held    map[uint32]held         // grants that this relay has, by the number that the Chooser knows
	seen    map[given]time.Duration // all that came of late: a note that comes twice must not grant twice
	listed  bool                    // among the active
}

// hearsay is what a steward told of a route.
type hearsay struct {
	rumour
	at time.Duration
}

// given names a grant in the whole fleet.
type given struct {
	by     int
	number uint32
}

// held is a grant that this relay has.
type held struct {
	given
	at time.Duration
}

// New returns one relay's part of a fleet.
func New(s Settings) (*Fleet, error) {
	if s.Fleet < 1 || s.Index < 0 || s.Index >= s.Fleet {
		return nil, fmt.Errorf("grants: this relay has number %d in a fleet of %d; numbers begin at 0", s.Index, s.Fleet)
	}
	return &Fleet{set: s, number: s.Life, errands: map[int]*errand{}, desks: map[int]*desk{}, silent: make([]time.Duration, s.Fleet), misses: make([]int, s.Fleet),
		heardAt: slices.Repeat([]time.Duration{-1}, s.Fleet), metAt: slices.Repeat([]time.Duration{-1}, s.Fleet),
		probed: slices.Repeat([]time.Duration{-1}, s.Fleet), hearing: newHearing(s.Seed), notes: map[int][]byte{}, began: -1, rights: map[int]*right{}, parts: total(s.Weights, s.Fleet), lost: make([]bool, s.Fleet)}, nil
}

// Step takes in the notes that came and what the Chooser said (its choice.Want and choice.Spent), and decides once.
// Actions are choice.Tell and choice.Wake; what is given are grants for the Chooser.
func (f *Fleet) Step(now time.Duration, heard []choice.Heard, said []choice.Action) (acts []choice.Action, given []choice.Event) {
	f.acts, f.given = nil, nil
	f.away(now)
	if f.now = max(f.now, now); f.began < 0 {
		f.began = f.now
	}
	if f.now >= f.deafUntil {
		for _, h := range heard {
			f.hear(h)
		}
	}
	for _, a := range said {
		switch a := a.(type) {
		case choice.Want:
			f.want(a)
		case choice.Spent:
			f.spent(a)
		}
	}
	f.listen()
	f.active = slices.DeleteFunc(f.active, func(e *errand) bool {
		f.ask(e)
		e.listed = e.want.Calls > 0 || e.said.Calls > 0
		return !e.listed
	})
	f.busy = slices.DeleteFunc(f.busy, func(k *desk) bool {
		f.serve(k)
		k.listed = len(k.asks) > 0
		k.idleAt = f.now
		return !k.listed
	})
	f.sweep()
	f.mail()
	f.wake()
	return f.acts, f.given
}

// want takes in what the Chooser could use.
func (f *Fleet) want(w choice.Want) {
	e := f.errand(w.Dest)
	e.want = w
	for _, name := range w.Routes {
		e.names[routeOf(name)] = name
	}
	f.list(e)
}

func (f *Fleet) errand(dest int) *errand {
	e := f.errands[dest]
	if e == nil {
		e = &errand{dest: dest, asked: -1, ranked: Stewards(dest, f.set.Fleet), names: map[uint32]string{}, heardOf: map[uint32]hearsay{},
			held: map[uint32]held{}, seen: map[given]time.Duration{}}
		f.errands[dest] = e
	}
	return e
}

// list has an errand looked at; the order is by destination, so that the same events give the same actions.
func (f *Fleet) list(e *errand) {
	if !e.listed {
		e.listed = true
		i, _ := slices.BinarySearchFunc(f.active, e, func(a, b *errand) int { return cmp.Compare(a.dest, b.dest) })
		f.active = slices.Insert(f.active, i, e)
	}
}

func (f *Fleet) desk(dest int) *desk {
	k := f.desks[dest]
	if k == nil {
		ranked := f.errand(dest).ranked // none are before one that grants to itself alone
		k = &desk{dest: dest, told: f.told(dest), routes: map[uint32]*pacer{}, again: never, helloAt: -helloEvery, rights: f.set.Rights,
			pool: quota.NewPool(terms, f.set.Life), before: ranked[:max(0, slices.Index(ranked, f.set.Index))]}
		f.desks[dest] = k
	}
	if !k.listed {
		if len(k.order) > 0 && f.now-k.idleAt > idleFor { // what has not been told since is lost
			for _, p := range k.routes {
				p.resume(f.now)
			}
		}
		k.listed, k.since = true, f.now
		i, _ := slices.BinarySearchFunc(f.busy, k, func(a, b *desk) int { return cmp.Compare(a.dest, b.dest) })
		f.busy = slices.Insert(f.busy, i, k)
	}
	return k
}

// Stewards are the relays of a fleet that may be steward of a destination, the first first. All relays have the same
// order, and one more or less in the fleet changes it for few destinations.
func Stewards(dest, fleet int) (first []int) {
	type scored struct {
		relay int
		score uint32
	}
	all := make([]scored, fleet)
	for i := range all {
		all[i] = scored{i, crc32.Checksum(fmt.Appendf(nil, "%d of %d", i, dest), castagnoli)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.relay, b.relay)) })
	for _, s := range all[:min(ranks, len(all))] {
		first = append(first, s.relay)
	}
	return first
}

// steward is whom to ask now; lone if nobody else answers.
func (f *Fleet) steward(ranked []int) (relay int, lone bool) {
	if f.hearing.cut {
		return f.set.Index, true
	}
	for _, i := range ranked {
		if i == f.set.Index || f.silent[i] <= f.now {
			return i, false
		}
	}
	return f.set.Index, true
}

// pass passes over a relay that did not answer, each time for longer until it is heard again.
func (f *Fleet) pass(i int) {
	f.misses[i] = min(f.misses[i]+1, 4)
	f.silent[i] = f.now + silentFor<<(f.misses[i]-1)
	f.missing(i)
}

// ask tells a steward what is wanted, if that has changed, is not answered or has to be said again.
func (f *Fleet) ask(e *errand) {
	due := f.now-e.saidAt >= refresh
	awaits := e.said.Calls > 0 && !e.heard
	if awaits && f.now-e.since >= answerIn {
		due, awaits = true, false
		if e.tries++; e.tries >= askTries && e.asked != f.set.Index && !f.meets(e.asked) {
			f.pass(e.asked)
		} else {
			f.probe(e)
		}
	}
	to, lone := f.steward(e.ranked)
	if e.want.Calls == 0 && e.said.Calls == 0 || !due && (e.want.Calls == 0 || to == e.asked) && !e.differs() {
		return
	}
	if e.asked >= 0 && e.asked != to && e.said.Calls > 0 && !f.hearing.cut { // the one before must not grant as well
		f.send(e.asked, record{kind: askKind, dest: e.dest, mark: markOf(f.now)})
	}
	if e.asked != to {
		e.tries, awaits = 0, false
	}
	if !awaits {
		e.since = f.now
	}
	e.asked, e.saidAt, e.heard = to, f.now, false
	e.said = e.want
	r := record{kind: askKind, dest: e.dest, calls: e.want.Calls, value: e.want.Value, mark: markOf(f.now)}
	for _, name := range e.want.Routes {
		x := rumour{route: routeOf(name)}
		if h, ok := e.heardOf[x.route]; ok && f.now-h.at < hearsayLife {
			x = h.rumour
			x.span += f.now - h.at
			x.saw = x.saw && f.now-h.at < witnessFor
		}
		r.routes = append(r.routes, x)
	}
	if to != f.set.Index {
		f.send(to, r)
		return
	}
	e.heard = true
	k := f.desk(e.dest)
	k.lone = lone
	f.put(k, to, r)
}

// put takes in an ask as a steward.
func (f *Fleet) put(k *desk, from int, r record) {
	part, alone := f.part(k)
	k.put(f.set.Rules, part, alone, f.now, from, r)
}

// differs tells whether what is wanted differs from what was said by enough to be told.
func (e *errand) differs() bool {
	w, s := &e.want, &e.said
	return w.Calls != s.Calls || !slices.Equal(w.Routes, s.Routes) || w.Value > s.Value*matters || s.Value > w.Value*matters
}

// hear takes in a note. One that cannot be read, or comes from nowhere, is passed over.
func (f *Fleet) hear(h choice.Heard) {
	if h.From < 0 || h.From >= f.set.Fleet || h.From == f.set.Index {
		return
	}
	all, err := read(h.Note)
	if err != nil {
		return
	}
	if f.hearing.heard(f.now) {
		f.healed()
	}
	f.heardAt[h.From] = f.now
	if slices.ContainsFunc(all, func(r record) bool { return r.kind != callKind || r.answer }) {
		f.silent[h.From], f.misses[h.From], f.metAt[h.From] = 0, 0, f.now
	}
	for _, r := range all {
		f.take(h.From, r)
	}
}

// take takes in one record.
func (f *Fleet) take(from int, r record) {
	switch r.kind {
	case askKind:
		k := f.desk(r.dest)
		k.lone = false
		f.put(k, from, r)
	case spentKind:
		if k := f.desks[r.dest]; k != nil {
			if p := k.routes[r.routes[0].route]; p != nil {
				p.settle(f.now, f.heard, false)
				if p.ended(f.now, from, r.grant, r.outcome, r.took, min(r.wait, mostWait)) && k.told != nil {
					k.told.tokens++
				}
			}
		}
	case queuedKind:
		f.answered(from, r)
	case grantKind:
		e := f.answered(from, r)
		g := given{from, r.grant}
		if _, twice := e.seen[g]; twice {
			return
		}
		name, ok := e.names[r.routes[0].route]
		if !ok || f.late(r) { // no such route is wanted any more, or its time has passed
			e.seen[g] = f.now
			r.kind, r.outcome = spentKind, choice.NotSent
			f.send(from, r)
			return
		}
		f.local++
		e.seen[g], e.held[f.local] = f.now, held{g, f.now}
		e.said.Calls, e.want.Calls = max(0, e.said.Calls-1), max(0, e.want.Calls-1)
		f.given = append(f.given, choice.Granted{Dest: r.dest, Route: name, Grant: f.local, For: r.life, Well: r.well})
	case movedKind:
		if e := f.errand(r.dest); e.asked == from && r.steward < f.set.Fleet {
			f.silent[r.steward] = 0
			f.list(e)
		}
	case callKind:
		f.called(from, r)
	case pledgeKind:
		f.pledged(from, r)
	case releaseKind:
		if own := f.rights[r.dest]; own != nil {
			own.holder.Released(f.now, from, r.stamp)
		}
	case helloKind:
		if !r.answer {
			f.send(from, record{kind: helloKind, answer: true})
		}
	}
}

// heard is when a relay was last heard; this one hears itself.
func (f *Fleet) heard(relay int) time.Duration {
	if relay == f.set.Index {
		return f.now
	}
	return f.heardAt[relay]
}

// answered notes that a steward answered, and what it tells of rates.
func (f *Fleet) answered(from int, r record) *errand {
	e := f.errand(r.dest)
	if from == e.asked {
		e.heard, e.tries = true, 0
	}
	for _, x := range r.routes {
		if x.rate > 0 && !(from == f.set.Index && f.hearing.cut) { // what one relay sees alone is not the fleet's rate
			e.heardOf[x.route] = hearsay{x, f.now}
		}
	}
	return e
}

// spent passes on what became of a granted call to whoever granted it.
func (f *Fleet) spent(s choice.Spent) {
	e := f.errand(s.Dest)
	h, ok := e.held[s.Grant]
	if !ok {
		return
	}
	delete(e.held, s.Grant)
	f.send(h.by, record{kind: spentKind, dest: s.Dest, routes: []rumour{{route: routeOf(s.Route)}}, grant: h.number,
		outcome: s.Outcome, took: s.Took, wait: s.Wait})
}

// serve grants what there is room for at a destination that this relay is steward of.
func (f *Fleet) serve(k *desk) {
	if f.yields(k) {
		return
	}
	part, alone := f.part(k)
	k.serve(part, alone, f.now, f.heard, func(a *ask, route uint32, p *pacer) {
		f.number++
		p.grant(f.now, a.relay, f.number)
		f.send(a.relay, record{kind: grantKind, dest: k.dest, routes: []rumour{p.rumour(f.now, route)}, grant: f.number,
			life: grantLife, well: p.sound(f.now), mark: a.mark, kept: f.now - a.at})
	})
	for _, a := range k.asks {
		if a.told {
			continue
		}
		a.told = true
		r := record{kind: queuedKind, dest: k.dest}
		for _, id := range a.routes {
			r.routes = append(r.routes, k.routes[id].rumour(f.now, id))
		}
		f.send(a.relay, r)
	}
	f.call(k)
}

// yields hands the asks of a destination to a relay that comes before this one, if there is one that was heard since
// they came here. They come while that is silent, or was to some; it is greeted for as long as they do.
func (f *Fleet) yields(k *desk) bool {
	if len(k.asks) == 0 || f.hearing.cut {
		return false
	}
	greet := f.now-k.helloAt >= helloEvery
	for _, i := range k.before {
		if f.metAt[i] > k.since {
			for _, a := range k.asks {
				if a.relay != f.set.Index {
					f.send(a.relay, record{kind: movedKind, dest: k.dest, steward: i})
				}
			}
			k.asks = nil
			f.release(k)
			return true
		}
		if greet {
			f.send(i, record{kind: helloKind})
		}
	}
	if greet {
		k.helloAt = f.now
	}
	return false
}

// send gives a record to a relay, or takes it in where that is this one.
func (f *Fleet) send(to int, r record) {
	if to == f.set.Index {
		f.take(to, r)
		return
	}
	b := f.notes[to]
	if b == nil {
		b = []byte{version}
	}
	next := r.append(b)
	if len(next) > gossip.Room {
		f.acts = append(f.acts, choice.Tell{To: to, Note: gossip.Seal(b)})
		next = r.append([]byte{version})
	}
	f.notes[to] = next
}

// mail sends what others are to be told.
func (f *Fleet) mail() {
	for to := range f.silent {
		if b := f.notes[to]; b != nil {
			f.acts = append(f.acts, choice.Tell{To: to, Note: gossip.Seal(b)})
		}
	}
	clear(f.notes)
}

// sweep forgets what hangs on destinations and routes that are gone for good.
func (f *Fleet) sweep() {
	if f.now < f.sweepAt {
		return
	}
	f.sweepAt = f.now + sweepEvery
	for dest, k := range f.desks {
		k.pool.Sweep(f.now)
		if k.forget(f.now); len(k.order) == 0 && !k.listed {
			delete(f.desks, dest)
		}
	}
	for dest, r := range f.rights {
		if f.now >= r.holder.FreeAt()+givenLife {
			delete(f.rights, dest)
		}
	}
	for dest, e := range f.errands {
		for id, h := range e.held {
			if f.now-h.at > givenLife {
				delete(e.held, id)
			}
		}
		maps.DeleteFunc(e.seen, func(_ given, at time.Duration) bool { return f.now-at > seenLife })
		if !e.listed && len(e.held) == 0 && f.now-e.saidAt > routeLife {
			delete(f.errands, dest)
		}
	}
}

// wake asks to be woken when something is due by the passing of time alone.
func (f *Fleet) wake() {
	at := never
	for _, e := range f.active {
		if e.said.Calls > 0 && !e.heard {
			at = min(at, e.since+answerIn)
		}
		at = min(at, e.saidAt+refresh)
	}
	if len(f.active) > 0 {
		at = min(at, f.hearing.listenAt())
	}
	for _, since := range f.probed {
		if since >= 0 {
			at = min(at, since+answerIn)
		}
	}
	for _, k := range f.busy {
		at = min(at, k.again)
		if f.set.Rights {
			at = min(at, k.callAt)
		}
		if len(k.before) > 0 {
			at = min(at, k.helloAt+helloEvery)
		}
	}
	if at < never && (f.wakeAt <= f.now || at < f.wakeAt) {
		f.wakeAt = max(at, f.now+time.Millisecond)
		f.acts = append(f.acts, choice.Wake{After: f.wakeAt - f.now})
	}
}
