package turnstore_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"larchrouter/internal/tier/placement"
)

// The model simulates stores, fronts and the control plane's placement in virtual time, inside a synctest bubble. Stores and
// clients are the real ones; disks, the network, machines and the controller are the model's.

const (
	contact         = 3 * time.Second
	messageLifetime = 20 * time.Second        // in a partition
	catchUp         = 4200 * time.Millisecond // for which a store counts as lost after its return
)

// fault names a defect that is planted into a simulation; empty for none.
type fault string

const (
	noSync                fault = "no sync"
	majorityOfOne         fault = "a majority of one"
	noGenerationFence     fault = "no fence by generation"
	sweepWithoutLedgers   fault = "a sweep that skips ledgers"
	settleBeforeEnd       fault = "settled before the turn ended"
	noRetainMargin        fault = "expiry without retain margin"
	quorumOfNewListOnly   fault = "a quorum of the new list only while joint"
	reusedIdentity        fault = "a wiped store under its old identity and swept generation"
	repairWithoutLedger   fault = "a read repair that drops the ledger"
	sweptTooSoon          fault = "a rebuilt store that is authoritative before its sweep"
	expiredForgotten      fault = "expired turns are not remembered"
	endBeforeSync         fault = "the end sent before the sync"
	partialHistory        fault = "a partial history taken as complete"
	generationNotReported fault = "stores do not report the generation they have adopted"
	noReservation         fault = "a reservation without tokens"
)

// simulation is one run of the model.
type simulation struct {
	seed  uint64
	fault fault
	began time.Time

	mu         sync.Mutex
	rng        *rand.Rand
	counts     map[message]uint64          // of messages by sender, receiver and method
	partitions map[[2]string]chan struct{} // by sender and receiver; closed when healed
	log        []logLine
	violations []string      // invariants that were violated
	done       chan struct{} // closed at the first violation, or at the end
	ended      bool
	wg         sync.WaitGroup // all goroutines of the model

	controller     controller
	stores         []*machine
	fronts         []*front
	oracle         oracle
	storeFaultSlot chan struct{} // held for the time of a store's fault and its catch-up
	uniformDelays  bool          // all messages have the same delay
	noDigest       bool          // without anti-entropy: read repair is the only repair
}

// logLine is an event of the simulation, at a node.
type logLine struct {
	at           time.Duration
	column, text string
}

func newSimulation(seed uint64, f fault) *simulation {
	return &simulation{seed: seed, fault: f, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 7)), counts: map[message]uint64{},
		partitions: map[[2]string]chan struct{}{}, done: make(chan struct{}), storeFaultSlot: make(chan struct{}, 1),
		oracle:     oracle{turns: map[string]*turnRecord{}, programs: map[string]*programBudget{}, used: map[string]time.Duration{}},
		controller: controller{stores: map[string]placement.StoreStatus{}, retired: map[string]bool{}}}
}

func (sim *simulation) now() time.Duration { return time.Since(sim.began) }

func (sim *simulation) draw(lo, hi int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return lo + sim.rng.IntN(hi-lo+1)
}

func (sim *simulation) oneIn(n int) bool { return sim.draw(1, n) == 1 }

func (sim *simulation) span(lo, hi time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return lo + time.Duration(sim.rng.Int64N(int64(hi-lo)+1))
}

// note logs an event of a node.
func (sim *simulation) note(column, format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.log = append(sim.log, logLine{sim.now(), column, fmt.Sprintf(format, args...)})
}

// violation records that an invariant is violated and ends the scenario.
func (sim *simulation) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.log = append(sim.log, logLine{sim.now(), "!", text})
	sim.violations = append(sim.violations, text)
	if !sim.ended {
		sim.ended = true
		close(sim.done)
	}
}

// over reports whether the scenario has ended.
func (sim *simulation) over() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.ended
}

// sleep waits in virtual time and reports whether the scenario goes on.
func (sim *simulation) sleep(d time.Duration) bool {
	t := time.NewTimer(max(d, time.Nanosecond)) // under the race detector a timer of 0 in a bubble can end the process
	defer t.Stop()
	select {
	case <-t.C:
		return !sim.over()
	case <-sim.done:
		return false
	}
}

// timeline returns the last events, with a column for the controller, each store and each front.
func (sim *simulation) timeline(limit int) string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	columns := []string{"core"}
	for _, s := range sim.stores {
		columns = append(columns, s.name)
	}
	for _, f := range sim.fronts {
		columns = append(columns, f.name)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d %s\n%9s", sim.seed, sim.fault, "ms")
	for _, c := range columns {
		fmt.Fprintf(&b, " %-22s", c)
	}
	b.WriteByte('\n')
	lines := slices.DeleteFunc(slices.Clone(sim.log), func(l logLine) bool { // of expiries only those that a violation names
		id, expiry := strings.CutPrefix(l.text, "expires ")
		return expiry && !strings.Contains(strings.Join(sim.violations, " "), " "+id+" ")
	})
	for _, l := range lines[max(0, len(lines)-limit):] {
		fmt.Fprintf(&b, "%9.1f", float64(l.at.Microseconds())/1000)
		if i := slices.Index(columns, l.column); i >= 0 {
			b.WriteString(strings.Repeat(" ", 23*i))
		}
		fmt.Fprintf(&b, " %s\n", l.text)
	}
	return b.String()
}

func (sim *simulation) nodes() (out []*node) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, s := range sim.stores {
		out = append(out, &s.node)
	}
	for _, f := range sim.fronts {
		out = append(out, &f.node)
	}
	return out
}
