package placement

import (
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

func TestInitialPlacementAfterInitialWait(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d
		500   + + + . | none
		900   + + + + | 1 a,b,c,d
		2000  + + + + | 1 a,b,c,d`)
}

func TestInitialPlacementWaitsLongerForMissingStores(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c
		3000  + + . | none
		4300  + + . | 1 a,b
		4800  + + ~ | 2 a,b a,b,c
		5200  + + + | 2 a,b,c`)
}

func TestNoPlacementWithoutFaultTolerance(t *testing.T) {
	runTimeline(t, 1, `
		ms     a b
		30000  + . | none`)
}

func TestWipedStoreReplacesItsPredecessor(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		3000  + + . + | 1 a,b,c,d
		3500  + + w + | 2 a,b,cw,d`)
}

func TestDiskLostInQuickRestartCausesOneChange(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		1100  + + w + | 2 a,b,c,d a,b,cw,d
		1500  + + w + | 2 a,b,cw,d
		8000  + + w + | 2 a,b,cw,d`)
}

func TestShortAbsenceCausesNoChange(t *testing.T) {
	runTimeline(t, 1, `
		ms     a b c d
		1000   + + + + | 1 a,b,c,d
		6500   + + . + | 1 a,b,c,d
		20000  + + + + | 1 a,b,c,d`)
}

func TestLongAbsenceRemovesStoreUntilItReturns(t *testing.T) {
	runTimeline(t, 1, `
		ms     a b c d
		1000   + + + + | 1 a,b,c,d
		8000   + + . + | 2 a,b,d
		9000   + + + + | 3 a,b,c,d`)
}

func TestStoreIsKeptWhenAllAreNeeded(t *testing.T) {
	runTimeline(t, 1, `
		ms     a b c
		1000   + + + | 1 a,b,c
		60000  + + . | 1 a,b,c`)
}

func TestRetirementWaitsForSweeps(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		1500  + ~ R ~ | 2 a,b,c,d a,b,d
		2500  + + R ~ | 2 a,b,c,d a,b,d
		3000  + + R + | 2 a,b,d
		9000  + + R + | 2 a,b,d`)
}

func TestCandidateReplacesFailedStore(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		3000  + . + + . | 1 a,b,c,d
		3200  + . + + ~ | 2 a,b,c,d a,c,d,e
		4000  + . + + + | 2 a,c,d,e`)
}

func TestSuccessorIsNotAddedNextToSuspectStore(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		2000  + . + + . | 1 a,b,c,d
		2400  + . + + + | 1 a,b,c,d
		2700  + . + + + | 2 a,c,d,e`)
}

func TestFailedStoreWithSuccessorIsRemovedEarly(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1100  + . + + + | 2 a,b,c,d a,b,c,d,e
		2400  + . + + + | 2 a,b,c,d,e
		2700  + . + + + | 3 a,c,d,e`)
}

func TestRetirementWaitsForSuspectStore(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1700  + + . + . | 1 a,b,c,d
		2000  + + . R . | 1 a,b,c,d
		2600  + + . R + | 2 a,b,c,d a,b,e
		2700  + + . R + | 2 a,b,e`)
	runTimeline(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		1700  + + . + | 1 a,b,c,d
		3900  + + . R | 1 a,b,c,d
		4200  + + . R | 2 a,b,c`)
}

func TestChangeDoesNotWaitForUnresponsiveOrSlowStore(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1500  + + ~ + ~ | 2 a,b,c,d a,b,c,d,e
		1800  + + . + + | 2 a,b,c,d a,b,c,d,e
		2800  + + . + + | 2 a,b,c,d,e`)
	runTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1500  + + ~ + + | 2 a,b,c,d a,b,c,d,e
		3000  + + ~ + + | 2 a,b,c,d,e`)
	runTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1500  + ~ ~ + + | 2 a,b,c,d a,b,c,d,e
		9000  + ~ ~ + + | 2 a,b,c,d a,b,c,d,e`)
}

func TestNewHeadWaitsBeforeItFailsStores(t *testing.T) {
	t.Parallel()
	stores := []turnstore.Store{{ID: "a", Name: "a"}, {ID: "b", Name: "b"}, {ID: "c", Name: "c"}, {ID: "d", Name: "d"}}
	in := Input{Now: 100 * time.Second, TookOverAt: 99 * time.Second, FaultTolerance: 1, Stores: map[string]StoreStatus{},
		Retired: map[string]bool{}, Current: &turnstore.Placement{Generation: 4, Old: stores}}
	if next := Plan(in, DefaultTimings(3*time.Second)); next != nil {
		t.Fatalf("a new head removes stores immediately: %+v", next)
	}
	in.Now = 106 * time.Second
	if next := Plan(in, DefaultTimings(3*time.Second)); next == nil || len(next.New) != 3 {
		t.Fatalf("got %+v, want a change to three stores: all have failed, but three replicas are required", next)
	}
}
