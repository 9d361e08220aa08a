package placement

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// desiredStores returns the target list after candidates were added or have replaced failed and leaving stores, and without the
// stores to be removed. The leaving stores were told to stop; they stay while the list is short of stores.
func (in *Input) desiredStores(target, leaving []turnstore.Store, t Timings, replicas int) []turnstore.Store {
	desired := slices.Clone(target)
	for i, store := range desired {
		if status, known := in.Stores[store.ID]; known {
			desired[i] = status.Store // its address may have changed
		}
	}
	for _, candidate := range in.candidates(target, t) {
		desired = in.addCandidate(desired, leaving, candidate, t)
	}
	suspect := slices.ContainsFunc(desired, func(o turnstore.Store) bool { return in.isSuspect(o, t) })
	desired = removeSurplus(desired, replicas, func(id string, listed []turnstore.Store) bool {
		return turnstore.ContainsStore(leaving, id) && in.exceedsNominal(len(listed))
	})
	return removeSurplus(desired, replicas, func(id string, listed []turnstore.Store) bool {
		return in.Retired[id] && !suspect || in.elapsed(id, t) > in.removalTimeout(id, listed, t)
	})
}

// removalTimeout returns after which time without registration a store is removed from a list. It is shorter while one of the
// others may be the successor, and shortest if one registered just as the given store stopped registering.
func (in *Input) removalTimeout(id string, list []turnstore.Store, t Timings) time.Duration {
	switch {
	case !in.exceedsNominal(len(list)):
		return t.RemovalTimeout
	case in.hasSuccessor(id, list, t):
		return t.FailureTimeout
	default:
		return t.SurplusTimeout
	}
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

// removeSurplus removes the stores, last first, for which remove reports true, given what is left of the list then. It keeps as
// many stores as there are replicas.
func removeSurplus(stores []turnstore.Store, replicas int, remove func(id string, listed []turnstore.Store) bool) []turnstore.Store {
	for i := len(stores) - 1; i >= 0 && len(stores) > replicas; i-- {
		if remove(stores[i].ID, stores) {
			stores = slices.Delete(stores, i, i+1)
		}
	}
	return stores
}

// candidates returns the live stores that are not in the target list and may be added to it, sorted by identity.
func (in *Input) candidates(target []turnstore.Store, t Timings) (candidates []turnstore.Store) {
	for id, status := range in.Stores {
		listed := turnstore.ContainsStore(target, id)
		if !listed && !in.Retired[id] && status.ConfirmedAt > 0 && in.Now-status.ConfirmedAt <= t.SuspectTimeout &&
			!in.isStopping(id, t) && !in.isSuperseded(status) && !in.recentlyRetired(status.Store.Name, t) {
			candidates = append(candidates, status.Store)
		}
	}
	slices.SortFunc(candidates, func(a, b turnstore.Store) int { return cmp.Compare(a.ID, b.ID) })
	return candidates
}

// addCandidate lets the candidate replace the store with its address, otherwise a failed store, preferably one with its name,
// otherwise a leaving store, if its name is the candidate's or the list is not short of stores. If there is none, it appends the
// candidate to the list, but not while a store of the list is suspect: the candidate may be the successor of that store, and a
// list with both a failed store and its successor tolerates one loss less until the failed one is removed. Nor does it append the candidate while the list has a store with its name, whose successor the candidate is.
func (in *Input) addCandidate(stores, leaving []turnstore.Store, candidate turnstore.Store, t Timings) []turnstore.Store {
	find := func(f func(turnstore.Store) bool) int { return slices.IndexFunc(stores, f) }
	i := find(func(o turnstore.Store) bool { return o.Addr == candidate.Addr })
	if i < 0 {
		i = find(func(o turnstore.Store) bool {
			return o.Name == candidate.Name && (in.elapsed(o.ID, t) > t.FailureTimeout || turnstore.ContainsStore(leaving, o.ID))
		})
	}
	if i < 0 {
		i = find(func(o turnstore.Store) bool { return in.elapsed(o.ID, t) > t.FailureTimeout })
	}
	if i < 0 {
		i = find(func(o turnstore.Store) bool {
			return turnstore.ContainsStore(leaving, o.ID) && in.exceedsNominal(len(stores)+1)
		})
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
