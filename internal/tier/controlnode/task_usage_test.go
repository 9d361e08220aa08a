package controlnode

import (
	"testing"

	"larchrouter/internal/tier/orders"
)

// A holder records also what an earlier one left out between two windows that it recorded.
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
		"one is left out":  {entries(72, 70), 71},
		"one is recorded":  {entries(72), 73},
	} {
		if got := firstUnrecorded(c.reports, 90); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// A slow platform must not make windows late that wait behind others which are late already.
func TestWindowsNotYetLateAreSentFirst(t *testing.T) {
	unsent := func(windows ...int64) map[int64][]byte {
		m := map[int64][]byte{}
		for _, window := range windows {
			m[window] = nil
		}
		return m
	}
	for name, c := range map[string]struct {
		unsent map[int64][]byte
		want   int64
	}{
		"late ones are there as well": {unsent(70, 71, 73, 72), 72},
		"all are late":                {unsent(71, 70), 70},
		"all are in time":             {unsent(75, 74), 74},
	} {
		if got := nextToSend(c.unsent, 72); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
