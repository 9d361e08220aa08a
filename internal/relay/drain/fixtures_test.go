package drain

import (
	"slices"
	"testing"
)

// Targets are stored in the journal and gossiped in the fleet; targets, phases and results are part of the admin API.
func TestNamesMatchFrozenTexts(t *testing.T) {
	for text, want := range map[string]Target{
		"relay": {Scope: Relay}, "partner:acme": {Scope: Partner, Name: "acme"}, "endpoint:a:1": {Scope: Endpoint, Name: "a:1"},
	} {
		if got, err := ParseTarget(text); err != nil || got != want || got.String() != text {
			t.Errorf("%q is read as %+v, %v and written as %q, want %+v", text, got, err, got, want)
		}
	}
	phases := []Phase{Serving, Draining, Drained, Stopping}
	if want := []Phase{"serving", "draining", "drained", "stopping"}; !slices.Equal(phases, want) {
		t.Errorf("phases %q, want %q", phases, want)
	}
	got := []Result{
		ResultDrained, ResultAlreadyDrained, ResultShortened, ResultUndrained, ResultNotDrained, ResultPartnerDrained,
		ResultFleetDrained, ResultStopping, ResultAlreadyStopping,
	}
	want := []Result{
		"drained", "already drained", "bound shortened", "undrained", "not drained", "still drained",
		"still drained for the fleet", "stopping", "already stopping",
	}
	if !slices.Equal(got, want) {
		t.Errorf("results %q, want %q", got, want)
	}
}
