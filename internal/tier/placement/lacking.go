package placement

import (
	"cmp"
	"slices"

	"larchrouter/internal/tier/turnstore"
)

// FailedStores gives the silences after which a store may be replaced, the longest first.
func (o Observations) FailedStores(t Timings) []UnresponsiveStore {
	failed := slices.DeleteFunc(slices.Clone(o.Unresponsive), func(s UnresponsiveStore) bool { return s.Elapsed <= t.FailureTimeout })
	slices.SortStableFunc(failed, func(a, b UnresponsiveStore) int { return cmp.Compare(b.Elapsed, a.Elapsed) })
	return failed
}

// StoresRequired is how many of the silent stores have to come back, with their disks, before a change of the placement can end: a
// sweep may miss as many of a list as may be lost at once, and no more. It is 0 where it can end without them.
func StoresRequired(p *turnstore.Placement, failed []UnresponsiveStore) int {
	maxMissing := 0
	for _, list := range [][]turnstore.Store{p.Old, p.New} {
		missing := 0
		for _, store := range list {
			if slices.ContainsFunc(failed, func(s UnresponsiveStore) bool { return s.ID == store.ID }) {
				missing++
			}
		}
		maxMissing = max(maxMissing, missing)
	}
	return max(0, maxMissing-p.FaultTolerance)
}
