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
func play(t *testing.T, losses int, timeline string) {
	t.Helper()
	var lines [][]string
	for _, l := range strings.Split(strings.TrimSpace(timeline), "\n") {
		lines = append(lines, strings.Fields(l))
	}
	names := lines[0][1:]
	timings := DefaultTimings(3 * time.Second)
	s := Input{FaultTolerance: losses, Stores: map[string]StoreStatus{}, Retired: map[string]bool{}}
	tell := func(list []turnstore.Store) string {
		var out []string
		for _, one := range list {
			if one.ID == one.Name {
				out = append(out, one.Name)
			} else {
				out = append(out, one.Name+"w")
			}
		}
		slices.Sort(out)
		return strings.Join(out, ",")
	}
	for _, l := range lines[1:] {
		until, err := strconv.Atoi(l[0])
		if err != nil {
			t.Fatal(err)
		}
		bar := slices.Index(l, "|")
		for ; s.Now <= time.Duration(until)*time.Millisecond; s.Now += 100 * time.Millisecond {
			for i, mark := range l[1:bar] {
				id := names[i]
				if mark == "." {
					continue
				}
				if mark == "w" {
					id += "w"
				}
				if mark == "R" {
					s.Retired[id] = true
				}
				r := s.Stores[id]
				if r.Store.ID == "" {
					r = StoreStatus{Store: turnstore.Store{ID: id, Name: names[i], Addr: names[i] + ":1"}, FirstSeen: s.Now}
				}
				if r.ConfirmedAt = s.Now; mark != "~" && s.Current != nil {
					r.SweptGeneration = s.Current.Generation
				}
				s.Stores[id] = r
			}
			if next := Plan(s, timings); next != nil {
				if s.Current != nil && next.Generation < s.Current.Generation {
					t.Fatalf("at %v the gen falls from %d to %d", s.Now, s.Current.Generation, next.Generation)
				}
				if s.Current == nil || next.Generation != s.Current.Generation {
					s.GenerationSince = s.Now
				}
				s.Current = next
			}
		}
		got := "none"
		if s.Current != nil {
			got = strings.TrimSpace(fmt.Sprintf("%d %s %s", s.Current.Generation, tell(s.Current.Old), tell(s.Current.New)))
		}
		if want := strings.Join(l[bar+1:], " "); got != want {
			t.Fatalf("at %s ms: %q, wanted %q", l[0], got, want)
		}
	}
}

func TestStoresArePlacedOnceTheyHaveCome(t *testing.T) {
	play(t, 1, `
		ms    a b c d
		500   + + + . | none
		900   + + + + | 1 a,b,c,d
		2000  + + + + | 1 a,b,c,d`)
}

func TestTooFewStoresAreWaitedForPatiently(t *testing.T) {
	play(t, 1, `
		ms    a b c
		3000  + + . | none
		4300  + + . | 1 a,b
		4800  + + ~ | 2 a,b a,b,c
		5200  + + + | 2 a,b,c`)
}

func TestOneStoreAloneIsNeverEnoughForALoss(t *testing.T) {
	play(t, 1, `
		ms     a b
		30000  + . | none`)
}

func TestALostDiskTakesItsOwnPlaceOnceItHasSwept(t *testing.T) {
	play(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		3000  + + . + | 1 a,b,c,d
		3500  + + w + | 2 a,b,cw,d`)
}

func TestADiskLostInAQuickRestartMovesOnce(t *testing.T) {
	play(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		1100  + + w + | 2 a,b,c,d a,b,cw,d
		1500  + + w + | 2 a,b,cw,d
		8000  + + w + | 2 a,b,cw,d`)
}

func TestAShortAbsenceMovesNothing(t *testing.T) {
	play(t, 1, `
		ms     a b c d
		1000   + + + + | 1 a,b,c,d
		6500   + + . + | 1 a,b,c,d
		20000  + + + + | 1 a,b,c,d`)
}

func TestALongAbsenceTakesAStoreOffAndItComesBack(t *testing.T) {
	play(t, 1, `
		ms     a b c d
		1000   + + + + | 1 a,b,c,d
		8000   + + . + | 2 a,b,d
		9000   + + + + | 3 a,b,c,d`)
}

func TestNoStoreIsTakenOffWhereAllAreNeeded(t *testing.T) {
	play(t, 1, `
		ms     a b c
		1000   + + + | 1 a,b,c
		60000  + + . | 1 a,b,c`)
}

func TestEmptyingWaitsForTheSweepOfAll(t *testing.T) {
	play(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		1500  + ~ R ~ | 2 a,b,c,d a,b,d
		2500  + + R ~ | 2 a,b,c,d a,b,d
		3000  + + R + | 2 a,b,d
		9000  + + R + | 2 a,b,d`)
}

func TestANewcomerTakesThePlaceOfASilentOne(t *testing.T) {
	play(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		3000  + . + + . | 1 a,b,c,d
		3200  + . + + ~ | 2 a,b,c,d a,c,d,e
		4000  + . + + + | 2 a,c,d,e`)
}

func TestASuccessorIsNotListedBesideTheOneThatIsGone(t *testing.T) {
	play(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		2000  + . + + . | 1 a,b,c,d
		2400  + . + + + | 1 a,b,c,d
		2700  + . + + + | 2 a,c,d,e`)
}

func TestAStoreThatWentAsAnotherCameIsTakenOffSoon(t *testing.T) {
	play(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1100  + . + + + | 2 a,b,c,d a,b,c,d,e
		2400  + . + + + | 2 a,b,c,d,e
		2700  + . + + + | 3 a,c,d,e`)
}

func TestEmptyingWaitsForTheSuccessorOfAStoreThatMayBeGone(t *testing.T) {
	play(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1700  + + . + . | 1 a,b,c,d
		2000  + + . R . | 1 a,b,c,d
		2600  + + . R + | 2 a,b,c,d a,b,e
		2700  + + . R + | 2 a,b,e`)
	play(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		1700  + + . + | 1 a,b,c,d
		3900  + + . R | 1 a,b,c,d
		4200  + + . R | 2 a,b,c`)
}

func TestAChangeDoesNotWaitForAStoreThatIsSilentOrSlow(t *testing.T) {
	play(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1500  + + ~ + ~ | 2 a,b,c,d a,b,c,d,e
		1800  + + . + + | 2 a,b,c,d a,b,c,d,e
		2800  + + . + + | 2 a,b,c,d,e`)
	play(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1500  + + ~ + + | 2 a,b,c,d a,b,c,d,e
		3000  + + ~ + + | 2 a,b,c,d,e`)
	play(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1500  + ~ ~ + + | 2 a,b,c,d a,b,c,d,e
		9000  + ~ ~ + + | 2 a,b,c,d a,b,c,d,e`)
}

func TestANewHeadWaitsBeforeItTakesOthersForSilent(t *testing.T) {
	t.Parallel()
	s := Input{Now: 100 * time.Second, TookOverAt: 99 * time.Second, FaultTolerance: 1, Stores: map[string]StoreStatus{}, Retired: map[string]bool{},
		Current: &turnstore.Placement{Generation: 4, Old: []turnstore.Store{{ID: "a", Name: "a"}, {ID: "b", Name: "b"}, {ID: "c", Name: "c"}, {ID: "d", Name: "d"}}}}
	if next := Plan(s, DefaultTimings(3*time.Second)); next != nil {
		t.Fatalf("it moves at once: %+v", next)
	}
	s.Now = 106 * time.Second
	if next := Plan(s, DefaultTimings(3*time.Second)); next == nil || len(next.New) != 3 {
		t.Fatalf("%+v: all are silent, and as many stay as all copies need", next)
	}
}

func TestWhatMayBeEmptied(t *testing.T) {
	t.Parallel()
	stores := func(n int) (p turnstore.Placement) {
		for i := range n {
			p.Old = append(p.Old, turnstore.Store{ID: fmt.Sprint(i)})
		}
		return p
	}
	for _, one := range []struct {
		stores, losses, retired int
		may                     bool
	}{{4, 1, 0, true}, {3, 1, 0, false}, {5, 1, 1, true}, {4, 1, 1, false}, {2, 0, 0, true}, {1, 0, 0, false}, {9, 2, 0, true}} {
		p := stores(one.stores)
		gone := map[string]bool{}
		for i := range one.retired {
			gone[fmt.Sprint(i)] = true
		}
		if got := CanRetire(&p, gone, one.losses); got != one.may {
			t.Errorf("%+v: %v", one, got)
		}
	}
}
