package placement

import (
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

func TestStoresRequired(t *testing.T) {
	list := func(names string) (all []turnstore.Store) {
		for _, id := range strings.Fields(names) {
			all = append(all, turnstore.Store{ID: id})
		}
		return all
	}
	for _, test := range []struct {
		old, next, silent string
		losses, want      int
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
		placement := &turnstore.Placement{FaultTolerance: test.losses, Old: list(test.old), New: list(test.next)}
		var silent []UnresponsiveStore
		for _, id := range strings.Fields(test.silent) {
			silent = append(silent, UnresponsiveStore{ID: id, Elapsed: time.Minute})
		}
		if got := StoresRequired(placement, silent); got != test.want {
			t.Errorf("%+v: %d", test, got)
		}
	}
}

func TestFailedStores(t *testing.T) {
	timings := DefaultTimings(3 * time.Second)
	h := Observations{Unresponsive: []UnresponsiveStore{{"a", timings.FailureTimeout}, {"b", 2 * time.Second}, {"c", time.Minute}}}
	if got := h.FailedStores(timings); !slices.Equal(got, []UnresponsiveStore{{"c", time.Minute}, {"b", 2 * time.Second}}) {
		t.Errorf("%+v", got)
	}
	if len(h.Unresponsive) != 3 {
		t.Error("what was handed over is changed")
	}
}
