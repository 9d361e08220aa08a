package fleetlimit

import (
	"maps"
	"slices"
	"time"

	"larchrouter/internal/relay/quota"
)

// RouteView is a coordinator's state of a route, for operators.
type RouteView struct {
	Dest            int
	Route           string        // empty if this relay does not call the route itself
	State           string        // open, down or cold
	InState         time.Duration // time in that state
	Rate            float64       // calls a second of the whole fleet
	UsedRate        float64       // of them, smoothed
	InFlight        int           // calls whose outcome was not reported
	PendingRequests int           // relays that wait for grants of the destination
	PendingCalls    int           // calls that they wait for
	// Share of the rate that is granted here: 1, or less where this relay is isolated and grants to itself alone
	Share float64
}

var stateNames = [...]string{open: "open", down: "down", warmingUp: "cold"}

// RouteViews returns the routes that this relay coordinates and that are requested now, by destination.
func (l *Limiter) RouteViews() (all []RouteView) {
	for _, coord := range l.busy {
		calls := 0
		for _, pending := range coord.requests {
			calls += pending.calls
		}
		for _, id := range coord.order {
			p := coord.routes[id]
			all = append(all, RouteView{
				Dest:            coord.dest,
				Route:           l.requestFor(coord.dest).routeNames[id],
				State:           stateNames[p.state],
				InState:         l.now - p.stateSince,
				Rate:            p.allowed(l.now),
				UsedRate:        p.grantedRate,
				InFlight:        len(p.inFlight),
				PendingRequests: len(coord.requests),
				PendingCalls:    calls,
				Share:           p.share,
			})
		}
	}
	return all
}

// ShareView is this relay's share of a destination's limits, and what it may grant as a coordinator, for operators.
type ShareView struct {
	Dest            int
	Coordinator     int           // to which the share is pledged; quota.NoCoordinator for none
	ExpiresIn       time.Duration // until the pledge expires, unless it is renewed
	OwnShare        float64       // this relay's share of the limits
	GrantableShare  float64       // that may be granted here, as a coordinator
	PendingRequests int           // relays that wait for grants here
	ConfiguredLimit *quota.Limit  // nil if the limit is estimated
	// OvergrantBound is the bound on what all sides of a partition grant, as a multiple of the limit
	OvergrantBound float64
}

// ShareViews returns the destinations that this relay requested calls to lately, or coordinates.
func (l *Limiter) ShareViews() (all []ShareView) {
	for _, dest := range slices.Sorted(maps.Keys(l.requests)) {
		v := ShareView{Dest: dest, Coordinator: quota.NoCoordinator, OvergrantBound: OvergrantBound(l.remainingRelays())}
		v.OwnShare = float64(l.ownUnits()) / float64(quota.Share(l.totalWeight)) / float64(l.totalWeight)
		if limit, ok := l.settings.Limits[dest]; ok {
			v.ConfiguredLimit, v.OvergrantBound = &limit, 1
		}
		if own := l.ownShares[dest]; own != nil {
			if v.Coordinator = own.holder.Coordinator(l.now); v.Coordinator != quota.NoCoordinator {
				v.ExpiresIn = own.holder.FreeAt() - l.now
			}
		}
		if coord := l.coordinated[dest]; coord != nil {
			v.GrantableShare, _ = l.grantableShare(coord)
			v.PendingRequests = len(coord.requests)
		}
		all = append(all, v)
	}
	return all
}
