package turnstore_test

import (
	"math/rand/v2"
	"sync"
	"time"
)

// runAgent runs a sequence of turns of a program until a time. runaway: without pauses, whatever is left of the budget.
func (sim *simulation) runAgent(n int, program string, need int, retain time.Duration, until time.Duration, runaway bool) {
	rng := rand.New(rand.NewPCG(sim.seed, uint64(1000+n)))
	var last *turnRecord
	rejections := 0 // with 402
	for sim.now() < until {
		pause := time.Duration(rng.Int64N(int64(3 * time.Second)))
		duration := time.Duration(rng.Int64N(int64(2*time.Second))) + 20*time.Millisecond
		if runaway {
			pause, duration = pause/10, duration/10
		}
		if rng.IntN(25) == 0 && !runaway {
			pause += time.Duration(rng.Int64N(int64(retain))) // up to the end of its retention time
		}
		if !sim.sleep(pause) {
			return
		}
		from := last
		switch rng.IntN(12) {
		case 0:
			from = sim.randomTurn(rng) // a fork, or another program's turn
		case 1:
			if rng.IntN(3) == 0 {
				from = nil
			}
		}
		if from != nil && sim.now() > from.ended+from.retain {
			from = nil
		}
		ending := completed
		if rng.IntN(8) == 0 {
			ending = aborted
		}
		take := 1 + rng.IntN(need)
		for range 3 { // a failed turn is retried from its start
			t := sim.runTurn(turnScript{front: sim.randomFront(rng), program: program, previous: from, need: take, duration: duration,
				used: rng.IntN(take + 1), ending: ending, retain: retain})
			if t.outcome == completed {
				last = t
				break
			}
			if t.budgetExceeded {
				rejections++
				if runaway && !sim.sleep(time.Duration(rng.Int64N(int64(4*time.Second)))) {
					return
				}
				break
			}
			if !sim.sleep(100*time.Millisecond + time.Duration(rng.Int64N(int64(300*time.Millisecond)))) {
				return
			}
		}
		if rejections > 2 && !runaway { // the budget is exhausted: another program
			sim.oracle.mu.Lock()
			limit := sim.oracle.programs[program].limit
			sim.oracle.mu.Unlock()
			program, rejections = sim.newProgram(limit), 0
		}
	}
}

// runBursts has sub-agents of new programs open turns concurrently, through all fronts, where the budget suffices for a few.
func (sim *simulation) runBursts(until time.Duration) {
	rng := rand.New(rand.NewPCG(sim.seed, 3000))
	for sim.now() < until && sim.sleep(time.Duration(rng.Int64N(int64(4*time.Second)))) {
		need := 2 + rng.IntN(4)
		program := sim.newProgram(need * (1 + rng.IntN(4)))
		var agents sync.WaitGroup
		for range 3 + rng.IntN(8) {
			after := time.Duration(rng.Int64N(int64(8 * time.Millisecond)))
			f, take, used := sim.randomFront(rng), need-rng.IntN(2), rng.IntN(need)
			duration := time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
			agents.Go(func() {
				if sim.sleep(after) {
					sim.runTurn(turnScript{front: f, program: program, need: take, duration: duration, used: min(used, take),
						ending: completed, retain: 25 * time.Second})
				}
			})
		}
		agents.Wait()
	}
}

// runReader continues from retained turns, some just before they expire, and from turns that never existed.
func (sim *simulation) runReader(n int, until time.Duration) {
	rng := rand.New(rand.NewPCG(sim.seed, uint64(2000+n)))
	program := sim.newProgram(1 << 40)
	for sim.now() < until {
		if !sim.sleep(time.Duration(rng.Int64N(int64(400 * time.Millisecond)))) {
			return
		}
		t := sim.randomTurn(rng)
		if t == nil {
			continue
		}
		switch rng.IntN(10) {
		case 0:
			t = &turnRecord{id: "never"}
		case 1, 2, 3:
			wait := t.ended + t.retain - sim.now() - time.Duration(1+rng.IntN(30))*time.Millisecond
			if wait > 0 && wait < 20*time.Second && !sim.sleep(wait) {
				return
			}
		}
		sim.runTurn(turnScript{front: sim.randomFront(rng), program: program, previous: t, need: 1, ending: aborted})
	}
}
