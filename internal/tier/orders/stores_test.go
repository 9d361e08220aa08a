package orders

import (
	"strings"
	"testing"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/turnstore"
)

// parseStores parses a list such as "a b c'", where c' is a store named c with a different identity than c.
func parseStores(list string) (all []turnstore.Store) {
	for _, name := range strings.Fields(list) {
		all = append(all, turnstore.Store{ID: "id-" + name, Name: strings.TrimRight(name, "'")})
	}
	return all
}

// placementWrite returns the entry of a placement.
func placementWrite(old, next string) Write {
	p := turnstore.Placement{Generation: 1, ReplicationFactor: 3, FaultTolerance: 1, Old: parseStores(old), New: parseStores(next)}
	return Write{Key: feed.PlacementKey, Value: rpc.Encode(&p)}
}

// retirementWrite returns the entry of an order to retire a store, optionally with the legacy key, which has only the name.
func retirementWrite(name string, withLegacyKey bool) Write {
	s := parseStores(name)[0]
	key := RetireKey(s.Name, s.ID)
	if withLegacyKey {
		key = feed.RetirePrefix + s.Name
	}
	return Write{Key: key, Value: rpc.Encode(&feed.RetireEntry{ID: s.ID})}
}

func TestRetireStoreAndStorePhaseDecisions(t *testing.T) {
	type writes []Write
	for _, test := range []struct {
		name   string
		state  writes
		store  string
		retire Kind
		phase  Kind
	}{
		{"no placement", nil, "a", NotFound, NotFound},
		{"unknown", writes{placementWrite("a b c d", "")}, "x", NotFound, NotFound},
		{"enough remain", writes{placementWrite("a b c d", "")}, "a", Accept, Serving},
		{"too few remain", writes{placementWrite("a b c", "")}, "a", Conflict, Serving},
		{"ordered", writes{placementWrite("a b c d", ""), retirementWrite("a", false)}, "a", InProgress, Serving},
		{"ordered, legacy key", writes{placementWrite("a b c d", ""), retirementWrite("a", true)}, "a", InProgress, Serving},
		{"other store ordered, too few remain", writes{placementWrite("a b c d", ""), retirementWrite("a", false)}, "b", Conflict, Serving},
		{"other store ordered, enough remain", writes{placementWrite("a b c d e", ""), retirementWrite("a", false)}, "b", Accept, Serving},
		{"retiring", writes{retirementWrite("a", false), placementWrite("a b c d", "b c d")}, "a", InProgress, Serving},
		{"retired", writes{retirementWrite("a", false), placementWrite("b c d", "")}, "a", Retired, Complete},
		{"retired, legacy key", writes{retirementWrite("a", true), placementWrite("b c d", "")}, "a", Retired, Complete},
		{"retired, another store is added",
			writes{retirementWrite("a", false), placementWrite("b c d", "b c d e")}, "a", Retired, Complete},
		{"retired, new machine of the name",
			writes{retirementWrite("a", false), placementWrite("a' b c d", "")}, "a", Accept, Serving},
		{"retired, new machine of the name, legacy key",
			writes{retirementWrite("a", true), placementWrite("a' b c d", "")}, "a", Accept, Serving},
		{"retired, new machine of the name is added",
			writes{retirementWrite("a", false), placementWrite("b c d", "b c d a'")}, "a", Accept, Serving},
		{"retired, new machine of the name, too few remain",
			writes{retirementWrite("a", false), placementWrite("a' b c", "")}, "a", Conflict, Serving},
		{"both retired",
			writes{retirementWrite("a", false), retirementWrite("a'", false), placementWrite("b c d", "")}, "a", Retired, Complete},
		{"ordered, disk lost, machine is back",
			writes{retirementWrite("a", false), placementWrite("a b c d", "a' b c d")}, "a", Accept, Serving},
		{"disk lost while retiring, recorded",
			writes{retirementWrite("a", false), retirementWrite("a'", false), placementWrite("a b c d", "b c d")},
			"a", InProgress, Serving},
		{"disk lost, machine is back", writes{placementWrite("a b c d", "a' b c d")}, "a", Accept, Serving},
		{"leaving without an order", writes{placementWrite("a b c d", "b c d")}, "a", Accept, Serving},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &entryLog{}
			l.append(test.state...)
			d := l.decide(t, RetireStore{Name: test.store})
			if d.Kind != test.retire {
				t.Errorf("retire: %v (%s), want %v", d.Kind, d.Reason, test.retire)
			}
			p := l.decide(t, StorePhase{Name: test.store})
			if p.Kind != test.phase {
				t.Errorf("phase: %v, want %v", p.Kind, test.phase)
			}
			if last := int64(len(l.entries)); d.DependsOn != last || p.DependsOn != last {
				t.Errorf("the decisions depend on entries %d and %d, the last entry is %d", d.DependsOn, p.DependsOn, last)
			}
			if d.Kind == Accept {
				before := len(l.stateOf(t).Retirements)
				l.append(d.Append...)
				l.compact()
				if again := l.decide(t, RetireStore{Name: test.store}); again.Kind != InProgress {
					t.Errorf("the same order again: %v", again.Kind)
				}
				if after := len(l.stateOf(t).Retirements); after != before+1 {
					t.Errorf("%d retirements before, %d after", before, after)
				}
			}
		})
	}
}
