// Package fleetlimit has the relays of a fleet share what a destination takes. Each destination has a steward among them.
// A relay that could make calls asks it for leave; the steward knows of all calls of the fleet and how they ended, and
// grants one by one what the routes have room for, to those first whose calls are worth most. So eighty relays that
// see little each keep under a limit as one would that sees all.
//
// The steward is the relay that comes first by rendezvous hashing (Thaler and Ravishankar 1998) of those that answer.
// What one learns goes along with its grants, so that another that takes its place goes on from there. A relay whose
// asks nobody answers grants to itself its share of what it last heard.
//
// The package decides and does nothing else: time and events in, actions out; no clock, no socket, no goroutine. The
// same events give the same actions.
package fleetlimit

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/quota"
)

const (
	never           = time.Duration(math.MaxInt64)
	answerTimeout   = 150 * time.Millisecond // an ask that is not answered by then is lost, or its steward is gone
	refreshInterval = 500 * time.Millisecond // an ask that waits is said again
	maxAttempts     = 2
	skipTime        = 3 * time.Second // one that did not answer is passed over
	maxCandidates   = 8               // stewards that are tried, before a relay goes alone
	helloInterval   = 400 * time.Millisecond
	valueTolerance  = 1.1 // a value that changes by this factor is told
	expireInterval  = 10 * time.Second
	grantHistory    = 5 * time.Second
	// estimateTTL is how long what a steward told of a route is passed on: limits change.
	estimateTTL    = 15 * time.Second
	activeGrantTTL = time.Minute // of a grant of which nothing is heard any more
	maxRetryAfter  = time.Minute // told, that is believed of another relay: nothing else that one says lasts so long
	// idleTimeout is how long a steward was not asked, when it takes up a destination anew: ends of calls that have not been told
	// by then were lost, and say nothing of the routes.
	idleTimeout = 3 * time.Second
)

// Settings of one relay's part.
type Settings struct {
	Index, FleetSize int
	Seed             uint64 // for whom to greet
	Rules            choice.Rules
	Incarnation      uint32              // differs from that of any start before
	QuotaShares      bool                // limits are held as rights, which are conserved whoever hears whom
	Weights          []int               // of all relays, by which limits are divided; nil where all have one part
	Limits           map[int]quota.Limit // by destination, where they are told; the others are found out
}

// Limiter is one relay's part: it asks for what it wants, and is steward of some destinations. It is not safe for
// concurrent use.
type Limiter struct {
	settings       Settings
	now            time.Duration
	requests       map[int]*request
	active         []*request // with something asked for or wanted, by destination
	coordinated    map[int]*coordinatorState
	busy           []*coordinatorState // with asks, by destination
	skipUntil      []time.Duration     // by relay: passed over until then
	misses         []int               // by relay: how often it was, since it was heard last
	lastReceived   []time.Duration     // by relay: last
	lastReachable  []time.Duration     // by relay: what it said last showed that it hears this one, as far as can be told
	probedAt       []time.Duration     // by relay: it was asked whether it is there, and has not answered; below 0 if it was not
	connectivity   connectivity
	lastGrant      uint32         // of the last grant given to any relay
	lastLocalGrant uint32         // of the last grant that the Chooser has been given
	outgoing       map[int][]byte // under way, by receiver
	actions        []choice.Action
	grants         []choice.Event // grants for this relay
	wakeAt         time.Duration
	sweepAt        time.Duration
	// Notes that come until then may be as old as this relay's absence.
	discardUntil time.Duration
	startedAt    time.Duration     // the first step; below 0 before it
	ownShares    map[int]*ownShare // by destination
	totalWeight  int               // into which limits are divided: the sum of the weights
	removed      []bool            // by relay: it is gone for good, so its part is the others'
}

// request is what this relay wants of one destination.
type request struct {
	dest          int
	candidates    []int       // who may be its steward, the first first
	wanted        choice.Want // wanted now
	requested     choice.Want // last told, less what was granted since
	coordinator   int         // whom it was told; -1 for nobody
	requestedAt   time.Duration
	awaitingSince time.Duration // an answer is awaited; what is said anew meanwhile does not change it
	answered      bool          // an answer came since
	attempts      int           // without an answer
	routeNames    map[uint32]string
	estimates     map[uint32]receivedEstimate // by route
	activeGrants  map[uint32]activeGrant      // grants that this relay has, by the number that the Chooser knows
	recentGrants  map[grantID]time.Duration   // all that came of late: a note that comes twice must not grant twice
	inActive      bool                        // among the active
}

// receivedEstimate is what a steward told of a route.
type receivedEstimate struct {
	estimate
	receivedAt time.Duration
}

// grantID names a grant in the whole fleet.
type grantID struct {
	coordinator int
	number      uint32
}

// activeGrant is a grant that this relay has.
type activeGrant struct {
	grantID
	grantedAt time.Duration
}

// New returns one relay's part of a fleet.
func New(s Settings) (*Limiter, error) {
	if s.FleetSize < 1 || s.Index < 0 || s.Index >= s.FleetSize {
		return nil, fmt.Errorf("grants: this relay has number %d in a fleet of %d; numbers begin at 0", s.Index, s.FleetSize)
	}
	return &Limiter{settings: s, lastGrant: s.Incarnation, requests: map[int]*request{}, coordinated: map[int]*coordinatorState{}, skipUntil: make([]time.Duration, s.FleetSize), misses: make([]int, s.FleetSize),
		lastReceived: slices.Repeat([]time.Duration{-1}, s.FleetSize), lastReachable: slices.Repeat([]time.Duration{-1}, s.FleetSize),
		probedAt: slices.Repeat([]time.Duration{-1}, s.FleetSize), connectivity: newConnectivity(s.Seed), outgoing: map[int][]byte{}, startedAt: -1, ownShares: map[int]*ownShare{}, totalWeight: sumWeights(s.Weights, s.FleetSize), removed: make([]bool, s.FleetSize)}, nil
}

// Step takes in the notes that came and what the Chooser said (its choice.Want and choice.Spent), and decides once.
// Actions are choice.Tell and choice.Wake; what is given are grants for the Chooser.
func (f *Limiter) Step(now time.Duration, heard []choice.Heard, said []choice.Action) (acts []choice.Action, given []choice.Event) {
	f.actions, f.grants = nil, nil
	f.detectStall(now)
	if f.now = max(f.now, now); f.startedAt < 0 {
		f.startedAt = f.now
	}
	if f.now >= f.discardUntil {
		for _, h := range heard {
			f.receive(h)
		}
	}
	for _, a := range said {
		switch a := a.(type) {
		case choice.Want:
			f.setWanted(a)
		case choice.Spent:
			f.reportOutcome(a)
		}
	}
	f.detectPartition()
	f.active = slices.DeleteFunc(f.active, func(e *request) bool {
		f.sendRequest(e)
		e.inActive = e.wanted.Calls > 0 || e.requested.Calls > 0
		return !e.inActive
	})
	f.busy = slices.DeleteFunc(f.busy, func(k *coordinatorState) bool {
		f.serve(k)
		k.inBusy = len(k.requests) > 0
		k.idleSince = f.now
		return !k.inBusy
	})
	f.expire()
	f.flush()
	f.scheduleWake()
	return f.actions, f.grants
}

// setWanted takes in what the Chooser could use.
func (f *Limiter) setWanted(w choice.Want) {
	e := f.requestFor(w.Dest)
	e.wanted = w
	for _, name := range w.Routes {
		e.routeNames[routeID(name)] = name
	}
	f.activate(e)
}

func (f *Limiter) requestFor(dest int) *request {
	e := f.requests[dest]
	if e == nil {
		e = &request{dest: dest, coordinator: -1, candidates: Coordinators(dest, f.settings.FleetSize), routeNames: map[uint32]string{}, estimates: map[uint32]receivedEstimate{},
			activeGrants: map[uint32]activeGrant{}, recentGrants: map[grantID]time.Duration{}}
		f.requests[dest] = e
	}
	return e
}

// activate has an errand looked at; the order is by destination, so that the same events give the same actions.
func (f *Limiter) activate(e *request) {
	if !e.inActive {
		e.inActive = true
		i, _ := slices.BinarySearchFunc(f.active, e, func(a, b *request) int { return cmp.Compare(a.dest, b.dest) })
		f.active = slices.Insert(f.active, i, e)
	}
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

// Coordinators are the relays of a fleet that may be steward of a destination, the first first. All relays have the same
// order, and one more or less in the fleet changes it for few destinations.
func Coordinators(dest, fleet int) (first []int) {
	type scored struct {
		relay int
		score uint32
	}
	all := make([]scored, fleet)
	for i := range all {
		all[i] = scored{i, crc32.Checksum(fmt.Appendf(nil, "%d of %d", i, dest), castagnoli)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.relay, b.relay)) })
	for _, s := range all[:min(maxCandidates, len(all))] {
		first = append(first, s.relay)
	}
	return first
}

// currentCoordinator is whom to ask now; lone if nobody else answers.
func (f *Limiter) currentCoordinator(ranked []int) (relay int, lone bool) {
	if f.connectivity.partitioned {
		return f.settings.Index, true
	}
	for _, i := range ranked {
		if i == f.settings.Index || f.skipUntil[i] <= f.now {
			return i, false
		}
	}
	return f.settings.Index, true
}

// skip passes over a relay that did not answer, each time for longer until it is heard again.
func (f *Limiter) skip(i int) {
	f.misses[i] = min(f.misses[i]+1, 4)
	f.skipUntil[i] = f.now + skipTime<<(f.misses[i]-1)
	f.noAnswer(i)
}

// sendRequest tells a steward what is wanted, if that has changed, is not answered or has to be said again.
func (f *Limiter) sendRequest(e *request) {
	due := f.now-e.requestedAt >= refreshInterval
	awaits := e.requested.Calls > 0 && !e.answered
	if awaits && f.now-e.awaitingSince >= answerTimeout {
		due, awaits = true, false
		if e.attempts++; e.attempts >= maxAttempts && e.coordinator != f.settings.Index && !f.reachableRecently(e.coordinator) {
			f.skip(e.coordinator)
		} else {
			f.probeCandidates(e)
		}
	}
	to, lone := f.currentCoordinator(e.candidates)
	if e.wanted.Calls == 0 && e.requested.Calls == 0 || !due && (e.wanted.Calls == 0 || to == e.coordinator) && !e.changed() {
		return
	}
	if e.coordinator >= 0 && e.coordinator != to && e.requested.Calls > 0 && !f.connectivity.partitioned { // the one before must not grant as well
		f.send(e.coordinator, record{kind: requestKind, dest: e.dest, timestamp: timestampOf(f.now)})
	}
	if e.coordinator != to {
		e.attempts, awaits = 0, false
	}
	if !awaits {
		e.awaitingSince = f.now
	}
	e.coordinator, e.requestedAt, e.answered = to, f.now, false
	e.requested = e.wanted
	r := record{kind: requestKind, dest: e.dest, calls: e.wanted.Calls, value: e.wanted.Value, timestamp: timestampOf(f.now)}
	for _, name := range e.wanted.Routes {
		x := estimate{route: routeID(name)}
		if h, ok := e.estimates[x.route]; ok && f.now-h.receivedAt < estimateTTL {
			x = h.estimate
			x.inState += f.now - h.receivedAt
			x.witnessed = x.witnessed && f.now-h.receivedAt < witnessTTL
		}
		r.routes = append(r.routes, x)
	}
	if to != f.settings.Index {
		f.send(to, r)
		return
	}
	e.answered = true
	k := f.coordinatorFor(e.dest)
	k.alone = lone
	f.acceptRequest(k, to, r)
}

// acceptRequest takes in an ask as a steward.
func (f *Limiter) acceptRequest(k *coordinatorState, from int, r record) {
	part, alone := f.grantableShare(k)
	k.put(f.settings.Rules, part, alone, f.now, from, r)
}

// changed tells whether what is wanted changed from what was said by enough to be told.
func (e *request) changed() bool {
	w, s := &e.wanted, &e.requested
	return w.Calls != s.Calls || !slices.Equal(w.Routes, s.Routes) || w.Value > s.Value*valueTolerance || s.Value > w.Value*valueTolerance
}

// receive takes in a note. One that cannot be read, or comes from nowhere, is passed over.
func (f *Limiter) receive(h choice.Heard) {
	if h.From < 0 || h.From >= f.settings.FleetSize || h.From == f.settings.Index {
		return
	}
	all, err := decode(h.Note)
	if err != nil {
		return
	}
	if f.connectivity.received(f.now) {
		f.rejoin()
	}
	f.lastReceived[h.From] = f.now
	if slices.ContainsFunc(all, func(r record) bool { return r.kind != pledgeRequestKind || r.answer }) {
		f.skipUntil[h.From], f.misses[h.From], f.lastReachable[h.From] = 0, 0, f.now
	}
	for _, r := range all {
		f.handle(h.From, r)
	}
}

// handle takes in one record.
func (f *Limiter) handle(from int, r record) {
	switch r.kind {
	case requestKind:
		k := f.coordinatorFor(r.dest)
		k.alone = false
		f.acceptRequest(k, from, r)
	case outcomeKind:
		if k := f.coordinated[r.dest]; k != nil {
			if p := k.routes[r.routes[0].route]; p != nil {
				p.advance(f.now, f.receivedAt, false)
				if p.complete(f.now, from, r.grant, r.outcome, r.took, min(r.wait, maxRetryAfter)) && k.configured != nil {
					k.configured.tokens++
				}
			}
		}
	case queuedKind:
		f.requestAnswered(from, r)
	case grantKind:
		e := f.requestAnswered(from, r)
		g := grantID{from, r.grant}
		if _, twice := e.recentGrants[g]; twice {
			return
		}
		name, ok := e.routeNames[r.routes[0].route]
		if !ok || f.expired(r) { // no such route is wanted any more, or its time has passed
			e.recentGrants[g] = f.now
			r.kind, r.outcome = outcomeKind, choice.NotSent
			f.send(from, r)
			return
		}
		f.lastLocalGrant++
		e.recentGrants[g], e.activeGrants[f.lastLocalGrant] = f.now, activeGrant{g, f.now}
		e.requested.Calls, e.wanted.Calls = max(0, e.requested.Calls-1), max(0, e.wanted.Calls-1)
		f.grants = append(f.grants, choice.Granted{Dest: r.dest, Route: name, Grant: f.lastLocalGrant, For: r.validFor, Well: r.healthy})
	case movedKind:
		if e := f.requestFor(r.dest); e.coordinator == from && r.coordinator < f.settings.FleetSize {
			f.skipUntil[r.coordinator] = 0
			f.activate(e)
		}
	case pledgeRequestKind:
		f.pledgeRequested(from, r)
	case pledgeKind:
		f.acceptPledge(from, r)
	case releaseKind:
		if own := f.ownShares[r.dest]; own != nil {
			own.holder.Release(f.now, from, r.stamp)
		}
	case helloKind:
		if !r.answer {
			f.send(from, record{kind: helloKind, answer: true})
		}
	}
}

// receivedAt is when a relay was last receivedAt; this one hears itself.
func (f *Limiter) receivedAt(relay int) time.Duration {
	if relay == f.settings.Index {
		return f.now
	}
	return f.lastReceived[relay]
}

// requestAnswered notes that a steward requestAnswered, and what it tells of rates.
func (f *Limiter) requestAnswered(from int, r record) *request {
	e := f.requestFor(r.dest)
	if from == e.coordinator {
		e.answered, e.attempts = true, 0
	}
	for _, x := range r.routes {
		if x.rate > 0 && !(from == f.settings.Index && f.connectivity.partitioned) { // what one relay sees alone is not the fleet's rate
			e.estimates[x.route] = receivedEstimate{x, f.now}
		}
	}
	return e
}

// reportOutcome passes on what became of a granted call to whoever granted it.
func (f *Limiter) reportOutcome(s choice.Spent) {
	e := f.requestFor(s.Dest)
	h, ok := e.activeGrants[s.Grant]
	if !ok {
		return
	}
	delete(e.activeGrants, s.Grant)
	f.send(h.coordinator, record{kind: outcomeKind, dest: s.Dest, routes: []estimate{{route: routeID(s.Route)}}, grant: h.number,
		outcome: s.Outcome, took: s.Took, wait: s.Wait})
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

// handOver hands the asks of a destination to a relay that comes before this one, if there is one that was heard since
// they came here. They come while that is silent, or was to some; it is greeted for as long as they do.
func (f *Limiter) handOver(k *coordinatorState) bool {
	if len(k.requests) == 0 || f.connectivity.partitioned {
		return false
	}
	greet := f.now-k.helloAt >= helloInterval
	for _, i := range k.predecessors {
		if f.lastReachable[i] > k.busySince {
			for _, a := range k.requests {
				if a.relay != f.settings.Index {
					f.send(a.relay, record{kind: movedKind, dest: k.dest, coordinator: i})
				}
			}
			k.requests = nil
			f.releasePledges(k)
			return true
		}
		if greet {
			f.send(i, record{kind: helloKind})
		}
	}
	if greet {
		k.helloAt = f.now
	}
	return false
}

// send gives a record to a relay, or takes it in where that is this one.
func (f *Limiter) send(to int, r record) {
	if to == f.settings.Index {
		f.handle(to, r)
		return
	}
	b := f.outgoing[to]
	if b == nil {
		b = []byte{version}
	}
	next := r.appendTo(b)
	if len(next) > gossip.MaxUnsealedBytes {
		f.actions = append(f.actions, choice.Tell{To: to, Note: gossip.Seal(b)})
		next = r.appendTo([]byte{version})
	}
	f.outgoing[to] = next
}

// flush sends what others are to be told.
func (f *Limiter) flush() {
	for to := range f.skipUntil {
		if b := f.outgoing[to]; b != nil {
			f.actions = append(f.actions, choice.Tell{To: to, Note: gossip.Seal(b)})
		}
	}
	clear(f.outgoing)
}

// expire forgets what hangs on destinations and routes that are gone for good.
func (f *Limiter) expire() {
	if f.now < f.sweepAt {
		return
	}
	f.sweepAt = f.now + expireInterval
	for dest, k := range f.coordinated {
		k.pool.Expire(f.now)
		if k.expireRoutes(f.now); len(k.order) == 0 && !k.inBusy {
			delete(f.coordinated, dest)
		}
	}
	for dest, r := range f.ownShares {
		if f.now >= r.holder.FreeAt()+activeGrantTTL {
			delete(f.ownShares, dest)
		}
	}
	for dest, e := range f.requests {
		for id, h := range e.activeGrants {
			if f.now-h.grantedAt > activeGrantTTL {
				delete(e.activeGrants, id)
			}
		}
		maps.DeleteFunc(e.recentGrants, func(_ grantID, at time.Duration) bool { return f.now-at > grantHistory })
		if !e.inActive && len(e.activeGrants) == 0 && f.now-e.requestedAt > routeTTL {
			delete(f.requests, dest)
		}
	}
}

// scheduleWake asks to be woken when something is due by the passing of time alone.
func (f *Limiter) scheduleWake() {
	at := never
	for _, e := range f.active {
		if e.requested.Calls > 0 && !e.answered {
			at = min(at, e.awaitingSince+answerTimeout)
		}
		at = min(at, e.requestedAt+refreshInterval)
	}
	if len(f.active) > 0 {
		at = min(at, f.connectivity.nextCheck())
	}
	for _, since := range f.probedAt {
		if since >= 0 {
			at = min(at, since+answerTimeout)
		}
	}
	for _, k := range f.busy {
		at = min(at, k.nextRoomAt)
		if f.settings.QuotaShares {
			at = min(at, k.pledgeRequestAt)
		}
		if len(k.predecessors) > 0 {
			at = min(at, k.helloAt+helloInterval)
		}
	}
	if at < never && (f.wakeAt <= f.now || at < f.wakeAt) {
		f.wakeAt = max(at, f.now+time.Millisecond)
		f.actions = append(f.actions, choice.Wake{After: f.wakeAt - f.now})
	}
}
