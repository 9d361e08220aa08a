package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

func TestRetirementExtendsToStoreThatLosesItsDisk(t *testing.T) {
	for name, joint := range map[string]bool{"before the change begins": false, "while joint": true} {
		t.Run(name, func(t *testing.T) {
			heads := newRetirement(joint)
			in := &heads.input
			wiped := turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"}
			heads.registerTwice(wiped)
			if got := LostWhileRetiring(*in); !slices.Equal(got, []turnstore.Store{wiped}) {
				t.Fatalf("%+v", got)
			}
			in.Retired["d2"] = true
			if got := LostWhileRetiring(*in); len(got) > 0 {
				t.Fatalf("noted already: %+v", got)
			}
			start := in.Now
			for in.Now < start+10*time.Second {
				next := heads.run(start+10*time.Second, "a", "b", "c")
				if next == nil {
					break
				}
				if containsStore(next.New, "d2") || containsStore(next.Old, "d2") {
					t.Fatalf("the empty store is placed: %+v", next)
				}
				if len(next.New) == 0 && in.Now-start > 500*time.Millisecond {
					t.Errorf("the change ends after %v", in.Now-start)
				}
				in.Current = next
			}
			if len(in.Current.New) > 0 || len(in.Current.Old) != 3 || containsStore(in.Current.Old, "d") {
				t.Errorf("not emptied: %+v", in.Current)
			}
		})
	}
}

// The store that lost its disk is gone: its emptying does not wait for contact, as for one that may come back. The next loss
// may come catch_up_s after the return.
func TestSupersededRetiredStoreIsRemovedAtOnce(t *testing.T) {
	for name, takeOver := range map[string]bool{"with the head that heard it": false, "with another head": true} {
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
			if next == nil || len(next.New) != 3 || containsStore(next.New, "d") {
				t.Errorf("%+v", next)
			}
		})
	}
}

// The machine loses its disk while it is emptied, and registers anew only once the order is complete. Who was told so takes it
// away: it must not be placed just then.
func TestNameIsNotPlacedSoonAfterRetirement(t *testing.T) {
	heads := newRetirement(true)
	in := &heads.input
	before := in.Current
	after := *before
	after.Old, after.New = before.New, nil
	in.Departures = Departures{}
	in.Departures.Record(before, &after, in.Retired, in.Now)
	in.Current = &after
	complete := in.Now
	heads.registerTwice(turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"})
	if next := heads.run(complete+2*heads.timings.FailureTimeout, "a", "b", "c", "e"); next == nil || containsStore(next.New, "d2") || !containsStore(next.New, "e") {
		t.Errorf("one of another name: %+v", next)
	}
	delete(in.Stores, "e")
	for in.Now < complete+2*heads.timings.FailureTimeout {
		heads.registerTwice(turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"})
		if next := Plan(*in, heads.timings); next != nil && in.Now < complete+2*heads.timings.FailureTimeout {
			t.Fatalf("placed %v after: %+v", in.Now-complete, next)
		}
	}
	heads.registerTwice(turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"})
	if next := heads.run(in.Now+planStep, "a", "b", "c"); next == nil || !containsStore(next.New, "d2") {
		t.Errorf("a new one under the name is not placed: %+v", next)
	}
}

func TestDeparturesRecordOnlyRetiredStores(t *testing.T) {
	heads := newRetirement(true)
	in := &heads.input
	after := *in.Current
	after.Old, after.New = in.Current.Old[1:3], nil // a goes without an order
	departures := Departures{}
	departures.Record(nil, &after, in.Retired, in.Now)
	departures.Record(in.Current, nil, in.Retired, in.Now)
	departures.Record(in.Current, in.Current, in.Retired, in.Now)
	if len(departures) > 0 {
		t.Errorf("%+v", departures)
	}
	departures.Record(in.Current, &after, in.Retired, in.Now)
	if at, known := departures["d"]; len(departures) != 1 || !known || at != in.Now {
		t.Errorf("%+v", departures)
	}
}

// A late registration can make a store that is gone seem to live. Its successor under the same name waits for its place: beside
// it, the list would have one that is gone.
func TestSuccessorWithSameNameIsNotAddedNextToFailedStore(t *testing.T) {
	heads := newHeadSequence(1, "a", "b", "c", "d")
	in := &heads.input
	successor := turnstore.Store{ID: "d2", Name: "d", Addr: "z:1"}
	heads.run(4*time.Second, "a", "b", "c", "d")
	for failedAt := 3900*time.Millisecond + heads.timings.FailureTimeout; in.Now+3*planStep < failedAt; {
		heads.registerTwice(successor)
		if next := heads.run(in.Now+planStep, "a", "b", "c"); next != nil {
			t.Fatalf("at %v: %+v", in.Now, next)
		}
	}
	heads.registerTwice(successor)
	next := heads.run(in.Now+2*planStep, "a", "b", "c")
	if next == nil || len(next.New) != 4 || !containsStore(next.New, "d2") {
		t.Errorf("%+v", next)
	}
}

func TestRetirementExtendsToNoOtherStore(t *testing.T) {
	for name, test := range map[string]struct {
		store turnstore.Store
		setup func(s *Input)
	}{
		"another machine under the name":         {turnstore.Store{ID: "d2", Name: "d", Addr: "z:1"}, nil},
		"another name at the address":            {turnstore.Store{ID: "e", Name: "e", Addr: "d:1"}, nil},
		"the disk of one that stays":             {turnstore.Store{ID: "c2", Name: "c", Addr: "c:1"}, nil},
		"a new one after the order was complete": {turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"}, func(s *Input) { s.Current.Old, s.Current.New = s.Current.New, nil }},
		"one that is placed already":             {turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"}, func(s *Input) { s.Current.New = append(slices.Clone(s.Current.New), turnstore.Store{ID: "d2"}) }},
	} {
		t.Run(name, func(t *testing.T) {
			heads := newRetirement(true)
			if test.setup != nil {
				test.setup(&heads.input)
			}
			heads.registerTwice(test.store)
			if got := LostWhileRetiring(heads.input); len(got) > 0 {
				t.Errorf("%+v", got)
			}
		})
	}
	r := newRetirement(true)
	Register(r.input.Stores, Registration{Store: turnstore.Store{ID: "d0", Name: "d", Addr: "d:1"}}, r.input.Now, r.timings)
	if got := LostWhileRetiring(r.input); len(got) > 0 {
		t.Errorf("after one registration, which may be late: %+v", got)
	}
}

func TestCanRetire(t *testing.T) {
	t.Parallel()
	stores := func(n int) (placement turnstore.Placement) {
		for i := range n {
			placement.Old = append(placement.Old, turnstore.Store{ID: fmt.Sprint(i)})
		}
		return placement
	}
	for _, test := range []struct {
		stores, losses, retired int
		want                    bool
	}{{4, 1, 0, true}, {3, 1, 0, false}, {5, 1, 1, true}, {4, 1, 1, false}, {2, 0, 0, true}, {1, 0, 0, false}, {9, 2, 0, true}} {
		p := stores(test.stores)
		retired := map[string]bool{}
		for i := range test.retired {
			retired[fmt.Sprint(i)] = true
		}
		if got := CanRetire(&p, retired, test.losses); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}
