package placement

import (
	"time"

	"larchrouter/internal/tier/turnstore"
)

// Registration is the heartbeat that a store sends to the head periodically.
type Registration struct {
	Store           turnstore.Store
	Generation      int64 // highest generation that the store has adopted: it rejects requests of lower ones
	SweptGeneration int64 // highest generation under which it has completed its sweep
	Full            bool  // its disk is almost full
}

// StoreStatus is the head's knowledge of a store that has registered.
type StoreStatus struct {
	Store           turnstore.Store
	Generation      int64 // never decreases
	SweptGeneration int64 // never decreases
	Full            bool
	FirstSeen       time.Duration // first registration of the current uninterrupted sequence
	LastSeen        time.Duration // last registration
	ConfirmedAt     time.Duration // last registration that confirmed the store; 0 for none
	StopRequestedAt time.Duration // last request to stop; 0 for none; see RequestStop
	StopPermittedAt time.Duration // last such request that was permitted; 0 for none
}

// Register records a registration in stores. A delayed registration may arrive after its store has failed and another one has
// its address, so a single registration proves nothing. A registration confirms its store if it continues a sequence that began
// at least ConfirmInterval earlier, without a registration of another store at the same address in between.
func Register(stores map[string]StoreStatus, registration Registration, now time.Duration, t Timings) {
	status, known := stores[registration.Store.ID]
	confirmed := status.ConfirmedAt > 0 && status.ConfirmedAt == status.LastSeen
	gap := now - status.LastSeen
	if !known || gap > t.FailureTimeout || confirmed && gap > t.SuspectTimeout ||
		registeredSince(stores, registration.Store, status.LastSeen) || startsAgain(status, now, t) {
		status.FirstSeen = now
	}
	status.Store, status.Full, status.LastSeen = registration.Store, registration.Full, now
	// Registrations may arrive out of order, and generations must not decrease.
	status.Generation = max(status.Generation, registration.Generation)
	status.SweptGeneration = max(status.SweptGeneration, registration.SweptGeneration)
	if now-status.FirstSeen >= t.ConfirmInterval {
		status.ConfirmedAt = now
	}
	stores[registration.Store.ID] = status
}

// startsAgain reports whether a registration is the first one that a store which was told to stop has sent after it stopped. A
// single one may have been delayed, so it begins a new sequence.
func startsAgain(status StoreStatus, now time.Duration, t Timings) bool {
	return status.StopRequestedAt > 0 && status.LastSeen-status.StopRequestedAt <= t.SuspectTimeout &&
		now-status.StopRequestedAt > t.SuspectTimeout
}

// registeredSince reports whether another store has registered with the address of the given store since a point in time.
func registeredSince(stores map[string]StoreStatus, store turnstore.Store, since time.Duration) bool {
	for id, other := range stores {
		if id != store.ID && other.Store.Addr == store.Addr && other.LastSeen >= since {
			return true
		}
	}
	return false
}
