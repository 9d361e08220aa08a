package simulation

import (
	"time"

	"larchrouter/choice"
)

// call sends a call to a route and schedules its response.
func (r *relay) call(host string, c *call) {
	w := r.world
	route := w.routes[host]
	began := w.now
	incarnation := r.incarnation
	respond := func(after time.Duration, o choice.Outcome, wait time.Duration) {
		w.after(after, func() {
			if r.incarnation == incarnation && r.up {
				r.callEnded(c, host, o, began, wait)
			}
		})
	}
	for _, s := range c.members {
		w.after(s.Timeout, func() {
			if r.incarnation == incarnation && r.up && !c.done {
				r.callEnded(c, host, choice.Timeout, began, 0)
			}
		})
	}
	w.after(oneWayDelay, func() { r.arrive(route, c, respond) })
}

// arrive has a call arrive at its route, which responds after a delay with an outcome and a retry-after.
func (r *relay) arrive(route *route, c *call, respond func(after time.Duration, o choice.Outcome, wait time.Duration)) {
	w := r.world
	switch {
	case route.outages > 0 && route.refuseConnections:
		respond(oneWayDelay, choice.NoConnection, 0)
		return
	case route.outages > 0 || route.overloaded:
		respond(dialTimeout-oneWayDelay, choice.NoConnection, 0)
		return
	}
	w.result.Calls++
	w.result.ByDest[route.dest].Calls++
	w.countColdCall(route, r.index)
	if !w.admit(route) {
		w.result.OverLimit++
		w.result.ByDest[route.dest].OverLimit++
		var wait time.Duration
		if w.random.Float64() < route.RetryAfterShare {
			rate := route.Limit * route.limitFactor * w.capacity(route)
			wait = max(route.MinRetryAfter, time.Duration((1-route.tokens)/rate*float64(time.Second)))
			w.result.RetryAfters++
		}
		respond(oneWayDelay, choice.Refused, wait)
		return
	}
	took := route.ServiceTime/2 + w.exponential(route.ServiceTime/2)
	w.after(took, func() {
		for _, s := range c.members {
			w.served(s.ID)
		}
	})
	respond(took+oneWayDelay, choice.Served, 0)
}

// callEnded passes a call's outcome to the relay, unless the call is complete.
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
		ends = append(ends, choice.Result{ID: s.ID, Host: s.Host, Outcome: o, Took: w.now - began,
			Wait: wait, Done: o == choice.Served})
	}
	if wait > 0 {
		r.retryAfter[host] = max(r.retryAfter[host], w.now+wait)
	}
	r.step(ends...)
}
