package placement

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// Timings are the time-outs of planning.
type Timings struct {
	InitialWait     time.Duration // from the first registration to the first placement, for the others to register
	ExtendedWait    time.Duration // instead of it, if there are fewer stores than replicas, or stores know earlier placements
	ConfirmInterval time.Duration // after the first registration of a sequence, before one confirms the store
	SuspectTimeout  time.Duration // without registration: the store may have failed; above the interval of registrations
	FailureTimeout  time.Duration // without registration: the store has failed, and a candidate may replace it
	RemovalTimeout  time.Duration // without registration: the store is removed also without replacement
	TakeoverGrace   time.Duration // for which a new head listens before it uses inherited observations
}

// takeoverGrace is above the time in which a running store registers with a new head. A store that followed the head before
// asks another node 0.95 s after that head was lost, some 0.2 s after the new head took over; a call that it made just before
// ends within 0.8 s, and the next one takes up to 0.15 s. A store that followed another node registers within 0.65 s.
const takeoverGrace = 1200 * time.Millisecond

// DefaultTimings returns the time-outs for a contact time: how long a machine with a fault may be away (setting contact_ms).
func DefaultTimings(contactTimeout time.Duration) Timings {
	return Timings{InitialWait: 700 * time.Millisecond, ExtendedWait: 4 * time.Second, ConfirmInterval: 80 * time.Millisecond,
		SuspectTimeout: 600 * time.Millisecond, FailureTimeout: contactTimeout / 2, RemovalTimeout: 2 * contactTimeout, TakeoverGrace: takeoverGrace}
}

// Input is what the head knows. Plan does not modify it.
type Input struct {
	Now             time.Duration
	TookOverAt      time.Duration          // since when this head has listened to registrations without interruption
	Inherited       Observations           // of the head before it; zero for none
	GenerationSince time.Duration          // when the generation of Current was first seen, see Observations.GenerationSince
	FaultTolerance  int                    // replicas that may be lost at once
	Current         *turnstore.Placement   // newest that was written, committed or not; nil for none
	Stores          map[string]StoreStatus // by store identity; kept by Register
	Retired         map[string]bool        // identities of stores that an operator's order retires, or has retired
	Departures      Departures             // of retired stores, as seen by this head
}

// Plan returns the placement that should replace the current one, or nil if no change is due.
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
		return nil // one change at a time: the stores that this one removes must not stay in force for the next one
	case !slices.Equal(desired, target):
		next.Generation, next.New = next.Generation+1, desired
		return &next
	}
	return nil
}

// isJoint reports whether a change is in progress.
func (in *Input) isJoint() bool { return len(in.Current.New) > 0 }

// highestGeneration returns the highest generation that any store is known to have adopted. It is above the placement's
// after the control state was created anew; stores reject requests of a lower generation.
func (in *Input) highestGeneration() (generation int64) {
	for _, status := range in.Stores {
		generation = max(generation, status.Generation, status.SweptGeneration)
	}
	return generation
}

// initialPlacement returns the first placement of a control state, or nil as long as it waits for more stores to register.
func initialPlacement(in Input, t Timings, replicas int) *turnstore.Placement {
	var stores []turnstore.Store
	firstSeen := in.Now
	for _, status := range in.Stores {
		firstSeen = min(firstSeen, status.FirstSeen)
		if !in.Retired[status.Store.ID] && status.ConfirmedAt > 0 && !in.isSuperseded(status) &&
			in.Now-status.ConfirmedAt <= t.FailureTimeout {
			stores = append(stores, status.Store)
		}
	}
	elapsed, highest := in.Now-firstSeen, in.highestGeneration()
	extended := len(stores) < replicas || highest > 0
	if elapsed < t.InitialWait || extended && elapsed < t.ExtendedWait || len(stores) <= in.FaultTolerance {
		return nil
	}
	slices.SortFunc(stores, func(a, b turnstore.Store) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID)) })
	return &turnstore.Placement{Generation: highest + 1, ReplicationFactor: replicas, DurableReplicas: in.FaultTolerance + 1,
		FaultTolerance: in.FaultTolerance, Old: stores}
}
