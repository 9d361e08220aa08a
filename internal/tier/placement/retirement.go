package placement

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// CanRetire reports whether enough stores remain in the placement if one more store is retired.
func CanRetire(p *turnstore.Placement, retired map[string]bool, faultTolerance int) bool {
	remaining := -1
	for _, store := range targetList(p) {
		if !retired[store.ID] {
			remaining++
		}
	}
	return remaining >= 2*faultTolerance+1
}

// SuccessorsOfRetiringStores returns the stores that must be retired because their predecessor is being retired: the machine
// lost its disk during its retirement and registered under a new identity. The caller records their retirement before the next
// placement. Such a store has no data that others lack, and is not needed, since CanRetire held when the order was accepted. Once
// the predecessor has left the placement its retirement is complete, and a store of its name counts as a new one.
func SuccessorsOfRetiringStores(in Input) (stores []turnstore.Store) {
	if in.Current == nil {
		return nil
	}
	placed := in.Current.Stores()
	for id, status := range in.Stores {
		listed := turnstore.ContainsStore(placed, id)
		if listed || in.Retired[id] || status.ConfirmedAt == 0 {
			continue
		}
		predecessorRetired := slices.ContainsFunc(placed, func(o turnstore.Store) bool {
			return in.Retired[o.ID] && o.Name == status.Store.Name && o.Addr == status.Store.Addr
		})
		if predecessorRetired {
			stores = append(stores, status.Store)
		}
	}
	slices.SortFunc(stores, func(a, b turnstore.Store) int { return cmp.Compare(a.ID, b.ID) })
	return stores
}

// Departures maps the names of retired stores that have left the placement to the time when the head saw them leave.
type Departures map[string]time.Duration

// Record adds the retired stores that a change removes from the placement.
func (d Departures) Record(before, after *turnstore.Placement, retired map[string]bool, now time.Duration) {
	if before == nil || after == nil {
		return
	}
	remaining := after.Stores()
	for _, store := range before.Stores() {
		if retired[store.ID] && !turnstore.ContainsStore(remaining, store.ID) {
			d[store.Name] = now
		}
	}
}

// recentlyRetired reports whether a retired store of the name left the placement less than the contact time-out
// (2 * FailureTimeout) ago. Until then no store of the name is a candidate: the operator removes the machine once its retirement
// is complete, but the machine may have lost its disk just before and register under a new identity in the meantime.
func (in *Input) recentlyRetired(name string, t Timings) bool {
	departedAt, known := in.Departures[name]
	return known && in.Now-departedAt < 2*t.FailureTimeout
}
