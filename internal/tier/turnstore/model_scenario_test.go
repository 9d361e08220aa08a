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

var scenarios = flag.Int("courses", 100, "random scenarios of the model")

var faultScenarios = flag.Int("fault-courses", 300, "scenarios to find a planted fault in, at most")

var firstSeed = flag.Uint64("seed", 1, "of the first scenario")

// close ends all nodes and goroutines of the simulation.
func (sim *simulation) close() {
	sim.mu.Lock()
	if !sim.ended {
		sim.ended = true
		close(sim.done)
	}
	sim.mu.Unlock()
	for _, n := range sim.nodes() {
		n.thaw()
	}
	sim.mu.Lock()
	for k, c := range sim.partitions {
		close(c)
		delete(sim.partitions, k)
	}
	sim.mu.Unlock()
	for _, f := range sim.fronts {
		f.kill()
	}
	for _, m := range sim.stores {
		m.disk().resume()
		m.kill(false)
	}
	sim.wg.Wait()
}

// runScenario runs one random scenario.
func runScenario(t *testing.T, seed uint64, f fault) *simulation {
	return runScenarioWith(t, seed, f, (*simulation).storeFaults)
}

// runScenarioWith runs one random scenario with the given faults of stores.
func runScenarioWith(t *testing.T, seed uint64, f fault,
	storeFaults func(*simulation, *rand.Rand, time.Duration)) (sim *simulation) {
	synctest.Test(t, func(t *testing.T) {
		sim = newSimulation(seed, f)
		rng := rand.New(rand.NewPCG(seed, 11))
		sim.noDigest = seed%8 == 5
		for i := range 3 + rng.IntN(3) {
			sim.addStore(fmt.Sprintf("s%d", i), fmt.Sprintf("z%d", i%2))
		}
		sim.wg.Go(func() { sim.controller.run(sim) })
		for i := range 2 + rng.IntN(2) {
			sim.addFront(fmt.Sprintf("f%d", i), fmt.Sprintf("z%d", i%2))
		}
		until := time.Duration(25+rng.IntN(40)) * time.Second
		var traffic sync.WaitGroup
		traffic.Go(func() { sim.watchUntil(until) })
		sim.wg.Go(sim.watchExpiry)
		sim.sleep(6 * time.Second)
		n := 0
		for range 2 + rng.IntN(3) {
			need := 1 + rng.IntN(6)
			retain := time.Duration(25+rng.IntN(20)) * time.Second
			if rng.IntN(3) == 0 {
				retain = 300 * time.Second
			}
			program := sim.newProgram(need * (1 + rng.IntN(40)))
			runaway := rng.IntN(5) == 0
			agents := 1 + rng.IntN(3)
			if runaway {
				agents = 8
			}
			for range agents {
				n++
				number := n
				traffic.Go(func() { sim.runAgent(number, program, need, retain, until, runaway) })
			}
		}
		for i := range 2 {
			traffic.Go(func() { sim.runReader(i, until) })
		}
		traffic.Go(func() { sim.runBursts(until) })
		for i, inject := range []func(*simulation, *rand.Rand, time.Duration){
			storeFaults, (*simulation).frontFaults, (*simulation).operatorOrders,
		} {
			if rng.IntN(4) > 0 {
				traffic.Go(func() { inject(sim, rand.New(rand.NewPCG(seed, uint64(20+i))), until-10*time.Second) })
			}
		}
		traffic.Wait()
		if !sim.over() {
			sim.checkFinalState(rng)
		}
		sim.checkEntriesOnDisk()
		sim.close()
	})
	return sim
}

func (sim *simulation) watchUntil(until time.Duration) { sim.sleep(until - sim.now()) }

func TestRandomScenariosHoldInvariants(t *testing.T) {
	var mu sync.Mutex
	var sum oracle
	seeds := make(chan uint64)
	count, workers := *scenarios, 4
	if raceDetector {
		count, workers = min(count, 12), 1
	}
	t.Run("scenarios", func(t *testing.T) {
		go func() {
			for i := range count {
				seeds <- *firstSeed + uint64(i)
			}
			close(seeds)
		}()
		for i := range workers {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds {
					sim := runScenario(t, seed, "")
					if len(sim.violations) > 0 {
						t.Errorf("%s\n%s", sim.violations[0], sim.timeline(80))
					}
					mu.Lock()
					sum.completed += sim.oracle.completed
					sum.budgetExceeded += sim.oracle.budgetExceeded
					sum.unavailable += sim.oracle.unavailable
					sum.notFound += sim.oracle.notFound
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("%d scenarios: %d turns completed, %d with 402, %d with 404, %d with 503",
		count, sum.completed, sum.budgetExceeded, sum.notFound, sum.unavailable)
	if sum.completed < 20*count || sum.budgetExceeded < count || sum.notFound < count {
		t.Error("the scenarios prove little")
	}
}

// faultSeeds is the number of scenarios that search for a planted fault. They are repeated, since the order in which goroutines
// run differs between repetitions, and a scenario shows a fault in nearly all of them, not in each.
const faultSeeds = 60

// Each part that a fault removes is necessary: scenarios are run until one shows a violation.
func TestRandomScenariosFindPlantedFaults(t *testing.T) {
	faults := []fault{majorityOfOne, sweepWithoutLedgers, settleBeforeEnd, noReservation, noSync, reusedIdentity,
		repairWithoutLedger, endBeforeSync, partialHistory}
	if raceDetector {
		faults = faults[:4] // found by the first scenarios
	}
	for _, f := range faults {
		t.Run(string(f), func(t *testing.T) {
			if !raceDetector {
				t.Parallel()
			}
			for run := range uint64(*faultScenarios) {
				seed := run % faultSeeds
				if sim := runScenario(t, 1+seed, f); len(sim.violations) > 0 {
					t.Logf("found by scenario %d: %s", 1+seed, sim.violations[0])
					return
				}
			}
			t.Errorf("not found by %d scenarios", *faultScenarios)
		})
	}
}
