package placement

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

func containsStore(list []turnstore.Store, id string) bool {
	return slices.ContainsFunc(list, func(s turnstore.Store) bool { return s.ID == id })
}

func storeIDs(list []turnstore.Store) string {
	var out []string
	for _, s := range list {
		out = append(out, s.ID)
	}
	return strings.Join(out, ",")
}

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

// newRetirement is a head that knows four stores, with an order to empty d; joint, the change that takes it off is under way.
func newRetirement(joint bool) *headSequence {
	heads := newHeadSequence(1, "a", "b", "c", "d")
	heads.run(4*time.Second, "a", "b", "c", "d")
	in := &heads.input
	in.Retired["d"] = true
	if joint {
		next := *in.Current
		next.Generation, next.New = 4, in.Current.Old[:3]
		in.Current, in.GenerationSince = &next, in.Now
	}
	return heads
}

// registerTwice has a store register twice, as one must to count.
func (r *headSequence) registerTwice(one turnstore.Store) {
	for range 2 {
		Register(r.input.Stores, Registration{Store: one, Generation: r.input.Current.Generation}, r.input.Now, r.timings)
		r.input.Now += planStep
	}
}

// playRegistrations plays registrations as lines: a time in ms, and the ids that are heard then, each as id@address or
// id@address:swept.
func playRegistrations(t *testing.T, stores map[string]StoreStatus, lines string) (now time.Duration) {
	t.Helper()
	timings := DefaultTimings(3 * time.Second)
	for _, line := range strings.Split(strings.TrimSpace(lines), "\n") {
		fields := strings.Fields(line)
		ms, err := strconv.Atoi(fields[0])
		if err != nil {
			t.Fatal(err)
		}
		now = time.Duration(ms) * time.Millisecond
		for _, registration := range fields[1:] {
			who, swept, _ := strings.Cut(registration, ":")
			id, addr, _ := strings.Cut(who, "@")
			gen, _ := strconv.Atoi(swept)
			parsed := Registration{Store: turnstore.Store{ID: id, Name: id[:1], Addr: addr}, Generation: int64(gen), SweptGeneration: int64(gen)}
			Register(stores, parsed, now, timings)
		}
	}
	return now
}

// Timelines have a column for each store. A line is a time in ms, then for each column what is seen of it from then on:
//
//   - it registers, again and again, with all swept
//     ~    it registers, but has not swept
//     .    silent
//     w    it registers under another id (its disk was lost)
//     R    it registers, and is to be emptied
//
// and behind | what the placement is at the end of the line's time: gen, old, new (names; 'w' behind one with another id).
func playTimeline(t *testing.T, faultTolerance int, timeline string) {
	t.Helper()
	var lines [][]string
	for _, columns := range strings.Split(strings.TrimSpace(timeline), "\n") {
		lines = append(lines, strings.Fields(columns))
	}
	names := lines[0][1:]
	timings := DefaultTimings(3 * time.Second)
	in := Input{FaultTolerance: faultTolerance, Stores: map[string]StoreStatus{}, Retired: map[string]bool{}}
	format := func(list []turnstore.Store) string {
		var out []string
		for _, store := range list {
			if store.ID == store.Name {
				out = append(out, store.Name)
			} else {
				out = append(out, store.Name+"w")
			}
		}
		slices.Sort(out)
		return strings.Join(out, ",")
	}
	for _, fields := range lines[1:] {
		until, err := strconv.Atoi(fields[0])
		if err != nil {
			t.Fatal(err)
		}
		bar := slices.Index(fields, "|")
		for ; in.Now <= time.Duration(until)*time.Millisecond; in.Now += 100 * time.Millisecond {
			for i, mark := range fields[1:bar] {
				id := names[i]
				if mark == "." {
					continue
				}
				if mark == "w" {
					id += "w"
				}
				if mark == "R" {
					in.Retired[id] = true
				}
				status := in.Stores[id]
				if status.Store.ID == "" {
					status = StoreStatus{Store: turnstore.Store{ID: id, Name: names[i], Addr: names[i] + ":1"}, FirstSeen: in.Now}
				}
				if status.ConfirmedAt = in.Now; mark != "~" && in.Current != nil {
					status.SweptGeneration = in.Current.Generation
				}
				in.Stores[id] = status
			}
			if next := Plan(in, timings); next != nil {
				if in.Current != nil && next.Generation < in.Current.Generation {
					t.Fatalf("at %v the gen falls from %d to %d", in.Now, in.Current.Generation, next.Generation)
				}
				if in.Current == nil || next.Generation != in.Current.Generation {
					in.GenerationSince = in.Now
				}
				in.Current = next
			}
		}
		got := "none"
		if in.Current != nil {
			got = strings.TrimSpace(fmt.Sprintf("%d %s %s", in.Current.Generation, format(in.Current.Old), format(in.Current.New)))
		}
		if want := strings.Join(fields[bar+1:], " "); got != want {
			t.Fatalf("at %s ms: %q, wanted %q", fields[0], got, want)
		}
	}
}
