package orders

import (
	"fmt"
	"slices"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

const (
	noStoreReason      = "no store is known yet: look at the name"
	unknownStoreReason = "no store has this name: `larch-control members` lists them"
)

// RetireStore is the order to retire the store that currently has a name: its replicas move to other stores.
type RetireStore struct{ Name string }

func (o RetireStore) decide(state *State) Decision {
	decision := Decision{DependsOn: state.storesDependsOn}
	if state.Placement == nil {
		decision.Kind, decision.Reason = NotFound, noStoreReason
		return decision
	}
	store, placed, staying := state.storeByName(o.Name)
	switch retired := state.Retired(); {
	case !placed && state.hasRetirement(o.Name):
		decision.Kind, decision.Reason = Retired, "it is emptied"
	case !placed:
		decision.Kind, decision.Reason = NotFound, unknownStoreReason
	case retired[store.ID]:
		decision.Kind, decision.Reason = InProgress, "under way"
	case staying && !placement.CanRetire(state.Placement, retired, state.FaultTolerance):
		decision.Kind = Conflict
		decision.Reason = fmt.Sprintf("fewer than %d stores would be left: add one first", 2*state.FaultTolerance+1)
	default:
		decision.Kind, decision.Reason = Accept, "under way"
		decision.Append = []Write{{Key: RetireKey(o.Name, store.ID), Value: rpc.Encode(&feed.RetireEntry{ID: store.ID})}}
	}
	return decision
}

// StorePhase is the query for the phase of a store's retirement.
type StorePhase struct{ Name string }

// decide returns Complete only if the placement has no store of the name, since the operator may then remove the machine
// and its disk.
func (o StorePhase) decide(state *State) Decision {
	decision := Decision{DependsOn: state.storesDependsOn}
	if state.Placement == nil {
		decision.Kind, decision.Reason = NotFound, noStoreReason
		return decision
	}
	_, placed, _ := state.storeByName(o.Name)
	switch {
	case placed:
		decision.Kind = Serving
	case state.hasRetirement(o.Name):
		decision.Kind = Complete
	default:
		decision.Kind, decision.Reason = NotFound, unknownStoreReason
	}
	return decision
}

// storeByName returns the store that currently has a name: the one in the target list of the placement, otherwise the one
// in the old list. If a machine lost its disk, both lists may have the name, with different identities. placed reports
// whether there is such a store, staying whether it is in the target list. State.Placement must not be nil.
func (s *State) storeByName(name string) (store turnstore.Store, placed, staying bool) {
	target := s.Placement.Old
	if len(s.Placement.New) > 0 {
		target = s.Placement.New
	}
	hasName := func(store turnstore.Store) bool { return store.Name == name }
	if i := slices.IndexFunc(target, hasName); i >= 0 {
		return target[i], true, true
	}
	if i := slices.IndexFunc(s.Placement.Old, hasName); i >= 0 {
		return s.Placement.Old[i], true, false
	}
	return turnstore.Store{}, false, false
}

// Retired returns the identities of all stores for which a retirement was accepted, complete or not.
func (s *State) Retired() map[string]bool {
	ids := make(map[string]bool, len(s.Retirements))
	for _, r := range s.Retirements {
		ids[r.ID] = true
	}
	return ids
}

// hasRetirement reports whether a retirement was ever accepted for a store of this name.
func (s *State) hasRetirement(name string) bool {
	return slices.ContainsFunc(s.Retirements, func(r Retirement) bool { return r.Name == name })
}
