package placement

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// Observations are published periodically by the head to the other core nodes, so that the next head continues the running
// time-outs. They contain durations instead of points in time, because the clocks of two machines are unrelated.
type Observations struct {
	Generation    int64               // of the current placement; 0 for none
	GenerationAge time.Duration       // time since the generation was first seen
	Unresponsive  []UnresponsiveStore // stores of the placement that exceeded SuspectTimeout; all others registered in time
}

// UnresponsiveStore is a store of the placement whose registration is late.
type UnresponsiveStore struct {
	ID      string
	Elapsed time.Duration // time without a confirmed registration, as measured by heads; excludes the time between two heads
}

// Observe returns the current observations, to be published.
func (in *Input) Observe(t Timings) Observations {
	if in.Current == nil {
		return Observations{}
	}
	observations := Observations{Generation: in.Current.Generation, GenerationAge: in.Now - in.GenerationSince}
	for _, store := range in.Current.Stores() {
		if elapsed := in.measuredElapsed(store.ID); elapsed > t.SuspectTimeout {
			observations.Unresponsive = append(observations.Unresponsive, UnresponsiveStore{ID: store.ID, Elapsed: elapsed})
		}
	}
	return observations
}

// GenerationSince returns the time since which a generation has been in force, on the clock of a head that first saw it at
// seenAt.
func (o Observations) GenerationSince(generation int64, seenAt time.Duration) time.Duration {
	if o.Generation == generation {
		return seenAt - o.GenerationAge
	}
	return seenAt
}

// elapsed returns the observed time without a confirmed registration; 0 for stores that registered in time.
func (o Observations) elapsed(id string) time.Duration {
	if i := slices.IndexFunc(o.Unresponsive, func(s UnresponsiveStore) bool { return s.ID == id }); i >= 0 {
		return o.Unresponsive[i].Elapsed
	}
	return 0
}

// FailedStores returns the stores that exceeded FailureTimeout and may be replaced, longest unresponsive first.
func (o Observations) FailedStores(t Timings) []UnresponsiveStore {
	failed := slices.DeleteFunc(slices.Clone(o.Unresponsive), func(s UnresponsiveStore) bool {
		return s.Elapsed <= t.FailureTimeout
	})
	slices.SortStableFunc(failed, func(a, b UnresponsiveStore) int { return cmp.Compare(b.Elapsed, a.Elapsed) })
	return failed
}

// StoresRequired returns how many of the failed stores must return, with their disks, before a change of the placement can
// end: a sweep may miss at most FaultTolerance stores of a list. It is 0 if changes can end without them.
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
