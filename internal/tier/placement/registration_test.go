package placement

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// TestDelayedRegistrationOfReplacedStoreIsNotConfirmed checks that a delayed registration does not confirm a store whose disk is
// lost, when its successor at the same address has registered.
func TestDelayedRegistrationOfReplacedStoreIsNotConfirmed(t *testing.T) {
	for _, test := range []struct{ name, lines string }{
		{"after its successor is confirmed", `
			100   a@1 b@2 c@3
			500   a@1 b@2 c@3
			2000  a@1 b@2 d@3
			2100  a@1 b@2 d@3
			2400  a@1 b@2 d@3 c@3
			2450  d@3`},
		{"between the first two of its successor", `
			100   a@1 b@2 c@3
			500   a@1 b@2 c@3
			900   d@3
			950   c@3
			1000  a@1 b@2 d@3
			1100  d@3
			1400  a@1 b@2 d@3`},
		{"at a new head, after one of its successor", `
			5000  a@1 b@2 d@3
			5010  c@3
			5100  a@1 b@2 d@3
			5200  a@1 b@2 d@3`},
		{"at a new head, before its successor", `
			5000  a@1 b@2 c@3
			5010  d@3
			5100  a@1 b@2 d@3
			5200  a@1 b@2 d@3`},
	} {
		t.Run(strings.ReplaceAll(test.name, " ", "_"), func(t *testing.T) {
			stores := map[string]StoreStatus{}
			now := replayRegistrations(t, stores, test.lines)
			placed := func(ids ...string) *turnstore.Placement {
				placement := &turnstore.Placement{Generation: 4, ReplicationFactor: 3, DurableReplicas: 2, FaultTolerance: 1}
				for i, id := range ids {
					placement.Old = append(placement.Old, turnstore.Store{ID: id, Name: id, Addr: strconv.Itoa(i + 1)})
				}
				return placement
			}
			in := Input{Now: now, FaultTolerance: 1, Stores: stores}
			if in.Current = placed("a", "b", "d"); len(in.candidates(in.Current.Old, DefaultTimings(3*time.Second))) > 0 {
				t.Errorf("the replaced store is a candidate: %+v", stores)
			}
			in.Current = placed("a", "b", "c")
			next := Plan(in, DefaultTimings(3*time.Second))
			if next == nil || !slices.ContainsFunc(next.New, func(o turnstore.Store) bool { return o.ID == "d" }) {
				t.Errorf("the successor does not replace the failed store: %+v", next)
			}
		})
	}
}

func TestReorderedRegistrationsDoNotLowerGenerations(t *testing.T) {
	stores := map[string]StoreStatus{}
	replayRegistrations(t, stores, `
		100  a@1:2
		200  a@1:5
		210  a@1:2`)
	if r := stores["a"]; r.SweptGeneration != 5 || r.Generation != 5 || r.ConfirmedAt != 210*time.Millisecond {
		t.Errorf("got %+v, want generation 5, swept 5, confirmed at 210 ms", r)
	}
}

// TestNewControlStateStartsAboveAdoptedGenerations checks the generation of the first placement of a new control state: stores
// that kept their disks reject requests of generations below the one that they have adopted.
func TestNewControlStateStartsAboveAdoptedGenerations(t *testing.T) {
	stores := map[string]StoreStatus{}
	timings := DefaultTimings(3 * time.Second)
	in := Input{FaultTolerance: 1, Stores: stores}
	for ms := 100; ms <= 4000; ms += 100 {
		in.Now = replayRegistrations(t, stores, strconv.Itoa(ms)+" a@1:7 b@2:9 c@3:9")
		if next := Plan(in, timings); next != nil {
			t.Fatalf("placement at %v, before the other stores had time to register: %+v", in.Now, next)
		}
	}
	in.Now = replayRegistrations(t, stores, "4200 a@1:7 b@2:9 c@3:9 d@4:9")
	in.Now = replayRegistrations(t, stores, "4300 a@1:7 b@2:9 c@3:9 d@4:9")
	next := Plan(in, timings)
	if next == nil || next.Generation != 10 || len(next.Old) != 4 || len(next.New) > 0 {
		t.Fatalf("got %+v, want a stable placement of generation 10 on four stores", next)
	}
	// A store that registers later with a higher generation raises the generation of the placement above its own.
	in.Current = next
	replayRegistrations(t, stores, "4400 a@1:10 b@2:10 c@3:10 d@4:10 e@5:12")
	in.Now = replayRegistrations(t, stores, "4500 a@1:10 b@2:10 c@3:10 d@4:10 e@5:12")
	if next = Plan(in, timings); next == nil || next.Generation != 13 || len(next.New) != 5 {
		t.Fatalf("got %+v, want a change to five stores in generation 13", next)
	}
}
