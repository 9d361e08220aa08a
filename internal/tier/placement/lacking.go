package placement

import (
	"cmp"
	"slices"

	"larchrouter/internal/tier/turnstore"
)

// FailedStores gives the silences after which a store may be replaced, the longest first.
func (h Observations) FailedStores(t Timings) []UnresponsiveStore {
	long := slices.DeleteFunc(slices.Clone(h.Unresponsive), func(s UnresponsiveStore) bool { return s.Elapsed <= t.FailureTimeout })
	slices.SortStableFunc(long, func(a, b UnresponsiveStore) int { return cmp.Compare(b.Elapsed, a.Elapsed) })
	return long
}

// StoresRequired is how many of the silent stores have to come back, with their disks, before a change of the placement can end: a
// sweep may miss as many of a list as may be lost at once, and no more. It is 0 where it can end without them.
func StoresRequired(p *turnstore.Placement, silent []UnresponsiveStore) int {
	most := 0
	for _, list := range [][]turnstore.Store{p.Old, p.New} {
		missed := 0
		for _, one := range list {
			if slices.ContainsFunc(silent, func(s UnresponsiveStore) bool { return s.ID == one.ID }) {
				missed++
			}
		}
		most = max(most, missed)
	}
	return max(0, most-p.FaultTolerance)
}
