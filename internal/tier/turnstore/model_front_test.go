package turnstore_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/turnstore"
)

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

func (w *simulation) randomFront(rng *rand.Rand) *front { return w.fronts[rng.IntN(len(w.fronts))] }
