package placement

import (
	"cmp"
	"slices"

	"larchrouter/internal/tier/turnstore"
)

// desiredStores is the list as it should be.
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
		if in.Retired[id] && !suspect || in.elapsed(id, t) > t.RemovalTimeout || in.elapsed(id, t) > t.FailureTimeout && in.hasSuccessor(id, desired, t) {
			desired = slices.Delete(desired, i, i+1)
		}
	}
	return desired
}

// hasSuccessor tells whether a store of the list came about when another was heard last: it was given a place more, as the
// other had been heard a moment before, and is its successor.
func (in *Input) hasSuccessor(id string, list []turnstore.Store, t Timings) bool {
	departed := in.Stores[id].ConfirmedAt - t.SuspectTimeout
	return slices.ContainsFunc(list, func(store turnstore.Store) bool {
		status, known := in.Stores[store.ID]
		return known && store.ID != id && status.ConfirmedAt > 0 && status.FirstSeen > departed
	})
}

// candidates are the stores that were heard lately and are not in the list, in a fixed order.
func (in *Input) candidates(target []turnstore.Store, t Timings) (candidates []turnstore.Store) {
	for id, status := range in.Stores {
		listed := slices.ContainsFunc(target, func(o turnstore.Store) bool { return o.ID == id })
		if !listed && !in.Retired[id] && status.ConfirmedAt > 0 && in.Now-status.ConfirmedAt < t.FailureTimeout && !in.isSuperseded(status) && !in.recentlyRetired(status.Store.Name, t) {
			candidates = append(candidates, status.Store)
		}
	}
	slices.SortFunc(candidates, func(a, b turnstore.Store) int { return cmp.Compare(a.ID, b.ID) })
	return candidates
}

// addCandidate gives a newcomer a addCandidate: that of the store before it at its address, that of a silent one, or a addCandidate more.
// While some store may be gone or not, no addCandidate is added: the newcomer may be its successor, and a list with one that
// is gone and its successor side by side has one loss less to bear until the first is taken off. One under the name of a
// store of the list is the successor of that one.
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
