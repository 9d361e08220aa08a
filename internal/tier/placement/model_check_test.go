package placement

import (
	"time"

	"larchrouter/internal/tier/turnstore"
)

// canDeny reports whether the store may deny that a turn exists, as in package turnstore.
func (h *host) isAuthoritative() bool {
	return h.placement != nil && (containsStore(h.placement.Old, h.id) || h.sweptGeneration == h.placement.Generation)
}

// check checks the invariant of docs/design/015.
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

// responder is a store of a list as it responds now.
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

// checkMajorities checks that each program has a running majority of replicas by each list in force.
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
					m.fail("STUCK for %v: program %d has %d running replicas of %s", m.longestNoMajority, program, running, storeIDs(replicas))
				}
				return
			}
		}
	}
	m.noMajoritySince = 0
}

// maxNoMajority bounds how long a program may be without a majority; the invariant requires 0.
const maxNoMajority = 0

// checkWrite checks that a running store has the write, that too few can deny it, and that no majority lacks it.
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
		m.fail("LOST: write %d of program %d may be answered 404", number, write.program)
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
		m.fail("BUDGET: a majority of replicas lacks write %d of program %d", number, write.program)
	}
}

// checkConvergence ends the faults, and checks that all replicas converge within a bound, also with a new control state.
func (m *simulation) checkConvergence(injector *faultInjector) {
	injector.nextLoss, injector.nextOrder, injector.nextHeadChange = never, never, never
	m.run(m.now+25*time.Second, injector.step)
	m.checkConverged()
	if m.violation != "" || m.rng.IntN(3) > 0 {
		return
	}
	m.logEvent("new control state")
	m.currentPlacement, m.previousPlacement, m.tookOverAt, m.stores, m.retired =
		nil, nil, m.now, map[string]StoreStatus{}, map[string]bool{}
	for _, h := range m.hosts {
		h.retired = false
	}
	m.departures = Departures{}
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
		m.fail("STUCK: the placement is not stable long after the last fault")
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
			m.fail("REPLICAS: %d of program %d lack write %d", lacking, write.program, number)
		}
	}
}

// checkRetired checks that each retirement is complete, if enough others are left. One may have been accepted while the list had
// both a failed store and its successor; it waits for a further store then.
func (m *simulation) checkRetired() {
	others := 0
	for _, host := range m.hosts {
		if host.isUp() && !host.retired {
			others++
		}
	}
	for _, h := range m.hosts {
		if h.retired && !h.removed && others >= 2*m.faultTolerance+1 {
			m.fail("RETIREMENT: %s, ordered to retire, is still in use long after the last fault, with %d others", h.name, others)
		}
	}
}
