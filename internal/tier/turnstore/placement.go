// Package turnstore is the replicated store of turns and ledgers: which stores hold what (placement by rendezvous
// hashing), what a majority of copies is, and how copies are brought together (read repair, anti-entropy).
package turnstore

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Store is a store machine under the identity that its disk gave it.
type Store struct {
	ID   string // random, made with an empty disk: a machine whose disk was lost comes back under another
	Name string // of the machine: copies are placed by it, so that a machine that comes back empty has its old part
	Addr string // for calls of the tier
	Zone string
}

// Placement says which stores hold the copies. Stable, New is empty; joint, every operation needs a majority of
// copies by both lists. A placement is never changed once it is shared.
type Placement struct {
	Generation        int64 // rises with each change of the lists, not when joint becomes stable
	ReplicationFactor int
	DurableReplicas   int // copies that must be on disk before a turn's end is passed on
	FaultTolerance    int
	Old               []Store
	New               []Store
	SweptIDs          []string // ids of those in New that have swept under Gen
}

// ReplicaSet by one list of stores.
type ReplicaSet []Store

// Majority of the copies.
func (c ReplicaSet) Majority() int { return len(c)/2 + 1 }

// ReplicaSets gives the copies of a key by each list in force: one group where stable, two where joint.
func (p *Placement) ReplicaSets(key string) []ReplicaSet {
	groups := []ReplicaSet{selectReplicas(p.Old, p.ReplicationFactor, key)}
	if len(p.New) > 0 {
		groups = append(groups, selectReplicas(p.New, p.ReplicationFactor, key))
	}
	return groups
}

// Stores are all that either list names.
func (p *Placement) Stores() []Store {
	all := slices.Clone(p.Old)
	for _, s := range p.New {
		if !slices.ContainsFunc(all, func(o Store) bool { return o.ID == s.ID }) {
			all = append(all, s)
		}
	}
	return all
}

func selectReplicas(stores []Store, copies int, key string) ReplicaSet {
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
	out := make(ReplicaSet, 0, min(copies, len(all)))
	zones := map[string]bool{}
	for again := range 2 { // one for each zone, so that a zone that is lost takes one copy along; then whoever comes next
		for i, s := range all {
			if len(out) < cap(out) && s.ID != "" && (again == 1 || !zones[s.Zone]) {
				zones[s.Zone] = true
				out = append(out, s.Store)
				all[i].ID = ""
			}
		}
	}
	return out
}
