package turnstore

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestReplicasSpreadOverZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		n := rapid.IntRange(1, 12).Draw(t, "stores")
		replicas := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "replicas")
		var p Placement
		p.ReplicationFactor = replicas
		zonesOfStores := map[string]bool{}
		for i := range n {
			z := fmt.Sprint("z", rapid.IntRange(0, zones-1).Draw(t, "zone"))
			zonesOfStores[z] = true
			p.Old = append(p.Old, Store{ID: fmt.Sprint("i", i), Name: fmt.Sprint("s", i), Zone: z})
		}
		key := rapid.String().Draw(t, "key")
		got := p.ReplicaSets(key)[0]
		if len(got) != min(replicas, n) {
			t.Fatalf("%d replicas of %d on %d stores", len(got), replicas, n)
		}
		seen, in := map[string]bool{}, map[string]bool{}
		for _, s := range got {
			if seen[s.ID] {
				t.Fatalf("%s is selected twice", s.ID)
			}
			seen[s.ID], in[s.Zone] = true, true
		}
		if len(in) != min(len(zonesOfStores), len(got)) {
			t.Fatalf("%d replicas are in %d of %d zones", len(got), len(in), len(zonesOfStores))
		}
		one := rapid.IntRange(0, n-1).Draw(t, "another id at the same name")
		p.Old[one].ID = "other"
		for i, s := range p.ReplicaSets(key)[0] {
			if s.Name != got[i].Name {
				t.Fatal("a machine with a new disk is a replica of other programs")
			}
		}
	})
}
