package turnstore_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// storeFaults injects faults into one store at a time, with the time to catch up between them.
func (sim *simulation) storeFaults(rng *rand.Rand, until time.Duration) {
	span := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	for sim.now() < until {
		if !sim.sleep(span(200*time.Millisecond, 8*time.Second)) {
			return
		}
		sim.mu.Lock()
		m := sim.stores[rng.IntN(len(sim.stores))]
		sim.mu.Unlock()
		if m.incarnation.Load() == nil {
			continue
		}
		sim.storeFaultSlot <- struct{}{} // at most one store has a fault
		sim.storeFault(rng, m, span)
		<-sim.storeFaultSlot
	}
}

// storeFault injects one fault and waits for the store to catch up.
func (sim *simulation) storeFault(rng *rand.Rand, m *machine, span func(lo, hi time.Duration) time.Duration) {
	duration := span(50*time.Millisecond, 9*time.Second)
	if rng.IntN(6) == 0 {
		duration = span(20*time.Second, 50*time.Second)
	}
	sim.faultUntil(sim.now() + duration + catchUp)
	wiped, goesOn := false, false
	switch rng.IntN(9) {
	case 0:
		goesOn = sim.restartAfterKill(m, false, duration)
	case 1:
		goesOn = sim.restartAfterKill(m, true, duration)
	case 2, 3:
		m.kill(true)
		m.wipe()
		goesOn, wiped = sim.sleep(duration/4), true
		if goesOn {
			m.start()
		}
	case 4:
		m.freeze()
		if goesOn = sim.sleep(duration); goesOn {
			m.thaw()
		}
	case 5:
		goesOn = sim.isolate(m, rng.IntN(2) == 0, duration)
	case 6:
		sim.note(m.name, "slow disk")
		m.setSyncTime(200 * time.Millisecond)
		if goesOn = sim.sleep(duration); goesOn {
			m.setSyncTime(0)
			sim.note(m.name, "disk recovered")
		}
	case 7:
		goesOn = sim.powerLoss(duration / 4)
	case 8:
		goesOn, wiped = sim.lossAfterMissedWrites(rng, m, span, duration/20), true
	}
	if !goesOn || !sim.sleep(catchUp) {
		return
	}
	if wiped {
		sim.checkCaughtUp(m)
	}
}

func (sim *simulation) restartAfterKill(m *machine, power bool, duration time.Duration) bool {
	m.kill(power)
	if !sim.sleep(duration) {
		return false
	}
	m.start()
	return true
}

// powerLoss cuts the power of all stores for a time.
func (sim *simulation) powerLoss(duration time.Duration) bool {
	sim.mu.Lock()
	var all []*machine
	for _, m := range sim.stores {
		if m.incarnation.Load() != nil {
			all = append(all, m)
		}
	}
	sim.mu.Unlock()
	for _, m := range all {
		m.kill(true)
	}
	if !sim.sleep(duration) {
		return false
	}
	for _, m := range all {
		m.start()
	}
	return true
}

// lossAfterMissedWrites has another replica miss the writes of fronts for a while, then wipes a store.
func (sim *simulation) lossAfterMissedWrites(rng *rand.Rand, m *machine, span func(lo, hi time.Duration) time.Duration,
	duration time.Duration) bool {
	sim.mu.Lock()
	other := sim.stores[rng.IntN(len(sim.stores))]
	sim.mu.Unlock()
	if other == m {
		return false
	}
	sim.note(other.name, "unreachable for fronts")
	for _, f := range sim.fronts {
		sim.partition(f.name, other.name)
	}
	if !sim.sleep(span(200*time.Millisecond, 2*time.Second)) {
		return false
	}
	m.kill(true)
	m.wipe()
	for _, f := range sim.fronts {
		sim.heal(f.name, other.name)
	}
	if !sim.sleep(duration) {
		return false
	}
	m.start()
	return true
}

// isolate partitions a store from all other nodes for a time; one way: only messages to it are lost.
func (sim *simulation) isolate(m *machine, oneWay bool, duration time.Duration) bool {
	sim.note(m.name, "partitioned, one way %v", oneWay)
	for _, n := range append(sim.nodes(), &node{name: "core"}) {
		if n != &m.node {
			sim.partition(n.name, m.name)
			if !oneWay {
				sim.partition(m.name, n.name)
			}
		}
	}
	if !sim.sleep(duration) {
		return false
	}
	for _, n := range append(sim.nodes(), &node{name: "core"}) {
		sim.heal(n.name, m.name)
		sim.heal(m.name, n.name)
	}
	sim.note(m.name, "partition healed")
	return true
}

// checkCaughtUp checks that a store whose disk was lost has completed its sweep once the time to catch up is over.
func (sim *simulation) checkCaughtUp(m *machine) {
	sim.controller.mu.Lock()
	p := sim.controller.placement
	sim.controller.mu.Unlock()
	if p == nil || m.incarnation.Load() == nil {
		return
	}
	for range 2 { // an operator's order may have begun another change
		placed := slices.ContainsFunc(p.Old, func(s turnstore.Store) bool { return s.ID == m.disk().id })
		if placed || sim.controller.isRetired(m.disk().id) || sim.fault != "" {
			return
		}
	}
	if m.incarnation.Load().store.SweptGeneration() < p.Generation {
		sim.violation("%s has not caught up %v after it returned with an empty disk: %s", m.name, catchUp, show(p))
	}
}

func (c *controller) isRetired(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired[id]
}

// frontFaults kills, freezes and partitions fronts; the invariants of turns and budgets hold nevertheless.
func (sim *simulation) frontFaults(rng *rand.Rand, until time.Duration) {
	span := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	for sim.now() < until {
		if !sim.sleep(span(200*time.Millisecond, 6*time.Second)) {
			return
		}
		f := sim.randomFront(rng)
		sim.mu.Lock()
		m := sim.stores[rng.IntN(len(sim.stores))]
		sim.mu.Unlock()
		duration := span(20*time.Millisecond, 5*time.Second)
		sim.faultUntil(sim.now() + duration + 10*time.Second)
		switch rng.IntN(4) {
		case 0:
			f.kill()
			if !sim.sleep(duration) {
				return
			}
			f.start()
		case 1:
			f.freeze()
			if !sim.sleep(duration) {
				return
			}
			f.thaw()
		case 2:
			a, b := f.name, m.name
			if rng.IntN(2) == 0 {
				a, b = b, a
			}
			both := rng.IntN(2) == 0
			sim.note(f.name, "partitioned %s>%s both %v", a, b, both)
			sim.partition(a, b)
			if both {
				sim.partition(b, a)
			}
			if !sim.sleep(duration) {
				return
			}
			sim.heal(a, b)
			sim.heal(b, a)
		case 3:
			sim.note(f.name, "partitioned from the controller")
			sim.partition("core", f.name)
			if !sim.sleep(duration * time.Duration(1+3*rng.IntN(2))) {
				return
			}
			sim.heal("core", f.name)
		}
	}
}

// operatorOrders adds and retires stores; one whose retirement is complete loses its disk at once.
func (sim *simulation) operatorOrders(rng *rand.Rand, until time.Duration) {
	limit, pause := 4, 20*time.Second
	if rng.IntN(3) == 0 { // machines are replaced in sequence
		limit, pause = 12, 3*time.Second
	}
	for n := 0; sim.now() < until && n < limit; n++ {
		if !sim.sleep(time.Duration(rng.Int64N(int64(pause)))) {
			return
		}
		if rng.IntN(2) == 0 {
			m := sim.addStore(fmt.Sprintf("s%d", len(sim.stores)), fmt.Sprintf("z%d", rng.IntN(2)))
			sim.note(m.name, "added")
			continue
		}
		sim.mu.Lock()
		m := sim.stores[rng.IntN(len(sim.stores))]
		sim.mu.Unlock()
		id := m.disk().id
		if m.incarnation.Load() == nil || !sim.controller.retire(id) {
			continue
		}
		sim.note(m.name, "retires")
		for range 600 {
			if !sim.sleep(100 * time.Millisecond) {
				return
			}
			if sim.controller.retirementComplete(id) {
				break
			}
		}
		if m.disk().id == id && sim.controller.retirementComplete(id) {
			sim.note(m.name, "retired")
			sim.storeFaultSlot <- struct{}{}
			sim.faultUntil(sim.now() + catchUp)
			if rng.IntN(2) == 0 && !sim.sleep(time.Duration(rng.Int64N(int64(3*time.Second)))) {
				<-sim.storeFaultSlot
				return
			}
			if m.disk().id != id { // it has returned as a new store
				<-sim.storeFaultSlot
				continue
			}
			m.kill(true)
			m.wipe()
			sim.mu.Lock()
			other := sim.stores[rng.IntN(len(sim.stores))]
			sim.mu.Unlock()
			if other.incarnation.Load() != nil { // another one may be lost at the same time
				other.kill(true)
				other.wipe()
				other.start()
				sim.sleep(catchUp)
			}
			<-sim.storeFaultSlot
		}
	}
}
