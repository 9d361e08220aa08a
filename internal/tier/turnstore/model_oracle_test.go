package turnstore_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const settledAfter = time.Second // after its end a turn counts what it used

// turnRecord is a turn as its client has seen it.
type turnRecord struct {
	id, program, previous    string
	bytes                    []byte // history of a turn that continues from it; nil before Close was called
	need, used               int
	began, ended             time.Duration
	outcome                  outcome
	budgetExceeded, notFound bool // rejected with 402, 404
	retain                   time.Duration
}

// outcome is what became of a turn.
type outcome int

const (
	inProgress outcome = iota
	completed          // Close was acknowledged
	rejected           // 402, 404 or 503
	aborted            // ended early
)

func (t *turnRecord) String() string {
	switch {
	case t.budgetExceeded:
		return "402"
	case t.notFound:
		return "404"
	}
	return [...]string{"in progress", "ok", "503", "aborted"}[t.outcome]
}

// programBudget is the budget of a program and what its turns reserved.
type programBudget struct {
	limit    int // tokens
	turns    []*turnRecord
	reserved map[string]int // by granted turn: its reservation, then what it used
}

// oracle records what clients have seen, from which the invariants follow.
type oracle struct {
	faults         atomic.Int64 // number of faults so far
	mu             sync.Mutex
	turns          map[string]*turnRecord
	programs       map[string]*programBudget
	used           map[string]time.Duration // last use of a program
	ids            int
	faultsUntil    time.Duration // end of the last fault, at least
	completed      int
	budgetExceeded int
	unavailable    int
	notFound       int
}

// faultUntil records a fault that ends at a time.
func (sim *simulation) faultUntil(until time.Duration) {
	sim.oracle.faults.Add(1)
	sim.oracle.mu.Lock()
	defer sim.oracle.mu.Unlock()
	sim.oracle.faultsUntil = max(sim.oracle.faultsUntil, until)
}

// reserve records the tokens of a granted turn and checks that those of its program are within the budget.
func (sim *simulation) reserve(program, turn string, tokens int) {
	sim.oracle.mu.Lock()
	b := sim.oracle.programs[program]
	b.reserved[turn] = tokens
	sum := 0
	for _, n := range b.reserved {
		sum += n
	}
	sim.oracle.mu.Unlock()
	if sum > b.limit {
		sim.violation("BUDGET: turns of %s reserve %d of %d", program, sum, b.limit)
	}
}

// checkBudgetRejection checks that a turn which was rejected with 402 did not fit.
func (sim *simulation) checkBudgetRejection(t *turnRecord) {
	sim.oracle.mu.Lock()
	b := sim.oracle.programs[t.program]
	sum := t.need
	for _, o := range b.turns {
		switch {
		case o == t:
		case o.outcome == completed && sim.now()-o.ended >= settledAfter:
			sum += o.used
		case o.outcome == rejected && sim.now()-o.ended >= settledAfter && o.began > sim.oracle.faultsUntil:
			// During a fault a front may not be able to settle a reservation.
		default:
			sum += o.need
		}
	}
	sim.oracle.mu.Unlock()
	if sum <= b.limit {
		sim.violation("REJECTED: 402 for %s of %s, yet %d of %d fit", t.id, t.program, sum, b.limit)
	}
}

// newProgram returns a new program with a budget.
func (sim *simulation) newProgram(limit int) string {
	sim.oracle.mu.Lock()
	defer sim.oracle.mu.Unlock()
	name := fmt.Sprintf("p%d", len(sim.oracle.programs))
	sim.oracle.programs[name] = &programBudget{limit: limit, reserved: map[string]int{}}
	return name
}

// randomTurn returns a random completed turn that is still retained, nil if there is none.
func (sim *simulation) randomTurn(rng *rand.Rand) *turnRecord {
	sim.oracle.mu.Lock()
	defer sim.oracle.mu.Unlock()
	var all []*turnRecord
	for _, b := range sim.oracle.programs {
		for _, t := range b.turns {
			if t.outcome == completed && sim.now() < t.ended+t.retain {
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
