package placement

import (
	"fmt"
	"time"

	"larchrouter/internal/tier/turnstore"
)

func programKey(program int) string { return fmt.Sprint("program-", program) }

type turnWrite struct {
	program int
	acked   bool
}

// replicaSets returns the replica sets of a program under the current placement, one for each list.
func (m *simulation) replicaSets(program int) []turnstore.ReplicaSet {
	return m.replicaSetsUnder(m.currentPlacement, program)
}

func (m *simulation) replicaSetsUnder(placement *turnstore.Placement, program int) []turnstore.ReplicaSet {
	if m.replicaSetCache == nil || len(m.replicaSetCache) > 1000 {
		m.replicaSetCache = map[replicaSetKey][]turnstore.ReplicaSet{}
	}
	key := replicaSetKey{placement, program}
	if m.replicaSetCache[key] == nil {
		m.replicaSetCache[key] = placement.ReplicaSets(programKey(program))
	}
	return m.replicaSetCache[key]
}

type replicaSetKey struct {
	placement *turnstore.Placement
	program   int
}

// write simulates a front that writes a turn under the current or the previous placement. Some replicas miss the write.
func (m *simulation) write() {
	known := m.currentPlacement
	if m.now < m.previousUntil && m.rng.IntN(2) == 0 {
		known = m.previousPlacement
	}
	oneIn := 25
	if m.now < m.previousUntil+500*time.Millisecond { // more often around a change of the placement
		oneIn = 2
	}
	if known == nil || len(m.writes) >= 60 || m.rng.IntN(oneIn) > 0 {
		return
	}
	number := len(m.writes)
	m.writes = append(m.writes, turnWrite{program: m.rng.IntN(programCount)})
	m.programWrites[m.writes[number].program] |= 1 << number
	replicaSets := m.replicaSetsUnder(known, m.writes[number].program)
	accepted := map[string]bool{}
	skip := m.rng.IntN(2) == 0
	acked := true
	for _, replicas := range replicaSets {
		acks := 0
		for _, store := range replicas {
			if _, asked := accepted[store.ID]; !asked {
				host := m.host(store.ID)
				accepts := host != nil && host.isUp() && host.adoptedGeneration <= known.Generation && (!skip || m.rng.IntN(3) > 0)
				if accepted[store.ID] = accepts; accepts {
					host.writes |= 1 << number
				}
			}
			if accepted[store.ID] {
				acks++
			}
		}
		acked = acked && len(replicas) > 0 && acks >= max(replicas.Majority(), min(known.DurableReplicas, len(replicas)))
	}
	m.writes[number].acked = acked
}
