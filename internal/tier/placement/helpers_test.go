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

func storeIDs(list []turnstore.Store) string {
	var out []string
	for _, s := range list {
		out = append(out, s.ID)
	}
	return strings.Join(out, ",")
}

// headSequence simulates successive heads with the stores of one placement, in steps of planStep.
type headSequence struct {
	input   Input
	timings Timings
}

const planStep = 100 * time.Millisecond

func newHeadSequence(faultTolerance int, ids ...string) *headSequence {
	heads := &headSequence{timings: DefaultTimings(4 * time.Second)}
	placement := &turnstore.Placement{Generation: 3, ReplicationFactor: 2*faultTolerance + 1, DurableReplicas: faultTolerance + 1,
		FaultTolerance: faultTolerance}
	for _, id := range ids {
		placement.Old = append(placement.Old, turnstore.Store{ID: id, Name: id, Addr: id + ":1"})
	}
	heads.input = Input{FaultTolerance: faultTolerance, Current: placement,
		Stores: map[string]StoreStatus{}, Retired: map[string]bool{}}
	return heads
}

// run simulates until a point in time or until Plan returns a placement, and returns that placement. The given stores register in
// each step. A store with the suffix ~ has not completed its sweep under the current generation.
func (h *headSequence) run(until time.Duration, ids ...string) *turnstore.Placement {
	for in := &h.input; in.Now < until; in.Now += planStep {
		for _, id := range ids {
			h.register(id)
		}
		if next := Plan(*in, h.timings); next != nil {
			return next
		}
	}
	return nil
}

func (h *headSequence) register(who string) {
	in := &h.input
	id, unswept := strings.CutSuffix(who, "~")
	registration := Registration{Store: turnstore.Store{ID: id, Name: id, Addr: id + ":1"}, Generation: in.Current.Generation}
	if !unswept {
		registration.SweptGeneration = in.Current.Generation
	}
	Register(in.Stores, registration, in.Now, h.timings)
}

// takeOver simulates a change of the head. The new head inherits the observations.
func (h *headSequence) takeOver(inherited Observations) {
	in := &h.input
	in.TookOverAt, in.Inherited, in.Stores = in.Now, inherited, map[string]StoreStatus{}
	in.GenerationSince = inherited.GenerationSince(in.Current.Generation, in.Now)
}

// newRetirementSequence returns a head with four stores and an order to retire d. If joint is true, the change that removes d is
// in progress.
func newRetirementSequence(joint bool) *headSequence {
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

// registerTwice registers a store twice, which confirms it.
func (h *headSequence) registerTwice(store turnstore.Store) {
	for range 2 {
		Register(h.input.Stores, Registration{Store: store, Generation: h.input.Current.Generation}, h.input.Now, h.timings)
		h.input.Now += planStep
	}
}

// replayRegistrations registers stores as described by lines, which have a time in ms and the stores that register then, each as
// id@address or id@address:generation. It returns the last time.
func replayRegistrations(t *testing.T, stores map[string]StoreStatus, lines string) (now time.Duration) {
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
			generation, _ := strconv.Atoi(swept)
			store := turnstore.Store{ID: id, Name: id[:1], Addr: addr}
			Register(stores, Registration{Store: store, Generation: int64(generation), SweptGeneration: int64(generation)}, now, timings)
		}
	}
	return now
}

// runTimeline runs Plan on a timeline with a column for each store, and checks the placement after each line. A line has a time
// in ms, and in each column what the store does until then:
//
//	'+'  it registers, and has completed its sweep
//	'~'  it registers, but has not completed its sweep
//	'.'  it does not register
//	'w'  it registers under another identity: its disk was lost (wiped)
//	'R'  it registers, and its retirement was accepted
//	'S'  it registers, and requests to stop
//
// The placement at that time follows after '|': the generation and the names in the old and the new list, with the suffix w for
// the other identity.
func runTimeline(t *testing.T, faultTolerance int, timeline string) {
	t.Helper()
	var lines [][]string
	for _, line := range strings.Split(strings.TrimSpace(timeline), "\n") {
		lines = append(lines, strings.Fields(line))
	}
	names := lines[0][1:]
	timings := DefaultTimings(3 * time.Second)
	in := Input{FaultTolerance: faultTolerance, Stores: map[string]StoreStatus{}, Retired: map[string]bool{}}
	for _, fields := range lines[1:] {
		until, err := strconv.Atoi(fields[0])
		if err != nil {
			t.Fatal(err)
		}
		bar := slices.Index(fields, "|")
		for ; in.Now <= time.Duration(until)*time.Millisecond; in.Now += planStep {
			for i, mark := range fields[1:bar] {
				applyTimelineMark(&in, names[i], mark)
			}
			planOnce(t, &in, timings)
		}
		if got, want := formatPlacement(in.Current), strings.Join(fields[bar+1:], " "); got != want {
			t.Fatalf("at %s ms: got %q, want %q", fields[0], got, want)
		}
	}
}

// applyTimelineMark updates the input by a store's mark in a timeline.
func applyTimelineMark(in *Input, name, mark string) {
	id := name
	if mark == "." {
		return
	}
	if mark == "w" {
		id += "w"
	}
	if mark == "R" {
		in.Retired[id] = true
	}
	status := in.Stores[id]
	if status.Store.ID == "" {
		status = StoreStatus{Store: turnstore.Store{ID: id, Name: name, Addr: name + ":1"}, FirstSeen: in.Now}
	}
	if mark == "S" {
		status.StopRequestedAt = in.Now
	}
	if status.ConfirmedAt = in.Now; mark != "~" && in.Current != nil {
		status.SweptGeneration = in.Current.Generation
	}
	in.Stores[id] = status
}

// planOnce calls Plan once, and checks that the generation does not decrease.
func planOnce(t *testing.T, in *Input, timings Timings) {
	t.Helper()
	next := Plan(*in, timings)
	if next == nil {
		return
	}
	if in.Current != nil && next.Generation < in.Current.Generation {
		t.Fatalf("at %v the generation decreases from %d to %d", in.Now, in.Current.Generation, next.Generation)
	}
	if in.Current == nil || next.Generation != in.Current.Generation {
		in.GenerationSince = in.Now
	}
	if in.Current = next; in.NominalStores == 0 {
		in.NominalStores = NominalStores(InitialStores(next, in.Retired), in.Retired)
	}
}

// formatPlacement formats a placement as in timelines.
func formatPlacement(p *turnstore.Placement) string {
	if p == nil {
		return "none"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s %s", p.Generation, formatStores(p.Old), formatStores(p.New)))
}

func formatStores(list []turnstore.Store) string {
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
