package orders

import (
	"strings"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/turnstore"
)

// Retirement is an accepted order to retire a store: the store's name and the identity that it had then.
type Retirement struct{ Name, ID string }

// State is the part of the control state on which decisions depend.
type State struct {
	FaultTolerance int
	Config         *feed.ConfigEntry    // current configuration, nil if there is none
	Placement      *turnstore.Placement // nil if there is none
	Retirements    []Retirement         // all accepted ones, in no particular order

	tasks           taskState
	history         history
	configDependsOn int64 // index of the last entry on which decisions about configurations depend
	storesDependsOn int64 // index of the last entry on which decisions about stores depend
}

// ReadState decodes the state from the chain's entries. Of several entries with the same key it uses the last one.
func ReadState(entries []chain.Entry, faultTolerance int) (*State, error) {
	s := &State{FaultTolerance: faultTolerance}
	last := map[string]chain.Entry{}
	for _, e := range entries {
		last[e.Key] = e
	}
	for key, e := range last {
		if err := s.readEntry(key, e); err != nil {
			return nil, wrapDecodeError(err, e)
		}
	}
	s.linkHistory()
	return s, nil
}

func wrapDecodeError(err error, e chain.Entry) error {
	return errors.Wrapf(err, "entry %q at %d: the node that wrote it has another version of the program", e.Key, e.Index)
}

// readEntry decodes an entry into the state. Pages of the history stay encoded until a decision needs them.
func (s *State) readEntry(key string, e chain.Entry) error {
	switch {
	case key == feed.ConfigKey:
		s.configDependsOn = max(s.configDependsOn, e.Index)
		s.Config = new(feed.ConfigEntry)
		return rpc.Decode(e.Value, s.Config)
	case key == legacyKey:
		s.configDependsOn = max(s.configDependsOn, e.Index)
		s.history.legacy = new(LegacyHistory)
		return rpc.Decode(e.Value, s.history.legacy)
	case strings.HasPrefix(key, keyPrefix):
		s.configDependsOn = max(s.configDependsOn, e.Index)
		s.history.unreadPages = append(s.history.unreadPages, e)
		return nil
	case key == feed.PlacementKey:
		s.storesDependsOn = max(s.storesDependsOn, e.Index)
		s.Placement = new(turnstore.Placement)
		return rpc.Decode(e.Value, s.Placement)
	}
	if ok, err := s.readTaskEntry(key, e); ok {
		return err
	}
	if name, id, ok := ParseRetireKey(key); ok {
		s.storesDependsOn = max(s.storesDependsOn, e.Index)
		return s.readRetirement(name, id, e.Value)
	}
	return nil
}

func (s *State) readRetirement(name, id string, value []byte) error {
	var r feed.RetireEntry
	err := rpc.Decode(value, &r)
	if id != "" && id != r.ID {
		return errors.Newf("the key names store %s, its value %s", id, r.ID)
	}
	s.Retirements = append(s.Retirements, Retirement{Name: name, ID: r.ID})
	return err
}

// linkHistory links the history to the current configuration. A current configuration without a record was written by a
// node that uses the legacy format; the digests in its entry are the legacy history then.
func (s *State) linkHistory() {
	h := &s.history
	pages := len(h.unreadPages)
	if s.Config == nil {
		h.linkCurrent(0, nil)
		return
	}
	var digest []byte
	if n := len(s.Config.RecentDigests); n > 0 {
		digest = s.Config.RecentDigests[n-1]
	}
	h.linkCurrent(s.Config.Version, digest)
	if h.hasCurrent() || h.legacy != nil && h.legacy.Version == s.Config.Version {
		return // it has a record, or the put that wrote the first record was not committed
	}
	h.legacy = &LegacyHistory{Version: s.Config.Version, Digests: s.Config.RecentDigests,
		Complete: len(s.Config.RecentDigests) < legacyDigestLimit && pages == 0 && h.legacy == nil}
}

// Version returns the version of the current configuration, 0 if there is none.
func (s *State) Version() int64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version
}

// RetireKey returns the key of the order to retire a store. The key includes the store's identity, so that the order for a
// new machine does not overwrite the order for an earlier machine of the same name.
func RetireKey(name, id string) string { return feed.RetirePrefix + name + "/" + id }

// ParseRetireKey parses a key made by RetireKey. The id is empty for keys of the legacy format, which have only the name.
func ParseRetireKey(key string) (name, id string, ok bool) {
	rest, ok := strings.CutPrefix(key, feed.RetirePrefix)
	if !ok {
		return "", "", false
	}
	if i := strings.LastIndexByte(rest, '/'); i >= 0 {
		return rest[:i], rest[i+1:], true
	}
	return rest, "", true
}
