package placement

import (
	"cmp"
	"larchrouter/internal/tier/turnstore"
	"slices"
	"time"
)

// Observations is what the holder of the duty tells the other core nodes, again and again, so that the one that takes the
// duty over goes on with its counts. It has ages and no times: the clocks of two machines have nothing in common.
type Observations struct {
	Generation    int64               // of the placement, 0 for none
	GenerationAge time.Duration       // since the gen was seen first
	Unresponsive  []UnresponsiveStore // the stores of the placement that are late with their registrations; the others were heard
}

// UnresponsiveStore is how long a store has not been heard by those that held the duty.
type UnresponsiveStore struct {
	ID      string
	Elapsed time.Duration
}

// Observe gives what the holder of the duty should tell the others now.
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

// GenerationSince is when the placement's gen began to be in force, for a holder of the duty that has seen it first at a time.
func (o Observations) GenerationSince(generation int64, seenAt time.Duration) time.Duration {
	if o.Generation == generation {
		return seenAt - o.GenerationAge
	}
	return seenAt
}

// elapsed that was told of a store.
func (o Observations) elapsed(id string) time.Duration {
	if i := slices.IndexFunc(o.Unresponsive, func(s UnresponsiveStore) bool { return s.ID == id }); i >= 0 {
		return o.Unresponsive[i].Elapsed
	}
	return 0
}

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
