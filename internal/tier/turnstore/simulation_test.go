package turnstore_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A slow disk on one of three copies is not waited for.
func TestSlowDiskOfOneReplicaDoesNotDelayTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := healthySimulation(3, true)
		w.stores[1].setSyncTime(200 * time.Millisecond)
		p := w.newProgram(1000)
		began := w.now()
		one := w.runTurn(turnScript{front: w.fronts[0], program: p, need: 5, used: 5, ending: completed, retain: time.Minute})
		w.runTurn(turnScript{front: w.fronts[0], program: p, previous: one, need: 5, used: 5, ending: completed, retain: time.Minute})
		if took := w.now() - began; took > 30*time.Millisecond {
			t.Errorf("two turns took %v", took)
		}
		w.close()
	})
}

// healthySimulation is a world without trouble.
func healthySimulation(stores int, even bool) *simulation {
	w := newWorld(1, "")
	w.uniformDelays = even
	for i := range stores {
		w.addStore(fmt.Sprintf("s%d", i), fmt.Sprintf("z%d", i))
	}
	for i := range 2 {
		w.addFront(fmt.Sprintf("f%d", i), "z0")
	}
	w.wg.Go(func() { w.controller.run(w) })
	w.sleep(2 * time.Second)
	return w
}

func TestBudgetOfProgramWithEightySubAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := healthySimulation(4, false)
		const all = 1500
		p := w.newProgram(all)
		first := w.runTurn(turnScript{front: w.fronts[0], program: p, need: 10, used: 10, ending: completed, retain: time.Minute})
		var agents sync.WaitGroup
		for i := range 80 {
			agents.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(i), 5))
				last := first
				for refusals := 0; refusals < 3; {
					one := w.runTurn(turnScript{front: w.randomFront(rng), program: p, previous: last, need: 10, used: 1 + rng.IntN(10), runs: 50 * time.Millisecond, ending: completed, retain: time.Minute})
					if one.outcome == completed {
						last = one
					} else {
						refusals++
					}
					w.sleep(time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
				}
			})
		}
		agents.Wait()
		used, held := 0, 0
		for _, o := range w.oracle.programs[p].turns {
			if used += o.used; o.outcome == completed {
				held++
			}
		}
		w.close()
		if len(w.violations) > 0 {
			t.Errorf("%s\n%s", w.violations[0], w.timeline(20))
		}
		if used > all || used < all-80*10 || held < 100 {
			t.Errorf("%d turns used %d of %d", held, used, all)
		}
		t.Logf("%d turns used %d of %d, %d answers of 402", held, used, all, w.oracle.budgetExceeded)
	})
}

func TestLongChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := healthySimulation(4, true)
		p := w.newProgram(110_000)
		var last *turnRecord
		for i := range 560 {
			last = w.runTurn(turnScript{front: w.fronts[i%2], program: p, previous: last, need: 196, used: 196, ending: completed, retain: time.Minute})
			if last.outcome != completed {
				w.violation("turn %d is not whole: %+v", i, last.outcome)
				break
			}
			if i == 200 || i == 400 { // a store is lost and comes back while it goes on
				m := w.stores[i/200]
				m.kill(true)
				m.wipe()
				m.start()
			}
			if i > 200 && i%40 == 0 {
				w.sleep(time.Second)
			}
		}
		w.stores[3].kill(true)
		w.stores[3].wipe()
		fresh := w.addFront("fresh", "z1")
		w.sleep(time.Second)
		if one := w.runTurn(turnScript{front: fresh, program: w.newProgram(100), previous: last, need: 1, used: 1, ending: completed, retain: time.Minute}); one.outcome != completed {
			w.violation("the chain is not read whole")
		}
		w.close()
		if len(w.violations) > 0 {
			t.Errorf("%s\n%s", w.violations[0], w.timeline(20))
		}
	})
}

// A change does not wait long for a store that no other store reaches; that one sweeps once it can, though the placement
// is stable.
func TestStoreMissedByChangeSweepsWhileStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := healthySimulation(4, true)
		apart := w.stores[1]
		others := []*machine{w.stores[0], w.stores[2], w.stores[3], w.addStore("s4", "z4")}
		for _, o := range others {
			w.partition(o.name, apart.name)
			w.partition(apart.name, o.name)
		}
		w.sleep(6 * time.Second)
		w.controller.mu.Lock()
		p := w.controller.placement
		w.controller.mu.Unlock()
		store := apart.incarnation.Load().store
		if len(p.New) > 0 || len(p.Old) != 5 || store.SweptGeneration() >= p.Generation {
			t.Errorf("with a store that has not swept: %s, and it has swept gen %d", show(p), store.SweptGeneration())
		}
		for _, o := range others {
			w.heal(o.name, apart.name)
			w.heal(apart.name, o.name)
		}
		w.sleep(2 * time.Second)
		if store.SweptGeneration() != p.Generation {
			t.Errorf("it has swept gen %d, 2 s after it is back: %s", store.SweptGeneration(), show(p))
		}
		w.close()
	})
}

// A store that was cut off until it dropped a program's turns takes them back from stores that keep them still, as the
// program went on there; what no one keeps any more stays away (the timelines of expiry).
func TestExpiredTurnsAreRefetchedWhereProgramContinued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := healthySimulation(3, true)
		p := w.newProgram(1000)
		var last *turnRecord
		var all []*turnRecord
		turn := func() {
			last = w.runTurn(turnScript{front: w.fronts[0], program: p, previous: last, need: 5, used: 5, ending: completed, retain: 20 * time.Second})
			all = append(all, last)
		}
		turn()
		away := w.stores[0]
		for _, n := range append(w.nodes(), &node{name: "core"}) {
			w.partition(n.name, away.name)
			w.partition(away.name, n.name)
		}
		for range 4 {
			w.sleep(12 * time.Second)
			turn()
		}
		w.sleep(messageLifetime + time.Second) // what was under way to it is lost
		if l := away.incarnation.Load(); l.store.Has(all[0].id) {
			t.Error("the first turn is not dropped at the store that was cut off")
		}
		for _, n := range append(w.nodes(), &node{name: "core"}) {
			w.heal(n.name, away.name)
			w.heal(away.name, n.name)
		}
		w.sleep(time.Second)
		if err := away.incarnation.Load().store.Compare(t.Context()); err != nil {
			t.Error(err)
		}
		for _, one := range all {
			if one.outcome != completed || !away.incarnation.Load().store.Has(one.id) {
				t.Errorf("%s is %s, and not taken back", one.id, one)
			}
		}
		w.close()
	})
}
