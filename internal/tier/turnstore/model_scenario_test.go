package turnstore_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/turnstore"
)

var courses = flag.Int("courses", 100, "drawn courses of the model")
var faultCourses = flag.Int("fault-courses", 300, "courses to find a planted fault in, at most")
var firstSeed = flag.Uint64("seed", 1, "of the first course")

const settled = time.Second // as long ago a turn must have ended for what it used to count

// told is what clients were told of a turn.
type told struct {
	id, program, previous string
	bytes                 []byte // the whole history that continues from it; nil before its Close was tried
	need, used            int
	began, ended          time.Duration
	how                   end
	spent, none           bool // refused with 402, 404
	retain                time.Duration
}

type end int

const (
	underWay end = iota
	whole        // answered whole: its Close was acknowledged
	refused      // 402, 404 or 503
	broken       // broke off
)

func (t *told) String() string {
	switch {
	case t.spent:
		return "402"
	case t.none:
		return "404"
	}
	return [...]string{"under way", "whole", "503", "broken"}[t.how]
}

type budget struct {
	all   int
	turns []*told
	held  map[string]int // granted turns: at their most, then what they used
}

// oracle knows what must hold.
type oracle struct {
	troubles atomic.Int64
	mu       sync.Mutex
	turns    map[string]*told
	programs map[string]*budget
	used     map[string]time.Duration // last use of a program
	ids      int
	stormy   time.Duration // the last trouble's end, at least
	whole    int
	spent    int
	unsure   int
	none     int
}

// troubled notes that something is in trouble until then.
func (w *world) troubled(until time.Duration) {
	w.oracle.troubles.Add(1)
	w.oracle.mu.Lock()
	defer w.oracle.mu.Unlock()
	w.oracle.stormy = max(w.oracle.stormy, until)
}

// hold notes what a granted turn holds; all of a program together must keep within its budget.
func (w *world) hold(program, turn string, tokens int) {
	w.oracle.mu.Lock()
	b := w.oracle.programs[program]
	b.held[turn] = tokens
	sum := 0
	for _, n := range b.held {
		sum += n
	}
	w.oracle.mu.Unlock()
	if sum > b.all {
		w.fail("BUDGET: turns of %s hold %d of %d", program, sum, b.all)
	}
}

// due checks a 402.
func (w *world) due(t *told) {
	w.oracle.mu.Lock()
	b := w.oracle.programs[t.program]
	sum := t.need
	for _, o := range b.turns {
		switch {
		case o == t:
		case o.how == whole && w.now()-o.ended >= settled:
			sum += o.used
		case o.how == refused && w.now()-o.ended >= settled && o.began > w.oracle.stormy:
			// In trouble a front can not take a reservation back for a while.
		default:
			sum += o.need
		}
	}
	w.oracle.mu.Unlock()
	if sum <= b.all {
		w.fail("REFUSED: 402 for %s of %s, yet %d of %d fit", t.id, t.program, sum, b.all)
	}
}

// Fronts.

type front struct {
	node
	life atomic.Pointer[frontLife]
}

type frontLife struct {
	ctx    context.Context
	stop   context.CancelFunc
	client *turnstore.Client
}

func (w *world) addFront(name, zone string) *front {
	f := &front{}
	f.w, f.name, f.zone = w, name, zone
	c := make(chan struct{})
	f.changed.Store(&c)
	w.mu.Lock()
	w.fronts = append(w.fronts, f)
	w.mu.Unlock()
	f.start()
	return f
}

func (f *front) start() {
	if f.life.Load() != nil {
		return
	}
	l := &frontLife{}
	l.ctx, l.stop = context.WithCancel(context.Background())
	f.heard.Store(nil)
	l.client = turnstore.NewClientOn(port{n: &f.node, ctx: l.ctx}, f.placement, f.zone)
	f.life.Store(l)
	f.w.core.tell(f.w, &f.node)
}

func (f *front) kill() {
	l := f.life.Swap(nil)
	if l == nil {
		return
	}
	f.w.note(f.name, "killed")
	l.stop()
	f.thaw()
	l.client.Shutdown(l.ctx)
}

// turn asks one front for a turn and plays it. ending: how it goes, if it may run.
type ask struct {
	front    *front
	program  string
	previous *told // nil at the start
	need     int
	runs     time.Duration
	used     int
	ending   end // whole, or broken
	retain   time.Duration
	gate     chan struct{} // it runs until then, nil: for runs
	started  func(t *told)
}

// turn gives what became of it; the history that it was given is checked.
func (w *world) turn(a ask) *told {
	l := a.front.life.Load()
	w.oracle.mu.Lock()
	w.oracle.ids++
	t := &told{id: fmt.Sprintf("t%d", w.oracle.ids), program: a.program, need: a.need, began: w.now(), retain: a.retain}
	b := w.oracle.programs[a.program]
	b.turns = append(b.turns, t)
	w.oracle.turns[t.id] = t
	w.oracle.used[a.program] = w.now()
	if a.previous != nil {
		w.oracle.used[a.previous.program] = w.now()
	}
	o := turnstore.OpenRequest{Program: a.program, Turn: t.id, MaxTokens: a.need, Budget: b.all}
	var must bool
	if a.previous != nil {
		t.previous, o.Previous = a.previous.id, a.previous.id
		must = a.previous.how == whole && w.now() < a.previous.ended+a.previous.retain
	}
	w.oracle.mu.Unlock()
	if a.started != nil {
		a.started(t)
	}
	finish := func(how end, used int) {
		w.oracle.mu.Lock()
		defer w.oracle.mu.Unlock()
		t.how, t.used, t.ended = how, used, w.now()
		w.oracle.used[a.program] = w.now()
		switch how {
		case whole:
			w.oracle.whole++
		}
	}
	if l == nil {
		finish(refused, 0)
		return t
	}
	ctx, stop := context.WithTimeout(l.ctx, 5*time.Second)
	opened, err := l.client.Open(ctx, o)
	stop()
	a.front.thawed()
	if l.ctx.Err() != nil { // the front is gone, and the client hears nothing
		finish(broken, 0)
		return t
	}
	switch {
	case errors.Is(err, turnstore.ErrBudget):
		w.due(t)
		w.oracle.mu.Lock()
		w.oracle.spent++
		t.spent = true
		w.oracle.mu.Unlock()
		finish(refused, 0)
		return t
	case errors.Is(err, turnstore.ErrNoTurn):
		if must {
			w.fail("LOST: 404 at %s for %s, which ended whole at %v and is to be kept for %v", a.front.name, o.Previous, a.previous.ended, a.previous.retain)
		}
		w.oracle.mu.Lock()
		w.oracle.none++
		t.none = true
		w.oracle.mu.Unlock()
		finish(refused, 0)
		return t
	case err != nil:
		w.oracle.mu.Lock()
		w.oracle.unsure++
		w.oracle.mu.Unlock()
		finish(refused, 0)
		return t
	}
	if a.previous != nil && !bytes.Equal(opened.History, a.previous.bytes) {
		w.fail("UNASKED: %s of %s at %s continues from %s with %d bytes %.60q.., of which %d were told: %.60q..", t.id, t.program, a.front.name, o.Previous,
			len(opened.History), opened.History, len(a.previous.bytes), a.previous.bytes)
		return t
	}
	if a.previous == nil && len(opened.History) > 0 {
		w.fail("UNASKED: %s begins with a history", t.id)
	}
	w.hold(a.program, t.id, a.need)
	if w.fault == settleBefore {
		l.client.Settle(a.program, t.id, a.used/2)
	}
	gate := a.gate
	if gate == nil {
		gate = make(chan struct{})
		time.AfterFunc(a.runs, func() { close(gate) })
	}
	select {
	case <-gate:
	case <-l.ctx.Done():
		finish(broken, a.used) // half streamed
		return t
	}
	a.front.thawed()
	if l.ctx.Err() != nil {
		finish(broken, a.used)
		return t
	}
	if a.ending == broken {
		w.hold(a.program, t.id, a.used)
		l.client.Settle(a.program, t.id, a.used)
		finish(broken, a.used)
		return t
	}
	input, output := []byte("<"+t.id+" asks>\n"), []byte("<"+t.id+" says>\n")
	w.oracle.mu.Lock()
	t.bytes = append(append(append([]byte{}, opened.History...), input...), output...)
	w.oracle.mu.Unlock()
	w.hold(a.program, t.id, a.used)
	record := opened.Record(input, output, a.used, a.retain)
	if w.fault == endBeforeSync {
		finish(whole, a.used)
		ctx, stop := context.WithTimeout(l.ctx, time.Millisecond)
		_ = l.client.Close(ctx, record)
		stop()
		return t
	}
	ctx, stop = context.WithTimeout(l.ctx, 6*time.Second)
	err = l.client.Close(ctx, record)
	stop()
	a.front.thawed()
	if err != nil || l.ctx.Err() != nil {
		finish(broken, a.used)
		return t
	}
	finish(whole, a.used)
	return t
}

// program gives a new program.
func (w *world) program(all int) string {
	w.oracle.mu.Lock()
	defer w.oracle.mu.Unlock()
	name := fmt.Sprintf("p%d", len(w.oracle.programs))
	w.oracle.programs[name] = &budget{all: all, held: map[string]int{}}
	return name
}

// any gives a turn that ended whole and is still kept, at random; nil if there is none.
func (w *world) any(rng *rand.Rand) *told {
	w.oracle.mu.Lock()
	defer w.oracle.mu.Unlock()
	var all []*told
	for _, b := range w.oracle.programs {
		for _, t := range b.turns {
			if t.how == whole && w.now() < t.ended+t.retain {
				all = append(all, t)
			}
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *told) int { return int(a.ended - b.ended) })
	if rng.IntN(2) == 0 {
		return all[len(all)-1-rng.IntN(min(len(all), 4))]
	}
	return all[rng.IntN(len(all))]
}

func (w *world) front(rng *rand.Rand) *front { return w.fronts[rng.IntN(len(w.fronts))] }

// agent plays one line of turns of a program until the course's traffic ends.
func (w *world) agent(n int, program string, need int, retain time.Duration, until time.Duration, hurry bool) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(1000+n)))
	var last *told
	spent := 0
	for w.now() < until {
		pause := time.Duration(rng.Int64N(int64(3 * time.Second)))
		runs := time.Duration(rng.Int64N(int64(2*time.Second))) + 20*time.Millisecond
		if hurry {
			pause, runs = pause/10, runs/10
		}
		if rng.IntN(25) == 0 && !hurry {
			pause += time.Duration(rng.Int64N(int64(retain))) // close to its end
		}
		if !w.sleep(pause) {
			return
		}
		from := last
		switch rng.IntN(12) {
		case 0:
			from = w.any(rng) // a fork, or another program's turn
		case 1:
			if rng.IntN(3) == 0 {
				from = nil
			}
		}
		if from != nil && w.now() > from.ended+from.retain {
			from = nil
		}
		ending := whole
		if rng.IntN(8) == 0 {
			ending = broken
		}
		take := 1 + rng.IntN(need)
		for range 3 { // a turn that failed is sent again from its start
			t := w.turn(ask{front: w.front(rng), program: program, previous: from, need: take, runs: runs, used: rng.IntN(take + 1), ending: ending, retain: retain})
			if t.how == whole {
				last = t
				break
			}
			if t.spent {
				spent++
				if hurry && !w.sleep(time.Duration(rng.Int64N(int64(4*time.Second)))) {
					return
				}
				break
			}
			if !w.sleep(100*time.Millisecond + time.Duration(rng.Int64N(int64(300*time.Millisecond)))) {
				return
			}
		}
		if spent > 2 && !hurry { // the budget is spent: another program
			w.oracle.mu.Lock()
			all := w.oracle.programs[program].all
			w.oracle.mu.Unlock()
			program, spent = w.program(all), 0
		}
	}
}

// burst has sub-agents of new programs open turns at once, through all fronts, where the budget has room for a few.
func (w *world) burst(until time.Duration) {
	rng := rand.New(rand.NewPCG(w.seed, 3000))
	for w.now() < until && w.sleep(time.Duration(rng.Int64N(int64(4*time.Second)))) {
		need := 2 + rng.IntN(4)
		program := w.program(need * (1 + rng.IntN(4)))
		var agents sync.WaitGroup
		for range 3 + rng.IntN(8) {
			after := time.Duration(rng.Int64N(int64(8 * time.Millisecond)))
			f, take, used := w.front(rng), need-rng.IntN(2), rng.IntN(need)
			runs := time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
			agents.Go(func() {
				if w.sleep(after) {
					w.turn(ask{front: f, program: program, need: take, runs: runs, used: min(used, take), ending: whole, retain: 25 * time.Second})
				}
			})
		}
		agents.Wait()
	}
}

// reader asks for turns that are kept, now and then just before their time is over, and for some that never were.
func (w *world) reader(n int, until time.Duration) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(2000+n)))
	program := w.program(1 << 40)
	for w.now() < until {
		if !w.sleep(time.Duration(rng.Int64N(int64(400 * time.Millisecond)))) {
			return
		}
		t := w.any(rng)
		if t == nil {
			continue
		}
		switch rng.IntN(10) {
		case 0:
			t = &told{id: "never"}
		case 1, 2, 3:
			if wait := t.ended + t.retain - w.now() - time.Duration(1+rng.IntN(30))*time.Millisecond; wait > 0 && wait < 20*time.Second && !w.sleep(wait) {
				return
			}
		}
		w.turn(ask{front: w.front(rng), program: program, previous: t, need: 1, ending: broken})
	}
}

// watch looks at what stores hold: what one has dropped does not come back there.
func (w *world) watch() {
	for w.sleep(500 * time.Millisecond) {
		w.mu.Lock()
		stores := slices.Clone(w.stores)
		w.mu.Unlock()
		for _, m := range stores {
			l := m.life.Load()
			if l == nil {
				continue
			}
			if w.fault == goneForgotten {
				l.store.ForgetGone()
			}
			now := map[string]bool{}
			for _, ids := range l.store.Turns() {
				for _, id := range ids {
					now[id] = true
					if has, had := l.had[id]; had && !has {
						w.oracle.mu.Lock()
						t := w.oracle.turns[id]
						// A program's turns are kept together, from its last use on; what is under way may come for a while.
						late := w.now() > w.oracle.used[t.program]+t.retain+turnstore.KeepMargin+messageLives
						w.oracle.mu.Unlock()
						if late {
							w.fail("EXPIRED: %s has %s of %s again, which ended at %v and was to be kept for %v", m.name, id, t.program, t.ended, t.retain)
						}
					}
					l.had[id] = true
				}
			}
			for id := range l.had {
				if !now[id] && l.had[id] {
					l.had[id] = false
					w.note(m.name, "drops %s", id)
				}
			}
		}
	}
}

// Troubles.

// storeTroubles plays troubles at one store at a time, with the time to catch up between them.
func (w *world) storeTroubles(rng *rand.Rand, until time.Duration) {
	span := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	for w.now() < until {
		if !w.sleep(span(200*time.Millisecond, 8*time.Second)) {
			return
		}
		w.mu.Lock()
		m := w.stores[rng.IntN(len(w.stores))]
		w.mu.Unlock()
		if m.life.Load() == nil {
			continue
		}
		w.alone <- struct{}{} // of the stores no more than one is in trouble
		w.trouble(rng, m, span)
		<-w.alone
	}
}

// trouble plays one, and the time to catch up after it.
func (w *world) trouble(rng *rand.Rand, m *machine, span func(lo, hi time.Duration) time.Duration) {
	away := span(50*time.Millisecond, 9*time.Second)
	if rng.IntN(6) == 0 {
		away = span(20*time.Second, 50*time.Second)
	}
	w.troubled(w.now() + away + catchUp)
	lost := false
	switch rng.IntN(9) {
	case 7: // power is lost everywhere
		w.mu.Lock()
		var all []*machine
		for _, m := range w.stores {
			if m.life.Load() != nil {
				all = append(all, m)
			}
		}
		w.mu.Unlock()
		for _, m := range all {
			m.kill(true)
		}
		if !w.sleep(away / 4) {
			return
		}
		for _, m := range all {
			m.start()
		}
	case 8: // a copy gets nothing for a while, then another is lost
		w.mu.Lock()
		other := w.stores[rng.IntN(len(w.stores))]
		w.mu.Unlock()
		if other == m {
			return
		}
		w.note(other.name, "not reached by fronts")
		for _, f := range w.fronts {
			w.cut(f.name, other.name)
		}
		if !w.sleep(span(200*time.Millisecond, 2*time.Second)) {
			return
		}
		m.kill(true)
		m.wipe()
		for _, f := range w.fronts {
			w.join(f.name, other.name)
		}
		if !w.sleep(away / 20) {
			return
		}
		m.start()
		lost = true
	case 0:
		m.kill(false)
		if !w.sleep(away) {
			return
		}
		m.start()
	case 1:
		m.kill(true)
		if !w.sleep(away) {
			return
		}
		m.start()
	case 2, 3:
		m.kill(true)
		m.wipe()
		if !w.sleep(away / 4) {
			return
		}
		m.start()
		lost = true
	case 4:
		m.freeze()
		if !w.sleep(away) {
			return
		}
		m.thaw()
	case 5:
		oneWay := rng.IntN(2) == 0
		w.note(m.name, "cut off, one way %v", oneWay)
		for _, n := range append(w.nodes(), &node{name: "core"}) {
			if n != &m.node {
				w.cut(n.name, m.name)
				if !oneWay {
					w.cut(m.name, n.name)
				}
			}
		}
		if !w.sleep(away) {
			return
		}
		for _, n := range append(w.nodes(), &node{name: "core"}) {
			w.join(n.name, m.name)
			w.join(m.name, n.name)
		}
		w.note(m.name, "joined")
	case 6:
		w.note(m.name, "slow disk")
		m.slow(200 * time.Millisecond)
		if !w.sleep(away) {
			return
		}
		m.slow(0)
		w.note(m.name, "disk well")
	}
	if !w.sleep(catchUp) {
		return
	}
	if lost {
		w.caughtUp(m)
	}
}

// caughtUp: a store whose disk was lost has all that it should hold once the time to catch up is over.
func (w *world) caughtUp(m *machine) {
	w.core.mu.Lock()
	p := w.core.place
	w.core.mu.Unlock()
	if p == nil || m.life.Load() == nil {
		return
	}
	for range 2 { // an order of the operator may have begun another change meanwhile
		if slices.ContainsFunc(p.Old, func(s turnstore.Store) bool { return s.ID == m.disk().id }) || w.core.isRetired(m.disk().id) || w.fault != "" {
			return
		}
	}
	if m.life.Load().store.SweptGeneration() < p.Generation {
		w.fail("%s has not caught up %v after it came back without its disk: %s", m.name, catchUp, show(p))
	}
}

func (c *core) isRetired(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired[id]
}

// frontTroubles kills, freezes and cuts fronts; the rules about turns and budgets hold all the same.
func (w *world) frontTroubles(rng *rand.Rand, until time.Duration) {
	span := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	for w.now() < until {
		if !w.sleep(span(200*time.Millisecond, 6*time.Second)) {
			return
		}
		f := w.front(rng)
		w.mu.Lock()
		m := w.stores[rng.IntN(len(w.stores))]
		w.mu.Unlock()
		away := span(20*time.Millisecond, 5*time.Second)
		w.troubled(w.now() + away + 10*time.Second)
		switch rng.IntN(4) {
		case 0:
			f.kill()
			if !w.sleep(away) {
				return
			}
			f.start()
		case 1:
			f.freeze()
			if !w.sleep(away) {
				return
			}
			f.thaw()
		case 2:
			a, b := f.name, m.name
			if rng.IntN(2) == 0 {
				a, b = b, a
			}
			both := rng.IntN(2) == 0
			w.note(f.name, "cut %s>%s both %v", a, b, both)
			w.cut(a, b)
			if both {
				w.cut(b, a)
			}
			if !w.sleep(away) {
				return
			}
			w.join(a, b)
			w.join(b, a)
		case 3:
			w.note(f.name, "cut from the core")
			w.cut("core", f.name)
			if !w.sleep(away * time.Duration(1+3*rng.IntN(2))) {
				return
			}
			w.join("core", f.name)
		}
	}
}

// orders adds stores, and retires them; one that is complete loses its disk at once.
func (w *world) orders(rng *rand.Rand, until time.Duration) {
	most, pause := 4, 20*time.Second
	if rng.IntN(3) == 0 { // machines are replaced one after the other
		most, pause = 12, 3*time.Second
	}
	for n := 0; w.now() < until && n < most; n++ {
		if !w.sleep(time.Duration(rng.Int64N(int64(pause)))) {
			return
		}
		if rng.IntN(2) == 0 {
			m := w.addStore(fmt.Sprintf("s%d", len(w.stores)), fmt.Sprintf("z%d", rng.IntN(2)))
			w.note(m.name, "added")
			continue
		}
		w.mu.Lock()
		m := w.stores[rng.IntN(len(w.stores))]
		w.mu.Unlock()
		id := m.disk().id
		if m.life.Load() == nil || !w.core.retire(id) {
			continue
		}
		w.note(m.name, "to be emptied")
		for range 600 {
			if !w.sleep(100 * time.Millisecond) {
				return
			}
			if w.core.complete(id) {
				break
			}
		}
		if m.disk().id == id && w.core.complete(id) {
			w.note(m.name, "complete")
			w.alone <- struct{}{}
			if w.troubled(w.now() + catchUp); rng.IntN(2) == 0 && !w.sleep(time.Duration(rng.Int64N(int64(3*time.Second)))) {
				<-w.alone
				return
			}
			if m.disk().id != id { // it has come back as a new store meanwhile
				<-w.alone
				continue
			}
			m.kill(true)
			m.wipe()
			w.mu.Lock()
			other := w.stores[rng.IntN(len(w.stores))]
			w.mu.Unlock()
			if other.life.Load() != nil { // which may go together with one more
				other.kill(true)
				other.wipe()
				other.start()
				w.sleep(catchUp)
			}
			<-w.alone
		}
	}
}

// finish ends all trouble and checks that all is as it should be.
func (w *world) finish(rng *rand.Rand) {
	for _, n := range w.nodes() {
		n.thaw()
	}
	w.mu.Lock()
	var cuts [][2]string
	for k := range w.cuts {
		cuts = append(cuts, k)
	}
	w.mu.Unlock()
	for _, k := range cuts {
		w.join(k[0], k[1])
	}
	for _, f := range w.fronts {
		f.start()
	}
	for _, m := range w.stores {
		if m.life.Load() == nil && !w.core.isRetired(m.disk().id) {
			m.start()
		}
	}
	if w.over() || !w.sleep(25*time.Second) {
		return
	}
	w.core.mu.Lock()
	p := w.core.place
	w.core.mu.Unlock()
	if len(p.New) > 0 {
		w.fail("the placement is not stable 25 s after all trouble: %s", show(p))
		return
	}
	if !w.noDigest {
		for _, m := range w.stores { // each with each other, as time would do
			if l := m.life.Load(); l != nil && m.placement() == p {
				if err := l.store.Compare(l.ctx); err != nil {
					w.fail("%s compares: %v", m.name, err)
				}
			}
		}
	}
	w.oracle.mu.Lock()
	var kept []*told
	programs := map[string]bool{}
	for _, b := range w.oracle.programs {
		for _, t := range b.turns {
			if t.how == whole && w.now() < t.ended+t.retain-2*time.Second {
				kept = append(kept, t)
				programs[t.program] = true
			}
		}
	}
	w.oracle.mu.Unlock()
	slices.SortFunc(kept, func(a, b *told) int { return int(a.ended - b.ended) })
	copies := 0
	for _, t := range kept {
		for _, s := range p.ReplicaSets(t.program)[0] {
			if l := w.at(s.Addr).life.Load(); l != nil && l.store.Has(t.id) {
				copies++
			} else if !w.noDigest {
				w.fail("COPIES: %s of %s lacks %s, kept until %v", s.ID, t.program, t.id, t.ended+t.retain)
				return
			}
		}
	}
	if !w.noDigest {
		for program := range programs {
			var first uint64
			for i, s := range p.ReplicaSets(program)[0] {
				l := w.at(s.Addr).life.Load().store.Ledger(program)
				if i == 0 {
					first = l.Digest()
				} else if l.Digest() != first {
					w.fail("COPIES: ledgers of %s differ", program)
					return
				}
			}
		}
	}
	// One store's disk is lost without a warning, and what is kept is read from another program at fresh fronts.
	lost := w.at(p.Old[rng.IntN(len(p.Old))].Addr)
	lost.kill(true)
	lost.wipe()
	f := w.addFront("fresh", "z0")
	if !w.sleep(500 * time.Millisecond) {
		return
	}
	reader := w.program(1 << 40)
	rng.Shuffle(len(kept), func(i, j int) { kept[i], kept[j] = kept[j], kept[i] })
	for _, t := range kept[:min(len(kept), 40)] {
		if w.now() > t.ended+t.retain-time.Second {
			continue
		}
		how := refused
		for try := 0; how == refused && try < 3; try++ {
			how = w.turn(ask{front: f, program: reader, previous: t, need: 1, ending: broken}).how
			w.sleep(time.Duration(1+try) * 300 * time.Millisecond)
		}
		if how == refused && !w.over() {
			w.fail("LOST: %s is not read with %s lost", t.id, lost.name)
			return
		}
	}
	if w.over() {
		return
	}
	lost.start()
	// Once nothing is asked for, all turns go.
	if w.seed%16 != 0 {
		return
	}
	if !w.sleep(6*time.Minute + turnstore.OpenKeeps + 3*turnstore.KeepMargin) {
		return
	}
	for _, m := range w.stores {
		if l := m.life.Load(); l != nil {
			if _, n := l.store.Counts(); n > 0 {
				w.fail("EXPIRED: %s has %d turns still", m.name, n)
			}
			m.disk().mu.Lock()
			if n := len(m.disk().tables[turnstore.Bodies]); n > 0 {
				w.fail("EXPIRED: the disk of %s has %d turns still", m.name, n)
			}
			m.disk().mu.Unlock()
		}
	}
}

// close ends all that the course runs.
func (w *world) close() {
	w.mu.Lock()
	if !w.ended {
		w.ended = true
		close(w.ends)
	}
	w.mu.Unlock()
	for _, n := range w.nodes() {
		n.thaw()
	}
	w.mu.Lock()
	for k, c := range w.cuts {
		close(c)
		delete(w.cuts, k)
	}
	w.mu.Unlock()
	for _, f := range w.fronts {
		f.kill()
	}
	for _, m := range w.stores {
		m.disk().goOn()
		m.kill(false)
	}
	w.wg.Wait()
}

// course plays one drawn course.
func course(t *testing.T, seed uint64, f fault) *world {
	return courseWith(t, seed, f, (*world).storeTroubles)
}

// courseWith plays one drawn course with the given troubles of stores.
func courseWith(t *testing.T, seed uint64, f fault, storeTroubles func(*world, *rand.Rand, time.Duration)) (w *world) {
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(seed, f)
		rng := rand.New(rand.NewPCG(seed, 11))
		w.noDigest = seed%8 == 5
		for i := range 3 + rng.IntN(3) {
			w.addStore(fmt.Sprintf("s%d", i), fmt.Sprintf("z%d", i%2))
		}
		w.wg.Go(func() { w.core.run(w) })
		for i := range 2 + rng.IntN(2) {
			w.addFront(fmt.Sprintf("f%d", i), fmt.Sprintf("z%d", i%2))
		}
		until := time.Duration(25+rng.IntN(40)) * time.Second
		var traffic sync.WaitGroup
		traffic.Go(func() { w.watchUntil(until) })
		w.wg.Go(w.watch)
		w.sleep(6 * time.Second)
		n := 0
		for range 2 + rng.IntN(3) {
			need := 1 + rng.IntN(6)
			retain := time.Duration(25+rng.IntN(20)) * time.Second
			if rng.IntN(3) == 0 {
				retain = 300 * time.Second
			}
			program := w.program(need * (1 + rng.IntN(40)))
			hurry := rng.IntN(5) == 0 // a program that runs away
			lines := 1 + rng.IntN(3)
			if hurry {
				lines = 8
			}
			for range lines {
				n++
				number := n
				traffic.Go(func() { w.agent(number, program, need, retain, until, hurry) })
			}
		}
		for i := range 2 {
			traffic.Go(func() { w.reader(i, until) })
		}
		traffic.Go(func() { w.burst(until) })
		for i, play := range []func(*world, *rand.Rand, time.Duration){storeTroubles, (*world).frontTroubles, (*world).orders} {
			if rng.IntN(4) > 0 {
				traffic.Go(func() { play(w, rand.New(rand.NewPCG(seed, uint64(20+i))), until-10*time.Second) })
			}
		}
		traffic.Wait()
		if !w.over() {
			w.finish(rng)
		}
		w.lackingOnDisk()
		w.close()
	})
	return w
}

func (w *world) watchUntil(until time.Duration) { w.sleep(until - w.now()) }

func TestDrawnCoursesKeepTheRules(t *testing.T) {
	var mu sync.Mutex
	var sum oracle
	seeds := make(chan uint64)
	drawn, workers := *courses, 4
	if raceDetector {
		drawn, workers = min(drawn, 12), 1
	}
	t.Run("courses", func(t *testing.T) {
		go func() {
			for i := range drawn {
				seeds <- *firstSeed + uint64(i)
			}
			close(seeds)
		}()
		for i := range workers {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds {
					w := course(t, seed, "")
					if len(w.broken) > 0 {
						t.Errorf("%s\n%s", w.broken[0], w.timeline(80))
					}
					mu.Lock()
					sum.whole += w.oracle.whole
					sum.spent += w.oracle.spent
					sum.unsure += w.oracle.unsure
					sum.none += w.oracle.none
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("%d courses: %d turns whole, %d with 402, %d with 404, %d with 503", drawn, sum.whole, sum.spent, sum.none, sum.unsure)
	if sum.whole < 20*drawn || sum.spent < drawn || sum.none < drawn {
		t.Error("the courses prove little")
	}
}

// faultSeeds is how many courses are drawn to find a planted fault in; they are played again and again, since the order in which
// goroutines run differs from play to play, and a course shows a fault in nearly all of its plays, not in each.
const faultSeeds = 60

// The courses find what each part is for: a defect is planted, and courses are played until one shows it.
func TestCoursesFindPlantedFaults(t *testing.T) {
	faults := []fault{majorityOfOne, sweepNoLedgers, settleBefore, noReservation, noSync, oldIdentity, mendNoLedger, endBeforeSync, partIsWhole}
	if raceDetector {
		faults = faults[:4] // found by the first courses
	}
	for _, f := range faults {
		t.Run(string(f), func(t *testing.T) {
			if !raceDetector {
				t.Parallel()
			}
			for play := range uint64(*faultCourses) {
				seed := play % faultSeeds
				if w := course(t, 1+seed, f); len(w.broken) > 0 {
					t.Logf("found by course %d: %s", 1+seed, w.broken[0])
					return
				}
			}
			t.Errorf("not found by %d courses", *faultCourses)
		})
	}
}
