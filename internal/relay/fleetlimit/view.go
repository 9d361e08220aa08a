package fleetlimit

import (
	"maps"
	"slices"
	"time"

	"larchrouter/internal/relay/quota"
)

// RouteView is what a steward holds of a route, for people to read.
type RouteView struct {
	Dest            int
	Route           string        // empty if this relay does not call it itself
	State           string        // open, down or cold
	InState         time.Duration // it is in that state
	Rate            float64       // calls a second for the whole fleet
	UsedRate        float64       // of them, smoothed
	InFlight        int           // calls whose end has not been told
	PendingRequests int           // relays that wait for leave at its destination
	PendingCalls    int           // that they wait for
	Share           float64       // of the rate that is granted here: 1, or less where this relay hears nobody and grants to itself alone
}

var stateNames = [...]string{open: "open", down: "down", warmingUp: "cold"}

// RouteViews are the routes whose steward this relay is, by destination.
func (f *Limiter) RouteViews() (all []RouteView) {
	for _, k := range f.busy {
		calls := 0
		for _, a := range k.requests {
			calls += a.calls
		}
		for _, id := range k.order {
			p := k.routes[id]
			all = append(all, RouteView{Dest: k.dest, Route: f.requestFor(k.dest).routeNames[id], State: stateNames[p.state], InState: f.now - p.stateSince,
				Rate: p.allowed(f.now), UsedRate: p.grantedRate, InFlight: len(p.inFlight), PendingRequests: len(k.requests), PendingCalls: calls, Share: p.share})
		}
	}
	return all
}

// ShareView is this relay's part of a destination's limits, and what it may grant itself, for people.
type ShareView struct {
	Dest            int
	Coordinator     int           // to whom the part is pledged; share.Nobody for nobody
	ExpiresIn       time.Duration // until the pledge lapses, unless it is renewed
	OwnShare        float64       // this relay's part of the limits
	GrantableShare  float64       // the part that may be granted here, as a steward
	PendingRequests int           // relays that wait for leave here
	ConfiguredLimit *quota.Limit  // nil where the limit is found out
	OvergrantBound  float64       // all sides of a cut together grant at most so many times the limit
}

// ShareViews are the destinations that this relay has wanted calls to of late, or is steward of.
func (f *Limiter) ShareViews() (all []ShareView) {
	for _, dest := range slices.Sorted(maps.Keys(f.requests)) {
		v := ShareView{Dest: dest, Coordinator: quota.NoCoordinator, OwnShare: float64(f.ownUnits()) / float64(quota.Share(f.totalWeight)) / float64(f.totalWeight), OvergrantBound: OvergrantBound(f.remainingRelays())}
		if l, ok := f.settings.Limits[dest]; ok {
			v.ConfiguredLimit, v.OvergrantBound = &l, 1
		}
		if r := f.ownShares[dest]; r != nil {
			if v.Coordinator = r.holder.Coordinator(f.now); v.Coordinator != quota.NoCoordinator {
				v.ExpiresIn = r.holder.FreeAt() - f.now
			}
		}
		if k := f.coordinated[dest]; k != nil {
			v.GrantableShare, _ = f.grantableShare(k)
			v.PendingRequests = len(k.requests)
		}
		all = append(all, v)
	}
	return all
}
