package placement

import (
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// headSequence plays heads that follow each other over the stores of one placement, in steps of planning.
type headSequence struct {
	input   Input
	timings Timings
}

const planStep = 100 * time.Millisecond

func newHeadSequence(losses int, ids ...string) *headSequence {
	heads := &headSequence{timings: DefaultTimings(4 * time.Second)}
	placement := &turnstore.Placement{Generation: 3, ReplicationFactor: 2*losses + 1, DurableReplicas: losses + 1, FaultTolerance: losses}
	for _, id := range ids {
		placement.Old = append(placement.Old, turnstore.Store{ID: id, Name: id, Addr: id + ":1"})
	}
	heads.input = Input{FaultTolerance: losses, Current: placement, Stores: map[string]StoreStatus{}, Retired: map[string]bool{}}
	return heads
}

// run goes on until a time or the first change, with the stores that register at each step; one with ~ behind it has not
// swept under the gen in force.
func (r *headSequence) run(until time.Duration, ids ...string) *turnstore.Placement {
	for in := &r.input; in.Now < until; in.Now += planStep {
		for _, id := range ids {
			r.register(id)
		}
		if next := Plan(*in, r.timings); next != nil {
			return next
		}
	}
	return nil
}

func (r *headSequence) register(who string) {
	in := &r.input
	id, unswept := strings.CutSuffix(who, "~")
	registration := Registration{Store: turnstore.Store{ID: id, Name: id, Addr: id + ":1"}, Generation: in.Current.Generation}
	if !unswept {
		registration.SweptGeneration = in.Current.Generation
	}
	Register(in.Stores, registration, in.Now, r.timings)
}

// takeOver has another takeOver take over, with what the one before it told a while ago.
func (r *headSequence) takeOver(inherited Observations) {
	in := &r.input
	in.TookOverAt, in.Inherited, in.Stores = in.Now, inherited, map[string]StoreStatus{}
	in.GenerationSince = inherited.GenerationSince(in.Current.Generation, in.Now)
}

func TestNewHeadUsesInheritedElapsedTime(t *testing.T) {
	heads := newHeadSequence(1, "a", "b", "c", "d")
	heads.run(4*time.Second, "a", "b", "c", "d")
	heads.run(4700*time.Millisecond, "a", "b", "c")
	heads.run(5900*time.Millisecond, "a", "b", "c", "e") // e is not placed while d may come back
	heads.takeOver(heads.input.Observe(heads.timings))
	next := heads.run(10*time.Second, "a", "b", "c", "e")
	if next == nil || !containsStore(next.New, "e") || containsStore(next.New, "d") {
		t.Fatalf("%+v", next)
	}
	if at := heads.input.Now; at != 7100*time.Millisecond {
		t.Errorf("the place is given away at %v, not once the new head has listened for long enough", at)
	}
}

func TestNewHeadEndsChangeAfterInheritedWait(t *testing.T) {
	heads := newHeadSequence(1, "a", "b", "c", "d")
	in := &heads.input
	heads.run(4*time.Second, "a", "b", "c", "d")
	next := *in.Current
	next.Generation, next.New = 4, next.Old
	in.Current, in.GenerationSince = &next, in.Now
	heads.run(5900*time.Millisecond, "a", "b", "c", "d~") // d takes long: 1.9 s of the 2 s for which it is waited
	heads.takeOver(in.Observe(heads.timings))
	ended := heads.run(10*time.Second, "a", "b", "c", "d~")
	if ended == nil || len(ended.New) > 0 {
		t.Fatalf("%+v", ended)
	}
	if took := in.Now - in.TookOverAt; took > 200*time.Millisecond {
		t.Errorf("the change ends %v after the new head came", took)
	}
}

// The last report of a head is old: a store that was silent then has registered since. The new head must not count it
// silent before it had the time to register with it, and not at all for the earlier silence once it has registered.
func TestStaleObservationsDoNotFailRunningStore(t *testing.T) {
	heads := newHeadSequence(1, "a", "b", "c", "d")
	in := &heads.input
	heads.run(4*time.Second, "a", "b", "c", "d")
	heads.run(5900*time.Millisecond, "a", "b", "c")
	report := in.Observe(heads.timings)
	if next := heads.run(6500*time.Millisecond, "a", "b", "c", "d"); next != nil {
		t.Fatalf("with the head before: %+v", next)
	}
	heads.takeOver(report)
	if next := heads.run(in.Now+heads.timings.TakeoverGrace-planStep, "a", "b", "c", "e"); next != nil {
		t.Fatalf("before d could register: %+v", next)
	}
	heads.register("d")
	if next := heads.run(in.TookOverAt+heads.timings.FailureTimeout, "a", "b", "c", "e"); next != nil {
		t.Fatalf("after d registered once: %+v", next)
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
	if len(observations.Unresponsive) != 1 || observations.Unresponsive[0] != (UnresponsiveStore{ID: "d", Elapsed: 1400 * time.Millisecond}) {
		t.Errorf("%+v", observations)
	}
}

// A course of losses in which another head takes over just before a change can end.
func TestScheduleWithHeadChangeAtEndOfChange(t *testing.T) {
	const seed = 2795
	if m := runSchedule(seed, ""); m.violation != "" {
		t.Errorf("seed %d: %s\n%s", seed, m.violation, m.timeline())
	}
}
