package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

func TestRetirementExtendsToStoreThatLosesItsDisk(t *testing.T) {
	for name, joint := range map[string]bool{"before the change": false, "while joint": true} {
		t.Run(name, func(t *testing.T) {
			heads := newRetirementSequence(joint)
			in := &heads.input
			wiped := turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"}
			heads.registerTwice(wiped)
			if got := SuccessorsOfRetiringStores(*in); !slices.Equal(got, []turnstore.Store{wiped}) {
				t.Fatalf("stores to retire: %+v, want only the wiped one", got)
			}
			in.Retired["d2"] = true
			if got := SuccessorsOfRetiringStores(*in); len(got) > 0 {
				t.Fatalf("stores to retire after their retirement was recorded: %+v", got)
			}
			start := in.Now
			for in.Now < start+10*time.Second {
				next := heads.run(start+10*time.Second, "a", "b", "c")
				if next == nil {
					break
				}
				if turnstore.ContainsStore(next.New, "d2") || turnstore.ContainsStore(next.Old, "d2") {
					t.Fatalf("the wiped store is placed: %+v", next)
				}
				if len(next.New) == 0 && in.Now-start > 500*time.Millisecond {
					t.Errorf("the change ended after %v", in.Now-start)
				}
				in.Current = next
			}
			if len(in.Current.New) > 0 || len(in.Current.Old) != 3 || turnstore.ContainsStore(in.Current.Old, "d") {
				t.Errorf("the retirement is incomplete: %+v", in.Current)
			}
		})
	}
}

// TestSupersededRetiredStoreIsRemovedAtOnce checks that the removal of a retiring store that lost its disk does not wait for
// FailureTimeout, as it does for a suspect store: the store has failed, and the next loss may come catch_up_s after the machine
// returned.
func TestSupersededRetiredStoreIsRemovedAtOnce(t *testing.T) {
	for name, takeOver := range map[string]bool{"same head": false, "new head": true} {
		t.Run(name, func(t *testing.T) {
			heads := newHeadSequence(1, "a", "b", "c", "d")
			in := &heads.input
			heads.run(4*time.Second, "a", "b", "c", "d")
			heads.run(5*time.Second, "a", "b", "c")
			if takeOver {
				heads.takeOver(Observations{})
				heads.run(in.Now+200*time.Millisecond, "a", "b", "c")
			}
			in.Retired["d"], in.Retired["d2"] = true, true
			heads.registerTwice(turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"})
			next := heads.run(in.Now+2*planStep, "a", "b", "c")
			if next == nil || len(next.New) != 3 || turnstore.ContainsStore(next.New, "d") {
				t.Errorf("got %+v, want a change that removes d", next)
			}
		})
	}
}

// TestNameIsNotPlacedSoonAfterRetirement checks a machine that loses its disk while it is being retired and registers again only
// after the retirement is complete. It must not be placed, because the operator removes the machine then.
func TestNameIsNotPlacedSoonAfterRetirement(t *testing.T) {
	heads := newRetirementSequence(true)
	in := &heads.input
	before := in.Current
	after := *before
	after.Old, after.New = before.New, nil
	in.Departures = Departures{}
	in.Departures.Record(before, &after, in.Retired, in.Now)
	in.Current = &after
	complete := in.Now
	heads.registerTwice(turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"})
	next := heads.run(complete+2*heads.timings.FailureTimeout, "a", "b", "c", "e")
	if next == nil || turnstore.ContainsStore(next.New, "d2") || !turnstore.ContainsStore(next.New, "e") {
		t.Errorf("got %+v, want e added and d2 not placed", next)
	}
	delete(in.Stores, "e")
	for in.Now < complete+2*heads.timings.FailureTimeout {
		heads.registerTwice(turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"})
		if next := Plan(*in, heads.timings); next != nil && in.Now < complete+2*heads.timings.FailureTimeout {
			t.Fatalf("placed %v after the retirement: %+v", in.Now-complete, next)
		}
	}
	heads.registerTwice(turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"})
	if next := heads.run(in.Now+planStep, "a", "b", "c"); next == nil || !turnstore.ContainsStore(next.New, "d2") {
		t.Errorf("a new store of the name is not placed: %+v", next)
	}
}

func TestDeparturesRecordOnlyRetiredStores(t *testing.T) {
	heads := newRetirementSequence(true)
	in := &heads.input
	after := *in.Current
	after.Old, after.New = in.Current.Old[1:3], nil // a leaves the placement without a retirement
	departures := Departures{}
	departures.Record(nil, &after, in.Retired, in.Now)
	departures.Record(in.Current, nil, in.Retired, in.Now)
	departures.Record(in.Current, in.Current, in.Retired, in.Now)
	if len(departures) > 0 {
		t.Errorf("departures without a change that removes a retired store: %+v", departures)
	}
	departures.Record(in.Current, &after, in.Retired, in.Now)
	if at, known := departures["d"]; len(departures) != 1 || !known || at != in.Now {
		t.Errorf("departures are %+v, want only d, now", departures)
	}
}

// TestSuccessorWithSameNameIsNotAddedNextToFailedStore checks that the successor of a failed store waits to replace it, because
// otherwise the list would have both. A delayed registration can make the failed store appear to be running.
func TestSuccessorWithSameNameIsNotAddedNextToFailedStore(t *testing.T) {
	heads := newHeadSequence(1, "a", "b", "c", "d")
	in := &heads.input
	successor := turnstore.Store{ID: "d2", Name: "d", Addr: "z:1"}
	heads.run(4*time.Second, "a", "b", "c", "d")
	for failedAt := 3900*time.Millisecond + heads.timings.FailureTimeout; in.Now+3*planStep < failedAt; {
		heads.registerTwice(successor)
		if next := heads.run(in.Now+planStep, "a", "b", "c"); next != nil {
			t.Fatalf("unexpected change at %v: %+v", in.Now, next)
		}
	}
	heads.registerTwice(successor)
	next := heads.run(in.Now+2*planStep, "a", "b", "c")
	if next == nil || len(next.New) != 4 || !turnstore.ContainsStore(next.New, "d2") {
		t.Errorf("got %+v, want a change in which d2 replaces d", next)
	}
}

func TestRetirementExtendsToNoOtherStore(t *testing.T) {
	for name, test := range map[string]struct {
		store turnstore.Store
		setup func(in *Input)
	}{
		"another machine of the name":     {turnstore.Store{ID: "d2", Name: "d", Addr: "z:1"}, nil},
		"another name at the address":     {turnstore.Store{ID: "e", Name: "e", Addr: "d:1"}, nil},
		"lost disk of a store that stays": {turnstore.Store{ID: "c2", Name: "c", Addr: "c:1"}, nil},
		"new store after the order was complete": {turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"}, func(in *Input) {
			in.Current.Old, in.Current.New = in.Current.New, nil
		}},
		"store that is placed already": {turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"}, func(in *Input) {
			in.Current.New = append(slices.Clone(in.Current.New), turnstore.Store{ID: "d2"})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			heads := newRetirementSequence(true)
			if test.setup != nil {
				test.setup(&heads.input)
			}
			heads.registerTwice(test.store)
			if got := SuccessorsOfRetiringStores(heads.input); len(got) > 0 {
				t.Errorf("the retirement extends to %+v", got)
			}
		})
	}
	heads := newRetirementSequence(true)
	wiped := turnstore.Store{ID: "d0", Name: "d", Addr: "d:1"}
	Register(heads.input.Stores, Registration{Store: wiped}, heads.input.Now, heads.timings)
	if got := SuccessorsOfRetiringStores(heads.input); len(got) > 0 {
		t.Errorf("after one registration, which may be delayed: %+v", got)
	}
}

func TestCanRetireKeepsEnoughStores(t *testing.T) {
	t.Parallel()
	stores := func(n int) (placement turnstore.Placement) {
		for i := range n {
			placement.Old = append(placement.Old, turnstore.Store{ID: fmt.Sprint(i)})
		}
		return placement
	}
	for _, test := range []struct {
		stores, faultTolerance, retired int
		want                            bool
	}{{4, 1, 0, true}, {3, 1, 0, false}, {5, 1, 1, true}, {4, 1, 1, false}, {2, 0, 0, true}, {1, 0, 0, false}, {9, 2, 0, true}} {
		p := stores(test.stores)
		retired := map[string]bool{}
		for i := range test.retired {
			retired[fmt.Sprint(i)] = true
		}
		if got := CanRetire(&p, retired, test.faultTolerance); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}
