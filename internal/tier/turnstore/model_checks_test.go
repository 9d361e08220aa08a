package turnstore_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// watchExpiry looks at what stores hold: what one has dropped does not come back there.
func (w *simulation) watchExpiry() {
	for w.sleep(500 * time.Millisecond) {
		w.mu.Lock()
		stores := slices.Clone(w.stores)
		w.mu.Unlock()
		for _, m := range stores {
			l := m.incarnation.Load()
			if l == nil {
				continue
			}
			if w.fault == expiredForgotten {
				l.store.ForgetExpired()
			}
			now := map[string]bool{}
			for _, ids := range l.store.Turns() {
				for _, id := range ids {
					now[id] = true
					if has, had := l.seen[id]; had && !has {
						w.oracle.mu.Lock()
						t := w.oracle.turns[id]
						// A program's turns are kept together, from its last use on; what is under way may come for a while.
						late := w.now() > w.oracle.used[t.program]+t.retain+turnstore.KeepMargin+messageLifetime
						w.oracle.mu.Unlock()
						if late {
							w.violation("EXPIRED: %s has %s of %s again, which ended at %v and was to be kept for %v", m.name, id, t.program, t.ended, t.retain)
						}
					}
					l.seen[id] = true
				}
			}
			for id := range l.seen {
				if !now[id] && l.seen[id] {
					l.seen[id] = false
					w.note(m.name, "drops %s", id)
				}
			}
		}
	}
}

// checkFinalState ends all trouble and checks that all is as it should be.
func (w *simulation) checkFinalState(rng *rand.Rand) {
	for _, n := range w.nodes() {
		n.thaw()
	}
	w.mu.Lock()
	var cuts [][2]string
	for k := range w.partitions {
		cuts = append(cuts, k)
	}
	w.mu.Unlock()
	for _, k := range cuts {
		w.heal(k[0], k[1])
	}
	for _, f := range w.fronts {
		f.start()
	}
	for _, m := range w.stores {
		if m.incarnation.Load() == nil && !w.controller.isRetired(m.disk().id) {
			m.start()
		}
	}
	if w.over() || !w.sleep(25*time.Second) {
		return
	}
	w.controller.mu.Lock()
	p := w.controller.placement
	w.controller.mu.Unlock()
	if len(p.New) > 0 {
		w.violation("the placement is not stable 25 s after all trouble: %s", show(p))
		return
	}
	if !w.noDigest {
		for _, m := range w.stores { // each with each other, as time would do
			if l := m.incarnation.Load(); l != nil && m.placement() == p {
				if err := l.store.Compare(l.ctx); err != nil {
					w.violation("%s compares: %v", m.name, err)
				}
			}
		}
	}
	w.oracle.mu.Lock()
	var kept []*turnRecord
	programs := map[string]bool{}
	for _, b := range w.oracle.programs {
		for _, t := range b.turns {
			if t.outcome == completed && w.now() < t.ended+t.retain-2*time.Second {
				kept = append(kept, t)
				programs[t.program] = true
			}
		}
	}
	w.oracle.mu.Unlock()
	slices.SortFunc(kept, func(a, b *turnRecord) int { return int(a.ended - b.ended) })
	copies := 0
	for _, t := range kept {
		for _, s := range p.ReplicaSets(t.program)[0] {
			if l := w.storeAt(s.Addr).incarnation.Load(); l != nil && l.store.Has(t.id) {
				copies++
			} else if !w.noDigest {
				w.violation("COPIES: %s of %s lacks %s, kept until %v", s.ID, t.program, t.id, t.ended+t.retain)
				return
			}
		}
	}
	if !w.noDigest {
		for program := range programs {
			var first uint64
			for i, s := range p.ReplicaSets(program)[0] {
				l := w.storeAt(s.Addr).incarnation.Load().store.Ledger(program)
				if i == 0 {
					first = l.Digest()
				} else if l.Digest() != first {
					w.violation("COPIES: ledgers of %s differ", program)
					return
				}
			}
		}
	}
	// One store's disk is lost without a warning, and what is kept is read from another program at fresh fronts.
	lost := w.storeAt(p.Old[rng.IntN(len(p.Old))].Addr)
	lost.kill(true)
	lost.wipe()
	f := w.addFront("fresh", "z0")
	if !w.sleep(500 * time.Millisecond) {
		return
	}
	reader := w.newProgram(1 << 40)
	rng.Shuffle(len(kept), func(i, j int) { kept[i], kept[j] = kept[j], kept[i] })
	for _, t := range kept[:min(len(kept), 40)] {
		if w.now() > t.ended+t.retain-time.Second {
			continue
		}
		how := rejected
		for try := 0; how == rejected && try < 3; try++ {
			how = w.runTurn(turnScript{front: f, program: reader, previous: t, need: 1, ending: aborted}).outcome
			w.sleep(time.Duration(1+try) * 300 * time.Millisecond)
		}
		if how == rejected && !w.over() {
			w.violation("LOST: %s is not read with %s lost", t.id, lost.name)
			return
		}
	}
	if w.over() {
		return
	}
	lost.start()
	// Once nothing is asked for, all turns go.
	if w.seed%16 != 0 {
		return
	}
	if !w.sleep(6*time.Minute + turnstore.OpenKeeps + 3*turnstore.KeepMargin) {
		return
	}
	for _, m := range w.stores {
		if l := m.incarnation.Load(); l != nil {
			if _, n := l.store.Counts(); n > 0 {
				w.violation("EXPIRED: %s has %d turns still", m.name, n)
			}
			m.disk().mu.Lock()
			if n := len(m.disk().tables[turnstore.Bodies]); n > 0 {
				w.violation("EXPIRED: the disk of %s has %d turns still", m.name, n)
			}
			m.disk().mu.Unlock()
		}
	}
}
