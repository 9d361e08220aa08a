package fleetlimit

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/quota"
)

const (
	grantLife = 400 * time.Millisecond  // a grant that is not used by then lapses
	askLife   = 2500 * time.Millisecond // an ask that is not said again by then is dropped
	routeLife = 10 * time.Minute        // what is known of a route that nobody asks for
)

// desk is the steward's side of one destination: the asks of relays that wait, and a pacer for each route.
type desk struct {
	dest   int
	before []int // relays that come before this one
	routes map[uint32]*pacer
	order  []uint32 // in the order in which they were heard of
	// What is known as a steward, while this relay is alone.
	kept      map[uint32]*pacer
	keptOrder []uint32
	asks      []*ask
	again     time.Duration // there is more room then
	since     time.Duration // there are asks
	helloAt   time.Duration // those that come before this relay were last greeted
	listed    bool          // among the desks with asks
	lone      bool          // nobody else answers this relay, which asks itself
	rights    bool
	pool      *quota.Pool   // of what was pledged to this relay
	callAt    time.Duration // pledges that are half over are called for then
	seekAt    time.Duration // and those that are not there
	idleAt    time.Duration // since then nobody has asked
	told      *contract     // of a limit that was told; nil for none
}

// ask is what one relay wants of a destination.
type ask struct {
	relay  int
	calls  int
	value  float64
	routes []uint32
	since  time.Duration // it began to wait
	at     time.Duration // last said
	told   bool          // it has been answered since
	mark   uint16        // of its relay's clock, when it was last said
}

// know has a route among those that are kept. What a relay heard of it counts if it is not, or nothing is known yet: it came
// from a steward before this one. The first that ask may have been started anew, and have heard nothing.
func (k *desk) know(rules choice.Rules, part float64, alone bool, now time.Duration, from int, x rumour) {
	p := k.routes[x.route]
	if p == nil {
		p = newPacer(rules, now)
		p.rights = k.rights
		if k.told != nil { // so much is allowed, and it need not be found out call by call
			p.rate = max(p.rate, k.told.limit.Rate)
		}
		p.hear(now, x)
		if alone && !k.rights && p.state == open {
			p.tokens = 1 // what has been waiting since the cut began is less than what the route takes at once
		}
		k.routes[x.route] = p
		k.order = append(k.order, x.route)
	} else if !alone {
		p.learn(now, x)
	}
	if p.lend(part, alone); x.saw {
		p.vote(now, from, x.state)
	}
}

// put takes in an ask, in the place of that relay's last one.
func (k *desk) put(rules choice.Rules, part float64, alone bool, now time.Duration, from int, r record) {
	i := slices.IndexFunc(k.asks, func(a *ask) bool { return a.relay == from })
	if i >= 0 && k.asks[i].stale(r.mark) {
		return
	}
	if r.calls == 0 || len(r.routes) == 0 {
		if i >= 0 {
			k.asks = slices.Delete(k.asks, i, i+1)
		}
		return
	}
	if i < 0 {
		i = len(k.asks)
		k.asks = append(k.asks, &ask{relay: from, since: now})
	}
	a := k.asks[i]
	a.calls, a.value, a.at, a.told, a.mark, a.routes = r.calls, r.value, now, false, r.mark, a.routes[:0]
	for _, x := range r.routes {
		k.know(rules, part, alone, now, from, x)
		a.routes = append(a.routes, x.route)
	}
	if alone {
		k.spread(from, a.routes)
	}
}

// serve gives the room that there is to the calls that are worth most, each on the route that its relay likes best of
// those with room, and notes when there will be more.
func (k *desk) serve(part float64, alone bool, now time.Duration, heard func(relay int) time.Duration, give func(a *ask, route uint32, p *pacer)) {
	k.asks = slices.DeleteFunc(k.asks, func(a *ask) bool { return now-a.at > askLife })
	if k.told != nil {
		k.told.settle(now, part)
	}
	for _, id := range k.order {
		k.routes[id].lend(part, alone)
		k.routes[id].settle(now, heard, slices.ContainsFunc(k.asks, func(a *ask) bool { return slices.Contains(a.routes, id) }))
	}
	slices.SortStableFunc(k.asks, func(a, b *ask) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.since, b.since), cmp.Compare(a.relay, b.relay))
	})
	deaf := func(a *ask) bool { return k.rights && now-heard(a.relay) > grantFor }
	for _, a := range k.asks {
		if deaf(a) {
			continue
		}
		for a.calls > 0 {
			at := slices.IndexFunc(a.routes, func(id uint32) bool { return k.routes[id].roomAt(now) <= now })
			if at < 0 || k.told != nil && !k.told.take(k.out()) {
				break
			}
			a.calls--
			a.told = true
			give(a, a.routes[at], k.routes[a.routes[at]])
		}
	}
	k.asks = slices.DeleteFunc(k.asks, func(a *ask) bool { return a.calls == 0 })
	k.again = never
	for _, a := range k.asks {
		if deaf(a) {
			continue
		}
		for _, id := range a.routes {
			k.again = min(k.again, max(now+time.Millisecond, k.routes[id].roomAt(now)))
		}
	}
	if k.told != nil && k.again < never {
		k.again = max(k.again, k.told.again(now, part, k.out()))
	}
}

// forget drops routes that nobody has asked for in a long while.
func (k *desk) forget(now time.Duration) {
	k.order = slices.DeleteFunc(k.order, func(id uint32) bool {
		old := now-k.routes[id].at > routeLife
		if old {
			delete(k.routes, id)
		}
		return old
	})
}
