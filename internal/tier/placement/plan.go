// Package placement decides the duty of placement: which stores hold the copies, as they come, go, lose their disks
// and are emptied. It is the duty of the chain's head, whose epoch fences it. Pure.
package placement

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// Timings of the duty.
type Timings struct {
	InitialWait     time.Duration // wait for others before the stores are placed for the first time
	ExtendedWait    time.Duration // as long again, where fewer came than all copies need, or where stores were placed before
	ConfirmInterval time.Duration // between two registrations that confirm each other
	SuspectTimeout  time.Duration // silence after which a store may be gone: longer than the pause between its registrations
	FailureTimeout  time.Duration // silence after which a newcomer may take a store's place
	RemovalTimeout  time.Duration // silence after which a store is taken off the list
	TakeoverGrace   time.Duration // for a new holder of the duty, before silence that it was told counts
}

// takeoverGrace is longer than a store that runs takes to register with a new head. One that followed the head before asks another
// node 0.95 s after that one was lost, some 0.2 s after the new head came; a call that it began before then ends within 0.8 s,
// and the next one takes up to 0.15 s. One that followed another node is heard within 0.65 s.
const takeoverGrace = 1200 * time.Millisecond

// DefaultTimings, from the time for which a machine that is in trouble may stay away.
func DefaultTimings(contact time.Duration) Timings {
	return Timings{InitialWait: 700 * time.Millisecond, ExtendedWait: 4 * time.Second, ConfirmInterval: 80 * time.Millisecond,
		SuspectTimeout: 600 * time.Millisecond, FailureTimeout: contact / 2, RemovalTimeout: 2 * contact, TakeoverGrace: takeoverGrace}
}

// Input is what the holder of the duty knows.
type Input struct {
	Now             time.Duration
	TookOverAt      time.Duration // when it took the duty: the silence that it measures itself counts from there at the earliest
	Inherited       Observations  // what the holder before it had measured, empty for nothing
	GenerationSince time.Duration // when it first saw the placement's gen
	FaultTolerance  int
	Current         *turnstore.Placement   // nil for none
	Stores          map[string]StoreStatus // by id
	Retired         map[string]bool        // ids that are to be emptied, or were
	Departures      Departures             // of those that were, as this holder of the duty saw it
}

// Plan gives the placement that should replace the present one, nil for none.
func Plan(in Input, t Timings) *turnstore.Placement {
	replicas := 2*in.FaultTolerance + 1
	if in.Current == nil {
		return initialPlacement(in, t, replicas)
	}
	target := in.Current.Old
	if in.isJoint() {
		target = in.Current.New
	}
	desired := in.desiredStores(target, t, replicas)
	next := *in.Current
	next.SweptIDs = nil
	switch newest := in.highestGeneration(); {
	case newest > in.Current.Generation:
		next.Generation, next.New = newest+1, desired
		return &next
	case in.isJoint() && in.changeCanEnd(target, t):
		next.Old, next.New = target, nil
		return &next
	case in.isJoint() && !in.changeIsBlocked(target, t):
		return nil // one change after the other: what this one takes off must not stay in force longer for the next
	case !slices.Equal(desired, target):
		next.Generation, next.New = next.Generation+1, desired
		return &next
	}
	return nil
}

// highestGeneration is the highest gen that any store has adopted, as far as is known. Where the core was founded anew it is
// above the placement's, and stores refuse what comes under an older gen.
func (in *Input) highestGeneration() (generation int64) {
	for _, status := range in.Stores {
		generation = max(generation, status.Generation, status.SweptGeneration)
	}
	return generation
}

func initialPlacement(in Input, t Timings, replicas int) *turnstore.Placement {
	var stores []turnstore.Store
	firstSeen := in.Now
	for _, status := range in.Stores {
		firstSeen = min(firstSeen, status.FirstSeen)
		if !in.Retired[status.Store.ID] && status.ConfirmedAt > 0 && !in.isSuperseded(status) && in.Now-status.ConfirmedAt <= t.FailureTimeout {
			stores = append(stores, status.Store)
		}
	}
	elapsed, highest := in.Now-firstSeen, in.highestGeneration()
	extended := len(stores) < replicas || highest > 0
	if elapsed < t.InitialWait || extended && elapsed < t.ExtendedWait || len(stores) <= in.FaultTolerance {
		return nil
	}
	slices.SortFunc(stores, func(a, b turnstore.Store) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID)) })
	return &turnstore.Placement{Generation: highest + 1, ReplicationFactor: replicas, DurableReplicas: in.FaultTolerance + 1, FaultTolerance: in.FaultTolerance, Old: stores}
}

// isSuspect tells whether a store may be gone or not: it is late with its registration, or this holder of the duty has
// not heard it yet; soon it is heard, or it is silent for long enough and its successor has come. Meanwhile nothing
// that can wait begins. One at whose address another has come is gone.
func (in *Input) isSuspect(store turnstore.Store, t Timings) bool {
	status, known := in.Stores[store.ID]
	if !known {
		status.Store = store
	}
	elapsed := in.elapsed(store.ID, t)
	return elapsed <= 2*t.FailureTimeout && (status.ConfirmedAt == 0 || elapsed > t.SuspectTimeout) && !in.isSuperseded(status)
}

// isSuperseded tells whether another store has been heard at the same address since: the one before it is gone, however
// lately it was heard.
func (in *Input) isSuperseded(status StoreStatus) bool {
	for _, other := range in.Stores {
		if other.Store.Addr == status.Store.Addr && other.Store.ID != status.Store.ID && other.ConfirmedAt > status.ConfirmedAt {
			return true
		}
	}
	return false
}

// changeCanEnd tells whether enough stores of a list have changeCanEnd under the present gen for the change to end. Those that are
// silent or take long are not waited for, as long as those that have changeCanEnd hold losses + 1 copies of each program:
// another loss must not find a change half done because of one store. They sweep later.
func (in *Input) changeCanEnd(target []turnstore.Store, t Timings) bool {
	unswept, timedOut := 0, in.Now-in.GenerationSince > t.FailureTimeout
	for _, store := range target {
		if in.Stores[store.ID].SweptGeneration >= in.Current.Generation {
			continue
		}
		if unswept++; !timedOut && in.elapsed(store.ID, t) <= 2*t.SuspectTimeout {
			return false
		}
	}
	return unswept <= in.unsweptAllowed(target)
}

// changeIsBlocked tells whether a change can not end because too many stores of its list are absent.
func (in *Input) changeIsBlocked(target []turnstore.Store, t Timings) bool {
	unswept := 0
	for _, store := range target {
		if in.Stores[store.ID].SweptGeneration < in.Current.Generation && in.hasFailed(store, t) {
			unswept++
		}
	}
	return unswept > in.unsweptAllowed(target)
}

// unsweptAllowed is how many stores of a list may be empty with losses + 1 copies of each program on others.
func (in *Input) unsweptAllowed(target []turnstore.Store) int {
	return max(0, min(len(target), in.Current.ReplicationFactor)-in.Current.DurableReplicas)
}

// hasFailed tells whether a store of the list is silent, or gone since another is at its address.
func (in *Input) hasFailed(store turnstore.Store, t Timings) bool {
	return in.elapsed(store.ID, t) > t.FailureTimeout || in.isSuperseded(in.Stores[store.ID])
}

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

// isJoint tells whether a change is under way.
func (in *Input) isJoint() bool { return len(in.Current.New) > 0 }

// CanRetire tells whether enough stores stay when one is emptied.
func CanRetire(p *turnstore.Placement, retired map[string]bool, faultTolerance int) bool {
	remaining := -1
	target := p.Old
	if len(p.New) > 0 {
		target = p.New
	}
	for _, store := range target {
		if !retired[store.ID] {
			remaining++
		}
	}
	return remaining >= 2*faultTolerance+1
}
