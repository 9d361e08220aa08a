package fleetlimit

import (
	"maps"
	"slices"
	"time"

	"larchrouter/internal/relay/quota"
)

// RouteView is what a steward holds of a route, for people to read.
type RouteView struct {
	Dest  int
	Route string        // empty if this relay does not call it itself
	State string        // open, down or cold
	For   time.Duration // it is in that state
	Rate  float64       // calls a second for the whole fleet
	Used  float64       // of them, smoothed
	Out   int           // calls whose end has not been told
	Asks  int           // relays that wait for leave at its destination
	Calls int           // that they wait for
	Share float64       // of the rate that is granted here: 1, or less where this relay hears nobody and grants to itself alone
}

var stateNames = [...]string{open: "open", down: "down", cold: "cold"}

// Views are the routes whose steward this relay is, by destination.
func (f *Fleet) Views() (all []RouteView) {
	for _, k := range f.busy {
		calls := 0
		for _, a := range k.asks {
			calls += a.calls
		}
		for _, id := range k.order {
			p := k.routes[id]
			all = append(all, RouteView{Dest: k.dest, Route: f.errand(k.dest).names[id], State: stateNames[p.state], For: f.now - p.since,
				Rate: p.allowed(f.now), Used: p.use, Out: len(p.out), Asks: len(k.asks), Calls: calls, Share: p.share})
		}
	}
	return all
}

// PartView is this relay's part of a destination's limits, and what it may grant itself, for people.
type PartView struct {
	Dest    int
	Steward int           // to whom the part is pledged; share.Nobody for nobody
	For     time.Duration // until the pledge lapses, unless it is renewed
	Own     float64       // this relay's part of the limits
	Granted float64       // the part that may be granted here, as a steward
	Asks    int           // relays that wait for leave here
	Told    *quota.Limit  // nil where the limit is found out
	Over    float64       // all sides of a cut together grant at most so many times the limit
}

// PartViews are the destinations that this relay has wanted calls to of late, or is steward of.
func (f *Fleet) PartViews() (all []PartView) {
	for _, dest := range slices.Sorted(maps.Keys(f.errands)) {
		v := PartView{Dest: dest, Steward: quota.Nobody, Own: float64(f.own()) / float64(quota.Part(f.parts)) / float64(f.parts), Over: Over(f.relays())}
		if l, ok := f.set.Limits[dest]; ok {
			v.Told, v.Over = &l, 1
		}
		if r := f.rights[dest]; r != nil {
			if v.Steward = r.holder.To(f.now); v.Steward != quota.Nobody {
				v.For = r.holder.FreeAt() - f.now
			}
		}
		if k := f.desks[dest]; k != nil {
			v.Granted, _ = f.part(k)
			v.Asks = len(k.asks)
		}
		all = append(all, v)
	}
	return all
}
