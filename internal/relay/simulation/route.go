package simulation

import (
	"fmt"
	"time"

	"larchrouter/choice"
)

func hostName(dest, i int) string { return fmt.Sprintf("d%d-%d", dest, i) }

const (
	wayThere = 20 * time.Millisecond // of a call, one way
	dialFor  = time.Second           // a connection that does not come up
	slack    = 3                     // calls by which the budget of a cold route may be passed for chance
)

// route is one endpoint in the world. Its limit is a bucket that refused calls empty further.
type route struct {
	Route
	dest   int
	tokens float64
	at     time.Duration
	share  float64 // of the limit, at present
	down   int     // troubles that have it down
	shut   bool
	back   time.Duration // it came back then, cold; below 0 if it never was down
	fell   bool
	came   []arrival    // calls since its return
	saw    map[int]bool // relays that saw a call fail or be refused in the outage
}

type arrival struct {
	at    time.Duration
	relay int
}

func (w *world) makeRoutes() {
	for dest, d := range w.day.Dests {
		for i, x := range d.Routes {
			w.routes[hostName(dest, i)] = &route{Route: x, dest: dest, tokens: x.Burst, share: 1, back: -1}
		}
	}
}

// plan has a trouble come and go.
func (w *world) plan(t Trouble) {
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
				x.down, x.shut, x.saw = x.down+1, t.Shut, map[int]bool{}
			}
			if t.Limit > 0 {
				x.share *= t.Limit
			}
		})
		for i := range t.Kill {
			w.relays[(i*7+1)%w.size].stop()
		}
	})
	w.at(t.To, func() {
		each(func(x *route) {
			if t.Down {
				if x.down--; x.down == 0 {
					x.back, x.came = w.now, nil
				}
			}
			if t.Limit > 0 {
				x.share /= t.Limit
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
	if x.back < 0 {
		return 1
	}
	return min(1, rules.ColdFrom+(1-rules.ColdFrom)*(w.now-x.back).Seconds()/rules.Cold.Seconds())
}

// call carries a call to a route and its answer back.
func (r *relay) call(host string, c *call) {
	w := r.w
	x := w.routes[host]
	began := w.now
	life := r.life
	back := func(after time.Duration, o choice.Outcome, wait time.Duration) {
		w.after(after, func() {
			if r.life == life && r.up {
				r.ended(c, host, o, began, wait)
			}
		})
	}
	for _, s := range c.members {
		w.after(s.Timeout, func() {
			if r.life == life && r.up && !c.over {
				r.ended(c, host, choice.Timeout, began, 0)
			}
		})
	}
	w.after(wayThere, func() {
		switch {
		case x.down > 0 && x.shut:
			back(wayThere, choice.NoConnection, 0)
			return
		case x.down > 0 || x.fell:
			back(dialFor-wayThere, choice.NoConnection, 0)
			return
		}
		w.res.Calls++
		w.res.ByDest[x.dest].Calls++
		w.pushed(x, r.index)
		if !w.admit(x) {
			w.res.Over++
			w.res.ByDest[x.dest].Over++
			var wait time.Duration
			if w.rand.Float64() < x.Tells {
				wait = max(x.Wait, time.Duration((1-x.tokens)/(x.Limit*x.share*w.capacity(x))*float64(time.Second)))
				w.res.Told++
			}
			back(wayThere, choice.Refused, wait)
			return
		}
		took := x.Service/2 + w.exponential(x.Service/2)
		w.after(took, func() {
			for _, s := range c.members {
				w.served(s.ID)
			}
		})
		back(took+wayThere, choice.Served, 0)
	})
}

// admit tells whether the limit has room. A call that is refused uses it up as well.
func (w *world) admit(x *route) bool {
	x.tokens = min(x.Burst, x.tokens+x.Limit*x.share*w.capacity(x)*(w.now-x.at).Seconds())
	x.at = w.now
	if x.tokens >= 1 {
		x.tokens--
		return true
	}
	x.tokens = max(-x.Debt, x.tokens-1)
	return false
}

// pushed keeps the rule for a route that has come back cold: it falls over if more than a multiple of what it can
// handle comes within a span. The rule is broken if two thirds of that came from relays that had seen the outage.
func (w *world) pushed(x *route, relay int) {
	rules := w.day.Settings.Rules
	if x.back < 0 || w.now-x.back > rules.Cold+rules.Fall || x.fell {
		return
	}
	x.came = append(x.came, arrival{w.now, relay})
	for len(x.came) > 0 && w.now-x.came[0].at > rules.Fall {
		x.came = x.came[1:]
	}
	if float64(len(x.came)) > rules.OverloadFactor*w.capacity(x)*x.Limit*rules.Fall.Seconds()+slack {
		x.fell = true
		w.res.Fell++
		saw := 0
		for _, a := range x.came {
			if x.saw[a.relay] {
				saw++
			}
		}
		if 3*saw >= 2*len(x.came) {
			w.res.Falls++
		}
	}
}

// ended hands a relay the end of a call.
func (r *relay) ended(c *call, host string, o choice.Outcome, began, wait time.Duration) {
	if c.over {
		return
	}
	c.over = true
	w := r.w
	if x := w.routes[c.members[0].Host]; x.down > 0 && o != choice.Served && o != choice.Cancelled {
		x.saw[r.index] = true
	}
	var ends []choice.Event
	for _, s := range c.members {
		if r.calls[s.ID] == c {
			delete(r.calls, s.ID)
		}
		switch o {
		case choice.Served:
			delete(r.held, s.ID)
		case choice.Timeout, choice.Cancelled:
			r.mayHaveRun(s.ID)
		}
		if host == "" {
			host = s.Host
		}
		ends = append(ends, choice.Result{ID: s.ID, Host: s.Host, Outcome: o, Took: w.now - began, Wait: wait, Done: o == choice.Served})
	}
	if wait > 0 {
		r.waits[host] = max(r.waits[host], w.now+wait)
	}
	r.step(ends...)
}
