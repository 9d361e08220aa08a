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
func LostWhileRetiring(s Input) (all []turnstore.Store) {
	if s.Current == nil {
		return nil
	}
	placed := s.Current.Stores()
	for id, r := range s.Stores {
		listed := slices.ContainsFunc(placed, func(o turnstore.Store) bool { return o.ID == id })
		if listed || s.Retired[id] || r.ConfirmedAt == 0 {
			continue
		}
		before := slices.ContainsFunc(placed, func(o turnstore.Store) bool {
			return s.Retired[o.ID] && o.Name == r.Store.Name && o.Addr == r.Store.Addr
		})
		if before {
			all = append(all, r.Store)
		}
	}
	slices.SortFunc(all, func(a, b turnstore.Store) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Departures are the names of the stores that have left the placement by order, with when they were seen to leave it.
type Departures map[string]time.Duration

// Record notes which stores have left by order as one placement followed another.
func (d Departures) Record(before, after *turnstore.Placement, retired map[string]bool, now time.Duration) {
	if before == nil || after == nil {
		return
	}
	stays := after.Stores()
	for _, one := range before.Stores() {
		if retired[one.ID] && !slices.ContainsFunc(stays, func(o turnstore.Store) bool { return o.ID == one.ID }) {
			d[one.Name] = now
		}
	}
}

// justEmptied tells whether a store of that name has left by order a moment ago. None of its name is placed for contact: who was
// told that the order is complete is taking the machine away, and it may have lost its disk just before and register anew.
func (s *Input) justEmptied(name string, t Timings) bool {
	left, known := s.Departures[name]
	return known && s.Now-left < 2*t.FailureTimeout
}
