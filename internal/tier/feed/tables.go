// Package feed is the change feed: relays follow the numbered entries of the committed control state from an index on,
// starting from a snapshot, and swap immutable tables whole.
package feed

import (
	"time"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/turnstore"
)

// Keys of the control state.
const (
	ConfigKey    = "config"
	PlacementKey = "placement"
)

// FilterForFollowers are those of some entries that followers have a use for; the others are for core nodes alone.
func FilterForFollowers(entries []chain.Entry) []chain.Entry {
	var kept []chain.Entry
	for _, e := range entries {
		if e.Key == ConfigKey || e.Key == PlacementKey {
			kept = append(kept, e)
		}
	}
	return kept
}

// Tables is what a relay acts on. It is immutable and swapped whole; what is nil has not come yet.
type Tables struct {
	Index       int64
	Config      *routing.Config
	Placement   *turnstore.Placement
	Hosts       *discovery.List
	ConfirmedAt time.Time // all that was acknowledged before it is here: when the poll was sent that showed so last
}

// Source is what the rest of a process knows of the feed.
type Source interface {
	Tables() *Tables          // never nil
	Changed() <-chan struct{} // closed with the next change of Index or Hosts
}
