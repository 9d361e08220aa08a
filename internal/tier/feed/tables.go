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

	// StoreCountKey has the number of stores of the deployment. Core nodes of versions that do not know it ignore it.
	StoreCountKey = "store-count"
)

// FilterForFollowers returns the entries that followers use. All others are for core nodes only.
func FilterForFollowers(entries []chain.Entry) []chain.Entry {
	var kept []chain.Entry
	for _, e := range entries {
		if e.Key == ConfigKey || e.Key == PlacementKey {
			kept = append(kept, e)
		}
	}
	return kept
}

// Tables are the control state that a front or store uses. They are immutable and replaced as a unit. Fields that are nil
// were not received yet.
type Tables struct {
	Index     int64 // every entry up to it, or a newer one of its key, is applied
	Config    *routing.Config
	Placement *turnstore.Placement
	Hosts     *discovery.List

	// Every change that was acknowledged before ConfirmedAt is in the tables. It is the time at which the last poll that
	// proved this was sent.
	ConfirmedAt time.Time
}

// TablesProvider gives the other packages of a process the current tables, and notifies them of changes.
type TablesProvider interface {
	Tables() *Tables          // never nil
	Changed() <-chan struct{} // closed at the next change of the tables' index, hosts, configuration or placement
}
