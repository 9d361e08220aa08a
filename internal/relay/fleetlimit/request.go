package fleetlimit

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/choice"
)

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

// changed tells whether what is wanted changed from what was said by enough to be told.
func (e *request) changed() bool {
	w, s := &e.wanted, &e.requested
	return w.Calls != s.Calls || !slices.Equal(w.Routes, s.Routes) || w.Value > s.Value*valueTolerance || s.Value > w.Value*valueTolerance
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
