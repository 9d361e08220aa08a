package placement

import (
	"slices"
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// emptying is a head that knows four stores, with an order to empty d; joint, the change that takes it off is under way.
func emptying(joint bool) *reign {
	r := newReign(1, "a", "b", "c", "d")
	r.run(4*time.Second, "a", "b", "c", "d")
	s := &r.situation
	s.Retired["d"] = true
	if joint {
		next := *s.Current
		next.Generation, next.New = 4, s.Current.Old[:3]
		s.Current, s.GenerationSince = &next, s.Now
	}
	return r
}

// hearAgain has a store register twice, as one must to count.
func (r *reign) hearAgain(one turnstore.Store) {
	for range 2 {
		Register(r.situation.Stores, Registration{Store: one, Generation: r.situation.Current.Generation}, r.situation.Now, r.timings)
		r.situation.Now += planStep
	}
}

func TestAnOrderHoldsForAStoreThatLosesItsDiskWhileItIsEmptied(t *testing.T) {
	for name, joint := range map[string]bool{"before the change begins": false, "while joint": true} {
		t.Run(name, func(t *testing.T) {
			r := emptying(joint)
			s := &r.situation
			empty := turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"}
			r.hearAgain(empty)
			if got := LostWhileRetiring(*s); !slices.Equal(got, []turnstore.Store{empty}) {
				t.Fatalf("%+v", got)
			}
			s.Retired["d2"] = true
			if got := LostWhileRetiring(*s); len(got) > 0 {
				t.Fatalf("noted already: %+v", got)
			}
			began := s.Now
			for s.Now < began+10*time.Second {
				next := r.run(began+10*time.Second, "a", "b", "c")
				if next == nil {
					break
				}
				if in(next.New, "d2") || in(next.Old, "d2") {
					t.Fatalf("the empty store is placed: %+v", next)
				}
				if len(next.New) == 0 && s.Now-began > 500*time.Millisecond {
					t.Errorf("the change ends after %v", s.Now-began)
				}
				s.Current = next
			}
			if len(s.Current.New) > 0 || len(s.Current.Old) != 3 || in(s.Current.Old, "d") {
				t.Errorf("not emptied: %+v", s.Current)
			}
		})
	}
}

// The store that lost its disk is gone: its emptying does not wait for contact, as for one that may come back. The next loss
// may come catch_up_s after the return.
func TestAStoreThatLostItsDiskIsTakenOffAtOnce(t *testing.T) {
	for name, takeOver := range map[string]bool{"with the head that heard it": false, "with another head": true} {
		t.Run(name, func(t *testing.T) {
			r := newReign(1, "a", "b", "c", "d")
			s := &r.situation
			r.run(4*time.Second, "a", "b", "c", "d")
			r.run(5*time.Second, "a", "b", "c")
			if takeOver {
				r.head(Observations{})
				r.run(s.Now+200*time.Millisecond, "a", "b", "c")
			}
			s.Retired["d"], s.Retired["d2"] = true, true
			r.hearAgain(turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"})
			next := r.run(s.Now+2*planStep, "a", "b", "c")
			if next == nil || len(next.New) != 3 || in(next.New, "d") {
				t.Errorf("%+v", next)
			}
		})
	}
}

// The machine loses its disk while it is emptied, and registers anew only once the order is complete. Who was told so takes it
// away: it must not be placed just then.
func TestNoStoreOfTheNameIsPlacedJustAfterAnOrderIsComplete(t *testing.T) {
	r := emptying(true)
	s := &r.situation
	before := s.Current
	after := *before
	after.Old, after.New = before.New, nil
	s.Departures = Departures{}
	s.Departures.Record(before, &after, s.Retired, s.Now)
	s.Current = &after
	complete := s.Now
	r.hearAgain(turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"})
	if next := r.run(complete+2*r.timings.FailureTimeout, "a", "b", "c", "e"); next == nil || in(next.New, "d2") || !in(next.New, "e") {
		t.Errorf("one of another name: %+v", next)
	}
	delete(s.Stores, "e")
	for s.Now < complete+2*r.timings.FailureTimeout {
		r.hearAgain(turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"})
		if next := Plan(*s, r.timings); next != nil && s.Now < complete+2*r.timings.FailureTimeout {
			t.Fatalf("placed %v after: %+v", s.Now-complete, next)
		}
	}
	r.hearAgain(turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"})
	if next := r.run(s.Now+planStep, "a", "b", "c"); next == nil || !in(next.New, "d2") {
		t.Errorf("a new one under the name is not placed: %+v", next)
	}
}

func TestOnlyStoresThatWereOrderedToLeaveAreNoted(t *testing.T) {
	r := emptying(true)
	s := &r.situation
	after := *s.Current
	after.Old, after.New = s.Current.Old[1:3], nil // a goes without an order
	left := Departures{}
	left.Record(nil, &after, s.Retired, s.Now)
	left.Record(s.Current, nil, s.Retired, s.Now)
	left.Record(s.Current, s.Current, s.Retired, s.Now)
	if len(left) > 0 {
		t.Errorf("%+v", left)
	}
	left.Record(s.Current, &after, s.Retired, s.Now)
	if at, known := left["d"]; len(left) != 1 || !known || at != s.Now {
		t.Errorf("%+v", left)
	}
}

// A late registration can make a store that is gone seem to live. Its successor under the same name waits for its place: beside
// it, the list would have one that is gone.
func TestASuccessorUnderTheNameIsNotListedBeside(t *testing.T) {
	r := newReign(1, "a", "b", "c", "d")
	s := &r.situation
	successor := turnstore.Store{ID: "d2", Name: "d", Addr: "z:1"}
	r.run(4*time.Second, "a", "b", "c", "d")
	for gone := 3900*time.Millisecond + r.timings.FailureTimeout; s.Now+3*planStep < gone; {
		r.hearAgain(successor)
		if next := r.run(s.Now+planStep, "a", "b", "c"); next != nil {
			t.Fatalf("at %v: %+v", s.Now, next)
		}
	}
	r.hearAgain(successor)
	next := r.run(s.Now+2*planStep, "a", "b", "c")
	if next == nil || len(next.New) != 4 || !in(next.New, "d2") {
		t.Errorf("%+v", next)
	}
}

func TestAnOrderHoldsForNoOtherStore(t *testing.T) {
	for name, c := range map[string]struct {
		one   turnstore.Store
		setup func(s *Input)
	}{
		"another machine under the name":         {turnstore.Store{ID: "d2", Name: "d", Addr: "z:1"}, nil},
		"another name at the address":            {turnstore.Store{ID: "e", Name: "e", Addr: "d:1"}, nil},
		"the disk of one that stays":             {turnstore.Store{ID: "c2", Name: "c", Addr: "c:1"}, nil},
		"a new one after the order was complete": {turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"}, func(s *Input) { s.Current.Old, s.Current.New = s.Current.New, nil }},
		"one that is placed already":             {turnstore.Store{ID: "d2", Name: "d", Addr: "d:1"}, func(s *Input) { s.Current.New = append(slices.Clone(s.Current.New), turnstore.Store{ID: "d2"}) }},
	} {
		t.Run(name, func(t *testing.T) {
			r := emptying(true)
			if c.setup != nil {
				c.setup(&r.situation)
			}
			r.hearAgain(c.one)
			if got := LostWhileRetiring(r.situation); len(got) > 0 {
				t.Errorf("%+v", got)
			}
		})
	}
	r := emptying(true)
	Register(r.situation.Stores, Registration{Store: turnstore.Store{ID: "d0", Name: "d", Addr: "d:1"}}, r.situation.Now, r.timings)
	if got := LostWhileRetiring(r.situation); len(got) > 0 {
		t.Errorf("after one registration, which may be late: %+v", got)
	}
}
