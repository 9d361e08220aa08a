package orders

import (
	"bytes"
	"strings"
	"testing"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
)

// configBug is a bug that is injected into the decisions or into the caller. The simulation must detect each.
type configBug struct {
	decide                 func(d Decision, s *State, o PutConfig) Decision // modifies the correct decision
	skipConfirmation       bool                                             // replies don't wait for confirmation of the epoch
	trustUncommittedRecord bool                                             // a record is valid without its configuration
	ignoreDependency       bool                                             // replies don't wait for the commit of DependsOn
}

func (b configBug) decidePut(r *replica, o PutConfig) (Decision, error) {
	d, err := Decide(r.entries, 1, o)
	if b.trustUncommittedRecord && d.Kind == Accept && hasRecord(r, o) {
		d.Kind, d.Append = AlreadyApplied, nil
	}
	if b.decide == nil || err != nil {
		return d, err
	}
	s, err := ReadState(r.entries, 1)
	if err != nil {
		return d, err
	}
	return b.decide(d, s, o), nil
}

// hasRecord reports whether there is a record of an order, reachable or not.
func hasRecord(r *replica, o PutConfig) bool {
	for _, e := range r.entries {
		var p Page
		if !strings.HasPrefix(e.Key, keyPrefix) || e.Key == legacyKey || rpc.Decode(e.Value, &p) != nil {
			continue
		}
		for _, record := range p.Records {
			if record.Version == o.Version && bytes.Equal(record.Digest, o.Digest) {
				return true
			}
		}
	}
	return false
}

func reject(s *State, d Decision) Decision {
	return Decision{Kind: VersionMismatch, DependsOn: d.DependsOn, Reason: "planted"}
}

func TestConfigSimulationDetectsInjectedBugs(t *testing.T) {
	t.Parallel()
	for name, bug := range map[string]configBug{
		"rejected after 64 others": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if d.Kind == AlreadyApplied && o.Version < s.Version()-128 { // versions rise by about 2 on average
				return reject(s, d)
			}
			return d
		}},
		"rejected if older than the history": {decide: func(d Decision, s *State, _ PutConfig) Decision {
			if d.Kind == Unavailable && strings.Contains(d.Reason, "older than what is known") {
				return reject(s, d)
			}
			return d
		}},
		"version mismatch before the digest is compared": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if o.IfMatch != s.Version() {
				return reject(s, d)
			}
			return d
		}},
		"invalid before the digest is compared": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if d.Kind == AlreadyApplied && o.Version <= s.Version() {
				return Decision{Kind: Invalid, DependsOn: d.DependsOn}
			}
			return d
		}},
		"base version ignored in the history": {decide: func(d Decision, _ *State, _ PutConfig) Decision {
			if d.Kind == Unavailable && strings.Contains(d.Reason, "this very configuration") {
				d.Kind = AlreadyApplied
			}
			return d
		}},
		"same configuration on another base version rejected": {decide: func(d Decision, s *State, _ PutConfig) Decision {
			if d.Kind == Unavailable && strings.Contains(d.Reason, "this very configuration") {
				return reject(s, d)
			}
			return d
		}},
		"base version above the current one rejected": {decide: func(d Decision, s *State, _ PutConfig) Decision {
			if d.Kind == Unavailable && strings.Contains(d.Reason, "on which it builds") {
				return reject(s, d)
			}
			return d
		}},
		"only the version is compared": {decide: func(d Decision, s *State, o PutConfig) Decision {
			s.history.linkDownTo(0)
			for _, r := range s.history.applied {
				if r.Version == o.Version && o.Invalid == "" {
					d.Kind = AlreadyApplied
				}
			}
			return d
		}},
		"record is valid without its configuration": {trustUncommittedRecord: true},
		"configuration written before its record": {decide: func(d Decision, _ *State, _ PutConfig) Decision {
			if n := len(d.Append); n > 1 {
				d.Append = append([]Write{d.Append[n-1]}, d.Append[:n-1]...)
			}
			return d
		}},
		"no record written": {decide: func(d Decision, _ *State, _ PutConfig) Decision {
			if n := len(d.Append); n > 0 {
				d.Append = d.Append[n-1:]
			}
			return d
		}},
		"legacy history ignored": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if s.history.inLegacy(o.Digest) && d.Kind == AlreadyApplied {
				return reject(s, d)
			}
			return d
		}},
		"base version ignored": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if d.Kind == VersionMismatch && o.Version > s.Version() {
				return Decision{Kind: Accept, DependsOn: d.DependsOn, Append: o.writes(s, s.Version())}
			}
			return d
		}},
		"versions may decrease": {decide: func(d Decision, s *State, o PutConfig) Decision {
			if d.Kind == Invalid && o.Invalid == "" {
				entry := feed.ConfigEntry{Version: o.Version, Body: o.Body, RecentDigests: [][]byte{o.Digest}}
				return Decision{Kind: Accept, DependsOn: d.DependsOn, Append: []Write{{Key: feed.ConfigKey, Value: rpc.Encode(&entry)}}}
			}
			return d
		}},
		"replies without confirmation of the epoch": {skipConfirmation: true},
		"replies before the commit of DependsOn":    {ignoreDependency: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(300) {
				c := newConfigSimulation(seed+1, bug)
				if c.run(); c.failure != "" {
					t.Logf("seed %d: %s", c.seed, c.failure)
					return
				}
			}
			t.Fatal("not detected by 300 simulations")
		})
	}
}
