package turnstore_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var scenarios = flag.Int("courses", 100, "drawn courses of the model")

var faultScenarios = flag.Int("fault-courses", 300, "courses to find a planted fault in, at most")

var firstSeed = flag.Uint64("seed", 1, "of the first course")

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
