package versionaudit

import (
	"slices"
	"testing"
)

// Messages between relays of different builds carry the numbers, the admin API the names.
func TestFrozenKindsAndStates(t *testing.T) {
	frozen := map[int]string{1: "partners", 2: "fleet", 3: "rules", 4: "build"}
	if len(Kinds) != len(frozen) || len(kindNames) != len(frozen) {
		t.Errorf("%d kinds with %d names, %d are in this test", len(Kinds), len(kindNames), len(frozen))
	}
	for _, k := range Kinds {
		if k.String() == "" || k.String() != frozen[int(k)] {
			t.Errorf("kind %d is %q, want %q", k, k, frozen[int(k)])
		}
	}
	if got, want := []State{Current, Behind, Unknown}, []State{"current", "behind", "unknown"}; !slices.Equal(got, want) {
		t.Errorf("states %q, want %q", got, want)
	}
}
