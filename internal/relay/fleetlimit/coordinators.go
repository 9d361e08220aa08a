package fleetlimit

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"slices"
)

// Coordinators are the relays of a fleet that may be steward of a destination, the first first. All relays have the same
// order, and one more or less in the fleet changes it for few destinations.
func Coordinators(dest, fleet int) (first []int) {
	type scored struct {
		relay int
		score uint32
	}
	all := make([]scored, fleet)
	for i := range all {
		all[i] = scored{i, crc32.Checksum(fmt.Appendf(nil, "%d of %d", i, dest), castagnoli)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.relay, b.relay)) })
	for _, s := range all[:min(maxCandidates, len(all))] {
		first = append(first, s.relay)
	}
	return first
}

// currentCoordinator is whom to ask now; lone if nobody else answers.
func (f *Limiter) currentCoordinator(ranked []int) (relay int, lone bool) {
	if f.connectivity.partitioned {
		return f.settings.Index, true
	}
	for _, i := range ranked {
		if i == f.settings.Index || f.skipUntil[i] <= f.now {
			return i, false
		}
	}
	return f.settings.Index, true
}

// skip passes over a relay that did not answer, each time for longer until it is heard again.
func (f *Limiter) skip(i int) {
	f.misses[i] = min(f.misses[i]+1, 4)
	f.skipUntil[i] = f.now + skipTime<<(f.misses[i]-1)
	f.noAnswer(i)
}

// handOver hands the asks of a destination to a relay that comes before this one, if there is one that was heard since
// they came here. They come while that is silent, or was to some; it is greeted for as long as they do.
func (f *Limiter) handOver(k *coordinatorState) bool {
	if len(k.requests) == 0 || f.connectivity.partitioned {
		return false
	}
	greet := f.now-k.helloAt >= helloInterval
	for _, i := range k.predecessors {
		if f.lastReachable[i] > k.busySince {
			for _, a := range k.requests {
				if a.relay != f.settings.Index {
					f.send(a.relay, record{kind: movedKind, dest: k.dest, coordinator: i})
				}
			}
			k.requests = nil
			f.releasePledges(k)
			return true
		}
		if greet {
			f.send(i, record{kind: helloKind})
		}
	}
	if greet {
		k.helloAt = f.now
	}
	return false
}
