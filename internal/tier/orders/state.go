package orders

import (
	"strings"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/turnstore"
)

// Retirement is an order to empty a store that was taken.
type Retirement struct{ Name, ID string }

// State is what the head of the chain knows, as far as orders rest on it.
type State struct {
	FaultTolerance int
	Config         *feed.ConfigEntry    // nil for none
	Placement      *turnstore.Placement // nil for none
	Retirements    []Retirement

	history         history
	configDependsOn int64 // index of the last entry on which decisions about configurations rest
	storesDependsOn int64
}

// ReadState reads the state from the entries of the chain, which may hold several entries of a key: the last counts.
func ReadState(entries []chain.Entry, faultTolerance int) (*State, error) {
	s := &State{FaultTolerance: faultTolerance}
	last := map[string]chain.Entry{}
	for _, e := range entries {
		last[e.Key] = e
	}
	for key, e := range last {
		if err := s.readEntry(key, e); err != nil {
			return nil, errors.Wrapf(err, "entry %q at %d: the node that wrote it has another version of the program", key, e.Index)
		}
	}
	s.linkHistory()
	return s, nil
}

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
	if name, id, ok := ParseRetireKey(key); ok {
		s.storesDependsOn = max(s.storesDependsOn, e.Index)
		var r feed.RetireEntry
		err := rpc.Decode(e.Value, &r)
		if id != "" && id != r.ID {
			return errors.Newf("the key names store %s, its value %s", id, r.ID)
		}
		s.Retirements = append(s.Retirements, Retirement{Name: name, ID: r.ID})
		return err
	}
	return nil
}

// linkHistory joins what was read to a history.
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
		return // written with a record, or the first record since came to nothing
	}
	h.legacy = &LegacyHistory{Version: s.Config.Version, Digests: s.Config.RecentDigests,
		Complete: len(s.Config.RecentDigests) < legacyDigestLimit && pages == 0 && h.legacy == nil}
}

// Version in place, 0 for none.
func (s *State) Version() int64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version
}

// RetireKey is the key of the order to empty one store. It names the store's identity too: a new machine under an old
// name must not undo what was ordered of the one before it.
func RetireKey(name, id string) string { return feed.RetirePrefix + name + "/" + id }

// ParseRetireKey reads a key of RetireKey; id is empty in keys of the format before, which had the name alone.
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
