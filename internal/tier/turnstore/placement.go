package turnstore

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Store is a store process, under the identity of its disk.
type Store struct {
	ID   string // random, created with an empty disk: a machine whose disk was lost returns under another ID
	Name string // of the machine; replicas are placed by it, so that a machine with a new disk has the same programs
	Addr string // of its RPC server
	Zone string // failure domain
}

// ContainsStore reports whether a list has the store with an ID.
func ContainsStore(list []Store, id string) bool {
	return slices.ContainsFunc(list, func(s Store) bool { return s.ID == id })
}

// Placement determines which stores are replicas of which program. It is stable while New is empty, and joint
// otherwise: every operation then needs a quorum of the replicas by Old and of those by New. A placement is immutable
// once it is shared.
type Placement struct {
	Generation        int64 // rises with each change of the lists, not when a joint placement becomes stable
	ReplicationFactor int   // replicas of a program
	DurableReplicas   int   // replicas that must have synced a turn before its end is sent to the client
	FaultTolerance    int   // stores that may be lost at once
	Old               []Store
	New               []Store
	SweptIDs          []string // IDs of stores in New that completed the sweep of Generation
}

// ReplicaSet is the replicas of a program by one list of stores, in the order of their rank.
type ReplicaSet []Store

// Majority returns how many replicas are a majority of the set.
func (c ReplicaSet) Majority() int { return len(c)/2 + 1 }

// ReplicaSets returns the replicas of a program by each list in force: one set where stable, two where joint.
func (p *Placement) ReplicaSets(key string) []ReplicaSet {
	groups := []ReplicaSet{selectReplicas(p.Old, p.ReplicationFactor, key)}
	if len(p.New) > 0 {
		groups = append(groups, selectReplicas(p.New, p.ReplicationFactor, key))
	}
	return groups
}

// Stores returns the stores of both lists without duplicates.
func (p *Placement) Stores() []Store {
	all := slices.Clone(p.Old)
	for _, s := range p.New {
		if !ContainsStore(all, s.ID) {
			all = append(all, s)
		}
	}
	return all
}

// selectReplicas selects the replicas of a program by rendezvous hashing over the stores' names. It prefers one store of
// each zone, so that the loss of a zone loses as few replicas as possible, and fills up with the next by rank.
func selectReplicas(stores []Store, replicas int, key string) ReplicaSet {
	type ranked struct {
		Store
		rank uint64
	}
	all := make([]ranked, len(stores))
	for i, s := range stores {
		h := xxhash.New()
		_, _ = h.WriteString(s.Name)
		_, _ = h.Write([]byte{0})
		_, _ = h.WriteString(key)
		all[i] = ranked{s, h.Sum64()}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.ID, b.ID)) })
	out := make(ReplicaSet, 0, min(replicas, len(all)))
	zones := map[string]bool{}
	for _, anyZone := range []bool{false, true} {
		for i, s := range all {
			if len(out) < cap(out) && s.ID != "" && (anyZone || !zones[s.Zone]) {
				zones[s.Zone] = true
				out = append(out, s.Store)
				all[i].ID = "" // selected
			}
		}
	}
	return out
}
