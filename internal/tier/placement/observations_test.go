package placement

import (
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

func TestNewHeadUsesInheritedElapsedTime(t *testing.T) {
	heads := newHeadSequence(1, "a", "b", "c", "d")
	heads.run(4*time.Second, "a", "b", "c", "d")
	heads.run(4700*time.Millisecond, "a", "b", "c")
	heads.run(5900*time.Millisecond, "a", "b", "c", "e") // e is not added while d is suspect
	heads.takeOver(heads.input.Observe(heads.timings))
	next := heads.run(10*time.Second, "a", "b", "c", "e")
	if next == nil || !turnstore.ContainsStore(next.New, "e") || turnstore.ContainsStore(next.New, "d") {
		t.Fatalf("got %+v, want a change that replaces d by e", next)
	}
	if at := heads.input.Now; at != 7100*time.Millisecond {
		t.Errorf("d was replaced at %v, want 7.1 s: after the TakeoverGrace of the new head", at)
	}
}

func TestNewHeadEndsChangeAfterInheritedWait(t *testing.T) {
	heads := newHeadSequence(1, "a", "b", "c", "d")
	in := &heads.input
	heads.run(4*time.Second, "a", "b", "c", "d")
	next := *in.Current
	next.Generation, next.New = 4, next.Old
	in.Current, in.GenerationSince = &next, in.Now
	heads.run(5900*time.Millisecond, "a", "b", "c", "d~") // d has not completed its sweep 1.9 s into the 2 s of FailureTimeout
	heads.takeOver(in.Observe(heads.timings))
	ended := heads.run(10*time.Second, "a", "b", "c", "d~")
	if ended == nil || len(ended.New) > 0 {
		t.Fatalf("got %+v, want the end of the change", ended)
	}
	if took := in.Now - in.TookOverAt; took > 200*time.Millisecond {
		t.Errorf("the change ended %v after the new head took over", took)
	}
}

// TestStaleObservationsDoNotFailRunningStore checks a new head with inherited observations that are stale: a store that was
// unresponsive then has registered since. The new head must not count the store as failed before the store could register with
// it, and must not use the inherited time at all once the store has registered.
func TestStaleObservationsDoNotFailRunningStore(t *testing.T) {
	heads := newHeadSequence(1, "a", "b", "c", "d")
	in := &heads.input
	heads.run(4*time.Second, "a", "b", "c", "d")
	heads.run(5900*time.Millisecond, "a", "b", "c")
	stale := in.Observe(heads.timings)
	if next := heads.run(6500*time.Millisecond, "a", "b", "c", "d"); next != nil {
		t.Fatalf("unexpected change under the previous head: %+v", next)
	}
	heads.takeOver(stale)
	if next := heads.run(in.Now+heads.timings.TakeoverGrace-planStep, "a", "b", "c", "e"); next != nil {
		t.Fatalf("unexpected change before d could register: %+v", next)
	}
	heads.register("d")
	if next := heads.run(in.TookOverAt+heads.timings.FailureTimeout, "a", "b", "c", "e"); next != nil {
		t.Fatalf("unexpected change after d registered once: %+v", next)
	}
}

func TestElapsedTimeIsInheritedAcrossHeads(t *testing.T) {
	heads := newHeadSequence(1, "a", "b", "c", "d")
	in := &heads.input
	heads.run(4*time.Second, "a", "b", "c", "d")
	heads.run(5*time.Second, "a", "b", "c")
	heads.takeOver(in.Observe(heads.timings))
	heads.run(in.Now+300*time.Millisecond, "a", "b", "c")
	observations := in.Observe(heads.timings)
	if want := []UnresponsiveStore{{ID: "d", Elapsed: 1400 * time.Millisecond}}; !slices.Equal(observations.Unresponsive, want) {
		t.Errorf("got %+v, want d unresponsive for 1.1 s under the first head and 0.3 s under the second", observations)
	}
}

// TestHeadChangeAtEndOfPlacementChangeKeepsInvariants runs a schedule in which the head changes just before a change of the
// placement can end.
func TestHeadChangeAtEndOfPlacementChangeKeepsInvariants(t *testing.T) {
	const seed = 2795
	if sim := runSchedule(seed, ""); sim.violation != "" {
		t.Errorf("seed %d: %s\n%s", seed, sim.violation, sim.timeline())
	}
}

func TestStoresRequiredIsFailuresBeyondTolerance(t *testing.T) {
	list := func(names string) (all []turnstore.Store) {
		for _, id := range strings.Fields(names) {
			all = append(all, turnstore.Store{ID: id})
		}
		return all
	}
	for _, test := range []struct {
		old, next, failed    string
		faultTolerance, want int
	}{
		{"a b c d", "", "", 1, 0},
		{"a b c d", "", "d", 1, 0},
		{"a b c d", "", "c d", 1, 1},
		{"a b c d", "a b c e", "d", 1, 0},
		{"a b c d", "a b e", "c d", 1, 1},
		{"a b c", "a b c d e", "d e", 1, 1},
		{"a b c d e", "", "d e", 2, 0},
		{"a b c d e", "", "b c d e", 2, 2},
		{"a b c", "", "x y z", 1, 0},
	} {
		placement := &turnstore.Placement{FaultTolerance: test.faultTolerance, Old: list(test.old), New: list(test.next)}
		var failed []UnresponsiveStore
		for _, id := range strings.Fields(test.failed) {
			failed = append(failed, UnresponsiveStore{ID: id, Elapsed: time.Minute})
		}
		if got := StoresRequired(placement, failed); got != test.want {
			t.Errorf("%+v: %d", test, got)
		}
	}
}

func TestFailedStoresAreSortedByElapsedTime(t *testing.T) {
	timings := DefaultTimings(3 * time.Second)
	observations := Observations{Unresponsive: []UnresponsiveStore{
		{"a", timings.FailureTimeout}, {"b", 2 * time.Second}, {"c", time.Minute},
	}}
	want := []UnresponsiveStore{{"c", time.Minute}, {"b", 2 * time.Second}}
	if got := observations.FailedStores(timings); !slices.Equal(got, want) {
		t.Errorf("got %+v, want c before b, without a", got)
	}
	if len(observations.Unresponsive) != 3 {
		t.Error("FailedStores modified the observations")
	}
}
