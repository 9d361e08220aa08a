package fleetlimit

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/choice"
)

// A relay that hears nobody any more is cut off: that is not the death of a steward, or of the eight that would come
// after it, and to try them in turn costs 2.4 s in which nothing goes out. So when one does not answer and nothing came
// from any other meanwhile, a handful drawn by chance are called; if none of them answers either, the relay grants its
// calls to itself, and calls one after another until it hears any.
//
// What it believed of relays that did not answer in the cut is void then, and what it knew of routes as their steward is
// taken up where it was: it could not hear how calls ended, and what one relay sees alone is not the fleet's rate. But
// routes may have gone down and come back cold while nobody could tell: those that saw it bear witness with their
// first asks, and the steward goes by the most of them.

const (
	partitionProbes = 6
	witnessTTL      = 3 * time.Second // after it heals
	minWitnesses    = 3
	// isolatedEstimateBackoff is what is left of a rate after a refusal to a relay that is alone: it sees too few to measure.
	isolatedEstimateBackoff = 0.5
)

// connectivity is whether this relay hears any other.
type connectivity struct {
	rand          *rand.Rand
	lastReceived  time.Duration // something was last heard
	unanswered    map[int]bool  // relays that did not answer since
	suspectedAt   time.Duration // others were called, and nothing heard since; below 0 if they were not
	partitioned   bool
	partitionedAt time.Duration // cut
	helloAt       time.Duration
}

func newConnectivity(seed uint64) connectivity {
	return connectivity{rand: rand.New(rand.NewPCG(seed, 5)), unanswered: map[int]bool{}, suspectedAt: -1}
}

// received notes that something came, and tells whether that ends a cut. Who did not answer in one is kept for healed.
func (h *connectivity) received(now time.Duration) (healed bool) {
	healed = h.partitioned
	h.lastReceived, h.suspectedAt, h.partitioned = now, -1, false
	if !healed {
		clear(h.unanswered)
	}
	return healed
}

// sendHello calls another relay, drawn by chance.
func (f *Limiter) sendHello() {
	f.send((f.settings.Index+1+f.connectivity.rand.IntN(f.settings.FleetSize-1))%f.settings.FleetSize, record{kind: helloKind})
}

// resendRequests has all that is wanted asked for at once, of whoever is steward now.
func (f *Limiter) resendRequests() {
	for _, e := range f.active {
		e.requestedAt, e.attempts = f.now-refreshInterval, 0
	}
}

// noAnswer notes that a relay did not answer an ask.
func (f *Limiter) noAnswer(relay int) {
	h := &f.connectivity
	h.unanswered[relay] = true
	if h.partitioned || h.suspectedAt >= 0 || f.settings.FleetSize <= 2 || f.now-h.lastReceived < maxAttempts*answerTimeout {
		return
	}
	h.suspectedAt = f.now
	for range partitionProbes {
		f.sendHello()
	}
}

// detectPartition finds that this relay is cut off, and calls others as long as it is.
func (f *Limiter) detectPartition() {
	h := &f.connectivity
	f.expireProbes()
	if h.suspectedAt >= 0 && !h.partitioned && f.now-h.suspectedAt >= answerTimeout {
		h.partitioned, h.partitionedAt, h.helloAt = true, f.now, f.now+helloInterval
		f.actions = append(f.actions, choice.Log{Text: fmt.Sprintf("no other relay is heard for %v: calls go out on this one's own share", f.now-h.lastReceived)})
		for _, k := range f.coordinated {
			k.isolate(f.settings.Rules, f.now)
		}
		f.resendRequests()
	}
	if h.partitioned && f.now >= h.helloAt {
		h.helloAt = f.now + helloInterval
		f.sendHello()
	}
}

// nextCheck is when to do so next.
func (h *connectivity) nextCheck() time.Duration {
	switch {
	case h.partitioned:
		return h.helloAt
	case h.suspectedAt >= 0:
		return h.suspectedAt + answerTimeout
	}
	return never
}

// rejoin takes up the fleet again: relays that did not answer in the cut have done nothing wrong.
func (f *Limiter) rejoin() {
	h := &f.connectivity
	f.actions = append(f.actions, choice.Log{Text: fmt.Sprintf("other relays are heard again after %v", f.now-h.partitionedAt)})
	for i := range h.unanswered {
		f.skipUntil[i], f.misses[i] = 0, 0
	}
	clear(h.unanswered)
	for _, dest := range slices.Sorted(maps.Keys(f.coordinated)) { // the same events give the same actions
		k := f.coordinated[dest]
		f.recordWitnessed(k)
		k.rejoin(f.now)
		f.releasePledges(k)
	}
	f.resendRequests()
}

// recordWitnessed turns what this relay saw of a destination while it was alone into what it tells with its asks: not of the
// rate, of which it saw too little, but whether calls were served.
func (f *Limiter) recordWitnessed(k *coordinatorState) {
	e := f.requestFor(k.dest)
	for id, p := range k.routes {
		if x, ok := e.estimates[id]; ok && (p.state != open || p.lastServed > f.connectivity.partitionedAt) {
			e.estimates[id] = receivedEstimate{estimate{route: id, rate: x.rate, limitKnown: x.limitKnown, state: p.state, inState: f.now - p.stateSince, witnessed: true}, f.now}
		}
	}
}

// isolate sets aside what is known as a steward. A relay that is alone goes on from it with pacers of its own.
func (k *coordinatorState) isolate(rules choice.Rules, now time.Duration) {
	k.savedRoutes, k.savedOrder, k.requests = k.routes, slices.Clone(k.order), nil
	k.routes = map[uint32]*pacer{}
	for id, p := range k.savedRoutes {
		k.routes[id] = newPacer(rules, now)
		k.routes[id].quotaShares = p.quotaShares
		k.routes[id].adopt(now, p.estimate(now, id))
	}
}

// rejoin takes it up again.
func (k *coordinatorState) rejoin(now time.Duration) {
	k.requests = nil
	if k.routes, k.order = k.savedRoutes, k.savedOrder; k.routes == nil {
		k.routes = map[uint32]*pacer{}
	}
	k.savedRoutes, k.savedOrder = nil, nil
	for _, p := range k.routes {
		p.resume(now)
	}
}

// isolatedFactor is how much of an open route's rate a relay grants itself that is alone. Even shares starve: 300 relays have
// use for a call at different times, and each would wait for many times what all of them need together. So it takes the
// multiple of its share by which the rules let a route be passed. The sum stays within the limit as long as the fleet's
// traffic does, and refusals take it back.
func (p *pacer) isolatedFactor() float64 { return min(1, p.share*p.rules.OverloadFactor) }

func (k *coordinatorState) weightedRank(self int, route uint32) float64 {
	return rand.New(rand.NewPCG(uint64(self), uint64(route))).ExpFloat64() / k.routes[route].rate
}
