package turnstore_test

import (
	"math/rand/v2"
	"sync"
	"time"
)

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
