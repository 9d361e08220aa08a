package placement

import (
	"time"

	"larchrouter/internal/tier/turnstore"
)

// isAuthoritative reports whether the store may deny that a turn exists, by the rule of package turnstore.
func (h *host) isAuthoritative() bool {
	return h.placement != nil && (turnstore.ContainsStore(h.placement.Old, h.id) || h.sweptGeneration == h.placement.Generation)
}

// check checks the invariants of docs/design/015: every program has a majority of replicas, and no acknowledged write is lost.
func (m *simulation) check() {
	if m.currentPlacement == nil || m.countLost() > m.faultTolerance {
		m.noMajoritySince = 0
		return
	}
	m.checkMajorities()
	lists := [][]responder{m.responders(m.currentPlacement.Old), m.responders(m.currentPlacement.New)}
	for number, write := range m.writes {
		if write.acked {
			m.checkWrite(number, write, lists)
		}
	}
}

// responder is the present state of a store of a list.
type responder struct {
	running, isAuthoritative bool
	writes                   uint64
}

func (m *simulation) responders(list []turnstore.Store) (responders []responder) {
	for _, store := range list {
		if host := m.host(store.ID); host != nil {
			responders = append(responders, responder{host.isUp(), host.isAuthoritative(), host.writes})
		} else {
			responders = append(responders, responder{})
		}
	}
	return responders
}

// checkMajorities checks that a majority of each program's replicas is running, for each list of the placement.
func (m *simulation) checkMajorities() {
	for program := range programCount {
		for _, replicas := range m.replicaSets(program) {
			running := 0
			for _, store := range replicas {
				if host := m.host(store.ID); host != nil && host.isUp() && host.adoptedGeneration <= m.currentPlacement.Generation {
					running++
				}
			}
			if running < replicas.Majority() {
				if m.noMajoritySince == 0 {
					m.noMajoritySince = m.now
				}
				if m.longestNoMajority = max(m.longestNoMajority, m.now-m.noMajoritySince); m.longestNoMajority > maxNoMajority {
					m.fail("UNAVAILABLE for %v: program %d has only %d running replicas of %s",
						m.longestNoMajority, program, running, storeIDs(replicas))
				}
				return
			}
		}
	}
	m.noMajoritySince = 0
}

// maxNoMajority bounds how long a program may be without a majority; the invariant requires 0.
const maxNoMajority = 0

// checkWrite checks that a running store has the write, that too few stores can deny it, and that no majority lacks it.
func (m *simulation) checkWrite(number int, write turnWrite, lists [][]responder) {
	running, denied := false, true
	for _, list := range lists {
		denials := 0
		for _, store := range list {
			hasWrite := store.writes>>number&1 == 1
			running = running || store.running && hasWrite
			if store.running && store.isAuthoritative && !hasWrite {
				denials++
			}
		}
		denied = denied && (len(list) == 0 || denials >= max(1, len(list)-m.faultTolerance))
	}
	if !running {
		m.fail("LOST: no running store has write %d of program %d", number, write.program)
	}
	if denied {
		m.fail("LOST: write %d of program %d may be reported as not found (404)", number, write.program)
	}
	lacked := true
	for _, replicas := range m.replicaSets(write.program) {
		lacking := 0
		for _, store := range replicas {
			if host := m.host(store.ID); host != nil && host.writes>>number&1 == 0 {
				lacking++
			}
		}
		lacked = lacked && lacking >= replicas.Majority()
	}
	if lacked {
		m.fail("MAJORITY: a majority of replicas lacks write %d of program %d", number, write.program)
	}
}

// checkConvergence stops the faults and checks that all replicas converge within 25 s. In a third of the runs it also checks
// convergence within 15 s after the control state was created anew.
func (m *simulation) checkConvergence(injector *faultInjector) {
	injector.nextLoss, injector.nextOrder, injector.nextHeadChange, injector.nextPlannedWork = never, never, never, never
	m.run(m.now+25*time.Second, injector.step)
	m.checkConverged()
	if m.violation != "" || m.rng.IntN(3) > 0 {
		return
	}
	m.logEvent("control state created anew")
	m.currentPlacement, m.previousPlacement, m.tookOverAt, m.stores, m.retired =
		nil, nil, m.now, map[string]StoreStatus{}, map[string]bool{}
	for _, h := range m.hosts {
		h.retired = false
	}
	m.departures, m.initialStores = Departures{}, 0
	m.inherited, m.lastReport, m.referenceStores = Observations{}, Observations{}, map[string]StoreStatus{}
	m.run(m.now+15*time.Second, injector.step)
	if m.currentPlacement == nil {
		m.fail("STUCK: no placement 15 s after the control state was created anew")
		return
	}
	m.checkConverged()
}

// checkConverged checks that the placement is stable, and that all replicas have every acknowledged write.
func (m *simulation) checkConverged() {
	if m.violation != "" {
		return
	}
	if len(m.currentPlacement.New) > 0 {
		m.fail("STUCK: the placement is still joint long after the last fault")
		return
	}
	m.checkRetired()
	for number, write := range m.writes {
		if !write.acked {
			continue
		}
		lacking := 0
		for _, store := range m.replicaSets(write.program)[0] {
			if host := m.host(store.ID); host == nil || host.writes>>number&1 == 0 {
				lacking++
			}
		}
		if lacking > m.faultTolerance {
			m.fail("REPLICAS: %d replicas of program %d lack write %d", lacking, write.program, number)
		}
	}
}

// checkRetired checks that each retirement is complete, provided that enough other stores are left. One that was accepted while
// the list had both a failed store and its successor waits for a further store.
func (m *simulation) checkRetired() {
	others := 0
	for _, host := range m.hosts {
		if host.isUp() && !host.retired {
			others++
		}
	}
	for _, h := range m.hosts {
		if h.retired && !h.removed && others >= 2*m.faultTolerance+1 {
			m.fail("RETIREMENT: the retirement of %s is incomplete long after the last fault, with %d other stores", h.name, others)
		}
	}
}
