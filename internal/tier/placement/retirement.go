package placement

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// LostWhileRetiring gives the stores for which an order to empty another holds as well: the machine lost its disk while it was
// emptied, and came back under a new identity. The order has to be noted for that one too before it is placed. It has nothing
// that others lack, and is not needed: the order was taken since enough others stay. Once the store that was ordered has left the
// placement the order is complete, and a store of its name is a new one.
func LostWhileRetiring(in Input) (stores []turnstore.Store) {
	if in.Current == nil {
		return nil
	}
	placed := in.Current.Stores()
	for id, status := range in.Stores {
		listed := slices.ContainsFunc(placed, func(o turnstore.Store) bool { return o.ID == id })
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

// Departures are the names of the stores that have left the placement by order, with when they were seen to leave it.
type Departures map[string]time.Duration

// Record notes which stores have left by order as one placement followed another.
func (d Departures) Record(before, after *turnstore.Placement, retired map[string]bool, now time.Duration) {
	if before == nil || after == nil {
		return
	}
	remaining := after.Stores()
	for _, store := range before.Stores() {
		if retired[store.ID] && !slices.ContainsFunc(remaining, func(o turnstore.Store) bool { return o.ID == store.ID }) {
			d[store.Name] = now
		}
	}
}

// recentlyRetired tells whether a store of that name has left by order a moment ago. None of its name is placed for contact: who was
// told that the order is complete is taking the machine away, and it may have lost its disk just before and register anew.
func (in *Input) recentlyRetired(name string, t Timings) bool {
	departedAt, known := in.Departures[name]
	return known && in.Now-departedAt < 2*t.FailureTimeout
}

// CanRetire tells whether enough stores stay when one is emptied.
func CanRetire(p *turnstore.Placement, retired map[string]bool, faultTolerance int) bool {
	remaining := -1
	target := p.Old
	if len(p.New) > 0 {
		target = p.New
	}
	for _, store := range target {
		if !retired[store.ID] {
			remaining++
		}
	}
	return remaining >= 2*faultTolerance+1
}
