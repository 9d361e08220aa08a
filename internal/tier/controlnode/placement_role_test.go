package controlnode

import (
	"testing"
	"time"

	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

// A head that was frozen for ten seconds got no registration meanwhile. It must not replace all stores by the
// first newcomer that registers when it resumes.
func TestStoresStayPlacedAfterPauseOfHead(t *testing.T) {
	const pause = 10 * time.Second
	timings := placement.DefaultTimings(3 * time.Second)
	var d placementRole
	d.stores = map[string]placement.StoreStatus{}
	now := time.Duration(0)
	p := &turnstore.Placement{Generation: 1, ReplicationFactor: 3, DurableReplicas: 2, FaultTolerance: 1}
	look := func(ids ...string) *turnstore.Placement {
		for _, id := range ids {
			store := turnstore.Store{ID: id, Name: id, Addr: id + ":1"}
			placement.Register(d.stores, placement.Registration{Store: store, Generation: 1, SweptGeneration: 1}, now, timings)
		}
		d.tick(now)
		input := placement.Input{Now: now, TookOverAt: d.tookOverAt, FaultTolerance: 1, Current: p, Stores: d.stores}
		return placement.Plan(input, timings)
	}
	for _, id := range []string{"a", "b", "c"} {
		p.Old = append(p.Old, turnstore.Store{ID: id, Name: id, Addr: id + ":1"})
	}
	for ; now < 3*time.Second; now += 50 * time.Millisecond {
		if next := look("a", "b", "c"); next != nil {
			t.Fatalf("at %v the placement changes to %+v", now, next)
		}
	}
	now += pause
	for end := now + timings.SuspectTimeout; now < end; now += 50 * time.Millisecond {
		if next := look("d"); next != nil && len(next.New) < 4 {
			t.Fatalf("%v after a pause a store is replaced: %+v", now-end+timings.SuspectTimeout, next)
		}
	}
}
