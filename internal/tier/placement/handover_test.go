package placement

import (
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// reign plays heads that follow each other over the stores of one placement, in steps of planning.
type reign struct {
	situation Input
	timings   Timings
}

const planStep = 100 * time.Millisecond

func newReign(losses int, ids ...string) *reign {
	r := &reign{timings: DefaultTimings(4 * time.Second)}
	p := &turnstore.Placement{Generation: 3, ReplicationFactor: 2*losses + 1, DurableReplicas: losses + 1, FaultTolerance: losses}
	for _, id := range ids {
		p.Old = append(p.Old, turnstore.Store{ID: id, Name: id, Addr: id + ":1"})
	}
	r.situation = Input{FaultTolerance: losses, Current: p, Stores: map[string]StoreStatus{}, Retired: map[string]bool{}}
	return r
}

// run goes on until a time or the first change, with the stores that register at each step; one with ~ behind it has not
// swept under the gen in force.
func (r *reign) run(until time.Duration, ids ...string) *turnstore.Placement {
	for s := &r.situation; s.Now < until; s.Now += planStep {
		for _, id := range ids {
			r.hear(id)
		}
		if next := Plan(*s, r.timings); next != nil {
			return next
		}
	}
	return nil
}

func (r *reign) hear(who string) {
	s := &r.situation
	id, unswept := strings.CutSuffix(who, "~")
	one := Registration{Store: turnstore.Store{ID: id, Name: id, Addr: id + ":1"}, Generation: s.Current.Generation}
	if !unswept {
		one.SweptGeneration = s.Current.Generation
	}
	Register(s.Stores, one, s.Now, r.timings)
}

// head has another head take over, with what the one before it told a while ago.
func (r *reign) head(told Observations) {
	s := &r.situation
	s.TookOverAt, s.Inherited, s.Stores = s.Now, told, map[string]StoreStatus{}
	s.GenerationSince = told.GenerationSince(s.Current.Generation, s.Now)
}

func TestANewHeadGoesOnWithTheSilenceThatTheOneBeforeItMeasured(t *testing.T) {
	r := newReign(1, "a", "b", "c", "d")
	r.run(4*time.Second, "a", "b", "c", "d")
	r.run(4700*time.Millisecond, "a", "b", "c")
	r.run(5900*time.Millisecond, "a", "b", "c", "e") // e is not placed while d may come back
	r.head(r.situation.Observe(r.timings))
	next := r.run(10*time.Second, "a", "b", "c", "e")
	if next == nil || !in(next.New, "e") || in(next.New, "d") {
		t.Fatalf("%+v", next)
	}
	if at := r.situation.Now; at != 7100*time.Millisecond {
		t.Errorf("the place is given away at %v, not once the new head has listened for long enough", at)
	}
}

func TestANewHeadEndsAChangeThatHasWaitedLongEnough(t *testing.T) {
	r := newReign(1, "a", "b", "c", "d")
	s := &r.situation
	r.run(4*time.Second, "a", "b", "c", "d")
	next := *s.Current
	next.Generation, next.New = 4, next.Old
	s.Current, s.GenerationSince = &next, s.Now
	r.run(5900*time.Millisecond, "a", "b", "c", "d~") // d takes long: 1.9 s of the 2 s for which it is waited
	r.head(s.Observe(r.timings))
	ended := r.run(10*time.Second, "a", "b", "c", "d~")
	if ended == nil || len(ended.New) > 0 {
		t.Fatalf("%+v", ended)
	}
	if took := s.Now - s.TookOverAt; took > 200*time.Millisecond {
		t.Errorf("the change ends %v after the new head came", took)
	}
}

// The last report of a head is old: a store that was silent then has registered since. The new head must not count it
// silent before it had the time to register with it, and not at all for the earlier silence once it has registered.
func TestAStoreHeardAfterTheLastReportIsNotCountedSilent(t *testing.T) {
	r := newReign(1, "a", "b", "c", "d")
	s := &r.situation
	r.run(4*time.Second, "a", "b", "c", "d")
	r.run(5900*time.Millisecond, "a", "b", "c")
	report := s.Observe(r.timings)
	if next := r.run(6500*time.Millisecond, "a", "b", "c", "d"); next != nil {
		t.Fatalf("with the head before: %+v", next)
	}
	r.head(report)
	if next := r.run(s.Now+r.timings.TakeoverGrace-planStep, "a", "b", "c", "e"); next != nil {
		t.Fatalf("before d could register: %+v", next)
	}
	r.hear("d")
	if next := r.run(s.TookOverAt+r.timings.FailureTimeout, "a", "b", "c", "e"); next != nil {
		t.Fatalf("after d registered once: %+v", next)
	}
}

func TestSilenceIsHandedOnFromHeadToHead(t *testing.T) {
	r := newReign(1, "a", "b", "c", "d")
	s := &r.situation
	r.run(4*time.Second, "a", "b", "c", "d")
	r.run(5*time.Second, "a", "b", "c")
	r.head(s.Observe(r.timings))
	r.run(s.Now+300*time.Millisecond, "a", "b", "c")
	h := s.Observe(r.timings)
	if len(h.Unresponsive) != 1 || h.Unresponsive[0] != (UnresponsiveStore{ID: "d", Elapsed: 1400 * time.Millisecond}) {
		t.Errorf("%+v", h)
	}
}

// A course of losses in which another head takes over just before a change can end.
func TestCourseWithAnotherHeadAsAChangeEnds(t *testing.T) {
	const seed = 2795
	if m := course(seed, ""); m.broken != "" {
		t.Errorf("seed %d: %s\n%s", seed, m.broken, m.timeline())
	}
}
