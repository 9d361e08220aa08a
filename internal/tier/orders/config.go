package orders

import (
	"fmt"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
)

// PutConfig is the order to make a configuration the current one.
type PutConfig struct {
	IfMatch int64  // base version of the configuration, 0 for the first one
	Version int64  // 0 if the body can't be parsed
	Digest  []byte // Digest of Body
	Body    []byte
	Invalid string // why the configuration is invalid, empty if it is valid
}

// decide looks the order up in the applied history before it compares with the current version: an order that was
// applied, or may have been, is never rejected, whatever else is wrong with it.
func (o PutConfig) decide(state *State) Decision {
	if o.Invalid != "" {
		return o.decideInvalid(state)
	}
	if o.Version <= state.Version() {
		if decision := o.decideByHistory(state); decision.Kind != 0 {
			return decision
		}
	}
	return o.decideByCurrent(state)
}

// decideInvalid decides an order whose body fails validation. A node of another release with less strict validation may
// have applied it.
func (o PutConfig) decideInvalid(state *State) Decision {
	decision := Decision{Kind: Invalid, DependsOn: state.configDependsOn, Reason: o.Invalid}
	if state.history.containsDigest(o.Digest) {
		decision.Kind, decision.Reason = AlreadyApplied, "taken before"
	}
	return decision
}

// decideByHistory decides an order with a version up to the current one. The Kind is 0 if the order was certainly never
// applied.
func (o PutConfig) decideByHistory(state *State) Decision {
	decision := Decision{DependsOn: state.configDependsOn}
	current := state.Version()
	switch state.history.lookup(o.Version, o.IfMatch, o.Digest) {
	case appliedExactly:
		decision.Kind, decision.Reason = AlreadyApplied, "taken before"
	case appliedOnOtherBase:
		decision.Kind = Unavailable
		decision.Reason = fmt.Sprintf("this very configuration %d was taken, but not on version %d: read what is in place (now %d)",
			o.Version, o.IfMatch, current)
	case outcomeUnknown:
		decision.Kind = Unavailable
		decision.Reason = fmt.Sprintf("version %d is older than what is known of orders, it may have been taken: "+
			"read what is in place (now %d), build on it", o.Version, current)
	case neverApplied:
	}
	return decision
}

// decideByCurrent decides an order that has not been applied so far, by comparison with the current version.
func (o PutConfig) decideByCurrent(state *State) Decision {
	decision := Decision{DependsOn: state.configDependsOn}
	current := state.Version()
	switch {
	case o.IfMatch > current && o.Version > o.IfMatch: // a retry may be accepted once the base version is current
		decision.Kind = Unavailable
		decision.Reason = fmt.Sprintf("version %d, on which it builds, is not in place, version %d is: "+
			"send it again once it is, or read and build on what is in place", o.IfMatch, current)
	case o.IfMatch != current:
		decision.Kind = VersionMismatch
		decision.Reason = fmt.Sprintf("version %d is in place, not %d: read it, build on it, and send with If-Match: %d",
			current, o.IfMatch, current)
	case o.Version <= current:
		decision.Kind = Invalid
		decision.Reason = fmt.Sprintf("config_version is %d: give a version above %d, the current one", o.Version, current)
	default:
		decision.Kind, decision.Reason, decision.Append = Accept, "in force", o.writes(state, current)
	}
	return decision
}

// writes returns the entries of an accepted order: the legacy history if the current configuration has no record, then the
// record, then the configuration. If the record is committed without the configuration, it is unreachable and ignored; the
// reverse sequence could leave a configuration without a record.
func (o PutConfig) writes(state *State, current int64) []Write {
	var writes []Write
	if current > 0 && !state.history.hasCurrent() { // the first put after the legacy format
		writes = append(writes, Write{Key: legacyKey, Value: rpc.Encode(state.history.legacy)})
	}
	writes = append(writes, state.history.recordWrite(Record{Version: o.Version, BaseVersion: o.IfMatch, Digest: o.Digest}))
	entry := feed.ConfigEntry{Version: o.Version, Body: o.Body, RecentDigests: [][]byte{o.Digest}}
	return append(writes, Write{Key: feed.ConfigKey, Value: rpc.Encode(&entry)})
}

// ReadConfig is the order to read the current configuration.
type ReadConfig struct{}

func (ReadConfig) decide(state *State) Decision {
	if state.Config == nil {
		return Decision{Kind: NotFound, DependsOn: state.configDependsOn,
			Reason: "no configuration was taken yet: put the first with If-Match: 0"}
	}
	return Decision{Kind: Found, DependsOn: state.configDependsOn, Body: state.Config.Body}
}
