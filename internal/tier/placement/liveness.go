package placement

import (
	"time"

	"larchrouter/internal/tier/turnstore"
)

// elapsed returns the time since the store's last confirmed registration on which decisions rest. What was inherited is
// counted only once this head has listened for TakeoverGrace, longer than a running store takes to register with it: such a
// store never counts as failed for what another head observed, however old or wrong that is.
func (in *Input) elapsed(id string, t Timings) time.Duration {
	if own := in.ownElapsed(id); own < t.TakeoverGrace {
		return own
	}
	return in.measuredElapsed(id)
}

// measuredElapsed returns the time without a confirmed registration during which a head listened: this one, and the one
// before it unless the store has registered since. The time between the two, in which perhaps none listened, is excluded.
func (in *Input) measuredElapsed(id string) time.Duration {
	own := in.ownElapsed(id)
	if _, registered := in.Stores[id]; registered {
		return own
	}
	return own + in.Inherited.elapsed(id)
}

// ownElapsed returns the time without a confirmed registration that this head has measured itself.
func (in *Input) ownElapsed(id string) time.Duration {
	return in.Now - max(in.TookOverAt, in.Stores[id].ConfirmedAt)
}

// hasFailed reports whether a store of the placement has failed: it is past FailureTimeout, or superseded.
func (in *Input) hasFailed(store turnstore.Store, t Timings) bool {
	return in.elapsed(store.ID, t) > t.FailureTimeout || in.isSuperseded(in.Stores[store.ID])
}

// isSuspect reports whether a store may have failed: its registration is late, or this head has not confirmed it yet. Either
// it registers soon, or it fails and its successor registers; meanwhile no change begins that can wait. A store that is
// superseded has failed, and is not suspect.
func (in *Input) isSuspect(store turnstore.Store, t Timings) bool {
	status, known := in.Stores[store.ID]
	if !known {
		status.Store = store
	}
	elapsed := in.elapsed(store.ID, t)
	return elapsed <= 2*t.FailureTimeout && (status.ConfirmedAt == 0 || elapsed > t.SuspectTimeout) && !in.isSuperseded(status)
}

// isSuperseded reports whether another store was confirmed later at the same address. The former one has failed then, however
// recent its last registration is.
func (in *Input) isSuperseded(status StoreStatus) bool {
	for _, other := range in.Stores {
		if other.Store.Addr == status.Store.Addr && other.Store.ID != status.Store.ID && other.ConfirmedAt > status.ConfirmedAt {
			return true
		}
	}
	return false
}
