package simulation

import (
	"fmt"
	"time"

	"larchrouter/choice"
)

func hostName(dest, i int) string { return fmt.Sprintf("d%d-%d", dest, i) }

const (
	oneWayDelay   = 20 * time.Millisecond // of a call, one way
	dialTimeout   = time.Second           // a connection that does not come up
	coldCallSlack = 3                     // calls by which the budget of a cold route may be passed for chance
)

// route is one endpoint in the world. Its limit is a bucket that refused calls empty further.
type route struct {
	Route
	dest              int
	tokens            float64
	refilledAt        time.Duration
	limitFactor       float64 // of the limit, at present
	outages           int     // troubles that have it down
	refuseConnections bool
	recoveredAt       time.Duration // it came back then, cold; below 0 if it never was down
	overloaded        bool
	recentCalls       []arrival    // calls since its return
	sawOutage         map[int]bool // relays that saw a call fail or be refused in the outage
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

// scheduleFault has a trouble come and go.
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

// capacity is the share of its limit that a route can handle: all of it, or less while it is cold.
func (w *world) capacity(x *route) float64 {
	rules := w.day.Settings.Rules
	if x.recoveredAt < 0 {
		return 1
	}
	return min(1, rules.ColdFrom+(1-rules.ColdFrom)*(w.now-x.recoveredAt).Seconds()/rules.Cold.Seconds())
}

// call carries a call to a route and its answer back.
func (r *relay) call(host string, c *call) {
	w := r.world
	x := w.routes[host]
	began := w.now
	life := r.incarnation
	back := func(after time.Duration, o choice.Outcome, wait time.Duration) {
		w.after(after, func() {
			if r.incarnation == life && r.up {
				r.callEnded(c, host, o, began, wait)
			}
		})
	}
	for _, s := range c.members {
		w.after(s.Timeout, func() {
			if r.incarnation == life && r.up && !c.done {
				r.callEnded(c, host, choice.Timeout, began, 0)
			}
		})
	}
	w.after(oneWayDelay, func() {
		switch {
		case x.outages > 0 && x.refuseConnections:
			back(oneWayDelay, choice.NoConnection, 0)
			return
		case x.outages > 0 || x.overloaded:
			back(dialTimeout-oneWayDelay, choice.NoConnection, 0)
			return
		}
		w.result.Calls++
		w.result.ByDest[x.dest].Calls++
		w.countColdCall(x, r.index)
		if !w.admit(x) {
			w.result.OverLimit++
			w.result.ByDest[x.dest].OverLimit++
			var wait time.Duration
			if w.random.Float64() < x.RetryAfterShare {
				wait = max(x.MinRetryAfter, time.Duration((1-x.tokens)/(x.Limit*x.limitFactor*w.capacity(x))*float64(time.Second)))
				w.result.RetryAfters++
			}
			back(oneWayDelay, choice.Refused, wait)
			return
		}
		took := x.ServiceTime/2 + w.exponential(x.ServiceTime/2)
		w.after(took, func() {
			for _, s := range c.members {
				w.served(s.ID)
			}
		})
		back(took+oneWayDelay, choice.Served, 0)
	})
}

// admit tells whether the limit has room. A call that is refused uses it up as well.
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

// countColdCall keeps the rule for a route that has come back cold: it falls over if more than a multiple of what it can
// handle comes within a span. The rule is broken if two thirds of that came from relays that had seen the outage.
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

// callEnded hands a relay the end of a call.
func (r *relay) callEnded(c *call, host string, o choice.Outcome, began, wait time.Duration) {
	if c.done {
		return
	}
	c.done = true
	w := r.world
	if x := w.routes[c.members[0].Host]; x.outages > 0 && o != choice.Served && o != choice.Cancelled {
		x.sawOutage[r.index] = true
	}
	var ends []choice.Event
	for _, s := range c.members {
		if r.calls[s.ID] == c {
			delete(r.calls, s.ID)
		}
		switch o {
		case choice.Served:
			delete(r.pending, s.ID)
		case choice.Timeout, choice.Cancelled:
			r.mayHaveRun(s.ID)
		}
		if host == "" {
			host = s.Host
		}
		ends = append(ends, choice.Result{ID: s.ID, Host: s.Host, Outcome: o, Took: w.now - began, Wait: wait, Done: o == choice.Served})
	}
	if wait > 0 {
		r.retryAfter[host] = max(r.retryAfter[host], w.now+wait)
	}
	r.step(ends...)
}
