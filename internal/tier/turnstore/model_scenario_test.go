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

var scenarios = flag.Int("courses", 100, "drawn courses of the model")
var faultScenarios = flag.Int("fault-courses", 300, "courses to find a planted fault in, at most")
var firstSeed = flag.Uint64("seed", 1, "of the first course")

const settledAfter = time.Second // as long ago a turn must have ended for what it used to count

// turnRecord is what clients were turnRecord of a turn.
type turnRecord struct {
	id, program, previous    string
	bytes                    []byte // the whole history that continues from it; nil before its Close was tried
	need, used               int
	began, ended             time.Duration
	outcome                  outcome
	budgetExceeded, notFound bool // refused with 402, 404
	retain                   time.Duration
}

type outcome int

const (
	inProgress outcome = iota
	completed          // answered whole: its Close was acknowledged
	rejected           // 402, 404 or 503
	aborted            // broke off
)

func (t *turnRecord) String() string {
	switch {
	case t.budgetExceeded:
		return "402"
	case t.notFound:
		return "404"
	}
	return [...]string{"under way", "whole", "503", "broken"}[t.outcome]
}

type programBudget struct {
	all      int
	turns    []*turnRecord
	reserved map[string]int // granted turns: at their most, then what they used
}

// oracle knows what must hold.
type oracle struct {
	faults         atomic.Int64
	mu             sync.Mutex
	turns          map[string]*turnRecord
	programs       map[string]*programBudget
	used           map[string]time.Duration // last use of a program
	ids            int
	faultsUntil    time.Duration // the last trouble's end, at least
	completed      int
	budgetExceeded int
	unavailable    int
	notFound       int
}

// faultUntil notes that something is in trouble until then.
func (w *simulation) faultUntil(until time.Duration) {
	w.oracle.faults.Add(1)
	w.oracle.mu.Lock()
	defer w.oracle.mu.Unlock()
	w.oracle.faultsUntil = max(w.oracle.faultsUntil, until)
}

// reserve notes what a granted turn holds; all of a program together must keep within its budget.
func (w *simulation) reserve(program, turn string, tokens int) {
	w.oracle.mu.Lock()
	b := w.oracle.programs[program]
	b.reserved[turn] = tokens
	sum := 0
	for _, n := range b.reserved {
		sum += n
	}
	w.oracle.mu.Unlock()
	if sum > b.all {
		w.violation("BUDGET: turns of %s hold %d of %d", program, sum, b.all)
	}
}

// checkBudgetRejection checks a 402.
func (w *simulation) checkBudgetRejection(t *turnRecord) {
	w.oracle.mu.Lock()
	b := w.oracle.programs[t.program]
	sum := t.need
	for _, o := range b.turns {
		switch {
		case o == t:
		case o.outcome == completed && w.now()-o.ended >= settledAfter:
			sum += o.used
		case o.outcome == rejected && w.now()-o.ended >= settledAfter && o.began > w.oracle.faultsUntil:
			// In trouble a front can not take a reservation back for a while.
		default:
			sum += o.need
		}
	}
	w.oracle.mu.Unlock()
	if sum <= b.all {
		w.violation("REFUSED: 402 for %s of %s, yet %d of %d fit", t.id, t.program, sum, b.all)
	}
}

// Fronts.

type front struct {
	node
	incarnation atomic.Pointer[frontIncarnation]
}

type frontIncarnation struct {
	ctx    context.Context
	stop   context.CancelFunc
	client *turnstore.Client
}

func (w *simulation) addFront(name, zone string) *front {
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
	if f.incarnation.Load() != nil {
		return
	}
	l := &frontIncarnation{}
	l.ctx, l.stop = context.WithCancel(context.Background())
	f.received.Store(nil)
	l.client = turnstore.NewClientOn(endpoint{n: &f.node, ctx: l.ctx}, f.placement, f.zone)
	f.incarnation.Store(l)
	f.w.controller.sendPlacement(f.w, &f.node)
}

func (f *front) kill() {
	l := f.incarnation.Swap(nil)
	if l == nil {
		return
	}
	f.w.note(f.name, "killed")
	l.stop()
	f.thaw()
	l.client.Shutdown(l.ctx)
}

// turn asks one front for a turn and plays it. ending: how it goes, if it may run.
type turnScript struct {
	front    *front
	program  string
	previous *turnRecord // nil at the start
	need     int
	runs     time.Duration
	used     int
	ending   outcome // whole, or broken
	retain   time.Duration
	gate     chan struct{} // it runs until then, nil: for runs
	started  func(t *turnRecord)
}

// runTurn gives what became of it; the history that it was given is checked.
func (w *simulation) runTurn(a turnScript) *turnRecord {
	l := a.front.incarnation.Load()
	w.oracle.mu.Lock()
	w.oracle.ids++
	t := &turnRecord{id: fmt.Sprintf("t%d", w.oracle.ids), program: a.program, need: a.need, began: w.now(), retain: a.retain}
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
		must = a.previous.outcome == completed && w.now() < a.previous.ended+a.previous.retain
	}
	w.oracle.mu.Unlock()
	if a.started != nil {
		a.started(t)
	}
	finish := func(how outcome, used int) {
		w.oracle.mu.Lock()
		defer w.oracle.mu.Unlock()
		t.outcome, t.used, t.ended = how, used, w.now()
		w.oracle.used[a.program] = w.now()
		switch how {
		case completed:
			w.oracle.completed++
		}
	}
	if l == nil {
		finish(rejected, 0)
		return t
	}
	ctx, stop := context.WithTimeout(l.ctx, 5*time.Second)
	opened, err := l.client.Open(ctx, o)
	stop()
	a.front.awaitThaw()
	if l.ctx.Err() != nil { // the front is gone, and the client hears nothing
		finish(aborted, 0)
		return t
	}
	switch {
	case errors.Is(err, turnstore.ErrBudget):
		w.checkBudgetRejection(t)
		w.oracle.mu.Lock()
		w.oracle.budgetExceeded++
		t.budgetExceeded = true
		w.oracle.mu.Unlock()
		finish(rejected, 0)
		return t
	case errors.Is(err, turnstore.ErrNoTurn):
		if must {
			w.violation("LOST: 404 at %s for %s, which ended whole at %v and is to be kept for %v", a.front.name, o.Previous, a.previous.ended, a.previous.retain)
		}
		w.oracle.mu.Lock()
		w.oracle.notFound++
		t.notFound = true
		w.oracle.mu.Unlock()
		finish(rejected, 0)
		return t
	case err != nil:
		w.oracle.mu.Lock()
		w.oracle.unavailable++
		w.oracle.mu.Unlock()
		finish(rejected, 0)
		return t
	}
	if a.previous != nil && !bytes.Equal(opened.History, a.previous.bytes) {
		w.violation("UNASKED: %s of %s at %s continues from %s with %d bytes %.60q.., of which %d were told: %.60q..", t.id, t.program, a.front.name, o.Previous,
			len(opened.History), opened.History, len(a.previous.bytes), a.previous.bytes)
		return t
	}
	if a.previous == nil && len(opened.History) > 0 {
		w.violation("UNASKED: %s begins with a history", t.id)
	}
	w.reserve(a.program, t.id, a.need)
	if w.fault == settleBeforeEnd {
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
		finish(aborted, a.used) // half streamed
		return t
	}
	a.front.awaitThaw()
	if l.ctx.Err() != nil {
		finish(aborted, a.used)
		return t
	}
	if a.ending == aborted {
		w.reserve(a.program, t.id, a.used)
		l.client.Settle(a.program, t.id, a.used)
		finish(aborted, a.used)
		return t
	}
	input, output := []byte("<"+t.id+" asks>\n"), []byte("<"+t.id+" says>\n")
	w.oracle.mu.Lock()
	t.bytes = append(append(append([]byte{}, opened.History...), input...), output...)
	w.oracle.mu.Unlock()
	w.reserve(a.program, t.id, a.used)
	record := opened.Record(input, output, a.used, a.retain)
	if w.fault == endBeforeSync {
		finish(completed, a.used)
		ctx, stop := context.WithTimeout(l.ctx, time.Millisecond)
		_ = l.client.Close(ctx, record)
		stop()
		return t
	}
	ctx, stop = context.WithTimeout(l.ctx, 6*time.Second)
	err = l.client.Close(ctx, record)
	stop()
	a.front.awaitThaw()
	if err != nil || l.ctx.Err() != nil {
		finish(aborted, a.used)
		return t
	}
	finish(completed, a.used)
	return t
}

// newProgram gives a new newProgram.
func (w *simulation) newProgram(all int) string {
	w.oracle.mu.Lock()
	defer w.oracle.mu.Unlock()
	name := fmt.Sprintf("p%d", len(w.oracle.programs))
	w.oracle.programs[name] = &programBudget{all: all, reserved: map[string]int{}}
	return name
}

// randomTurn gives a turn that ended whole and is still kept, at random; nil if there is none.
func (w *simulation) randomTurn(rng *rand.Rand) *turnRecord {
	w.oracle.mu.Lock()
	defer w.oracle.mu.Unlock()
	var all []*turnRecord
	for _, b := range w.oracle.programs {
		for _, t := range b.turns {
			if t.outcome == completed && w.now() < t.ended+t.retain {
				all = append(all, t)
			}
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b *turnRecord) int { return int(a.ended - b.ended) })
	if rng.IntN(2) == 0 {
		return all[len(all)-1-rng.IntN(min(len(all), 4))]
	}
	return all[rng.IntN(len(all))]
}

func (w *simulation) randomFront(rng *rand.Rand) *front { return w.fronts[rng.IntN(len(w.fronts))] }

// runAgent plays one line of turns of a program until the course's traffic ends.
func (w *simulation) runAgent(n int, program string, need int, retain time.Duration, until time.Duration, hurry bool) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(1000+n)))
	var last *turnRecord
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
			from = w.randomTurn(rng) // a fork, or another program's turn
		case 1:
			if rng.IntN(3) == 0 {
				from = nil
			}
		}
		if from != nil && w.now() > from.ended+from.retain {
			from = nil
		}
		ending := completed
		if rng.IntN(8) == 0 {
			ending = aborted
		}
		take := 1 + rng.IntN(need)
		for range 3 { // a turn that failed is sent again from its start
			t := w.runTurn(turnScript{front: w.randomFront(rng), program: program, previous: from, need: take, runs: runs, used: rng.IntN(take + 1), ending: ending, retain: retain})
			if t.outcome == completed {
				last = t
				break
			}
			if t.budgetExceeded {
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
			program, spent = w.newProgram(all), 0
		}
	}
}

// runBursts has sub-agents of new programs open turns at once, through all fronts, where the budget has room for a few.
func (w *simulation) runBursts(until time.Duration) {
	rng := rand.New(rand.NewPCG(w.seed, 3000))
	for w.now() < until && w.sleep(time.Duration(rng.Int64N(int64(4*time.Second)))) {
		need := 2 + rng.IntN(4)
		program := w.newProgram(need * (1 + rng.IntN(4)))
		var agents sync.WaitGroup
		for range 3 + rng.IntN(8) {
			after := time.Duration(rng.Int64N(int64(8 * time.Millisecond)))
			f, take, used := w.randomFront(rng), need-rng.IntN(2), rng.IntN(need)
			runs := time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
			agents.Go(func() {
				if w.sleep(after) {
					w.runTurn(turnScript{front: f, program: program, need: take, runs: runs, used: min(used, take), ending: completed, retain: 25 * time.Second})
				}
			})
		}
		agents.Wait()
	}
}

// runReader asks for turns that are kept, now and then just before their time is over, and for some that never were.
func (w *simulation) runReader(n int, until time.Duration) {
	rng := rand.New(rand.NewPCG(w.seed, uint64(2000+n)))
	program := w.newProgram(1 << 40)
	for w.now() < until {
		if !w.sleep(time.Duration(rng.Int64N(int64(400 * time.Millisecond)))) {
			return
		}
		t := w.randomTurn(rng)
		if t == nil {
			continue
		}
		switch rng.IntN(10) {
		case 0:
			t = &turnRecord{id: "never"}
		case 1, 2, 3:
			if wait := t.ended + t.retain - w.now() - time.Duration(1+rng.IntN(30))*time.Millisecond; wait > 0 && wait < 20*time.Second && !w.sleep(wait) {
				return
			}
		}
		w.runTurn(turnScript{front: w.randomFront(rng), program: program, previous: t, need: 1, ending: aborted})
	}
}

// watchExpiry looks at what stores hold: what one has dropped does not come back there.
func (w *simulation) watchExpiry() {
	for w.sleep(500 * time.Millisecond) {
		w.mu.Lock()
		stores := slices.Clone(w.stores)
		w.mu.Unlock()
		for _, m := range stores {
			l := m.incarnation.Load()
			if l == nil {
				continue
			}
			if w.fault == expiredForgotten {
				l.store.ForgetExpired()
			}
			now := map[string]bool{}
			for _, ids := range l.store.Turns() {
				for _, id := range ids {
					now[id] = true
					if has, had := l.seen[id]; had && !has {
						w.oracle.mu.Lock()
						t := w.oracle.turns[id]
						// A program's turns are kept together, from its last use on; what is under way may come for a while.
						late := w.now() > w.oracle.used[t.program]+t.retain+turnstore.KeepMargin+messageLifetime
						w.oracle.mu.Unlock()
						if late {
							w.violation("EXPIRED: %s has %s of %s again, which ended at %v and was to be kept for %v", m.name, id, t.program, t.ended, t.retain)
						}
					}
					l.seen[id] = true
				}
			}
			for id := range l.seen {
				if !now[id] && l.seen[id] {
					l.seen[id] = false
					w.note(m.name, "drops %s", id)
				}
			}
		}
	}
}

// Troubles.

// storeFaults plays troubles at one store at a time, with the time to catch up between them.
func (w *simulation) storeFaults(rng *rand.Rand, until time.Duration) {
	span := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	for w.now() < until {
		if !w.sleep(span(200*time.Millisecond, 8*time.Second)) {
			return
		}
		w.mu.Lock()
		m := w.stores[rng.IntN(len(w.stores))]
		w.mu.Unlock()
		if m.incarnation.Load() == nil {
			continue
		}
		w.storeFaultSlot <- struct{}{} // of the stores no more than one is in trouble
		w.storeFault(rng, m, span)
		<-w.storeFaultSlot
	}
}

// storeFault plays one, and the time to catch up after it.
func (w *simulation) storeFault(rng *rand.Rand, m *machine, span func(lo, hi time.Duration) time.Duration) {
	away := span(50*time.Millisecond, 9*time.Second)
	if rng.IntN(6) == 0 {
		away = span(20*time.Second, 50*time.Second)
	}
	w.faultUntil(w.now() + away + catchUp)
	lost := false
	switch rng.IntN(9) {
	case 7: // power is lost everywhere
		w.mu.Lock()
		var all []*machine
		for _, m := range w.stores {
			if m.incarnation.Load() != nil {
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
			w.partition(f.name, other.name)
		}
		if !w.sleep(span(200*time.Millisecond, 2*time.Second)) {
			return
		}
		m.kill(true)
		m.wipe()
		for _, f := range w.fronts {
			w.heal(f.name, other.name)
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
				w.partition(n.name, m.name)
				if !oneWay {
					w.partition(m.name, n.name)
				}
			}
		}
		if !w.sleep(away) {
			return
		}
		for _, n := range append(w.nodes(), &node{name: "core"}) {
			w.heal(n.name, m.name)
			w.heal(m.name, n.name)
		}
		w.note(m.name, "joined")
	case 6:
		w.note(m.name, "slow disk")
		m.setSyncTime(200 * time.Millisecond)
		if !w.sleep(away) {
			return
		}
		m.setSyncTime(0)
		w.note(m.name, "disk well")
	}
	if !w.sleep(catchUp) {
		return
	}
	if lost {
		w.checkCaughtUp(m)
	}
}

// checkCaughtUp: a store whose disk was lost has all that it should hold once the time to catch up is over.
func (w *simulation) checkCaughtUp(m *machine) {
	w.controller.mu.Lock()
	p := w.controller.placement
	w.controller.mu.Unlock()
	if p == nil || m.incarnation.Load() == nil {
		return
	}
	for range 2 { // an order of the operator may have begun another change meanwhile
		if slices.ContainsFunc(p.Old, func(s turnstore.Store) bool { return s.ID == m.disk().id }) || w.controller.isRetired(m.disk().id) || w.fault != "" {
			return
		}
	}
	if m.incarnation.Load().store.SweptGeneration() < p.Generation {
		w.violation("%s has not caught up %v after it came back without its disk: %s", m.name, catchUp, show(p))
	}
}

func (c *controller) isRetired(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired[id]
}

// frontFaults kills, freezes and cuts fronts; the rules about turns and budgets hold all the same.
func (w *simulation) frontFaults(rng *rand.Rand, until time.Duration) {
	span := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	for w.now() < until {
		if !w.sleep(span(200*time.Millisecond, 6*time.Second)) {
			return
		}
		f := w.randomFront(rng)
		w.mu.Lock()
		m := w.stores[rng.IntN(len(w.stores))]
		w.mu.Unlock()
		away := span(20*time.Millisecond, 5*time.Second)
		w.faultUntil(w.now() + away + 10*time.Second)
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
			w.partition(a, b)
			if both {
				w.partition(b, a)
			}
			if !w.sleep(away) {
				return
			}
			w.heal(a, b)
			w.heal(b, a)
		case 3:
			w.note(f.name, "cut from the core")
			w.partition("core", f.name)
			if !w.sleep(away * time.Duration(1+3*rng.IntN(2))) {
				return
			}
			w.heal("core", f.name)
		}
	}
}

// operatorOrders adds stores, and retires them; one that is complete loses its disk at once.
func (w *simulation) operatorOrders(rng *rand.Rand, until time.Duration) {
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
		if m.incarnation.Load() == nil || !w.controller.retire(id) {
			continue
		}
		w.note(m.name, "to be emptied")
		for range 600 {
			if !w.sleep(100 * time.Millisecond) {
				return
			}
			if w.controller.retirementComplete(id) {
				break
			}
		}
		if m.disk().id == id && w.controller.retirementComplete(id) {
			w.note(m.name, "complete")
			w.storeFaultSlot <- struct{}{}
			if w.faultUntil(w.now() + catchUp); rng.IntN(2) == 0 && !w.sleep(time.Duration(rng.Int64N(int64(3*time.Second)))) {
				<-w.storeFaultSlot
				return
			}
			if m.disk().id != id { // it has come back as a new store meanwhile
				<-w.storeFaultSlot
				continue
			}
			m.kill(true)
			m.wipe()
			w.mu.Lock()
			other := w.stores[rng.IntN(len(w.stores))]
			w.mu.Unlock()
			if other.incarnation.Load() != nil { // which may go together with one more
				other.kill(true)
				other.wipe()
				other.start()
				w.sleep(catchUp)
			}
			<-w.storeFaultSlot
		}
	}
}

// checkFinalState ends all trouble and checks that all is as it should be.
func (w *simulation) checkFinalState(rng *rand.Rand) {
	for _, n := range w.nodes() {
		n.thaw()
	}
	w.mu.Lock()
	var cuts [][2]string
	for k := range w.partitions {
		cuts = append(cuts, k)
	}
	w.mu.Unlock()
	for _, k := range cuts {
		w.heal(k[0], k[1])
	}
	for _, f := range w.fronts {
		f.start()
	}
	for _, m := range w.stores {
		if m.incarnation.Load() == nil && !w.controller.isRetired(m.disk().id) {
			m.start()
		}
	}
	if w.over() || !w.sleep(25*time.Second) {
		return
	}
	w.controller.mu.Lock()
	p := w.controller.placement
	w.controller.mu.Unlock()
	if len(p.New) > 0 {
		w.violation("the placement is not stable 25 s after all trouble: %s", show(p))
		return
	}
	if !w.noDigest {
		for _, m := range w.stores { // each with each other, as time would do
			if l := m.incarnation.Load(); l != nil && m.placement() == p {
				if err := l.store.Compare(l.ctx); err != nil {
					w.violation("%s compares: %v", m.name, err)
				}
			}
		}
	}
	w.oracle.mu.Lock()
	var kept []*turnRecord
	programs := map[string]bool{}
	for _, b := range w.oracle.programs {
		for _, t := range b.turns {
			if t.outcome == completed && w.now() < t.ended+t.retain-2*time.Second {
				kept = append(kept, t)
				programs[t.program] = true
			}
		}
	}
	w.oracle.mu.Unlock()
	slices.SortFunc(kept, func(a, b *turnRecord) int { return int(a.ended - b.ended) })
	copies := 0
	for _, t := range kept {
		for _, s := range p.ReplicaSets(t.program)[0] {
			if l := w.storeAt(s.Addr).incarnation.Load(); l != nil && l.store.Has(t.id) {
				copies++
			} else if !w.noDigest {
				w.violation("COPIES: %s of %s lacks %s, kept until %v", s.ID, t.program, t.id, t.ended+t.retain)
				return
			}
		}
	}
	if !w.noDigest {
		for program := range programs {
			var first uint64
			for i, s := range p.ReplicaSets(program)[0] {
				l := w.storeAt(s.Addr).incarnation.Load().store.Ledger(program)
				if i == 0 {
					first = l.Digest()
				} else if l.Digest() != first {
					w.violation("COPIES: ledgers of %s differ", program)
					return
				}
			}
		}
	}
	// One store's disk is lost without a warning, and what is kept is read from another program at fresh fronts.
	lost := w.storeAt(p.Old[rng.IntN(len(p.Old))].Addr)
	lost.kill(true)
	lost.wipe()
	f := w.addFront("fresh", "z0")
	if !w.sleep(500 * time.Millisecond) {
		return
	}
	reader := w.newProgram(1 << 40)
	rng.Shuffle(len(kept), func(i, j int) { kept[i], kept[j] = kept[j], kept[i] })
	for _, t := range kept[:min(len(kept), 40)] {
		if w.now() > t.ended+t.retain-time.Second {
			continue
		}
		how := rejected
		for try := 0; how == rejected && try < 3; try++ {
			how = w.runTurn(turnScript{front: f, program: reader, previous: t, need: 1, ending: aborted}).outcome
			w.sleep(time.Duration(1+try) * 300 * time.Millisecond)
		}
		if how == rejected && !w.over() {
			w.violation("LOST: %s is not read with %s lost", t.id, lost.name)
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
		if l := m.incarnation.Load(); l != nil {
			if _, n := l.store.Counts(); n > 0 {
				w.violation("EXPIRED: %s has %d turns still", m.name, n)
			}
			m.disk().mu.Lock()
			if n := len(m.disk().tables[turnstore.Bodies]); n > 0 {
				w.violation("EXPIRED: the disk of %s has %d turns still", m.name, n)
			}
			m.disk().mu.Unlock()
		}
	}
}

// close ends all that the course runs.
func (w *simulation) close() {
	w.mu.Lock()
	if !w.ended {
		w.ended = true
		close(w.done)
	}
	w.mu.Unlock()
	for _, n := range w.nodes() {
		n.thaw()
	}
	w.mu.Lock()
	for k, c := range w.partitions {
		close(c)
		delete(w.partitions, k)
	}
	w.mu.Unlock()
	for _, f := range w.fronts {
		f.kill()
	}
	for _, m := range w.stores {
		m.disk().resume()
		m.kill(false)
	}
	w.wg.Wait()
}

// runScenario plays one drawn runScenario.
func runScenario(t *testing.T, seed uint64, f fault) *simulation {
	return runScenarioWith(t, seed, f, (*simulation).storeFaults)
}

// runScenarioWith plays one drawn course with the given troubles of stores.
func runScenarioWith(t *testing.T, seed uint64, f fault, storeTroubles func(*simulation, *rand.Rand, time.Duration)) (w *simulation) {
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(seed, f)
		rng := rand.New(rand.NewPCG(seed, 11))
		w.noDigest = seed%8 == 5
		for i := range 3 + rng.IntN(3) {
			w.addStore(fmt.Sprintf("s%d", i), fmt.Sprintf("z%d", i%2))
		}
		w.wg.Go(func() { w.controller.run(w) })
		for i := range 2 + rng.IntN(2) {
			w.addFront(fmt.Sprintf("f%d", i), fmt.Sprintf("z%d", i%2))
		}
		until := time.Duration(25+rng.IntN(40)) * time.Second
		var traffic sync.WaitGroup
		traffic.Go(func() { w.watchUntil(until) })
		w.wg.Go(w.watchExpiry)
		w.sleep(6 * time.Second)
		n := 0
		for range 2 + rng.IntN(3) {
			need := 1 + rng.IntN(6)
			retain := time.Duration(25+rng.IntN(20)) * time.Second
			if rng.IntN(3) == 0 {
				retain = 300 * time.Second
			}
			program := w.newProgram(need * (1 + rng.IntN(40)))
			hurry := rng.IntN(5) == 0 // a program that runs away
			lines := 1 + rng.IntN(3)
			if hurry {
				lines = 8
			}
			for range lines {
				n++
				number := n
				traffic.Go(func() { w.runAgent(number, program, need, retain, until, hurry) })
			}
		}
		for i := range 2 {
			traffic.Go(func() { w.runReader(i, until) })
		}
		traffic.Go(func() { w.runBursts(until) })
		for i, play := range []func(*simulation, *rand.Rand, time.Duration){storeTroubles, (*simulation).frontFaults, (*simulation).operatorOrders} {
			if rng.IntN(4) > 0 {
				traffic.Go(func() { play(w, rand.New(rand.NewPCG(seed, uint64(20+i))), until-10*time.Second) })
			}
		}
		traffic.Wait()
		if !w.over() {
			w.checkFinalState(rng)
		}
		w.checkEntriesOnDisk()
		w.close()
	})
	return w
}

func (w *simulation) watchUntil(until time.Duration) { w.sleep(until - w.now()) }

func TestRandomScenariosHoldInvariants(t *testing.T) {
	var mu sync.Mutex
	var sum oracle
	seeds := make(chan uint64)
	drawn, workers := *scenarios, 4
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
					w := runScenario(t, seed, "")
					if len(w.violations) > 0 {
						t.Errorf("%s\n%s", w.violations[0], w.timeline(80))
					}
					mu.Lock()
					sum.completed += w.oracle.completed
					sum.budgetExceeded += w.oracle.budgetExceeded
					sum.unavailable += w.oracle.unavailable
					sum.notFound += w.oracle.notFound
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("%d courses: %d turns whole, %d with 402, %d with 404, %d with 503", drawn, sum.completed, sum.budgetExceeded, sum.notFound, sum.unavailable)
	if sum.completed < 20*drawn || sum.budgetExceeded < drawn || sum.notFound < drawn {
		t.Error("the courses prove little")
	}
}

// faultSeeds is how many courses are drawn to find a planted fault in; they are played again and again, since the order in which
// goroutines run differs from play to play, and a course shows a fault in nearly all of its plays, not in each.
const faultSeeds = 60

// The courses find what each part is for: a defect is planted, and courses are played until one shows it.
func TestRandomScenariosFindPlantedFaults(t *testing.T) {
	faults := []fault{majorityOfOne, sweepWithoutLedgers, settleBeforeEnd, noReservation, noSync, reusedIdentity, repairWithoutLedger, endBeforeSync, partialHistory}
	if raceDetector {
		faults = faults[:4] // found by the first courses
	}
	for _, f := range faults {
		t.Run(string(f), func(t *testing.T) {
			if !raceDetector {
				t.Parallel()
			}
			for play := range uint64(*faultScenarios) {
				seed := play % faultSeeds
				if w := runScenario(t, 1+seed, f); len(w.violations) > 0 {
					t.Logf("found by course %d: %s", 1+seed, w.violations[0])
					return
				}
			}
			t.Errorf("not found by %d courses", *faultScenarios)
		})
	}
}
