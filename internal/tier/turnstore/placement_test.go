package turnstore

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestCopiesStandInAsManyZonesAsThereAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		n := rapid.IntRange(1, 12).Draw(t, "stores")
		copies := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "copies")
		var p Placement
		p.ReplicationFactor = copies
		there := map[string]bool{}
		for i := range n {
			z := fmt.Sprint("z", rapid.IntRange(0, zones-1).Draw(t, "zone"))
			there[z] = true
			p.Old = append(p.Old, Store{ID: fmt.Sprint("i", i), Name: fmt.Sprint("s", i), Zone: z})
		}
		key := rapid.String().Draw(t, "key")
		got := p.ReplicaSets(key)[0]
		if len(got) != min(copies, n) {
			t.Fatalf("%d copies of %d on %d stores", len(got), copies, n)
		}
		seen, in := map[string]bool{}, map[string]bool{}
		for _, s := range got {
			if seen[s.ID] {
				t.Fatalf("%s holds two copies", s.ID)
			}
			seen[s.ID], in[s.Zone] = true, true
		}
		if len(in) != min(len(there), len(got)) {
			t.Fatalf("%d copies stand in %d of %d zones", len(got), len(in), len(there))
		}
		one := rapid.IntRange(0, n-1).Draw(t, "another id at the same name")
		p.Old[one].ID = "other"
		for i, s := range p.ReplicaSets(key)[0] {
			if s.Name != got[i].Name {
				t.Fatal("a machine that comes back under another id has another part")
			}
		}
	})
}
