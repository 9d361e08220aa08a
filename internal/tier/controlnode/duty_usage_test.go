package controlnode

import (
	"testing"

	"larchrouter/internal/tier/orders"
)

// A holder records also what an earlier one left out between two windows that it recorded.
func TestFirstUnrecorded(t *testing.T) {
	entries := func(windows ...int64) (reports []orders.UsageEntry) {
		for _, window := range windows {
			reports = append(reports, orders.UsageEntry{Window: window})
		}
		return reports
	}
	for name, c := range map[string]struct {
		reports []orders.UsageEntry
		want    int64
	}{
		"none is recorded": {nil, 90},
		"in order":         {entries(70, 71, 72), 71},
		"one is left out":  {entries(72, 70), 71},
		"one is recorded":  {entries(72), 73},
	} {
		if got := firstUnrecorded(c.reports, 90); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
