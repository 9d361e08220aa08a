package turnstore_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A slow disk at one of three replicas delays nothing.
func TestSlowDiskOfOneReplicaDoesNotDelayTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := healthySimulation(3, true)
		sim.stores[1].setSyncTime(200 * time.Millisecond)
		p := sim.newProgram(1000)
		began := sim.now()
		first := sim.runTurn(turnScript{front: sim.fronts[0], program: p, need: 5, used: 5, ending: completed, retain: time.Minute})
		sim.runTurn(turnScript{front: sim.fronts[0], program: p, previous: first, need: 5, used: 5, ending: completed,
			retain: time.Minute})
		if took := sim.now() - began; took > 30*time.Millisecond {
			t.Errorf("two turns took %v", took)
		}
		sim.close()
	})
}

// healthySimulation returns a simulation without faults, with two fronts and a founded placement.
func healthySimulation(stores int, uniformDelays bool) *simulation {
	sim := newSimulation(1, "")
	sim.uniformDelays = uniformDelays
	for i := range stores {
		sim.addStore(fmt.Sprintf("s%d", i), fmt.Sprintf("z%d", i))
	}
	for i := range 2 {
		sim.addFront(fmt.Sprintf("f%d", i), "z0")
	}
	sim.wg.Go(func() { sim.controller.run(sim) })
	sim.sleep(2 * time.Second)
	return sim
}

func TestBudgetOfProgramWithEightySubAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := healthySimulation(4, false)
		const budget = 1500
		p := sim.newProgram(budget)
		first := sim.runTurn(turnScript{front: sim.fronts[0], program: p, need: 10, used: 10, ending: completed, retain: time.Minute})
		var agents sync.WaitGroup
		for i := range 80 {
			agents.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(i), 5))
				last := first
				for rejections := 0; rejections < 3; {
					turn := sim.runTurn(turnScript{front: sim.randomFront(rng), program: p, previous: last, need: 10,
						used: 1 + rng.IntN(10), duration: 50 * time.Millisecond, ending: completed, retain: time.Minute})
					if turn.outcome == completed {
						last = turn
					} else {
						rejections++
					}
					sim.sleep(time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
				}
			})
		}
		agents.Wait()
		used, granted := 0, 0
		for _, o := range sim.oracle.programs[p].turns {
			if used += o.used; o.outcome == completed {
				granted++
			}
		}
		sim.close()
		if len(sim.violations) > 0 {
			t.Errorf("%s\n%s", sim.violations[0], sim.timeline(20))
		}
		if used > budget || used < budget-80*10 || granted < 100 {
			t.Errorf("%d turns used %d of %d", granted, used, budget)
		}
		t.Logf("%d turns used %d of %d, %d with 402", granted, used, budget, sim.oracle.budgetExceeded)
	})
}

func TestLongChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := healthySimulation(4, true)
		p := sim.newProgram(110_000)
		var last *turnRecord
		for i := range 560 {
			last = sim.runTurn(turnScript{front: sim.fronts[i%2], program: p, previous: last, need: 196, used: 196,
				ending: completed, retain: time.Minute})
			if last.outcome != completed {
				sim.violation("turn %d is not completed: %+v", i, last.outcome)
				break
			}
			if i == 200 || i == 400 { // a store is lost and returns with an empty disk
				m := sim.stores[i/200]
				m.kill(true)
				m.wipe()
				m.start()
			}
			if i > 200 && i%40 == 0 {
				sim.sleep(time.Second)
			}
		}
		sim.stores[3].kill(true)
		sim.stores[3].wipe()
		fresh := sim.addFront("fresh", "z1")
		sim.sleep(time.Second)
		turn := sim.runTurn(turnScript{front: fresh, program: sim.newProgram(100), previous: last, need: 1, used: 1,
			ending: completed, retain: time.Minute})
		if turn.outcome != completed {
			sim.violation("the chain is not read completely")
		}
		sim.close()
		if len(sim.violations) > 0 {
			t.Errorf("%s\n%s", sim.violations[0], sim.timeline(20))
		}
	})
}

// A change does not wait long for a store that no other store reaches; that one sweeps once it can, while the placement is
// stable.
func TestStoreMissedByChangeSweepsWhileStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := healthySimulation(4, true)
		split := sim.stores[1]
		others := []*machine{sim.stores[0], sim.stores[2], sim.stores[3], sim.addStore("s4", "z4")}
		for _, o := range others {
			sim.partition(o.name, split.name)
			sim.partition(split.name, o.name)
		}
		sim.sleep(6 * time.Second)
		sim.controller.mu.Lock()
		p := sim.controller.placement
		sim.controller.mu.Unlock()
		store := split.incarnation.Load().store
		if len(p.New) > 0 || len(p.Old) != 5 || store.SweptGeneration() >= p.Generation {
			t.Errorf("with a store that has not swept: %s, and it has swept generation %d", show(p), store.SweptGeneration())
		}
		for _, o := range others {
			sim.heal(o.name, split.name)
			sim.heal(split.name, o.name)
		}
		sim.sleep(2 * time.Second)
		if store.SweptGeneration() != p.Generation {
			t.Errorf("it has swept generation %d, 2 s after the partition: %s", store.SweptGeneration(), show(p))
		}
		sim.close()
	})
}

// A store that was partitioned until a program's turns expired there fetches them again from stores that retain them, as the
// program continued there; turns that no store retains are not fetched (see the timelines of expiry).
func TestExpiredTurnsAreRefetchedWhereProgramContinued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := healthySimulation(3, true)
		p := sim.newProgram(1000)
		var last *turnRecord
		var all []*turnRecord
		turn := func() {
			last = sim.runTurn(turnScript{front: sim.fronts[0], program: p, previous: last, need: 5, used: 5,
				ending: completed, retain: 20 * time.Second})
			all = append(all, last)
		}
		turn()
		isolated := sim.stores[0]
		for _, n := range append(sim.nodes(), &node{name: "core"}) {
			sim.partition(n.name, isolated.name)
			sim.partition(isolated.name, n.name)
		}
		for range 4 {
			sim.sleep(12 * time.Second)
			turn()
		}
		sim.sleep(messageLifetime + time.Second) // messages in flight to it are lost
		if isolated.incarnation.Load().store.Has(all[0].id) {
			t.Error("the first turn has not expired at the partitioned store")
		}
		for _, n := range append(sim.nodes(), &node{name: "core"}) {
			sim.heal(n.name, isolated.name)
			sim.heal(isolated.name, n.name)
		}
		sim.sleep(time.Second)
		if err := isolated.incarnation.Load().store.Compare(t.Context()); err != nil {
			t.Error(err)
		}
		for _, record := range all {
			if record.outcome != completed || !isolated.incarnation.Load().store.Has(record.id) {
				t.Errorf("%s is %s, and not fetched again", record.id, record)
			}
		}
		sim.close()
	})
}

// A violation ends the scenario, and with it what froze a node: no turn may wait for the thaw then, as the scenario waits for all
// turns before it thaws the nodes.
func TestViolationEndsWaitForFrozenNode(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(1, "")
		frozen := &node{sim: sim, name: "f0"}
		frozen.freeze()
		sim.wg.Go(frozen.awaitThaw)
		synctest.Wait()
		sim.violation("planted")
		sim.wg.Wait()
	})
}
