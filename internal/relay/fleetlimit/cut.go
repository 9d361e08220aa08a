package fleetlimit

import (
	"cmp"
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
	doubtCalls = 6
	witnessFor = 3 * time.Second // after it heals
	leastVotes = 3
	// lonelyBack is what is left of a rate after a refusal to a relay that is alone: it sees too few to measure.
	lonelyBack = 0.5
)

// hearing is whether this relay hears any other.
type hearing struct {
	rand    *rand.Rand
	at      time.Duration // something was last heard
	missed  map[int]bool  // relays that did not answer since
	doubtAt time.Duration // others were called, and nothing heard since; below 0 if they were not
	cut     bool
	since   time.Duration // cut
	callAt  time.Duration
}

func newHearing(seed uint64) hearing {
	return hearing{rand: rand.New(rand.NewPCG(seed, 5)), missed: map[int]bool{}, doubtAt: -1}
}

// heard notes that something came, and tells whether that ends a cut. Who did not answer in one is kept for healed.
func (h *hearing) heard(now time.Duration) (healed bool) {
	healed = h.cut
	h.at, h.doubtAt, h.cut = now, -1, false
	if !healed {
		clear(h.missed)
	}
	return healed
}

// greet calls another relay, drawn by chance.
func (f *Fleet) greet() {
	f.send((f.set.Index+1+f.hearing.rand.IntN(f.set.Fleet-1))%f.set.Fleet, record{kind: helloKind})
}

// askAnew has all that is wanted asked for at once, of whoever is steward now.
func (f *Fleet) askAnew() {
	for _, e := range f.active {
		e.saidAt, e.tries = f.now-refresh, 0
	}
}

// missing notes that a relay did not answer an ask.
func (f *Fleet) missing(relay int) {
	h := &f.hearing
	h.missed[relay] = true
	if h.cut || h.doubtAt >= 0 || f.set.Fleet <= 2 || f.now-h.at < askTries*answerIn {
		return
	}
	h.doubtAt = f.now
	for range doubtCalls {
		f.greet()
	}
}

// listen finds that this relay is cut off, and calls others as long as it is.
func (f *Fleet) listen() {
	h := &f.hearing
	f.probes()
	if h.doubtAt >= 0 && !h.cut && f.now-h.doubtAt >= answerIn {
		h.cut, h.since, h.callAt = true, f.now, f.now+helloEvery
		f.acts = append(f.acts, choice.Log{Text: fmt.Sprintf("no other relay is heard for %v: calls go out on this one's own share", f.now-h.at)})
		for _, k := range f.desks {
			k.part(f.set.Rules, f.now)
		}
		f.askAnew()
	}
	if h.cut && f.now >= h.callAt {
		h.callAt = f.now + helloEvery
		f.greet()
	}
}

// listenAt is when to do so next.
func (h *hearing) listenAt() time.Duration {
	switch {
	case h.cut:
		return h.callAt
	case h.doubtAt >= 0:
		return h.doubtAt + answerIn
	}
	return never
}

// healed takes up the fleet again: relays that did not answer in the cut have done nothing wrong.
func (f *Fleet) healed() {
	h := &f.hearing
	f.acts = append(f.acts, choice.Log{Text: fmt.Sprintf("other relays are heard again after %v", f.now-h.since)})
	for i := range h.missed {
		f.silent[i], f.misses[i] = 0, 0
	}
	clear(h.missed)
	for _, dest := range slices.Sorted(maps.Keys(f.desks)) { // the same events give the same actions
		k := f.desks[dest]
		f.witness(k)
		k.join(f.now)
		f.release(k)
	}
	f.askAnew()
}

// witness turns what this relay saw of a destination while it was alone into what it tells with its asks: not of the
// rate, of which it saw too little, but whether calls were served.
func (f *Fleet) witness(k *desk) {
	e := f.errand(k.dest)
	for id, p := range k.routes {
		if x, ok := e.heardOf[id]; ok && (p.state != open || p.served > f.hearing.since) {
			e.heardOf[id] = hearsay{rumour{route: id, rate: x.rate, found: x.found, state: p.state, span: f.now - p.since, saw: true}, f.now}
		}
	}
}

// part sets aside what is known as a steward. A relay that is alone goes on from it with pacers of its own.
func (k *desk) part(rules choice.Rules, now time.Duration) {
	k.kept, k.keptOrder, k.asks = k.routes, slices.Clone(k.order), nil
	k.routes = map[uint32]*pacer{}
	for id, p := range k.kept {
		k.routes[id] = newPacer(rules, now)
		k.routes[id].rights = p.rights
		k.routes[id].hear(now, p.rumour(now, id))
	}
}

// join takes it up again.
func (k *desk) join(now time.Duration) {
	k.asks = nil
	if k.routes, k.order = k.kept, k.keptOrder; k.routes == nil {
		k.routes = map[uint32]*pacer{}
	}
	k.kept, k.keptOrder = nil, nil
	for _, p := range k.routes {
		p.resume(now)
	}
}

// lonely is how much of an open route's rate a relay grants itself that is alone. Even shares starve: 300 relays have
// use for a call at different times, and each would wait for many times what all of them need together. So it takes the
// multiple of its share by which the rules let a route be passed. The sum stays within the limit as long as the fleet's
// traffic does, and refusals take it back.
func (p *pacer) lonely() float64 { return min(1, p.share*p.rules.OverloadFactor) }

// spread orders the routes of a destination for a relay that is alone: each relay begins with one drawn by chance, and
// in the fleet as many begin with a route as its rate is of all (weighted rendezvous hashing). What all would choose,
// for its fee, all would overload.
func (k *desk) spread(self int, routes []uint32) {
	slices.SortStableFunc(routes, func(a, b uint32) int { return cmp.Compare(k.draw(self, a), k.draw(self, b)) })
}

func (k *desk) draw(self int, route uint32) float64 {
	return rand.New(rand.NewPCG(uint64(self), uint64(route))).ExpFloat64() / k.routes[route].rate
}

// vote takes in what a relay saw of a route while it heard nobody. A route that most of them saw fail went down, and
// came back cold if it came back; one that a few could not reach was on the other side of a cut.
func (p *pacer) vote(now time.Duration, from int, s state) {
	if p.state != open || p.alone {
		return
	}
	if p.votes == nil {
		p.votes = map[int]bool{}
	}
	p.votes[from] = s != open
	bad := 0
	for _, b := range p.votes {
		if b {
			bad++
		}
	}
	if len(p.votes) >= leastVotes && 2*bad > len(p.votes) {
		p.votes = nil
		p.fall(now)
	}
}
