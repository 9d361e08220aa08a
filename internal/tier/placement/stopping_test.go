package placement

import (
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// A store that stops while another one may be its successor leaves the placement first: no majority may need it afterwards.
func TestReplacedStoreLeavesBeforeItStops(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d
		1000  + + + . | 1 a,b,c
		1200  + + + + | 2 a,b,c,d
		9000  + + + + | 2 a,b,c,d
		9000  S + + + | 2 a,b,c,d
		9100  S ~ ~ ~ | 3 a,b,c,d b,c,d
		9400  S + + + | 3 b,c,d
		9900  . + + + | 3 b,c,d`)
}

// Several stores that stop at once leave in one change.
func TestReplacedStoresLeaveTogether(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d e f
		1000  + + + + . . | 1 a,b,c,d
		1300  + + + + + + | 2 a,b,c,d,e,f
		2000  S + S + ~ + | 3 a,b,c,d,e,f b,d,e,f
		2300  S + S + + + | 3 b,d,e,f`)
}

// A restart changes nothing, as no store is there that could be the successor.
func TestRestartedStoreStaysInPlacement(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		2000  S + + + | 1 a,b,c,d
		3000  . + + + | 1 a,b,c,d
		9000  + + + + | 1 a,b,c,d`)
}

// A store that left as it stopped is added again once it has started again, and not before.
func TestStoreThatLeftIsAddedAgainAfterItsStart(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d
		1000  + + + . | 1 a,b,c
		1300  + + + + | 2 a,b,c,d
		2300  S + + + | 3 b,c,d
		5000  . + + + | 3 b,c,d
		5300  + + + + | 4 a,b,c,d`)
}

// A new store takes the place of one that stops, also while a third one is suspect and lists are not extended.
func TestNewStoreTakesPlaceOfStoppingStore(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1900  + . + + . | 1 a,b,c,d
		2300  S . + + + | 1 a,b,c,d
		2700  S . + + ~ | 2 a,b,c,d a,c,d,e`)
	runTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1900  S + + + . | 1 a,b,c,d
		2000  S + + + ~ | 2 a,b,c,d b,c,d,e
		2300  S + + + + | 2 b,c,d,e`)
}

// A failed store is removed without waiting for RemovalTimeout only while another one may be its successor.
func TestFailedStoreIsRemovedEarlierWhereSuccessorMayBe(t *testing.T) {
	runTimeline(t, 1, `
		ms    a b c d e
		1000  + + + + . | 1 a,b,c,d
		1300  + + + + + | 2 a,b,c,d,e
		3000  + + + + + | 2 a,b,c,d,e
		5900  + . + + + | 2 a,b,c,d,e
		6300  + . + + + | 3 a,c,d,e`)
	runTimeline(t, 1, `
		ms    a b c d
		1000  + + + + | 1 a,b,c,d
		6500  + . + + | 1 a,b,c,d`)
}

// A store may stop, and stay in the placement, while no other one is missing, whatever the reason.
func TestStoreMayStopWhileOthersServe(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(h *headSequence)
		want    StopDecision
	}{
		{"all others register", func(*headSequence) {}, StopPlaced},
		{"another is late", func(h *headSequence) { h.run(5*time.Second, "a", "b", "c") }, StopDenied},
		{"another has not completed its sweep", func(h *headSequence) { h.input.Stores["d"] = unswept(h.input.Stores["d"]) }, StopDenied},
		{"another has just been permitted to stop", func(h *headSequence) { RequestStop(h.input, "d", h.timings) }, StopDenied},
		{"another was permitted and has started again", func(h *headSequence) {
			RequestStop(h.input, "d", h.timings)
			h.run(8*time.Second, "a", "b", "c", "d")
		}, StopPlaced},
		{"a new head has not heard the others", func(h *headSequence) {
			h.takeOver(Observations{})
			h.run(h.input.Now+2*planStep, "a")
		}, StopDenied},
		{"the head was paused", func(h *headSequence) { h.input.Now += 9 * time.Second; h.input.TookOverAt = h.input.Now }, StopDenied},
		{"another store may be its successor", func(h *headSequence) { h.input.NominalStores = 3 }, StopDenied},
		{"a change is in progress", func(h *headSequence) { h.input.Current = jointWithout(h.input.Current, "d") }, StopDenied},
		{"it is not in the placement", func(h *headSequence) { h.input.Current.Old = h.input.Current.Old[1:] }, StopUnplaced},
		{"there is no placement", func(h *headSequence) { h.input.Current = nil }, StopDenied},
		{"no loss is tolerated", func(h *headSequence) { h.input.FaultTolerance = 0 }, StopPlaced},
	} {
		t.Run(test.name, func(t *testing.T) {
			heads := newHeadSequence(1, "a", "b", "c", "d")
			heads.input.NominalStores = 4
			heads.run(4*time.Second, "a", "b", "c", "d")
			test.prepare(heads)
			if got := RequestStop(heads.input, "a", heads.timings); got != test.want {
				t.Errorf("the decision is %v, want %v", got, test.want)
			}
		})
	}
}

func unswept(status StoreStatus) StoreStatus {
	status.SweptGeneration = 0
	return status
}

// jointWithout returns a placement in which the change is in progress that removes a store.
func jointWithout(p *turnstore.Placement, id string) *turnstore.Placement {
	next := *p
	for _, store := range p.Old {
		if store.ID != id {
			next.New = append(next.New, store)
		}
	}
	return &next
}

// A store that has not registered with the head yet may not stop: the head would place it again.
func TestUnknownStoreMayNotStop(t *testing.T) {
	heads := newHeadSequence(1, "a", "b", "c")
	if got := RequestStop(heads.input, "e", heads.timings); got != StopDenied {
		t.Errorf("the decision is %v", got)
	}
	if len(heads.input.Stores) > 0 {
		t.Errorf("the request registers its store: %v", heads.input.Stores)
	}
}

// The number of stores of a deployment survives changes of its placement, and a retirement decreases it.
func TestNominalStores(t *testing.T) {
	p := &turnstore.Placement{Old: []turnstore.Store{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}}
	retired := map[string]bool{"d": true, "gone": true}
	initial := InitialStores(p, retired)
	if got := NominalStores(initial, retired); got != 3 {
		t.Errorf("four stores, one of them retiring, count as %d", got)
	}
	if got := InitialStores(jointWithout(p, "a"), nil); got != 3 {
		t.Errorf("a change to three stores counts as %d", got)
	}
	retired["c"] = true
	if got := NominalStores(initial, retired); got != 2 {
		t.Errorf("after one more retirement the stores count as %d", got)
	}
	if got := NominalStores(1, retired); got != 1 {
		t.Errorf("more retirements than stores leave %d", got)
	}
	if got := NominalStores(0, retired); got != 0 {
		t.Errorf("an unknown number counts as %d", got)
	}
}
