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

const (
	contact         = 3 * time.Second
	messageLifetime = 20 * time.Second        // at a cut
	catchUp         = 4200 * time.Millisecond // a store counts as lost for so long after its return
)

// fault names a defect that is planted into the model; empty for none.
type fault string

const (
	noSync                fault = "a sync left out"
	majorityOfOne         fault = "a majority of one"
	noGenerationFence     fault = "the fence by gen left out"
	sweepWithoutLedgers   fault = "a sweep that skips ledgers"
	settleBeforeEnd       fault = "settled before the turn has ended"
	noRetainMargin        fault = "expiry without margin"
	quorumOfNewListOnly   fault = "a joint phase that needs only the new list"
	reusedIdentity        fault = "a wiped store under its old identity, with what it had swept"
	repairWithoutLedger   fault = "a read repair that drops the ledger"
	sweptTooSoon          fault = "a rebuilt store that says no too early"
	expiredForgotten      fault = "what has expired is not remembered"
	endBeforeSync         fault = "the end passed on before the sync"
	partialHistory        fault = "a part of a history taken for the whole"
	generationNotReported fault = "stores do not tell which gen they have adopted"
	noReservation         fault = "a reservation that is not written"
)

type simulation struct {
	seed  uint64
	fault fault
	began time.Time

	mu         sync.Mutex
	rng        *rand.Rand
	counts     map[message]uint64 // messages, by what sends which to whom
	partitions map[[2]string]chan struct{}
	log        []logLine
	violations []string
	done       chan struct{} // closed when something is broken, or at the end
	ended      bool
	wg         sync.WaitGroup // all that the model runs

	controller     controller
	stores         []*machine
	fronts         []*front
	oracle         oracle
	storeFaultSlot chan struct{} // holds a store's trouble and its catching up
	uniformDelays  bool          // all messages take as long
	noDigest       bool          // no anti-entropy: read repair is alone
}

type logLine struct {
	at           time.Duration
	column, text string
}

func newWorld(seed uint64, f fault) *simulation {
	return &simulation{seed: seed, fault: f, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 7)), counts: map[message]uint64{},
		partitions: map[[2]string]chan struct{}{}, done: make(chan struct{}), storeFaultSlot: make(chan struct{}, 1),
		oracle:     oracle{turns: map[string]*turnRecord{}, programs: map[string]*programBudget{}, used: map[string]time.Duration{}},
		controller: controller{stores: map[string]placement.StoreStatus{}, retired: map[string]bool{}}}
}

func (w *simulation) now() time.Duration { return time.Since(w.began) }

func (w *simulation) draw(lo, hi int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo + w.rng.IntN(hi-lo+1)
}

func (w *simulation) oneIn(n int) bool { return w.draw(1, n) == 1 }

func (w *simulation) span(lo, hi time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo + time.Duration(w.rng.Int64N(int64(hi-lo)+1))
}

func (w *simulation) note(column, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, logLine{w.now(), column, fmt.Sprintf(format, args...)})
}

// violation notes that a rule is broken and ends the course.
func (w *simulation) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log = append(w.log, logLine{w.now(), "!", text})
	w.violations = append(w.violations, text)
	if !w.ended {
		w.ended = true
		close(w.done)
	}
}

func (w *simulation) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// sleep tells whether the course goes on.
func (w *simulation) sleep(d time.Duration) bool {
	t := time.NewTimer(max(d, time.Nanosecond)) // under the race detector one of 0 in a bubble can end the process
	defer t.Stop()
	select {
	case <-t.C:
		return !w.over()
	case <-w.done:
		return false
	}
}

// timeline gives the last lines, with a column for the core, each store and each front.
func (w *simulation) timeline(most int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	columns := []string{"core"}
	for _, s := range w.stores {
		columns = append(columns, s.name)
	}
	for _, f := range w.fronts {
		columns = append(columns, f.name)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d %s\n%9s", w.seed, w.fault, "ms")
	for _, c := range columns {
		fmt.Fprintf(&b, " %-22s", c)
	}
	b.WriteByte('\n')
	lines := slices.DeleteFunc(slices.Clone(w.log), func(l logLine) bool { // of what is dropped only that which came back
		id, drops := strings.CutPrefix(l.text, "drops ")
		return drops && !strings.Contains(strings.Join(w.violations, " "), " "+id+" ")
	})
	for _, l := range lines[max(0, len(lines)-most):] {
		fmt.Fprintf(&b, "%9.1f", float64(l.at.Microseconds())/1000)
		if i := slices.Index(columns, l.column); i >= 0 {
			b.WriteString(strings.Repeat(" ", 23*i))
		}
		fmt.Fprintf(&b, " %s\n", l.text)
	}
	return b.String()
}

func (w *simulation) nodes() (out []*node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.stores {
		out = append(out, &s.node)
	}
	for _, f := range w.fronts {
		out = append(out, &f.node)
	}
	return out
}
