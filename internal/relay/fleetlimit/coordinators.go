package fleetlimit

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"slices"
)

// Coordinators returns the relays of a fleet that may be coordinator of a destination, in the order of preference, by
// rendezvous hashing. All relays compute the same order, and one relay more or less changes it for few destinations.
func Coordinators(dest, fleetSize int) (first []int) {
	type scored struct {
		relay int
		score uint32
	}
	all := make([]scored, fleetSize)
	for i := range all {
		all[i] = scored{i, crc32.Checksum(fmt.Appendf(nil, "%d of %d", i, dest), castagnoli)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.relay, b.relay)) })
	for _, s := range all[:min(maxCandidates, len(all))] {
		first = append(first, s.relay)
	}
	return first
}

// currentCoordinator returns the first candidate that is not skipped; alone reports that only this relay itself
// is left.
func (l *Limiter) currentCoordinator(candidates []int) (relay int, alone bool) {
	if l.connectivity.partitioned {
		return l.settings.Index, true
	}
	for _, i := range candidates {
		if i == l.settings.Index || l.skipUntil[i] <= l.now {
			return i, false
		}
	}
	return l.settings.Index, true
}

// skip passes over a relay that did not answer, each time for longer until a message of it arrives.
func (l *Limiter) skip(relay int) {
	l.misses[relay] = min(l.misses[relay]+1, 4)
	l.skipUntil[relay] = l.now + skipTime<<(l.misses[relay]-1)
	l.noAnswer(relay)
}

// handOver passes the pending requests of a destination to a preferred candidate, if one was reachable since
// they arrived here, and reports whether it did. Requests arrive here while that candidate is down, or was for
// some relays; hellos are sent to the preferred candidates for as long as requests arrive.
func (l *Limiter) handOver(coord *coordinatorState) bool {
	if len(coord.requests) == 0 || l.connectivity.partitioned {
		return false
	}
	helloDue := l.now-coord.helloAt >= helloInterval
	for _, i := range coord.predecessors {
		if l.lastReachable[i] > coord.busySince {
			for _, pending := range coord.requests {
				if pending.relay != l.settings.Index {
					l.send(pending.relay, record{kind: movedKind, dest: coord.dest, coordinator: i})
				}
			}
			coord.requests = nil
			l.releasePledges(coord)
			return true
		}
		if helloDue {
			l.send(i, record{kind: helloKind})
		}
	}
	if helloDue {
		coord.helloAt = l.now
	}
	return false
}
