package simulation

import (
	"fmt"
	"time"
)

func hostName(dest, i int) string { return fmt.Sprintf("d%d-%d", dest, i) }

const (
	oneWayDelay   = 20 * time.Millisecond // of a call, one way
	dialTimeout   = time.Second           // of a connection
	coldCallSlack = 3                     // calls above the limit of a cold route that are random variation
)

// route is the state of an endpoint. Its limit is a token bucket, from which rejected calls take tokens too.
type route struct {
	Route
	dest              int
	tokens            float64
	refilledAt        time.Duration
	limitFactor       float64 // of the limit, at present; product of the faults
	outages           int     // number of faults that have it down
	refuseConnections bool
	recoveredAt       time.Duration // end of the last outage; below 0 if there was none
	overloaded        bool
	recentCalls       []arrival    // in the last Fall since recoveredAt
	sawOutage         map[int]bool // relays with a failed call in the outage
}

type arrival struct {
	at    time.Duration
	relay int
}

func (w *world) makeRoutes() {
	for dest, d := range w.day.Dests {
		for i, x := range d.Routes {
			w.routes[hostName(dest, i)] = &route{Route: x, dest: dest, tokens: x.Burst, limitFactor: 1, recoveredAt: -1}
		}
	}
}

// scheduleFault schedules the beginning and the end of a fault.
func (w *world) scheduleFault(t Fault) {
	each := func(do func(x *route)) {
		for _, dest := range t.Dests {
			for i := range w.day.Dests[dest].Routes {
				do(w.routes[hostName(dest, i)])
			}
		}
	}
	w.at(t.From, func() {
		each(func(x *route) {
			if t.Down {
				x.outages, x.refuseConnections, x.sawOutage = x.outages+1, t.RefuseConnections, map[int]bool{}
			}
			if t.LimitFactor > 0 {
				x.limitFactor *= t.LimitFactor
			}
		})
		for i := range t.Kill {
			w.relays[(i*7+1)%w.size].stop()
		}
	})
	w.at(t.To, func() {
		each(func(x *route) {
			if t.Down {
				if x.outages--; x.outages == 0 {
					x.recoveredAt, x.recentCalls = w.now, nil
				}
			}
			if t.LimitFactor > 0 {
				x.limitFactor /= t.LimitFactor
			}
		})
		for _, r := range w.relays[:w.size] {
			if !r.up {
				r.start()
			}
		}
	})
}

// capacity returns the share of its limit that a route can serve: less than 1 in its cold start.
func (w *world) capacity(x *route) float64 {
	rules := w.day.Settings.Rules
	if x.recoveredAt < 0 {
		return 1
	}
	return min(1, rules.ColdFrom+(1-rules.ColdFrom)*(w.now-x.recoveredAt).Seconds()/rules.Cold.Seconds())
}

// admit takes a token and reports whether there was one. A rejected call takes one too, down to -Debt.
func (w *world) admit(x *route) bool {
	x.tokens = min(x.Burst, x.tokens+x.Limit*x.limitFactor*w.capacity(x)*(w.now-x.refilledAt).Seconds())
	x.refilledAt = w.now
	if x.tokens >= 1 {
		x.tokens--
		return true
	}
	x.tokens = max(-x.Debt, x.tokens-1)
	return false
}

// countColdCall applies the rule of cold starts: a route fails if it gets more than OverloadFactor times its capacity within
// Fall. That is a violation if two thirds of the calls came from relays that had observed the outage.
func (w *world) countColdCall(x *route, relay int) {
	rules := w.day.Settings.Rules
	if x.recoveredAt < 0 || w.now-x.recoveredAt > rules.Cold+rules.Fall || x.overloaded {
		return
	}
	x.recentCalls = append(x.recentCalls, arrival{w.now, relay})
	for len(x.recentCalls) > 0 && w.now-x.recentCalls[0].at > rules.Fall {
		x.recentCalls = x.recentCalls[1:]
	}
	if float64(len(x.recentCalls)) > rules.OverloadFactor*w.capacity(x)*x.Limit*rules.Fall.Seconds()+coldCallSlack {
		x.overloaded = true
		w.result.ColdOverloads++
		saw := 0
		for _, a := range x.recentCalls {
			if x.sawOutage[a.relay] {
				saw++
			}
		}
		if 3*saw >= 2*len(x.recentCalls) {
			w.result.ColdViolations++
		}
	}
}
