package fleetlimit

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/choice"
)

// request is what this relay requests for one destination.
type request struct {
	dest        int
	candidates  []int       // coordinators in the order of preference
	wanted      choice.Want // now
	requested   choice.Want // last sent, less the calls granted since
	coordinator int         // to which it was sent; -1 for none
	requestedAt time.Duration
	// An answer is awaited since then. A changed request that is sent meanwhile does not restart the time-out.
	awaitingSince time.Duration
	answered      bool                        // since it was sent
	attempts      int                         // without an answer
	routeNames    map[uint32]string           // by route ID
	estimates     map[uint32]receivedEstimate // by route ID
	activeGrants  map[uint32]activeGrant      // by the number that the Chooser knows
	recentGrants  map[grantID]time.Duration   // all received lately: a duplicated message must not grant twice
	inActive      bool                        // in Limiter.active
}

// receivedEstimate is a coordinator's estimate of a route.
type receivedEstimate struct {
	estimate
	receivedAt time.Duration
}

// grantID identifies a grant in the fleet.
type grantID struct {
	coordinator int
	number      uint32
}

// activeGrant is a grant that this relay has, whose outcome it has not reported.
type activeGrant struct {
	grantID
	grantedAt time.Duration
}

// setWanted records which calls the Chooser could use.
func (l *Limiter) setWanted(w choice.Want) {
	req := l.requestFor(w.Dest)
	req.wanted = w
	for _, name := range w.Routes {
		req.routeNames[routeID(name)] = name
	}
	l.activate(req)
}

// requestFor returns the request of a destination, a new one if there is none.
func (l *Limiter) requestFor(dest int) *request {
	req := l.requests[dest]
	if req == nil {
		req = &request{
			dest:         dest,
			coordinator:  -1,
			candidates:   Coordinators(dest, l.settings.FleetSize),
			routeNames:   map[uint32]string{},
			estimates:    map[uint32]receivedEstimate{},
			activeGrants: map[uint32]activeGrant{},
			recentGrants: map[grantID]time.Duration{},
		}
		l.requests[dest] = req
	}
	return req
}

// activate adds a request to the active ones, by destination, so that the same events give the same actions.
func (l *Limiter) activate(req *request) {
	if !req.inActive {
		req.inActive = true
		i, _ := slices.BinarySearchFunc(l.active, req, func(a, b *request) int { return cmp.Compare(a.dest, b.dest) })
		l.active = slices.Insert(l.active, i, req)
	}
}

// sendRequest sends a request to its coordinator if it has changed, was not answered, or has to be refreshed.
func (l *Limiter) sendRequest(req *request) {
	due := l.now-req.requestedAt >= refreshInterval
	awaiting := req.requested.Calls > 0 && !req.answered
	if awaiting && l.now-req.awaitingSince >= answerTimeout {
		due, awaiting = true, false
		req.attempts++
		if req.attempts >= maxAttempts && req.coordinator != l.settings.Index && !l.reachableRecently(req.coordinator) {
			l.skip(req.coordinator)
		} else {
			l.probeCandidates(req)
		}
	}
	to, alone := l.currentCoordinator(req.candidates)
	nothing := req.wanted.Calls == 0 && req.requested.Calls == 0
	if nothing || !due && (req.wanted.Calls == 0 || to == req.coordinator) && !req.changed() {
		return
	}
	if req.coordinator >= 0 && req.coordinator != to && req.requested.Calls > 0 && !l.connectivity.partitioned {
		// The coordinator before must not grant as well.
		l.send(req.coordinator, record{kind: requestKind, dest: req.dest, timestamp: timestampOf(l.now)})
	}
	if req.coordinator != to {
		req.attempts, awaiting = 0, false
	}
	if !awaiting {
		req.awaitingSince = l.now
	}
	req.coordinator, req.requestedAt, req.answered = to, l.now, false
	req.requested = req.wanted
	r := l.requestRecord(req)
	if to != l.settings.Index {
		l.send(to, r)
		return
	}
	req.answered = true
	coord := l.coordinatorFor(req.dest)
	coord.alone = alone
	l.acceptRequest(coord, to, r)
}

// requestRecord returns the record of a request, with the estimates of its routes that this relay has received.
func (l *Limiter) requestRecord(req *request) record {
	r := record{kind: requestKind, dest: req.dest, calls: req.wanted.Calls, value: req.wanted.Value, timestamp: timestampOf(l.now)}
	for _, name := range req.wanted.Routes {
		known := estimate{route: routeID(name)}
		if received, ok := req.estimates[known.route]; ok && l.now-received.receivedAt < estimateTTL {
			known = received.estimate
			known.inState += l.now - received.receivedAt
			known.witnessed = known.witnessed && l.now-received.receivedAt < witnessTTL
		}
		r.routes = append(r.routes, known)
	}
	return r
}

// changed reports whether what is wanted differs from what was requested by enough to be sent.
func (req *request) changed() bool {
	now, sent := &req.wanted, &req.requested
	return now.Calls != sent.Calls || !slices.Equal(now.Routes, sent.Routes) ||
		now.Value > sent.Value*valueTolerance || sent.Value > now.Value*valueTolerance
}

// requestAnswered records that a coordinator answered, and the estimates in its answer.
func (l *Limiter) requestAnswered(from int, r record) *request {
	req := l.requestFor(r.dest)
	if from == req.coordinator {
		req.answered, req.attempts = true, 0
	}
	for _, x := range r.routes {
		// What one relay sees while isolated is not the fleet's rate.
		if x.rate > 0 && !(from == l.settings.Index && l.connectivity.partitioned) {
			req.estimates[x.route] = receivedEstimate{x, l.now}
		}
	}
	return req
}

// reportOutcome reports the outcome of a granted call to the coordinator that granted it.
func (l *Limiter) reportOutcome(s choice.Spent) {
	req := l.requestFor(s.Dest)
	grant, ok := req.activeGrants[s.Grant]
	if !ok {
		return
	}
	delete(req.activeGrants, s.Grant)
	l.send(grant.coordinator, record{kind: outcomeKind, dest: s.Dest, routes: []estimate{{route: routeID(s.Route)}},
		grant: grant.number, outcome: s.Outcome, took: s.Took, wait: s.Wait})
}
