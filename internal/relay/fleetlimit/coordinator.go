package fleetlimit

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/quota"
)

const (
	grantTTL   = 400 * time.Millisecond  // an unused grant expires
	requestTTL = 2500 * time.Millisecond // a request that is not refreshed is dropped
	routeTTL   = 10 * time.Minute        // of the state of a route without requests
)

// coordinatorState is the coordinator's state of one destination: pending requests of relays, and a pacer for
// each route.
type coordinatorState struct {
	dest            int
	predecessors    []int             // candidates that are preferred to this relay
	routes          map[uint32]*pacer // by route ID
	order           []uint32          // of the routes, as they were first requested
	savedRoutes     map[uint32]*pacer // while this relay is isolated
	savedOrder      []uint32
	requests        []*pendingRequest
	nextRoomAt      time.Duration // for which a wake-up is needed
	busySince       time.Duration // since then there are requests
	helloAt         time.Duration // last hello to the predecessors
	inBusy          bool          // in Limiter.busy
	alone           bool          // no other relay answers this one, which requests from itself
	quotaShares     bool
	pool            *quota.Pool      // shares pledged to this relay
	pledgeRequestAt time.Duration    // next renewal of pledges
	seekAt          time.Duration    // next request to relays without a pledge
	idleSince       time.Duration    // last step with requests
	configured      *configuredLimit // nil if the limit is estimated
}

// pendingRequest is what one relay requests of a destination.
type pendingRequest struct {
	relay        int
	calls        int
	value        float64  // of the most valuable call
	routes       []uint32 // IDs, in the relay's order of preference
	waitingSince time.Duration
	receivedAt   time.Duration // last refresh
	answered     bool          // since the last refresh
	timestamp    uint16        // of its relay's clock, in the last refresh
}

// updateRoute adds a route, or updates it by a relay's estimate. The estimate counts if the route is new or its
// limit unknown: it comes from a coordinator before this one. The first relays that request may have restarted,
// and know nothing.
func (coord *coordinatorState) updateRoute(rules choice.Rules, share float64, alone bool, now time.Duration, from int,
	known estimate) {
	p := coord.routes[known.route]
	if p == nil {
		p = newPacer(rules, now)
		p.quotaShares = coord.quotaShares
		if coord.configured != nil { // no need to measure what is allowed anyway
			p.rate = max(p.rate, coord.configured.limit.Rate)
		}
		p.adopt(now, known)
		if alone && !coord.quotaShares && p.state == open {
			p.tokens = 1 // the requests since the partition began are fewer than the burst of the route
		}
		coord.routes[known.route] = p
		coord.order = append(coord.order, known.route)
	} else if !alone {
		p.adoptIfUnknown(now, known)
	}
	if p.setShare(share, alone); known.witnessed {
		p.addWitness(now, from, known.state)
	}
}

// put adds or replaces the request of a relay; one without calls removes it. A request older than the known one
// is ignored.
func (coord *coordinatorState) put(rules choice.Rules, share float64, alone bool, now time.Duration, from int, r record) {
	i := slices.IndexFunc(coord.requests, func(pending *pendingRequest) bool { return pending.relay == from })
	if i >= 0 && coord.requests[i].stale(r.timestamp) {
		return
	}
	if r.calls == 0 || len(r.routes) == 0 {
		if i >= 0 {
			coord.requests = slices.Delete(coord.requests, i, i+1)
		}
		return
	}
	if i < 0 {
		i = len(coord.requests)
		coord.requests = append(coord.requests, &pendingRequest{relay: from, waitingSince: now})
	}
	pending := coord.requests[i]
	pending.calls, pending.value, pending.receivedAt, pending.answered = r.calls, r.value, now, false
	pending.timestamp, pending.routes = r.timestamp, pending.routes[:0]
	for _, known := range r.routes {
		coord.updateRoute(rules, share, alone, now, from, known)
		pending.routes = append(pending.routes, known.route)
	}
	if alone {
		coord.shuffleRoutes(from, pending.routes)
	}
}

// serve grants the available room to the most valuable calls, each on the first route of its relay's preference
// that has room, and records when there will be more.
func (coord *coordinatorState) serve(share float64, alone bool, now time.Duration, received func(relay int) time.Duration,
	grant func(to *pendingRequest, route uint32, p *pacer)) {
	coord.advance(share, alone, now, received)
	unreachable := func(pending *pendingRequest) bool {
		return coord.quotaShares && now-received(pending.relay) > grantWindow
	}
	for _, pending := range coord.requests {
		if unreachable(pending) {
			continue
		}
		for pending.calls > 0 {
			i := slices.IndexFunc(pending.routes, func(id uint32) bool { return coord.routes[id].nextAt(now) <= now })
			if i < 0 || coord.configured != nil && !coord.configured.take(coord.inFlight()) {
				break
			}
			pending.calls--
			pending.answered = true
			grant(pending, pending.routes[i], coord.routes[pending.routes[i]])
		}
	}
	coord.requests = slices.DeleteFunc(coord.requests, func(pending *pendingRequest) bool { return pending.calls == 0 })
	coord.nextRoomAt = never
	for _, pending := range coord.requests {
		if unreachable(pending) {
			continue
		}
		for _, id := range pending.routes {
			coord.nextRoomAt = min(coord.nextRoomAt, max(now+time.Millisecond, coord.routes[id].nextAt(now)))
		}
	}
	if coord.configured != nil && coord.nextRoomAt < never {
		coord.nextRoomAt = max(coord.nextRoomAt, coord.configured.nextAt(now, share, coord.inFlight()))
	}
}

// advance drops expired requests, updates limits and pacers, and sorts the requests by value, then by age.
func (coord *coordinatorState) advance(share float64, alone bool, now time.Duration, received func(relay int) time.Duration) {
	coord.requests = slices.DeleteFunc(coord.requests, func(pending *pendingRequest) bool {
		return now-pending.receivedAt > requestTTL
	})
	if coord.configured != nil {
		coord.configured.advance(now, share)
	}
	for _, id := range coord.order {
		coord.routes[id].setShare(share, alone)
		wanted := slices.ContainsFunc(coord.requests, func(pending *pendingRequest) bool {
			return slices.Contains(pending.routes, id)
		})
		coord.routes[id].advance(now, received, wanted)
	}
	slices.SortStableFunc(coord.requests, func(a, b *pendingRequest) int {
		return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.waitingSince, b.waitingSince), cmp.Compare(a.relay, b.relay))
	})
}

// expireRoutes drops routes that were not requested for long.
func (coord *coordinatorState) expireRoutes(now time.Duration) {
	coord.order = slices.DeleteFunc(coord.order, func(id uint32) bool {
		old := now-coord.routes[id].updatedAt > routeTTL
		if old {
			delete(coord.routes, id)
		}
		return old
	})
}

// coordinatorFor returns the coordinator's state of a destination, and adds it to the busy ones.
func (l *Limiter) coordinatorFor(dest int) *coordinatorState {
	coord := l.coordinated[dest]
	if coord == nil {
		candidates := l.requestFor(dest).candidates
		coord = &coordinatorState{
			dest:        dest,
			configured:  l.newConfiguredLimit(dest),
			routes:      map[uint32]*pacer{},
			nextRoomAt:  never,
			helloAt:     -helloInterval,
			quotaShares: l.settings.QuotaShares,
			pool:        quota.NewPool(leaseTerms, l.settings.Incarnation),
			// None if this relay is not a candidate, but grants to itself.
			predecessors: candidates[:max(0, slices.Index(candidates, l.settings.Index))],
		}
		l.coordinated[dest] = coord
	}
	if !coord.inBusy {
		if len(coord.order) > 0 && l.now-coord.idleSince > idleTimeout { // outcomes that were not reported are lost
			for _, p := range coord.routes {
				p.resume(l.now)
			}
		}
		coord.inBusy, coord.busySince = true, l.now
		i, _ := slices.BinarySearchFunc(l.busy, coord, func(a, b *coordinatorState) int { return cmp.Compare(a.dest, b.dest) })
		l.busy = slices.Insert(l.busy, i, coord)
	}
	return coord
}

// acceptRequest adds a relay's request to a destination that this relay coordinates.
func (l *Limiter) acceptRequest(coord *coordinatorState, from int, r record) {
	share, alone := l.grantableShare(coord)
	coord.put(l.settings.Rules, share, alone, l.now, from, r)
}

// serve grants the calls that a destination has room for, and answers requests that have to wait.
func (l *Limiter) serve(coord *coordinatorState) {
	if l.handOver(coord) {
		return
	}
	share, alone := l.grantableShare(coord)
	coord.serve(share, alone, l.now, l.receivedAt, func(to *pendingRequest, route uint32, p *pacer) {
		l.lastGrant++
		p.grant(l.now, to.relay, l.lastGrant)
		l.send(to.relay, record{kind: grantKind, dest: coord.dest, routes: []estimate{p.estimate(l.now, route)}, grant: l.lastGrant,
			validFor: grantTTL, healthy: p.healthy(l.now), timestamp: to.timestamp, queuedFor: l.now - to.receivedAt})
	})
	for _, pending := range coord.requests {
		if pending.answered {
			continue
		}
		pending.answered = true
		r := record{kind: queuedKind, dest: coord.dest}
		for _, id := range pending.routes {
			r.routes = append(r.routes, coord.routes[id].estimate(l.now, id))
		}
		l.send(pending.relay, r)
	}
	l.requestPledges(coord)
}

// shuffleRoutes orders the routes of a destination for an isolated relay: each relay begins with one drawn at
// random, and over the fleet as many begin with a route as its share of the sum of rates is (weighted rendezvous
// hashing). The route that all would prefer for its fee, all would overload.
func (coord *coordinatorState) shuffleRoutes(self int, routes []uint32) {
	slices.SortStableFunc(routes, func(a, b uint32) int {
		return cmp.Compare(coord.weightedRank(self, a), coord.weightedRank(self, b))
	})
}
