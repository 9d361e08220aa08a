package placement

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// Timings are the time-outs and intervals of planning.
type Timings struct {
	InitialWait     time.Duration // from the first registration to the initial placement, so that other stores can register
	ExtendedWait    time.Duration // used instead if there are fewer stores than replicas, or if a store has adopted a placement
	ConfirmInterval time.Duration // from the first registration of a sequence until a further one confirms the store
	SuspectTimeout  time.Duration // without registration: the store is suspect; longer than the registration interval
	FailureTimeout  time.Duration // without registration: the store has failed, and a candidate may replace it
	SurplusTimeout  time.Duration // without registration: the store is removed while another one may be its successor
	RemovalTimeout  time.Duration // without registration: the store is removed even without a replacement
	TakeoverGrace   time.Duration // time for which a new head receives registrations before it uses inherited observations
}

// takeoverGrace exceeds the time within which a running store registers with a new head. A store that was connected to the
// previous head turns to another node 0.95 s after that head was lost, some 0.2 s after the new head took over; a call that it
// made just before ends within 0.8 s, and the next one takes up to 0.15 s. A store that was connected to another node registers
// within 0.65 s.
const takeoverGrace = 1200 * time.Millisecond

// DefaultTimings returns the timings for a contact time-out (setting contact_ms), the time for which a faulty machine may be
// unreachable.
func DefaultTimings(contactTimeout time.Duration) Timings {
	return Timings{InitialWait: 700 * time.Millisecond, ExtendedWait: 4 * time.Second, ConfirmInterval: 80 * time.Millisecond,
		SuspectTimeout: 600 * time.Millisecond, FailureTimeout: contactTimeout / 2, SurplusTimeout: contactTimeout, RemovalTimeout: 2 * contactTimeout,
		TakeoverGrace: takeoverGrace}
}

// Input is the head's knowledge on which Plan bases its decision. Plan does not modify it.
type Input struct {
	Now             time.Duration
	TookOverAt      time.Duration          // time since which this head has received registrations without interruption
	Inherited       Observations           // from the previous head; zero for none
	GenerationSince time.Duration          // when the generation of Current was first seen, see Observations.GenerationSince
	FaultTolerance  int                    // number of replicas that may be lost at the same time
	Current         *turnstore.Placement   // newest placement that was written, committed or not; nil for none
	Stores          map[string]StoreStatus // by store identity; maintained by Register
	Retired         map[string]bool        // identities of stores whose retirement was accepted, complete or not
	Departures      Departures             // of retired stores, as seen by this head
	NominalStores   int                    // by the function of this name; 0 if it is not known yet
}

// Plan returns the placement that should replace the current one, or nil if no change is needed.
func Plan(in Input, t Timings) *turnstore.Placement {
	replicas := 2*in.FaultTolerance + 1
	if in.Current == nil {
		return initialPlacement(in, t, replicas)
	}
	target := targetList(in.Current)
	desired := in.desiredStores(target, in.leavingStores(target, t), t, replicas)
	if !slices.Equal(desired, target) { // one change does for all
		desired = in.desiredStores(target, in.stoppingStores(target, t), t, replicas)
	}
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
		return nil // one change at a time: the stores that this change removes must not be in the old list of the next one
	case !slices.Equal(desired, target):
		next.Generation, next.New = next.Generation+1, desired
		return &next
	}
	return nil
}

// isJoint reports whether the current placement is joint, that is, whether a change is in progress.
func (in *Input) isJoint() bool { return len(in.Current.New) > 0 }

// highestGeneration returns the highest generation that any store is known to have adopted. After the control state was
// created anew it is above that of the placement, and stores reject requests of a lower generation.
func (in *Input) highestGeneration() (generation int64) {
	for _, status := range in.Stores {
		generation = max(generation, status.Generation, status.SweptGeneration)
	}
	return generation
}

// initialPlacement returns the first placement of a control state, or nil while more stores may still register.
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
