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

// turnRun is the run of a turn.
type turnRun struct {
	turnScript
	sim      *simulation
	running  *frontIncarnation
	record   *turnRecord
	request  turnstore.OpenRequest
	retained bool // the previous turn must exist
}

// runTurn runs a turn, checks the errors and the history that it gets, and returns its record.
func (sim *simulation) runTurn(script turnScript) *turnRecord {
	run := &turnRun{turnScript: script, sim: sim, running: script.front.incarnation.Load()}
	run.begin()
	if run.started != nil {
		run.started(run.record)
	}
	if run.running == nil {
		run.finish(rejected, 0)
		return run.record
	}
	ctx, stop := context.WithTimeout(run.running.ctx, 5*time.Second)
	opened, err := run.running.client.Open(ctx, run.request)
	stop()
	run.front.awaitThaw()
	switch {
	case run.running.ctx.Err() != nil: // the front was killed: its client gets no response
		run.finish(aborted, 0)
	case err != nil:
		run.reject(err)
	case run.checkHistory(opened):
		sim.reserve(run.program, run.record.id, run.need)
		if sim.fault == settleBeforeEnd {
			run.running.client.Settle(run.program, run.record.id, run.used/2)
		}
		if run.stream() {
			run.end(opened)
		}
	}
	return run.record
}

// begin creates the record of the turn.
func (run *turnRun) begin() {
	oracle := &run.sim.oracle
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	oracle.ids++
	run.record = &turnRecord{id: fmt.Sprintf("t%d", oracle.ids), program: run.program, need: run.need,
		began: run.sim.now(), retain: run.retain}
	b := oracle.programs[run.program]
	b.turns = append(b.turns, run.record)
	oracle.turns[run.record.id] = run.record
	oracle.used[run.program] = run.sim.now()
	run.request = turnstore.OpenRequest{Program: run.program, Turn: run.record.id, MaxTokens: run.need, Budget: b.limit}
	if previous := run.previous; previous != nil {
		oracle.used[previous.program] = run.sim.now()
		run.record.previous, run.request.Previous = previous.id, previous.id
		run.retained = previous.outcome == completed && run.sim.now() < previous.ended+previous.retain
	}
}

// finish records the outcome.
func (run *turnRun) finish(outcome outcome, used int) {
	oracle := &run.sim.oracle
	oracle.mu.Lock()
	defer oracle.mu.Unlock()
	run.record.outcome, run.record.used, run.record.ended = outcome, used, run.sim.now()
	oracle.used[run.program] = run.sim.now()
	if outcome == completed {
		oracle.completed++
	}
}

// reject checks and records an error of Open.
func (run *turnRun) reject(err error) {
	oracle := &run.sim.oracle
	switch {
	case errors.Is(err, turnstore.ErrBudget):
		run.sim.checkBudgetRejection(run.record)
		oracle.mu.Lock()
		oracle.budgetExceeded++
		run.record.budgetExceeded = true
		oracle.mu.Unlock()
	case errors.Is(err, turnstore.ErrNoTurn):
		if run.retained {
			run.sim.violation("LOST: 404 at %s for %s, which completed at %v and is retained for %v",
				run.front.name, run.request.Previous, run.previous.ended, run.previous.retain)
		}
		oracle.mu.Lock()
		oracle.notFound++
		run.record.notFound = true
		oracle.mu.Unlock()
	default:
		oracle.mu.Lock()
		oracle.unavailable++
		oracle.mu.Unlock()
	}
	run.finish(rejected, 0)
}

// checkHistory checks the history of an opened turn, and reports whether the turn goes on.
func (run *turnRun) checkHistory(opened *turnstore.OpenedTurn) bool {
	if run.previous != nil && !bytes.Equal(opened.History, run.previous.bytes) {
		run.sim.violation("HISTORY: %s of %s at %s continues from %s with %d bytes %.60q.., want %d: %.60q..",
			run.record.id, run.program, run.front.name, run.request.Previous,
			len(opened.History), opened.History, len(run.previous.bytes), run.previous.bytes)
		return false
	}
	if run.previous == nil && len(opened.History) > 0 {
		run.sim.violation("HISTORY: %s has no previous turn and begins with a history", run.record.id)
	}
	return true
}

// stream waits for the end of the turn, and reports whether it is to be closed.
func (run *turnRun) stream() bool {
	gate := run.gate
	if gate == nil {
		gate = make(chan struct{})
		time.AfterFunc(run.duration, func() { close(gate) })
	}
	select {
	case <-gate:
	case <-run.running.ctx.Done():
		run.finish(aborted, run.used) // in the middle of its stream
		return false
	}
	run.front.awaitThaw()
	if run.running.ctx.Err() != nil {
		run.finish(aborted, run.used)
		return false
	}
	if run.ending == aborted {
		run.sim.reserve(run.program, run.record.id, run.used)
		run.running.client.Settle(run.program, run.record.id, run.used)
		run.finish(aborted, run.used)
		return false
	}
	return true
}

// end closes the turn.
func (run *turnRun) end(opened *turnstore.OpenedTurn) {
	input, output := []byte("<"+run.record.id+" asks>\n"), []byte("<"+run.record.id+" says>\n")
	run.sim.oracle.mu.Lock()
	run.record.bytes = append(append(append([]byte{}, opened.History...), input...), output...)
	run.sim.oracle.mu.Unlock()
	run.sim.reserve(run.program, run.record.id, run.used)
	turn := opened.Record(input, output, run.used, run.retain)
	timeout := 6 * time.Second
	if run.sim.fault == endBeforeSync {
		run.finish(completed, run.used)
		timeout = time.Millisecond
	}
	ctx, stop := context.WithTimeout(run.running.ctx, timeout)
	err := run.running.client.Close(ctx, turn)
	stop()
	if run.sim.fault == endBeforeSync {
		return
	}
	run.front.awaitThaw()
	if err != nil || run.running.ctx.Err() != nil {
		run.finish(aborted, run.used)
		return
	}
	run.finish(completed, run.used)
}

func (sim *simulation) randomFront(rng *rand.Rand) *front {
	return sim.fronts[rng.IntN(len(sim.fronts))]
}
