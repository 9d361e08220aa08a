package fleetlimit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/choice"
)

// A relay that receives from no other any more is partitioned: that is not the death of a coordinator, or of the
// eight candidates after it, and to try them in turn costs 2.4 s in which no call is sent. So when one does not
// answer and no message of any other arrived meanwhile, hellos are sent to a few drawn at random; if none of
// them answers either, the relay grants its calls to itself, and sends hellos to one after another until it
// receives any message.
//
// Then what it concluded about relays that did not answer during the partition is void, and its state as a
// coordinator continues where it was: it could not receive how calls ended, and what one relay sees while
// isolated is not the fleet's rate. But routes may have gone down and come back while it was isolated: relays
// that saw it witness it with their first requests, and the coordinator follows the majority of them.

const (
	partitionProbes = 6               // hellos before a relay considers itself partitioned
	witnessTTL      = 3 * time.Second // after the end of the partition
	minWitnesses    = 3
	// isolatedEstimateBackoff is the factor of a rate after a refusal to an isolated relay: it sees too few
	// calls to measure.
	isolatedEstimateBackoff = 0.5
)

// connectivity is the state of the detection whether this relay receives from any other.
type connectivity struct {
	rand          *rand.Rand
	lastReceived  time.Duration // from any relay
	unanswered    map[int]bool  // relays that did not answer since
	suspectedAt   time.Duration // hellos were sent, and nothing received since; -1 if not
	partitioned   bool          // this relay receives from no other
	partitionedAt time.Duration
	helloAt       time.Duration // next hello while partitioned
}

// newConnectivity returns the state at the start.
func newConnectivity(seed uint64) connectivity {
	return connectivity{rand: rand.New(rand.NewPCG(seed, 5)), unanswered: map[int]bool{}, suspectedAt: -1}
}

// received records that a message arrived, and reports whether that ends a partition. unanswered is kept for
// rejoin then.
func (h *connectivity) received(now time.Duration) (rejoined bool) {
	rejoined = h.partitioned
	h.lastReceived, h.suspectedAt, h.partitioned = now, -1, false
	if !rejoined {
		clear(h.unanswered)
	}
	return rejoined
}

// sendHello sends a hello to another relay, drawn at random.
func (l *Limiter) sendHello() {
	to := (l.settings.Index + 1 + l.connectivity.rand.IntN(l.settings.FleetSize-1)) % l.settings.FleetSize
	l.send(to, record{kind: helloKind})
}

// resendRequests makes all active requests due at once, to whoever is coordinator now.
func (l *Limiter) resendRequests() {
	for _, req := range l.active {
		req.requestedAt, req.attempts = l.now-refreshInterval, 0
	}
}

// noAnswer records that a relay did not answer a request. If nothing else was received since, this relay may be
// partitioned, and sends hellos to several others.
func (l *Limiter) noAnswer(relay int) {
	h := &l.connectivity
	h.unanswered[relay] = true
	if h.partitioned || h.suspectedAt >= 0 || l.settings.FleetSize <= 2 || l.now-h.lastReceived < maxAttempts*answerTimeout {
		return
	}
	h.suspectedAt = l.now
	for range partitionProbes {
		l.sendHello()
	}
}

// detectPartition detects that this relay is partitioned, and sends hellos to others while it is.
func (l *Limiter) detectPartition() {
	h := &l.connectivity
	l.expireProbes()
	if h.suspectedAt >= 0 && !h.partitioned && l.now-h.suspectedAt >= answerTimeout {
		h.partitioned, h.partitionedAt, h.helloAt = true, l.now, l.now+helloInterval
		text := fmt.Sprintf("no other relay is heard for %v: calls go out on this one's own share", l.now-h.lastReceived)
		l.actions = append(l.actions, choice.Log{Text: text})
		for _, coord := range l.coordinated {
			coord.isolate(l.settings.Rules, l.now)
		}
		l.resendRequests()
	}
	if h.partitioned && l.now >= h.helloAt {
		h.helloAt = l.now + helloInterval
		l.sendHello()
	}
}

// nextCheck returns when to call detectPartition next.
func (h *connectivity) nextCheck() time.Duration {
	switch {
	case h.partitioned:
		return h.helloAt
	case h.suspectedAt >= 0:
		return h.suspectedAt + answerTimeout
	}
	return never
}

// rejoin ends a partition: relays that did not answer during it are no longer skipped.
func (l *Limiter) rejoin() {
	h := &l.connectivity
	l.actions = append(l.actions, choice.Log{Text: fmt.Sprintf("other relays are heard again after %v", l.now-h.partitionedAt)})
	for i := range h.unanswered {
		l.skipUntil[i], l.misses[i] = 0, 0
	}
	clear(h.unanswered)
	for _, dest := range slices.Sorted(maps.Keys(l.coordinated)) { // the same events give the same actions
		coord := l.coordinated[dest]
		l.recordWitnessed(coord)
		coord.rejoin(l.now)
		l.releasePledges(coord)
	}
	l.resendRequests()
}

// recordWitnessed turns what this relay saw of a destination while it was isolated into what it sends with its
// requests: not the rate, of which it saw too little, but whether calls were served.
func (l *Limiter) recordWitnessed(coord *coordinatorState) {
	req := l.requestFor(coord.dest)
	for id, p := range coord.routes {
		known, ok := req.estimates[id]
		if ok && (p.state != open || p.lastServed > l.connectivity.partitionedAt) {
			req.estimates[id] = receivedEstimate{estimate{route: id, rate: known.rate, limitKnown: known.limitKnown,
				state: p.state, inState: l.now - p.stateSince, witnessed: true}, l.now}
		}
	}
}

// isolate saves the coordinator's state of the routes. An isolated relay continues from it with pacers of its own.
func (coord *coordinatorState) isolate(rules choice.Rules, now time.Duration) {
	coord.savedRoutes, coord.savedOrder, coord.requests = coord.routes, slices.Clone(coord.order), nil
	coord.routes = map[uint32]*pacer{}
	for id, p := range coord.savedRoutes {
		coord.routes[id] = newPacer(rules, now)
		coord.routes[id].quotaShares = p.quotaShares
		coord.routes[id].adopt(now, p.estimate(now, id))
	}
}

// rejoin restores the saved state.
func (coord *coordinatorState) rejoin(now time.Duration) {
	coord.requests = nil
	if coord.routes, coord.order = coord.savedRoutes, coord.savedOrder; coord.routes == nil {
		coord.routes = map[uint32]*pacer{}
	}
	coord.savedRoutes, coord.savedOrder = nil, nil
	for _, p := range coord.routes {
		p.resume(now)
	}
}

// isolatedFactor returns the share of an open route's rate that an isolated relay grants itself. Equal shares
// starve: 300 relays need calls at different times, and each would wait for many times what all of them need
// together. So it takes the multiple of its share by which the rules let a route be exceeded. The sum stays
// within the limit as long as the fleet's traffic does, and refusals reduce it.
func (p *pacer) isolatedFactor() float64 { return min(1, p.share*p.rules.OverloadFactor) }

// weightedRank returns the rank of a route in that order.
func (coord *coordinatorState) weightedRank(self int, route uint32) float64 {
	return rand.New(rand.NewPCG(uint64(self), uint64(route))).ExpFloat64() / coord.routes[route].rate
}
