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

func TestInitialPlacementAfterInitialWait(t *testing.T) {
	playTimeline(t, 1, `
		ms    a b c d
		500   + + + . | none
		900   + + + + | 1 a,b,c,d
		2000  + + + + | 1 a,b,c,d`)
}

func TestInitialPlacementWaitsLongerForMissingStores(t *testing.T) {
	playTimeline(t, 1, `
		ms    a b c
		3000  + + . | none
		4300  + + . | 1 a,b
		4800  + + ~ | 2 a,b a,b,c
		5200  + + + | 2 a,b,c`)
}

func TestNoPlacementWithoutFaultTolerance(t *testing.T) {
	playTimeline(t, 1, `
		ms     a b
		30000  + . | none`)
}

func TestWipedStoreReplacesItsPredecessor(t *testing.T) {
	playTimeline(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		3000  + + . + | 1 a,b,c,d
		3500  + + w + | 2 a,b,cw,d`)
}

func TestDiskLostInQuickRestartCausesOneChange(t *testing.T) {
	playTimeline(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		1100  + + w + | 2 a,b,c,d a,b,cw,d
		1500  + + w + | 2 a,b,cw,d
		8000  + + w + | 2 a,b,cw,d`)
}

func TestShortAbsenceCausesNoChange(t *testing.T) {
	playTimeline(t, 1, `
		ms     a b c d
		1000   + + + + | 1 a,b,c,d
		6500   + + . + | 1 a,b,c,d
		20000  + + + + | 1 a,b,c,d`)
}

func TestLongAbsenceRemovesStoreUntilItReturns(t *testing.T) {
	playTimeline(t, 1, `
		ms     a b c d
		1000   + + + + | 1 a,b,c,d
		8000   + + . + | 2 a,b,d
		9000   + + + + | 3 a,b,c,d`)
}

func TestStoreIsKeptWhenAllAreNeeded(t *testing.T) {
	playTimeline(t, 1, `
		ms     a b c
		1000   + + + | 1 a,b,c
		60000  + + . | 1 a,b,c`)
}

func TestRetirementWaitsForSweeps(t *testing.T) {
	playTimeline(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		1500  + ~ R ~ | 2 a,b,c,d a,b,d
		2500  + + R ~ | 2 a,b,c,d a,b,d
		3000  + + R + | 2 a,b,d
		9000  + + R + | 2 a,b,d`)
}

func TestCandidateReplacesFailedStore(t *testing.T) {
	playTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		3000  + . + + . | 1 a,b,c,d
		3200  + . + + ~ | 2 a,b,c,d a,c,d,e
		4000  + . + + + | 2 a,c,d,e`)
}

func TestSuccessorIsNotAddedNextToSuspectStore(t *testing.T) {
	playTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		2000  + . + + . | 1 a,b,c,d
		2400  + . + + + | 1 a,b,c,d
		2700  + . + + + | 2 a,c,d,e`)
}

func TestFailedStoreWithSuccessorIsRemovedEarly(t *testing.T) {
	playTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1100  + . + + + | 2 a,b,c,d a,b,c,d,e
		2400  + . + + + | 2 a,b,c,d,e
		2700  + . + + + | 3 a,c,d,e`)
}

func TestRetirementWaitsForSuspectStore(t *testing.T) {
	playTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1700  + + . + . | 1 a,b,c,d
		2000  + + . R . | 1 a,b,c,d
		2600  + + . R + | 2 a,b,c,d a,b,e
		2700  + + . R + | 2 a,b,e`)
	playTimeline(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		1700  + + . + | 1 a,b,c,d
		3900  + + . R | 1 a,b,c,d
		4200  + + . R | 2 a,b,c`)
}

func TestChangeDoesNotWaitForUnresponsiveOrSlowStore(t *testing.T) {
	playTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1500  + + ~ + ~ | 2 a,b,c,d a,b,c,d,e
		1800  + + . + + | 2 a,b,c,d a,b,c,d,e
		2800  + + . + + | 2 a,b,c,d,e`)
	playTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1500  + + ~ + + | 2 a,b,c,d a,b,c,d,e
		3000  + + ~ + + | 2 a,b,c,d,e`)
	playTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1500  + ~ ~ + + | 2 a,b,c,d a,b,c,d,e
		9000  + ~ ~ + + | 2 a,b,c,d a,b,c,d,e`)
}

func TestNewHeadWaitsBeforeItFailsStores(t *testing.T) {
	t.Parallel()
	in := Input{Now: 100 * time.Second, TookOverAt: 99 * time.Second, FaultTolerance: 1, Stores: map[string]StoreStatus{}, Retired: map[string]bool{},
		Current: &turnstore.Placement{Generation: 4, Old: []turnstore.Store{{ID: "a", Name: "a"}, {ID: "b", Name: "b"}, {ID: "c", Name: "c"}, {ID: "d", Name: "d"}}}}
	if next := Plan(in, DefaultTimings(3*time.Second)); next != nil {
		t.Fatalf("it moves at once: %+v", next)
	}
	in.Now = 106 * time.Second
	if next := Plan(in, DefaultTimings(3*time.Second)); next == nil || len(next.New) != 3 {
		t.Fatalf("%+v: all are silent, and as many stay as all copies need", next)
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
