package view

import (
	"slices"
	"testing"
)

func member(id string) Member { return Member{ID: id, Name: "machine-" + id, Addr: "addr-" + id} }

func members(ids ...string) (all []Member) {
	for _, id := range ids {
		all = append(all, member(id))
	}
	return all
}

func chainMembers(since int64, ids ...string) (all []ChainMember) {
	for _, id := range ids {
		all = append(all, ChainMember{ID: id, JoinedEpoch: since})
	}
	return all
}

// set returns the set of the given ids, in the form in which Conditions has it.
func set(ids ...string) map[string]bool {
	all := map[string]bool{}
	for _, id := range ids {
		all[id] = true
	}
	return all
}

// promisesAt returns promises of members that were all activated in one epoch.
func promisesAt(activated int64, ids ...string) (all []Promise) {
	for _, id := range ids {
		all = append(all, Promise{From: member(id), ActivatedEpoch: activated})
	}
	return all
}

func chainIDs(v View) (ids []string) {
	for _, l := range v.Chain {
		ids = append(ids, l.ID)
	}
	return ids
}

func voterIDs(v View) (ids []string) {
	for _, m := range v.Voters {
		ids = append(ids, m.ID)
	}
	return ids
}

func wantIDs(t *testing.T, what string, got []string, ids ...string) {
	t.Helper()
	if !slices.Equal(got, ids) {
		t.Errorf("%s: got %v, want %v", what, got, ids)
	}
}
