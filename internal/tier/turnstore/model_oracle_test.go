package turnstore_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

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
