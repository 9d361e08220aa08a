package controlnode

import (
	"testing"

	"larchrouter/internal/tier/orders"
)

// A holder must also record a window that an earlier holder skipped between two windows that it recorded.
func TestFirstUnrecordedIncludesGaps(t *testing.T) {
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
		"one is skipped":   {entries(72, 70), 71},
		"one is recorded":  {entries(72), 73},
	} {
		if got := firstUnrecorded(c.reports, 90); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// On a slow platform, windows that are already late must not delay others until those are late as well.
func TestWindowsNotYetLateAreSentFirst(t *testing.T) {
	unacknowledged := func(windows ...int64) map[int64][]byte {
		m := map[int64][]byte{}
		for _, window := range windows {
			m[window] = nil
		}
		return m
	}
	for name, c := range map[string]struct {
		unacknowledged map[int64][]byte
		want           int64
	}{
		"late ones are there as well": {unacknowledged(70, 71, 73, 72), 72},
		"all are late":                {unacknowledged(71, 70), 70},
		"all are in time":             {unacknowledged(75, 74), 74},
	} {
		if got := nextToSend(c.unacknowledged, 72); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
