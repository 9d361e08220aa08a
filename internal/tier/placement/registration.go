package placement

import (
	"time"

	"larchrouter/internal/tier/turnstore"
)

// Registration is what a store tells of itself, again and again.
type Registration struct {
	Store           turnstore.Store
	Generation      int64 // the newest gen that it has adopted: it refuses what comes under an older one
	SweptGeneration int64 // the gen under which it has swept the others
	Full            bool  // its disk has little room
}

// StoreStatus is what is known of a store that has told of itself.
type StoreStatus struct {
	Store           turnstore.Store
	Generation      int64
	SweptGeneration int64
	Full            bool
	FirstSeen       time.Duration // when the registrations began that follow each other without a gap
	LastSeen        time.Duration // when the last one came
	ConfirmedAt     time.Duration // when one came last that others confirm; 0: none did yet
}

// Register notes a registration. One may come late, after its store is gone and another has come at its address: it proves
// nothing by itself. It counts once a second follows, and none of another store at the address lies between.
func Register(stores map[string]StoreStatus, registration Registration, now time.Duration, t Timings) {
	status, known := stores[registration.Store.ID]
	confirmed := status.ConfirmedAt > 0 && status.ConfirmedAt == status.LastSeen
	gap := now - status.LastSeen
	if !known || gap > t.FailureTimeout || confirmed && gap > t.SuspectTimeout || registeredSince(stores, registration.Store, status.LastSeen) {
		status.FirstSeen = now
	}
	status.Store, status.Full, status.LastSeen = registration.Store, registration.Full, now
	status.Generation, status.SweptGeneration = max(status.Generation, registration.Generation), max(status.SweptGeneration, registration.SweptGeneration) // they may come out of order
	if now-status.FirstSeen >= t.ConfirmInterval {
		status.ConfirmedAt = now
	}
	stores[registration.Store.ID] = status
}

// registeredSince tells whether another store was heard at an address since.
func registeredSince(stores map[string]StoreStatus, store turnstore.Store, since time.Duration) bool {
	for id, other := range stores {
		if id != store.ID && other.Store.Addr == store.Addr && other.LastSeen >= since {
			return true
		}
	}
	return false
}
