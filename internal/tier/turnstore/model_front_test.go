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

// front is a front process and its machine.
type front struct {
	node
	incarnation atomic.Pointer[frontIncarnation]
}

// frontIncarnation is one run of a front process.
type frontIncarnation struct {
	ctx    context.Context
	stop   context.CancelFunc
	client *turnstore.Client
}

func (sim *simulation) addFront(name, zone string) *front {
	f := &front{}
	f.sim, f.name, f.zone = sim, name, zone
	c := make(chan struct{})
	f.changed.Store(&c)
	sim.mu.Lock()
	sim.fronts = append(sim.fronts, f)
	sim.mu.Unlock()
	f.start()
	return f
}

func (f *front) start() {
	if f.incarnation.Load() != nil {
		return
	}
	started := &frontIncarnation{}
	started.ctx, started.stop = context.WithCancel(context.Background())
	f.received.Store(nil)
	started.client = turnstore.NewClientOn(endpoint{n: &f.node, ctx: started.ctx}, f.placement, f.zone)
	f.incarnation.Store(started)
	f.sim.controller.sendPlacement(f.sim, &f.node)
}

func (f *front) kill() {
	running := f.incarnation.Swap(nil)
	if running == nil {
		return
	}
	f.sim.note(f.name, "killed")
	running.stop()
	f.thaw()
	running.client.Shutdown(running.ctx)
}

// turnScript is a turn to run through a front.
type turnScript struct {
	front    *front
	program  string
	previous *turnRecord // nil at the start
	need     int
	duration time.Duration
	used     int
	ending   outcome // if it is granted: completed or aborted
	retain   time.Duration
	gate     chan struct{}       // it ends when this is closed; nil: after duration
	started  func(t *turnRecord) // called before Open, unless nil
}

// runTurn runs a turn, checks the errors and the history that it gets, and returns its record.
func (sim *simulation) runTurn(script turnScript) *turnRecord {
	running := script.front.incarnation.Load()
	sim.oracle.mu.Lock()
	sim.oracle.ids++
	t := &turnRecord{id: fmt.Sprintf("t%d", sim.oracle.ids), program: script.program, need: script.need,
		began: sim.now(), retain: script.retain}
	b := sim.oracle.programs[script.program]
	b.turns = append(b.turns, t)
	sim.oracle.turns[t.id] = t
	sim.oracle.used[script.program] = sim.now()
	if script.previous != nil {
		sim.oracle.used[script.previous.program] = sim.now()
	}
	request := turnstore.OpenRequest{Program: script.program, Turn: t.id, MaxTokens: script.need, Budget: b.limit}
	var retained bool // the previous turn must exist
	if script.previous != nil {
		t.previous, request.Previous = script.previous.id, script.previous.id
		retained = script.previous.outcome == completed && sim.now() < script.previous.ended+script.previous.retain
	}
	sim.oracle.mu.Unlock()
	if script.started != nil {
		script.started(t)
	}
	finish := func(outcome outcome, used int) {
		sim.oracle.mu.Lock()
		defer sim.oracle.mu.Unlock()
		t.outcome, t.used, t.ended = outcome, used, sim.now()
		sim.oracle.used[script.program] = sim.now()
		if outcome == completed {
			sim.oracle.completed++
		}
	}
	if running == nil {
		finish(rejected, 0)
		return t
	}
	ctx, stop := context.WithTimeout(running.ctx, 5*time.Second)
	opened, err := running.client.Open(ctx, request)
	stop()
	script.front.awaitThaw()
	if running.ctx.Err() != nil { // the front was killed: its client gets no response
		finish(aborted, 0)
		return t
	}
	switch {
	case errors.Is(err, turnstore.ErrBudget):
		sim.checkBudgetRejection(t)
		sim.oracle.mu.Lock()
		sim.oracle.budgetExceeded++
		t.budgetExceeded = true
		sim.oracle.mu.Unlock()
		finish(rejected, 0)
		return t
	case errors.Is(err, turnstore.ErrNoTurn):
		if retained {
			sim.violation("LOST: 404 at %s for %s, which completed at %v and is retained for %v",
				script.front.name, request.Previous, script.previous.ended, script.previous.retain)
		}
		sim.oracle.mu.Lock()
		sim.oracle.notFound++
		t.notFound = true
		sim.oracle.mu.Unlock()
		finish(rejected, 0)
		return t
	case err != nil:
		sim.oracle.mu.Lock()
		sim.oracle.unavailable++
		sim.oracle.mu.Unlock()
		finish(rejected, 0)
		return t
	}
	if script.previous != nil && !bytes.Equal(opened.History, script.previous.bytes) {
		sim.violation("HISTORY: %s of %s at %s continues from %s with %d bytes %.60q.., want %d: %.60q..",
			t.id, t.program, script.front.name, request.Previous,
			len(opened.History), opened.History, len(script.previous.bytes), script.previous.bytes)
		return t
	}
	if script.previous == nil && len(opened.History) > 0 {
		sim.violation("HISTORY: %s has no previous turn and begins with script history", t.id)
	}
	sim.reserve(script.program, t.id, script.need)
	if sim.fault == settleBeforeEnd {
		running.client.Settle(script.program, t.id, script.used/2)
	}
	gate := script.gate
	if gate == nil {
		gate = make(chan struct{})
		time.AfterFunc(script.duration, func() { close(gate) })
	}
	select {
	case <-gate:
	case <-running.ctx.Done():
		finish(aborted, script.used) // in the middle of its stream
		return t
	}
	script.front.awaitThaw()
	if running.ctx.Err() != nil {
		finish(aborted, script.used)
		return t
	}
	if script.ending == aborted {
		sim.reserve(script.program, t.id, script.used)
		running.client.Settle(script.program, t.id, script.used)
		finish(aborted, script.used)
		return t
	}
	input, output := []byte("<"+t.id+" asks>\n"), []byte("<"+t.id+" says>\n")
	sim.oracle.mu.Lock()
	t.bytes = append(append(append([]byte{}, opened.History...), input...), output...)
	sim.oracle.mu.Unlock()
	sim.reserve(script.program, t.id, script.used)
	record := opened.Record(input, output, script.used, script.retain)
	if sim.fault == endBeforeSync {
		finish(completed, script.used)
		ctx, stop := context.WithTimeout(running.ctx, time.Millisecond)
		_ = running.client.Close(ctx, record)
		stop()
		return t
	}
	ctx, stop = context.WithTimeout(running.ctx, 6*time.Second)
	err = running.client.Close(ctx, record)
	stop()
	script.front.awaitThaw()
	if err != nil || running.ctx.Err() != nil {
		finish(aborted, script.used)
		return t
	}
	finish(completed, script.used)
	return t
}

func (sim *simulation) randomFront(rng *rand.Rand) *front {
	return sim.fronts[rng.IntN(len(sim.fronts))]
}
