package grants

import "time"

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
