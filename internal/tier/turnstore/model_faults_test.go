package turnstore_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// storeFaults plays troubles at one store at a time, with the time to catch up between them.
func (w *simulation) storeFaults(rng *rand.Rand, until time.Duration) {
	span := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	for w.now() < until {
		if !w.sleep(span(200*time.Millisecond, 8*time.Second)) {
			return
		}
		w.mu.Lock()
		m := w.stores[rng.IntN(len(w.stores))]
		w.mu.Unlock()
		if m.incarnation.Load() == nil {
			continue
		}
		w.storeFaultSlot <- struct{}{} // of the stores no more than one is in trouble
		w.storeFault(rng, m, span)
		<-w.storeFaultSlot
	}
}

// storeFault plays one, and the time to catch up after it.
func (w *simulation) storeFault(rng *rand.Rand, m *machine, span func(lo, hi time.Duration) time.Duration) {
	away := span(50*time.Millisecond, 9*time.Second)
	if rng.IntN(6) == 0 {
		away = span(20*time.Second, 50*time.Second)
	}
	w.faultUntil(w.now() + away + catchUp)
	lost := false
	switch rng.IntN(9) {
	case 7: // power is lost everywhere
		w.mu.Lock()
		var all []*machine
		for _, m := range w.stores {
			if m.incarnation.Load() != nil {
				all = append(all, m)
			}
		}
		w.mu.Unlock()
		for _, m := range all {
			m.kill(true)
		}
		if !w.sleep(away / 4) {
			return
		}
		for _, m := range all {
			m.start()
		}
	case 8: // a copy gets nothing for a while, then another is lost
		w.mu.Lock()
		other := w.stores[rng.IntN(len(w.stores))]
		w.mu.Unlock()
		if other == m {
			return
		}
		w.note(other.name, "not reached by fronts")
		for _, f := range w.fronts {
			w.partition(f.name, other.name)
		}
		if !w.sleep(span(200*time.Millisecond, 2*time.Second)) {
			return
		}
		m.kill(true)
		m.wipe()
		for _, f := range w.fronts {
			w.heal(f.name, other.name)
		}
		if !w.sleep(away / 20) {
			return
		}
		m.start()
		lost = true
	case 0:
		m.kill(false)
		if !w.sleep(away) {
			return
		}
		m.start()
	case 1:
		m.kill(true)
		if !w.sleep(away) {
			return
		}
		m.start()
	case 2, 3:
		m.kill(true)
		m.wipe()
		if !w.sleep(away / 4) {
			return
		}
		m.start()
		lost = true
	case 4:
		m.freeze()
		if !w.sleep(away) {
			return
		}
		m.thaw()
	case 5:
		oneWay := rng.IntN(2) == 0
		w.note(m.name, "cut off, one way %v", oneWay)
		for _, n := range append(w.nodes(), &node{name: "core"}) {
			if n != &m.node {
				w.partition(n.name, m.name)
				if !oneWay {
					w.partition(m.name, n.name)
				}
			}
		}
		if !w.sleep(away) {
			return
		}
		for _, n := range append(w.nodes(), &node{name: "core"}) {
			w.heal(n.name, m.name)
			w.heal(m.name, n.name)
		}
		w.note(m.name, "joined")
	case 6:
		w.note(m.name, "slow disk")
		m.setSyncTime(200 * time.Millisecond)
		if !w.sleep(away) {
			return
		}
		m.setSyncTime(0)
		w.note(m.name, "disk well")
	}
	if !w.sleep(catchUp) {
		return
	}
	if lost {
		w.checkCaughtUp(m)
	}
}

// checkCaughtUp: a store whose disk was lost has all that it should hold once the time to catch up is over.
func (w *simulation) checkCaughtUp(m *machine) {
	w.controller.mu.Lock()
	p := w.controller.placement
	w.controller.mu.Unlock()
	if p == nil || m.incarnation.Load() == nil {
		return
	}
	for range 2 { // an order of the operator may have begun another change meanwhile
		if slices.ContainsFunc(p.Old, func(s turnstore.Store) bool { return s.ID == m.disk().id }) || w.controller.isRetired(m.disk().id) || w.fault != "" {
			return
		}
	}
	if m.incarnation.Load().store.SweptGeneration() < p.Generation {
		w.violation("%s has not caught up %v after it came back without its disk: %s", m.name, catchUp, show(p))
	}
}

func (c *controller) isRetired(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired[id]
}

// frontFaults kills, freezes and cuts fronts; the rules about turns and budgets hold all the same.
func (w *simulation) frontFaults(rng *rand.Rand, until time.Duration) {
	span := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	for w.now() < until {
		if !w.sleep(span(200*time.Millisecond, 6*time.Second)) {
			return
		}
		f := w.randomFront(rng)
		w.mu.Lock()
		m := w.stores[rng.IntN(len(w.stores))]
		w.mu.Unlock()
		away := span(20*time.Millisecond, 5*time.Second)
		w.faultUntil(w.now() + away + 10*time.Second)
		switch rng.IntN(4) {
		case 0:
			f.kill()
			if !w.sleep(away) {
				return
			}
			f.start()
		case 1:
			f.freeze()
			if !w.sleep(away) {
				return
			}
			f.thaw()
		case 2:
			a, b := f.name, m.name
			if rng.IntN(2) == 0 {
				a, b = b, a
			}
			both := rng.IntN(2) == 0
			w.note(f.name, "cut %s>%s both %v", a, b, both)
			w.partition(a, b)
			if both {
				w.partition(b, a)
			}
			if !w.sleep(away) {
				return
			}
			w.heal(a, b)
			w.heal(b, a)
		case 3:
			w.note(f.name, "cut from the core")
			w.partition("core", f.name)
			if !w.sleep(away * time.Duration(1+3*rng.IntN(2))) {
				return
			}
			w.heal("core", f.name)
		}
	}
}

// operatorOrders adds stores, and retires them; one that is complete loses its disk at once.
func (w *simulation) operatorOrders(rng *rand.Rand, until time.Duration) {
	most, pause := 4, 20*time.Second
	if rng.IntN(3) == 0 { // machines are replaced one after the other
		most, pause = 12, 3*time.Second
	}
	for n := 0; w.now() < until && n < most; n++ {
		if !w.sleep(time.Duration(rng.Int64N(int64(pause)))) {
			return
		}
		if rng.IntN(2) == 0 {
			m := w.addStore(fmt.Sprintf("s%d", len(w.stores)), fmt.Sprintf("z%d", rng.IntN(2)))
			w.note(m.name, "added")
			continue
		}
		w.mu.Lock()
		m := w.stores[rng.IntN(len(w.stores))]
		w.mu.Unlock()
		id := m.disk().id
		if m.incarnation.Load() == nil || !w.controller.retire(id) {
			continue
		}
		w.note(m.name, "to be emptied")
		for range 600 {
			if !w.sleep(100 * time.Millisecond) {
				return
			}
			if w.controller.retirementComplete(id) {
				break
			}
		}
		if m.disk().id == id && w.controller.retirementComplete(id) {
			w.note(m.name, "complete")
			w.storeFaultSlot <- struct{}{}
			if w.faultUntil(w.now() + catchUp); rng.IntN(2) == 0 && !w.sleep(time.Duration(rng.Int64N(int64(3*time.Second)))) {
				<-w.storeFaultSlot
				return
			}
			if m.disk().id != id { // it has come back as a new store meanwhile
				<-w.storeFaultSlot
				continue
			}
			m.kill(true)
			m.wipe()
			w.mu.Lock()
			other := w.stores[rng.IntN(len(w.stores))]
			w.mu.Unlock()
			if other.incarnation.Load() != nil { // which may go together with one more
				other.kill(true)
				other.wipe()
				other.start()
				w.sleep(catchUp)
			}
			<-w.storeFaultSlot
		}
	}
}
