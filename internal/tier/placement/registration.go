package placement

import (
	"time"

	"larchrouter/internal/tier/turnstore"
)

// Registration is what a store sends to the head periodically.
type Registration struct {
	Store           turnstore.Store
	Generation      int64 // highest that the store has adopted: it rejects requests of lower ones
	SweptGeneration int64 // highest under which it has completed its sweep
	Full            bool  // its disk has little capacity left
}

// StoreStatus is what the head knows of a store that has registered.
type StoreStatus struct {
	Store           turnstore.Store
	Generation      int64 // never decreases
	SweptGeneration int64 // never decreases
	Full            bool
	FirstSeen       time.Duration // first registration of the present sequence of registrations without a gap
	LastSeen        time.Duration // last registration
	ConfirmedAt     time.Duration // last registration that an earlier one of its sequence confirms; 0 for none
}

// Register records a registration in stores. A delayed registration may arrive when its store has failed and another one is
// at its address, so that a single one proves nothing. One confirms the store if it continues a sequence that began
// ConfirmInterval before, with no registration of another store at the address in between.
func Register(stores map[string]StoreStatus, registration Registration, now time.Duration, t Timings) {
	status, known := stores[registration.Store.ID]
	confirmed := status.ConfirmedAt > 0 && status.ConfirmedAt == status.LastSeen
	gap := now - status.LastSeen
	if !known || gap > t.FailureTimeout || confirmed && gap > t.SuspectTimeout ||
		registeredSince(stores, registration.Store, status.LastSeen) {
		status.FirstSeen = now
	}
	status.Store, status.Full, status.LastSeen = registration.Store, registration.Full, now
	// Registrations may be reordered.
	status.Generation = max(status.Generation, registration.Generation)
	status.SweptGeneration = max(status.SweptGeneration, registration.SweptGeneration)
	if now-status.FirstSeen >= t.ConfirmInterval {
		status.ConfirmedAt = now
	}
	stores[registration.Store.ID] = status
}

// registeredSince reports whether another store has registered from the address of a store since a point in time.
func registeredSince(stores map[string]StoreStatus, store turnstore.Store, since time.Duration) bool {
	for id, other := range stores {
		if id != store.ID && other.Store.Addr == store.Addr && other.LastSeen >= since {
			return true
		}
	}
	return false
}
