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
func Register(stores map[string]StoreStatus, r Registration, now time.Duration, t Timings) {
	was, known := stores[r.Store.ID]
	confirmed := was.ConfirmedAt > 0 && was.ConfirmedAt == was.LastSeen
	gap := now - was.LastSeen
	if !known || gap > t.FailureTimeout || confirmed && gap > t.SuspectTimeout || heardSince(stores, r.Store, was.LastSeen) {
		was.FirstSeen = now
	}
	was.Store, was.Full, was.LastSeen = r.Store, r.Full, now
	was.Generation, was.SweptGeneration = max(was.Generation, r.Generation), max(was.SweptGeneration, r.SweptGeneration) // they may come out of order
	if now-was.FirstSeen >= t.ConfirmInterval {
		was.ConfirmedAt = now
	}
	stores[r.Store.ID] = was
}

// heardSince tells whether another store was heard at an address since.
func heardSince(stores map[string]StoreStatus, one turnstore.Store, since time.Duration) bool {
	for id, o := range stores {
		if id != one.ID && o.Store.Addr == one.Addr && o.LastSeen >= since {
			return true
		}
	}
	return false
}
