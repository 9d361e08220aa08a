package orders

import (
	"testing"

	"larchrouter/internal/tier/chain"
)

// decideAndApply decides an order in the state of the entries and appends the resulting entries.
func decideAndApply(t *testing.T, entries *[]chain.Entry, order Order) Decision {
	t.Helper()
	decision, err := Decide(*entries, 1, order)
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range decision.Append {
		*entries = append(*entries, chain.Entry{Index: int64(len(*entries) + 1), Key: w.Key, Value: w.Value})
	}
	return decision
}

// TestFirstReportOfWindowIsKept checks that the platform can never receive two reports of a window with different counts.
func TestFirstReportOfWindowIsKept(t *testing.T) {
	var entries []chain.Entry
	for _, c := range []struct {
		window int64
		body   string
		kind   Kind
		want   string
	}{
		{100, "first", Accept, "first"},
		{100, "second", AlreadyApplied, "first"},
		{101, "next", Accept, "next"},
		{100, "third", AlreadyApplied, "first"},
		{100 + usageSlots, "later", Accept, "later"},
		{100, "fourth", Conflict, ""},
		{101, "again", AlreadyApplied, "next"},
	} {
		decision := decideAndApply(t, &entries, RecordUsage{Window: c.window, Body: []byte(c.body)})
		if decision.Kind != c.kind || string(decision.Body) != c.want {
			t.Errorf("window %d, %q: %s with %q; want %s with %q", c.window, c.body, decision.Kind, decision.Body, c.kind, c.want)
		}
	}
	state, err := ReadState(entries, 1)
	if err != nil {
		t.Fatal(err)
	}
	if reports := state.UsageReports(); len(reports) != 2 {
		t.Errorf("%d reports are kept, want 2: %+v", len(reports), reports)
	}
}

func TestRepeatedRecordDependsOnFirst(t *testing.T) {
	var entries []chain.Entry
	decideAndApply(t, &entries, RecordUsage{Window: 7, Body: []byte("x")})
	if d := decideAndApply(t, &entries, RecordUsage{Window: 7, Body: []byte("y")}); d.DependsOn != 1 {
		t.Errorf("the decision depends on entry %d, want 1, which may not be committed yet", d.DependsOn)
	}
}

func TestTokenBaseIsRecordedOnce(t *testing.T) {
	var entries []chain.Entry
	for i, base := range []int64{1 << 40, 2 << 40, 1} {
		decision := decideAndApply(t, &entries, RecordFencingTokenBase{Base: base})
		if want := map[bool]Kind{true: Accept, false: AlreadyApplied}[i == 0]; decision.Kind != want {
			t.Errorf("base %d: %s, want %s", base, decision.Kind, want)
		}
		state, err := ReadState(entries, 1)
		if err != nil {
			t.Fatal(err)
		}
		if got, ok := state.FencingTokenBase(); !ok || got != 1<<40 {
			t.Errorf("token base %d, recorded: %v", got, ok)
		}
	}
}
