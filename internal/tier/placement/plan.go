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

// isJoint tells whether a change is under way.
func (in *Input) isJoint() bool { return len(in.Current.New) > 0 }
