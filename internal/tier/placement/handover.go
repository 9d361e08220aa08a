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
func (s *Input) Observe(t Timings) Observations {
	if s.Current == nil {
		return Observations{}
	}
	h := Observations{Generation: s.Current.Generation, GenerationAge: s.Now - s.GenerationSince}
	for _, one := range s.Current.Stores() {
		if silence := s.measured(one.ID); silence > t.SuspectTimeout {
			h.Unresponsive = append(h.Unresponsive, UnresponsiveStore{ID: one.ID, Elapsed: silence})
		}
	}
	return h
}

// GenerationSince is when the placement's gen began to be in force, for a holder of the duty that has seen it first at a time.
func (h Observations) GenerationSince(gen int64, seen time.Duration) time.Duration {
	if h.Generation == gen {
		return seen - h.GenerationAge
	}
	return seen
}

// silence that was told of a store.
func (h Observations) silence(id string) time.Duration {
	if i := slices.IndexFunc(h.Unresponsive, func(s UnresponsiveStore) bool { return s.ID == id }); i >= 0 {
		return h.Unresponsive[i].Elapsed
	}
	return 0
}

// measured is the silence of a store while somebody listened: that of this holder of the duty, and of the one before it
// unless the store has registered since. The time between the two, in which nobody may have listened, is not in it.
func (s *Input) measured(id string) time.Duration {
	own := s.ownSilence(id)
	if _, registered := s.Stores[id]; registered {
		return own
	}
	return own + s.Inherited.silence(id)
}

// ownSilence of a store is what this holder of the duty has measured itself.
func (s *Input) ownSilence(id string) time.Duration {
	return s.Now - max(s.TookOverAt, s.Stores[id].ConfirmedAt)
}

// silence of a store, on which decisions rest. What was told counts only once this holder of the duty has listened for
// longer than a store that runs takes to register with it: such a store is never counted silent for what another has
// measured, however old or wrong that is.
func (s *Input) silence(id string, t Timings) time.Duration {
	if own := s.ownSilence(id); own < t.TakeoverGrace {
		return own
	}
	return s.measured(id)
}
