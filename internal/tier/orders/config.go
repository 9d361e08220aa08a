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
func (o PutConfig) decide(s *State) Decision {
	d := Decision{DependsOn: s.configRests}
	current := s.Version()
	if o.Invalid != "" {
		if s.history.find(o.Digest) { // taken when the checks were others
			d.Kind, d.Reason = AlreadyApplied, "taken before"
			return d
		}
		d.Kind, d.Reason = Invalid, o.Invalid
		return d
	}
	if o.Version <= current {
		switch s.history.look(o.Version, o.IfMatch, o.Digest) {
		case takenSo:
			d.Kind, d.Reason = AlreadyApplied, "taken before"
			return d
		case takenOnOther:
			d.Kind = Unavailable
			d.Reason = fmt.Sprintf("this very configuration %d was taken, but not on version %d: read what is in place (now %d)",
				o.Version, o.IfMatch, current)
			return d
		case unknown:
			d.Kind = Unavailable
			d.Reason = fmt.Sprintf("version %d is older than what is known of orders, it may have been taken: "+
				"read what is in place (now %d), build on it", o.Version, current)
			return d
		}
	}
	switch {
	case o.IfMatch > current && o.Version > o.IfMatch: // another copy may come once that version is in place
		d.Kind = Unavailable
		d.Reason = fmt.Sprintf("version %d, on which it builds, is not in place, version %d is: "+
			"send it again once it is, or read and build on what is in place", o.IfMatch, current)
	case o.IfMatch != current:
		d.Kind = VersionMismatch
		d.Reason = fmt.Sprintf("version %d is in place, not %d: read it, build on it, and send with If-Match: %d", current, o.IfMatch, current)
	case o.Version <= current:
		d.Kind = Invalid
		d.Reason = fmt.Sprintf("config_version is %d: give a version above %d, the current one", o.Version, current)
	default:
		d.Kind, d.Reason, d.Append = Accept, "in force", o.writes(s, current)
	}
	return d
}

// writes are the record and then the configuration. Where only the record is committed it counts for nothing.
func (o PutConfig) writes(s *State, current int64) []Write {
	var w []Write
	if current > 0 && !s.history.linked() { // the first put since the format without records
		w = append(w, Write{Key: earlierKey, Value: rpc.Encode(s.history.earlier)})
	}
	w = append(w, s.history.add(Record{Version: o.Version, BaseVersion: o.IfMatch, Digest: o.Digest}))
	entry := feed.ConfigEntry{Version: o.Version, Body: o.Body, RecentDigests: [][]byte{o.Digest}}
	return append(w, Write{Key: feed.ConfigKey, Value: rpc.Encode(&entry)})
}

// ReadConfig asks for the configuration in place.
type ReadConfig struct{}

func (ReadConfig) decide(s *State) Decision {
	if s.Config == nil {
		return Decision{Kind: NotFound, DependsOn: s.configRests, Reason: "no configuration was taken yet: put the first with If-Match: 0"}
	}
	return Decision{Kind: Found, DependsOn: s.configRests, Body: s.Config.Body}
}
