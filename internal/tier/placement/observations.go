package placement

import (
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

// measuredElapsed is the silence of a store while somebody listened: that of this holder of the duty, and of the one before it
// unless the store has registered since. The time between the two, in which nobody may have listened, is not in it.
func (in *Input) measuredElapsed(id string) time.Duration {
	own := in.ownElapsed(id)
	if _, registered := in.Stores[id]; registered {
		return own
	}
	return own + in.Inherited.elapsed(id)
}

// ownElapsed of a store is what this holder of the duty has measured itself.
func (in *Input) ownElapsed(id string) time.Duration {
	return in.Now - max(in.TookOverAt, in.Stores[id].ConfirmedAt)
}

// elapsed of a store, on which decisions rest. What was told counts only once this holder of the duty has listened for
// longer than a store that runs takes to register with it: such a store is never counted silent for what another has
// measured, however old or wrong that is.
func (in *Input) elapsed(id string, t Timings) time.Duration {
	if own := in.ownElapsed(id); own < t.TakeoverGrace {
		return own
	}
	return in.measuredElapsed(id)
}
