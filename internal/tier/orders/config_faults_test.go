package orders

import (
	"bytes"
	"strings"
	"testing"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
)

// planted is a fault in the decisions, or in how they are carried out; each must be found by the checkers.
type configFault struct {
	decide           func(d Decision, s *State, o PutConfig) Decision // after the real decision
	noConfirm        bool                                             // answers rest on the commit alone
	trustRecord      bool                                             // without the configuration that it is written for
	ignoreDependency bool                                             // answers rest on entries that are not committed
}

func (f configFault) put(r *replica, o PutConfig) (Decision, error) {
	d, err := Decide(r.entries, 1, o)
	if f.trustRecord && d.Kind == Accept && hasRecord(r, o) {
		d.Kind, d.Append = AlreadyApplied, nil
	}
	if f.decide == nil || err != nil {
		return d, err
	}
	s, err := ReadState(r.entries, 1)
	if err != nil {
		return d, err
	}
	return f.decide(d, s, o), nil
}

// recorded tells whether an order has a record, whatever that is worth.
func hasRecord(r *replica, o PutConfig) bool {
	for _, e := range r.entries {
		var p Page
		if !strings.HasPrefix(e.Key, keyPrefix) || e.Key == legacyKey || rpc.Decode(e.Value, &p) != nil {
			continue
		}
		for _, one := range p.Records {
			if one.Version == o.Version && bytes.Equal(one.Digest, o.Digest) {
				return true
			}
		}
	}
	return false
}

func rejection(s *State, d Decision) Decision {
	return Decision{Kind: VersionMismatch, DependsOn: d.DependsOn, Reason: "planted"}
}

func TestConfigSimulationFindsPlantedFaults(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]configFault{
		"refused after 64 others": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if d.Kind == AlreadyApplied && o.Version < s.Version()-128 {
				return rejection(s, d)
			}
			return d
		}},
		"refused where nothing is known any more": {decide: func(d Decision, s *State, _ PutConfig) Decision {
			if d.Kind == Unavailable && strings.Contains(d.Reason, "older than what is known") {
				return rejection(s, d)
			}
			return d
		}},
		"412 before the digest is looked at": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if o.IfMatch != s.Version() {
				return rejection(s, d)
			}
			return d
		}},
		"400 before the digest is looked at": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if d.Kind == AlreadyApplied && o.Version <= s.Version() {
				return Decision{Kind: Invalid, DependsOn: d.DependsOn}
			}
			return d
		}},
		"what it was built on is forgotten": {decide: func(d Decision, _ *State, _ PutConfig) Decision {
			if d.Kind == Unavailable && strings.Contains(d.Reason, "this very configuration") {
				d.Kind = AlreadyApplied
			}
			return d
		}},
		"the same on another version is refused": {decide: func(d Decision, s *State, _ PutConfig) Decision {
			if d.Kind == Unavailable && strings.Contains(d.Reason, "this very configuration") {
				return rejection(s, d)
			}
			return d
		}},
		"what builds on a version to come is refused": {decide: func(d Decision, s *State, _ PutConfig) Decision {
			if d.Kind == Unavailable && strings.Contains(d.Reason, "on which it builds") {
				return rejection(s, d)
			}
			return d
		}},
		"the number alone is looked at": {decide: func(d Decision, s *State, o PutConfig) Decision {
			s.history.linkDownTo(0)
			for _, r := range s.history.applied {
				if r.Version == o.Version && o.Invalid == "" {
					d.Kind = AlreadyApplied
				}
			}
			return d
		}},
		"a record counts by itself": {trustRecord: true},
		"the configuration before its record": {decide: func(d Decision, _ *State, _ PutConfig) Decision {
			if n := len(d.Append); n > 1 {
				d.Append = append([]Write{d.Append[n-1]}, d.Append[:n-1]...)
			}
			return d
		}},
		"no record": {decide: func(d Decision, _ *State, _ PutConfig) Decision {
			if n := len(d.Append); n > 0 {
				d.Append = d.Append[n-1:]
			}
			return d
		}},
		"the format before is forgotten": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if s.history.inLegacy(o.Digest) && d.Kind == AlreadyApplied {
				return rejection(s, d)
			}
			return d
		}},
		"the base is not looked at": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if d.Kind == VersionMismatch && o.Version > s.Version() {
				return Decision{Kind: Accept, DependsOn: d.DependsOn, Append: o.appendedWrites(s, s.Version())}
			}
			return d
		}},
		"versions may fall": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if d.Kind == Invalid && o.Invalid == "" {
				entry := feed.ConfigEntry{Version: o.Version, Body: o.Body, RecentDigests: [][]byte{o.Digest}}
				return Decision{Kind: Accept, DependsOn: d.DependsOn, Append: []Write{{Key: feed.ConfigKey, Value: rpc.Encode(&entry)}}}
			}
			return d
		}},
		"answers without a confirmation":           {noConfirm: true},
		"answers that rest on what is uncommitted": {ignoreDependency: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(300) {
				c := newConfigSimulation(seed+1, f)
				if c.run(); c.failure != "" {
					t.Logf("seed %d: %s", c.seed, c.failure)
					return
				}
			}
			t.Fatal("not found in 300 courses")
		})
	}
}
