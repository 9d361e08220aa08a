package turnstore_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// watchExpiry checks periodically that turns which a store has expired do not reappear there.
func (sim *simulation) watchExpiry() {
	for sim.sleep(500 * time.Millisecond) {
		sim.mu.Lock()
		stores := slices.Clone(sim.stores)
		sim.mu.Unlock()
		for _, m := range stores {
			running := m.incarnation.Load()
			if running == nil {
				continue
			}
			if sim.fault == expiredForgotten {
				running.store.ForgetExpired()
			}
			now := map[string]bool{}
			for _, ids := range running.store.Turns() {
				for _, id := range ids {
					now[id] = true
					if has, had := running.seen[id]; had && !has {
						sim.oracle.mu.Lock()
						t := sim.oracle.turns[id]
						// A program's turns are retained together since its last use; messages in flight may still arrive.
						latest := sim.oracle.used[t.program] + t.retain + turnstore.RetainMargin + messageLifetime
						sim.oracle.mu.Unlock()
						if sim.now() > latest {
							sim.violation("EXPIRED: %s has %s of %s again, which ended at %v and was retained for %v",
								m.name, id, t.program, t.ended, t.retain)
						}
					}
					running.seen[id] = true
				}
			}
			for id := range running.seen {
				if !now[id] && running.seen[id] {
					running.seen[id] = false
					sim.note(m.name, "expires %s", id)
				}
			}
		}
	}
}

// checkFinalState ends all faults and checks that the stores converge, survive one more loss, and expire everything.
func (sim *simulation) checkFinalState(rng *rand.Rand) {
	sim.endFaults()
	if sim.over() || !sim.sleep(25*time.Second) {
		return
	}
	sim.controller.mu.Lock()
	p := sim.controller.placement
	sim.controller.mu.Unlock()
	if len(p.New) > 0 {
		sim.violation("the placement is not stable 25 s after all faults: %s", show(p))
		return
	}
	if !sim.noDigest {
		sim.compareAll(p)
	}
	retained := sim.retainedTurns()
	if !sim.noDigest && !sim.checkReplicas(p, retained) {
		return
	}
	lost := sim.storeAt(p.Old[rng.IntN(len(p.Old))].Addr)
	if !sim.checkTurnsWithLoss(rng, lost, retained) {
		return
	}
	lost.start()
	if sim.seed%16 == 0 { // it takes long
		sim.checkAllExpire()
	}
}

// endFaults thaws all nodes, heals all partitions and starts all processes.
func (sim *simulation) endFaults() {
	for _, n := range sim.nodes() {
		n.thaw()
	}
	sim.mu.Lock()
	var partitions [][2]string
	for k := range sim.partitions {
		partitions = append(partitions, k)
	}
	sim.mu.Unlock()
	for _, k := range partitions {
		sim.heal(k[0], k[1])
	}
	for _, f := range sim.fronts {
		f.start()
	}
	for _, m := range sim.stores {
		if m.incarnation.Load() == nil && !sim.controller.isRetired(m.disk().id) {
			m.start()
		}
	}
}

// compareAll has each store compare with all peers, as would happen in time.
func (sim *simulation) compareAll(p *turnstore.Placement) {
	for _, m := range sim.stores {
		if running := m.incarnation.Load(); running != nil && m.placement() == p {
			if err := running.store.Compare(running.ctx); err != nil {
				sim.violation("%s compares: %v", m.name, err)
			}
		}
	}
}

// retainedTurns returns the completed turns that are retained for 2 s at least, by their end.
func (sim *simulation) retainedTurns() (retained []*turnRecord) {
	sim.oracle.mu.Lock()
	for _, b := range sim.oracle.programs {
		for _, t := range b.turns {
			if t.outcome == completed && sim.now() < t.ended+t.retain-2*time.Second {
				retained = append(retained, t)
			}
		}
	}
	sim.oracle.mu.Unlock()
	slices.SortFunc(retained, func(a, b *turnRecord) int { return int(a.ended - b.ended) })
	return retained
}

// checkReplicas checks that all replicas have the given turns, and equal ledgers of their programs.
func (sim *simulation) checkReplicas(p *turnstore.Placement, turns []*turnRecord) bool {
	programs := map[string]bool{}
	for _, t := range turns {
		programs[t.program] = true
		for _, s := range p.ReplicaSets(t.program)[0] {
			if running := sim.storeAt(s.Addr).incarnation.Load(); running == nil || !running.store.Has(t.id) {
				sim.violation("REPLICAS: %s of %s lacks %s, retained until %v", s.ID, t.program, t.id, t.ended+t.retain)
				return false
			}
		}
	}
	for program := range programs {
		var first uint64
		for i, s := range p.ReplicaSets(program)[0] {
			ledger := sim.storeAt(s.Addr).incarnation.Load().store.Ledger(program)
			if i == 0 {
				first = ledger.Digest()
			} else if ledger.Digest() != first {
				sim.violation("REPLICAS: ledgers of %s differ", program)
				return false
			}
		}
	}
	return true
}

// checkTurnsWithLoss wipes one store's disk and checks that retained turns can be continued from, by another program at a new
// front.
func (sim *simulation) checkTurnsWithLoss(rng *rand.Rand, lost *machine, retained []*turnRecord) bool {
	lost.kill(true)
	lost.wipe()
	f := sim.addFront("fresh", "z0")
	if !sim.sleep(500 * time.Millisecond) {
		return false
	}
	reader := sim.newProgram(1 << 40)
	rng.Shuffle(len(retained), func(i, j int) { retained[i], retained[j] = retained[j], retained[i] })
	for _, t := range retained[:min(len(retained), 40)] {
		if sim.now() > t.ended+t.retain-time.Second {
			continue
		}
		outcome := rejected
		for attempt := 0; outcome == rejected && attempt < 3; attempt++ {
			script := turnScript{front: f, program: reader, previous: t, need: 1, ending: aborted}
			outcome = sim.runTurn(script).outcome
			sim.sleep(time.Duration(1+attempt) * 300 * time.Millisecond)
		}
		if outcome == rejected && !sim.over() {
			sim.violation("LOST: %s cannot be continued from with %s lost", t.id, lost.name)
			return false
		}
	}
	return !sim.over()
}

// checkAllExpire checks that without requests all turns expire, in memory and on disk.
func (sim *simulation) checkAllExpire() {
	if !sim.sleep(6*time.Minute + turnstore.OpenTurnRetention + 3*turnstore.RetainMargin) {
		return
	}
	for _, m := range sim.stores {
		if running := m.incarnation.Load(); running != nil {
			if _, n := running.store.Counts(); n > 0 {
				sim.violation("EXPIRED: %s still has %d turns", m.name, n)
			}
			m.disk().mu.Lock()
			if n := len(m.disk().tables[turnstore.Bodies]); n > 0 {
				sim.violation("EXPIRED: the disk of %s still has %d turns", m.name, n)
			}
			m.disk().mu.Unlock()
		}
	}
}
