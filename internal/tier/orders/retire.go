package orders

import (
	"fmt"
	"slices"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

const unknownStore = "no store has this name: `larch-control members` lists them"

// RetireStore orders a store to be emptied.
type RetireStore struct{ Name string }

func (o RetireStore) decide(s *State) Decision {
	d := Decision{DependsOn: s.storesRests}
	if s.Placement == nil {
		d.Kind, d.Reason = NotFound, "no store is known yet: look at the name"
		return d
	}
	bearer, placed, staying := s.bearer(o.Name)
	switch retired := s.Retired(); {
	case !placed && s.wasRetired(o.Name):
		d.Kind, d.Reason = Retired, "it is emptied"
	case !placed:
		d.Kind, d.Reason = NotFound, unknownStore
	case retired[bearer.ID]:
		d.Kind, d.Reason = InProgress, "under way"
	case staying && !placement.CanRetire(s.Placement, retired, s.FaultTolerance):
		d.Kind, d.Reason = Conflict, fmt.Sprintf("fewer than %d stores would be left: add one first", 2*s.FaultTolerance+1)
	default:
		d.Kind, d.Reason = Accept, "under way"
		d.Append = []Write{{Key: RetireKey(o.Name, bearer.ID), Value: rpc.Encode(&feed.RetireEntry{ID: bearer.ID})}}
	}
	return d
}

// StorePhase asks how far the emptying of a store is.
type StorePhase struct{ Name string }

// decide says complete only where no store of the name holds anything: who hears it takes the machine away with its disk.
func (o StorePhase) decide(s *State) Decision {
	d := Decision{DependsOn: s.storesRests}
	if s.Placement == nil {
		d.Kind, d.Reason = NotFound, "no store is known yet: look at the name"
		return d
	}
	_, placed, _ := s.bearer(o.Name)
	switch {
	case placed:
		d.Kind = Serving
	case s.wasRetired(o.Name):
		d.Kind = Complete
	default:
		d.Kind, d.Reason = NotFound, unknownStore
	}
	return d
}

// bearer is the store that bears a name now. Where a machine has lost its disk, the list that is being left may have
// another under the same name. Staying says that it is in the list that is to be.
func (s *State) bearer(name string) (one turnstore.Store, placed, staying bool) {
	target := s.Placement.Old
	if len(s.Placement.New) > 0 {
		target = s.Placement.New
	}
	called := func(o turnstore.Store) bool { return o.Name == name }
	if i := slices.IndexFunc(target, called); i >= 0 {
		return target[i], true, true
	}
	if i := slices.IndexFunc(s.Placement.Old, called); i >= 0 {
		return s.Placement.Old[i], true, false
	}
	return turnstore.Store{}, false, false
}

// Retired are the identities of all stores that were ordered to be emptied.
func (s *State) Retired() map[string]bool {
	ids := make(map[string]bool, len(s.Retirements))
	for _, r := range s.Retirements {
		ids[r.ID] = true
	}
	return ids
}

func (s *State) wasRetired(name string) bool {
	return slices.ContainsFunc(s.Retirements, func(r Retirement) bool { return r.Name == name })
}
