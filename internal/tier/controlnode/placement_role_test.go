package controlnode

import (
	"testing"
	"time"

	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/turnstore"
)

// A head that was frozen for ten seconds received no registrations meanwhile. It must not replace all stores by the
// first new store that registers after it resumes.
func TestStoresStayPlacedAfterPauseOfHead(t *testing.T) {
	const pause = 10 * time.Second
	timings := placement.DefaultTimings(3 * time.Second)
	var role placementRole
	role.stores = map[string]placement.StoreStatus{}
	now := time.Duration(0)
	current := &turnstore.Placement{Generation: 1, ReplicationFactor: 3, DurableReplicas: 2, FaultTolerance: 1}
	plan := func(ids ...string) *turnstore.Placement {
		for _, id := range ids {
			store := turnstore.Store{ID: id, Name: id, Addr: id + ":1"}
			placement.Register(role.stores, placement.Registration{Store: store, Generation: 1, SweptGeneration: 1}, now, timings)
		}
		role.tick(now)
		input := placement.Input{Now: now, TookOverAt: role.tookOverAt, FaultTolerance: 1, Current: current, Stores: role.stores}
		return placement.Plan(input, timings)
	}
	for _, id := range []string{"a", "b", "c"} {
		current.Old = append(current.Old, turnstore.Store{ID: id, Name: id, Addr: id + ":1"})
	}
	for ; now < 3*time.Second; now += 50 * time.Millisecond {
		if next := plan("a", "b", "c"); next != nil {
			t.Fatalf("at %v the placement changes to %+v", now, next)
		}
	}
	now += pause
	for end := now + timings.SuspectTimeout; now < end; now += 50 * time.Millisecond {
		if next := plan("d"); next != nil && len(next.New) < 4 {
			t.Fatalf("%v after a pause a store is replaced: %+v", now-end+timings.SuspectTimeout, next)
		}
	}
}
