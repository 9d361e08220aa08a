package placement

import (
	"time"

	"larchrouter/internal/tier/turnstore"
)

// canDeny is as turnstore's: the store may say what there is not.
func (h *host) canDeny() bool {
	return h.known != nil && (containsStore(h.known.Old, h.id) || h.swept == h.known.Generation)
}

// check holds the state against the invariant of docs/design/015.
func (m *simulation) check() {
	if m.current == nil || m.countLost() > m.faultTolerance {
		m.noMajoritySince = 0
		return
	}
	m.checkMajorities()
	lists := [][]responder{m.responders(m.current.Old), m.responders(m.current.New)}
	for number, write := range m.writes {
		if write.acked {
			m.checkWrite(number, write, lists)
		}
	}
}

// responder is a store of a list as it may answer now.
type responder struct {
	live, valid bool
	has         uint64
}

func (m *simulation) responders(list []turnstore.Store) (out []responder) {
	for _, store := range list {
		if host := m.host(store.ID); host != nil {
			out = append(out, responder{host.isUp(), host.canDeny(), host.writes})
		} else {
			out = append(out, responder{})
		}
	}
	return out
}

// checkMajorities: each program has a live majority of copies by each list in force.
func (m *simulation) checkMajorities() {
	for program := range programCount {
		for _, replicas := range m.replicaSets(program) {
			running := 0
			for _, store := range replicas {
				if host := m.host(store.ID); host != nil && host.isUp() && host.adopted <= m.current.Generation {
					running++
				}
			}
			if running < replicas.Majority() {
				if m.noMajoritySince == 0 {
					m.noMajoritySince = m.now
				}
				if m.longestNoMajority = max(m.longestNoMajority, m.now-m.noMajoritySince); m.longestNoMajority > maxNoMajority {
					m.fail("STUCK for %v: program %d has %d live copies of %s", m.longestNoMajority, program, running, storeIDs(replicas))
				}
				return
			}
		}
	}
	m.noMajoritySince = 0
}

// maxNoMajority bounds how long a program may be without a majority; the invariant says not at all.
const maxNoMajority = 0

// checkWrite: a live store has it, too few can deny it, and no majority misses it.
func (m *simulation) checkWrite(number int, write turnWrite, lists [][]responder) {
	running, denied := false, true
	for _, list := range lists {
		denials := 0
		for _, store := range list {
			hasWrite := store.has>>number&1 == 1
			running = running || store.live && hasWrite
			if store.live && store.valid && !hasWrite {
				denials++
			}
		}
		denied = denied && (len(list) == 0 || denials >= max(1, len(list)-m.faultTolerance))
	}
	if !running {
		m.fail("LOST: no live store has write %d of program %d", number, write.program)
	}
	if denied {
		m.fail("LOST: write %d of program %d may be answered 404", number, write.program)
	}
	lacked := true
	for _, replicas := range m.replicaSets(write.program) {
		lacking := 0
		for _, s := range replicas {
			if h := m.host(s.ID); h != nil && h.writes>>number&1 == 0 {
				lacking++
			}
		}
		lacked = lacked && lacking >= replicas.Majority()
	}
	if lacked {
		m.fail("BUDGET: a majority of copies misses write %d of program %d", number, write.program)
	}
}

// checkConvergence ends the troubles; all is whole again within a bound, also after the core was founded anew.
func (m *simulation) checkConvergence(injector *faultInjector) {
	injector.nextLoss, injector.nextOrder, injector.nextHeadChange = never, never, never
	m.run(m.now+25*time.Second, injector.step)
	m.checkConverged()
	if m.violation != "" || m.rng.IntN(3) > 0 {
		return
	}
	m.logEvent("the core is founded anew")
	m.current, m.previous, m.tookOverAt, m.stores, m.retired = nil, nil, m.now, map[string]StoreStatus{}, map[string]bool{}
	for _, h := range m.hosts {
		h.retired = false
	}
	m.departures = Departures{}
	m.inherited, m.lastReport, m.referenceStores = Observations{}, Observations{}, map[string]StoreStatus{}
	m.run(m.now+15*time.Second, injector.step)
	if m.current == nil {
		m.fail("STUCK: no placement 15 s after the core was founded anew")
		return
	}
	m.checkConverged()
}

// checkConverged: the placement is stable, and all copies have all that was acknowledged.
func (m *simulation) checkConverged() {
	if m.violation != "" {
		return
	}
	if len(m.current.New) > 0 {
		m.fail("STUCK: the placement is not stable long after all trouble")
		return
	}
	m.checkRetired()
	for number, write := range m.writes {
		for _, s := range m.replicaSets(write.program)[0] {
			if h := m.host(s.ID); write.acked && (h == nil || h.writes>>number&1 == 0) {
				lacks := 0
				for _, s := range m.replicaSets(write.program)[0] {
					if h := m.host(s.ID); h == nil || h.writes>>number&1 == 0 {
						lacks++
					}
				}
				if lacks > m.faultTolerance {
					m.fail("COPIES: %d of program %d lack write %d", lacks, write.program, number)
				}
			}
		}
	}
}

// checkRetired: each order to empty a store is complete, where enough others are left. An order may have been taken while the list had
// a store that was gone beside its successor; it waits for one more then.
func (m *simulation) checkRetired() {
	others := 0
	for _, host := range m.hosts {
		if host.isUp() && !host.retired {
			others++
		}
	}
	for _, h := range m.hosts {
		if h.retired && !h.removed && others >= 2*m.faultTolerance+1 {
			m.fail("EMPTYING: %s, ordered to be emptied, is still in use long after all trouble, with %d others", h.name, others)
		}
	}
}
