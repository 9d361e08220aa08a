package placement

import (
	"time"

	"larchrouter/internal/tier/turnstore"
)

// elapsed returns the time since the store's last confirmed registration, as used for decisions. Inherited observations are
// included only after TakeoverGrace, which is longer than a running store takes to register with a new head: a running store
// never counts as failed because of another head's observations, however stale or wrong they are.
func (in *Input) elapsed(id string, t Timings) time.Duration {
	if own := in.ownElapsed(id); own < t.TakeoverGrace {
		return own
	}
	return in.measuredElapsed(id)
}

// measuredElapsed returns the time without a confirmed registration that this head and, unless the store has registered since,
// the previous head measured. It excludes the time between the two heads, when possibly no node received registrations.
func (in *Input) measuredElapsed(id string) time.Duration {
	own := in.ownElapsed(id)
	if _, registered := in.Stores[id]; registered {
		return own
	}
	return own + in.Inherited.elapsed(id)
}

// ownElapsed returns the time without a confirmed registration that this head measured itself.
func (in *Input) ownElapsed(id string) time.Duration {
	return in.Now - max(in.TookOverAt, in.Stores[id].ConfirmedAt)
}

// hasFailed reports whether a store of the placement has failed: it exceeded FailureTimeout, or was superseded.
func (in *Input) hasFailed(store turnstore.Store, t Timings) bool {
	return in.elapsed(store.ID, t) > t.FailureTimeout || in.isSuperseded(in.Stores[store.ID])
}

// isSuspect reports whether a store may have failed: its registration is late, or this head has not confirmed it yet. Either
// it registers soon, or it exceeds FailureTimeout and its successor registers; until then, but no longer than the contact
// time-out (2 * FailureTimeout), changes that can wait are postponed. A superseded store has failed, so it is not suspect.
func (in *Input) isSuspect(store turnstore.Store, t Timings) bool {
	status, known := in.Stores[store.ID]
	if !known {
		status.Store = store
	}
	elapsed := in.elapsed(store.ID, t)
	return elapsed <= 2*t.FailureTimeout && (status.ConfirmedAt == 0 || elapsed > t.SuspectTimeout) && !in.isSuperseded(status)
}

// isSuperseded reports whether another store was confirmed later at the same address. The earlier store has then failed,
// however recent its last registration is.
func (in *Input) isSuperseded(status StoreStatus) bool {
	for _, other := range in.Stores {
		if other.Store.Addr == status.Store.Addr && other.Store.ID != status.Store.ID && other.ConfirmedAt > status.ConfirmedAt {
			return true
		}
	}
	return false
}
