package orders

import (
	"fmt"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
)

// PutConfig orders a configuration to be put in force.
type PutConfig struct {
	IfMatch int64 // the version on which it builds, 0 for the first
	Version int64
	Digest  []byte
	Body    []byte
	Invalid string // why the configuration can never be taken, empty where it can
}

// decide holds an order first against what was taken, then against what is in place: what was taken is acknowledged
// again, or left without a clear answer, whatever else is to be said of it.
func (o PutConfig) decide(state *State) Decision {
	decision := Decision{DependsOn: state.configDependsOn}
	current := state.Version()
	if o.Invalid != "" {
		if state.history.containsDigest(o.Digest) { // taken when the checks were others
			decision.Kind, decision.Reason = AlreadyApplied, "taken before"
			return decision
		}
		decision.Kind, decision.Reason = Invalid, o.Invalid
		return decision
	}
	if o.Version <= current {
		switch state.history.lookup(o.Version, o.IfMatch, o.Digest) {
		case appliedExactly:
			decision.Kind, decision.Reason = AlreadyApplied, "taken before"
			return decision
		case appliedOnOtherBase:
			decision.Kind = Unavailable
			decision.Reason = fmt.Sprintf("this very configuration %d was taken, but not on version %d: read what is in place (now %d)",
				o.Version, o.IfMatch, current)
			return decision
		case outcomeUnknown:
			decision.Kind = Unavailable
			decision.Reason = fmt.Sprintf("version %d is older than what is known of orders, it may have been taken: "+
				"read what is in place (now %d), build on it", o.Version, current)
			return decision
		}
	}
	switch {
	case o.IfMatch > current && o.Version > o.IfMatch: // another copy may come once that version is in place
		decision.Kind = Unavailable
		decision.Reason = fmt.Sprintf("version %d, on which it builds, is not in place, version %d is: "+
			"send it again once it is, or read and build on what is in place", o.IfMatch, current)
	case o.IfMatch != current:
		decision.Kind = VersionMismatch
		decision.Reason = fmt.Sprintf("version %d is in place, not %d: read it, build on it, and send with If-Match: %d", current, o.IfMatch, current)
	case o.Version <= current:
		decision.Kind = Invalid
		decision.Reason = fmt.Sprintf("config_version is %d: give a version above %d, the current one", o.Version, current)
	default:
		decision.Kind, decision.Reason, decision.Append = Accept, "in force", o.appendedWrites(state, current)
	}
	return decision
}

// appendedWrites are the record and then the configuration. Where only the record is committed it counts for nothing.
func (o PutConfig) appendedWrites(state *State, current int64) []Write {
	var writes []Write
	if current > 0 && !state.history.hasCurrent() { // the first put since the format without records
		writes = append(writes, Write{Key: legacyKey, Value: rpc.Encode(state.history.legacy)})
	}
	writes = append(writes, state.history.recordWrite(Record{Version: o.Version, BaseVersion: o.IfMatch, Digest: o.Digest}))
	entry := feed.ConfigEntry{Version: o.Version, Body: o.Body, RecentDigests: [][]byte{o.Digest}}
	return append(writes, Write{Key: feed.ConfigKey, Value: rpc.Encode(&entry)})
}

// ReadConfig asks for the configuration in place.
type ReadConfig struct{}

func (ReadConfig) decide(state *State) Decision {
	if state.Config == nil {
		return Decision{Kind: NotFound, DependsOn: state.configDependsOn, Reason: "no configuration was taken yet: put the first with If-Match: 0"}
	}
	return Decision{Kind: Found, DependsOn: state.configDependsOn, Body: state.Config.Body}
}
