package placement

import (
	"cmp"
	"slices"

	"larchrouter/internal/tier/turnstore"
)

// desiredStores returns the target list after candidates were added or have replaced failed stores, and without the stores to
// be removed.
func (in *Input) desiredStores(target []turnstore.Store, t Timings, replicas int) []turnstore.Store {
	desired := slices.Clone(target)
	for i, store := range desired {
		if status, known := in.Stores[store.ID]; known {
			desired[i] = status.Store // its address may have changed
		}
	}
	for _, candidate := range in.candidates(target, t) {
		desired = in.addCandidate(desired, candidate, t)
	}
	suspect := slices.ContainsFunc(desired, func(o turnstore.Store) bool { return in.isSuspect(o, t) })
	for i := len(desired) - 1; i >= 0 && len(desired) > replicas; i-- {
		id := desired[i].ID
		if in.Retired[id] && !suspect || in.elapsed(id, t) > t.RemovalTimeout ||
			in.elapsed(id, t) > t.FailureTimeout && in.hasSuccessor(id, desired, t) {
			desired = slices.Delete(desired, i, i+1)
		}
	}
	return desired
}

// hasSuccessor reports whether a store of the list first registered when the given store stopped registering, or later. It is
// assumed to be the successor; it was added instead of replacing the given store because that one was not late yet.
func (in *Input) hasSuccessor(id string, list []turnstore.Store, t Timings) bool {
	departed := in.Stores[id].ConfirmedAt - t.SuspectTimeout
	return slices.ContainsFunc(list, func(store turnstore.Store) bool {
		status, known := in.Stores[store.ID]
		return known && store.ID != id && status.ConfirmedAt > 0 && status.FirstSeen > departed
	})
}

// candidates returns the live stores that are not in the target list and may be added to it, sorted by identity.
func (in *Input) candidates(target []turnstore.Store, t Timings) (candidates []turnstore.Store) {
	for id, status := range in.Stores {
		listed := slices.ContainsFunc(target, func(o turnstore.Store) bool { return o.ID == id })
		if !listed && !in.Retired[id] && status.ConfirmedAt > 0 && in.Now-status.ConfirmedAt < t.FailureTimeout &&
			!in.isSuperseded(status) && !in.recentlyRetired(status.Store.Name, t) {
			candidates = append(candidates, status.Store)
		}
	}
	slices.SortFunc(candidates, func(a, b turnstore.Store) int { return cmp.Compare(a.ID, b.ID) })
	return candidates
}

// addCandidate lets the candidate replace the store with its address, otherwise a failed store, preferably one with its name.
// If there is none, it appends the candidate to the list, but not while a store of the list is suspect: the candidate may be the
// successor of that store, and a list with both a failed store and its successor tolerates one loss less until the failed one
// is removed. Nor does it append the candidate while the list has a store with its name, whose successor the candidate is.
func (in *Input) addCandidate(stores []turnstore.Store, candidate turnstore.Store, t Timings) []turnstore.Store {
	find := func(f func(turnstore.Store) bool) int { return slices.IndexFunc(stores, f) }
	i := find(func(o turnstore.Store) bool { return o.Addr == candidate.Addr })
	if i < 0 {
		i = find(func(o turnstore.Store) bool {
			return o.Name == candidate.Name && in.elapsed(o.ID, t) > t.FailureTimeout
		})
	}
	if i < 0 {
		i = find(func(o turnstore.Store) bool { return in.elapsed(o.ID, t) > t.FailureTimeout })
	}
	mustWait := func(o turnstore.Store) bool { return o.Name == candidate.Name || in.isSuspect(o, t) }
	switch {
	case i >= 0:
		stores[i] = candidate
	case find(mustWait) < 0:
		stores = append(stores, candidate)
	}
	return stores
}
