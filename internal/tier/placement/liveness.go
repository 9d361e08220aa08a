package placement

import (
	"time"

	"larchrouter/internal/tier/turnstore"
)

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

// hasFailed tells whether a store of the list is silent, or gone since another is at its address.
func (in *Input) hasFailed(store turnstore.Store, t Timings) bool {
	return in.elapsed(store.ID, t) > t.FailureTimeout || in.isSuperseded(in.Stores[store.ID])
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
