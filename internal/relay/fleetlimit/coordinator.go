package fleetlimit

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/quota"
)

const (
	grantTTL   = 400 * time.Millisecond  // a grant that is not used by then lapses
	requestTTL = 2500 * time.Millisecond // an ask that is not said again by then is dropped
	routeTTL   = 10 * time.Minute        // what is known of a route that nobody asks for
)

// coordinatorState is the steward's side of one destination: the asks of relays that wait, and a pacer for each route.
type coordinatorState struct {
	dest         int
	predecessors []int // relays that come before this one
	routes       map[uint32]*pacer
	order        []uint32 // in the order in which they were heard of
	// What is known as a steward, while this relay is alone.
	savedRoutes     map[uint32]*pacer
	savedOrder      []uint32
	requests        []*pendingRequest
	nextRoomAt      time.Duration // there is more room then
	busySince       time.Duration // there are asks
	helloAt         time.Duration // those that come before this relay were last greeted
	inBusy          bool          // among the desks with asks
	alone           bool          // nobody else answers this relay, which asks itself
	quotaShares     bool
	pool            *quota.Pool      // of what was pledged to this relay
	pledgeRequestAt time.Duration    // pledges that are half over are called for then
	seekAt          time.Duration    // and those that are not there
	idleSince       time.Duration    // since then nobody has asked
	configured      *configuredLimit // of a limit that was told; nil for none
}

// pendingRequest is what one relay wants of a destination.
type pendingRequest struct {
	relay        int
	calls        int
	value        float64
	routes       []uint32
	waitingSince time.Duration // it began to wait
	receivedAt   time.Duration // last said
	answered     bool          // it has been answered since
	timestamp    uint16        // of its relay's clock, when it was last said
}

// updateRoute has a route among those that are kept. What a relay heard of it counts if it is not, or nothing is known yet: it came
// from a steward before this one. The first that ask may have been started anew, and have heard nothing.
func (k *coordinatorState) updateRoute(rules choice.Rules, part float64, alone bool, now time.Duration, from int, x estimate) {
	p := k.routes[x.route]
	if p == nil {
		p = newPacer(rules, now)
		p.quotaShares = k.quotaShares
		if k.configured != nil { // so much is allowed, and it need not be found out call by call
			p.rate = max(p.rate, k.configured.limit.Rate)
		}
		p.adopt(now, x)
		if alone && !k.quotaShares && p.state == open {
			p.tokens = 1 // what has been waiting since the cut began is less than what the route takes at once
		}
		k.routes[x.route] = p
		k.order = append(k.order, x.route)
	} else if !alone {
		p.adoptIfUnknown(now, x)
	}
	if p.setShare(part, alone); x.witnessed {
		p.addWitness(now, from, x.state)
	}
}

// put takes in an ask, in the place of that relay's last one.
func (k *coordinatorState) put(rules choice.Rules, part float64, alone bool, now time.Duration, from int, r record) {
	i := slices.IndexFunc(k.requests, func(a *pendingRequest) bool { return a.relay == from })
	if i >= 0 && k.requests[i].stale(r.timestamp) {
		return
	}
	if r.calls == 0 || len(r.routes) == 0 {
		if i >= 0 {
			k.requests = slices.Delete(k.requests, i, i+1)
		}
		return
	}
	if i < 0 {
		i = len(k.requests)
		k.requests = append(k.requests, &pendingRequest{relay: from, waitingSince: now})
	}
	a := k.requests[i]
	a.calls, a.value, a.receivedAt, a.answered, a.timestamp, a.routes = r.calls, r.value, now, false, r.timestamp, a.routes[:0]
	for _, x := range r.routes {
		k.updateRoute(rules, part, alone, now, from, x)
		a.routes = append(a.routes, x.route)
	}
	if alone {
		k.shuffleRoutes(from, a.routes)
	}
}

// serve gives the room that there is to the calls that are worth most, each on the route that its relay likes best of
// those with room, and notes when there will be more.
func (k *coordinatorState) serve(part float64, alone bool, now time.Duration, heard func(relay int) time.Duration, give func(a *pendingRequest, route uint32, p *pacer)) {
	k.requests = slices.DeleteFunc(k.requests, func(a *pendingRequest) bool { return now-a.receivedAt > requestTTL })
	if k.configured != nil {
		k.configured.advance(now, part)
	}
	for _, id := range k.order {
		k.routes[id].setShare(part, alone)
		k.routes[id].advance(now, heard, slices.ContainsFunc(k.requests, func(a *pendingRequest) bool { return slices.Contains(a.routes, id) }))
	}
	slices.SortStableFunc(k.requests, func(a, b *pendingRequest) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.waitingSince, b.waitingSince), cmp.Compare(a.relay, b.relay))
	})
	deaf := func(a *pendingRequest) bool { return k.quotaShares && now-heard(a.relay) > grantWindow }
	for _, a := range k.requests {
		if deaf(a) {
			continue
		}
		for a.calls > 0 {
			at := slices.IndexFunc(a.routes, func(id uint32) bool { return k.routes[id].nextAt(now) <= now })
			if at < 0 || k.configured != nil && !k.configured.take(k.inFlight()) {
				break
			}
			a.calls--
			a.answered = true
			give(a, a.routes[at], k.routes[a.routes[at]])
		}
	}
	k.requests = slices.DeleteFunc(k.requests, func(a *pendingRequest) bool { return a.calls == 0 })
	k.nextRoomAt = never
	for _, a := range k.requests {
		if deaf(a) {
			continue
		}
		for _, id := range a.routes {
			k.nextRoomAt = min(k.nextRoomAt, max(now+time.Millisecond, k.routes[id].nextAt(now)))
		}
	}
	if k.configured != nil && k.nextRoomAt < never {
		k.nextRoomAt = max(k.nextRoomAt, k.configured.nextAt(now, part, k.inFlight()))
	}
}

// expireRoutes drops routes that nobody has asked for in a long while.
func (k *coordinatorState) expireRoutes(now time.Duration) {
	k.order = slices.DeleteFunc(k.order, func(id uint32) bool {
		old := now-k.routes[id].updatedAt > routeTTL
		if old {
			delete(k.routes, id)
		}
		return old
	})
}

func (f *Limiter) coordinatorFor(dest int) *coordinatorState {
	k := f.coordinated[dest]
	if k == nil {
		ranked := f.requestFor(dest).candidates // none are before one that grants to itself alone
		k = &coordinatorState{dest: dest, configured: f.newConfiguredLimit(dest), routes: map[uint32]*pacer{}, nextRoomAt: never, helloAt: -helloInterval, quotaShares: f.settings.QuotaShares,
			pool: quota.NewPool(leaseTerms, f.settings.Incarnation), predecessors: ranked[:max(0, slices.Index(ranked, f.settings.Index))]}
		f.coordinated[dest] = k
	}
	if !k.inBusy {
		if len(k.order) > 0 && f.now-k.idleSince > idleTimeout { // what has not been told since is lost
			for _, p := range k.routes {
				p.resume(f.now)
			}
		}
		k.inBusy, k.busySince = true, f.now
		i, _ := slices.BinarySearchFunc(f.busy, k, func(a, b *coordinatorState) int { return cmp.Compare(a.dest, b.dest) })
		f.busy = slices.Insert(f.busy, i, k)
	}
	return k
}

// acceptRequest takes in an ask as a steward.
func (f *Limiter) acceptRequest(k *coordinatorState, from int, r record) {
	part, alone := f.grantableShare(k)
	k.put(f.settings.Rules, part, alone, f.now, from, r)
}

// serve grants what there is room for at a destination that this relay is steward of.
func (f *Limiter) serve(k *coordinatorState) {
	if f.handOver(k) {
		return
	}
	part, alone := f.grantableShare(k)
	k.serve(part, alone, f.now, f.receivedAt, func(a *pendingRequest, route uint32, p *pacer) {
		f.lastGrant++
		p.grant(f.now, a.relay, f.lastGrant)
		f.send(a.relay, record{kind: grantKind, dest: k.dest, routes: []estimate{p.estimate(f.now, route)}, grant: f.lastGrant,
			validFor: grantTTL, healthy: p.healthy(f.now), timestamp: a.timestamp, queuedFor: f.now - a.receivedAt})
	})
	for _, a := range k.requests {
		if a.answered {
			continue
		}
		a.answered = true
		r := record{kind: queuedKind, dest: k.dest}
		for _, id := range a.routes {
			r.routes = append(r.routes, k.routes[id].estimate(f.now, id))
		}
		f.send(a.relay, r)
	}
	f.requestPledges(k)
}

// shuffleRoutes orders the routes of a destination for a relay that is alone: each relay begins with one drawn by chance, and
// in the fleet as many begin with a route as its rate is of all (weighted rendezvous hashing). What all would choose,
// for its fee, all would overload.
func (k *coordinatorState) shuffleRoutes(self int, routes []uint32) {
	slices.SortStableFunc(routes, func(a, b uint32) int { return cmp.Compare(k.weightedRank(self, a), k.weightedRank(self, b)) })
}
