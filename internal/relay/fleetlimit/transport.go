package fleetlimit

import (
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
)

// receive processes a message. One that cannot be decoded, or whose sender is unknown, is dropped.
func (l *Limiter) receive(h choice.Heard) {
	if h.From < 0 || h.From >= l.settings.FleetSize || h.From == l.settings.Index {
		return
	}
	records, err := decode(h.Note)
	if err != nil {
		return
	}
	if l.connectivity.received(l.now) {
		l.rejoin()
	}
	l.lastReceived[h.From] = l.now
	if slices.ContainsFunc(records, func(r record) bool { return r.kind != pledgeRequestKind || r.answer }) {
		l.skipUntil[h.From], l.misses[h.From], l.lastReachable[h.From] = 0, 0, l.now
	}
	for _, r := range records {
		l.handle(h.From, r)
	}
}

// handle processes one record of a message.
func (l *Limiter) handle(from int, r record) {
	switch r.kind {
	case requestKind:
		coord := l.coordinatorFor(r.dest)
		coord.alone = false
		l.acceptRequest(coord, from, r)
	case outcomeKind:
		l.handleOutcome(from, r)
	case queuedKind:
		l.requestAnswered(from, r)
	case grantKind:
		l.handleGrant(from, r)
	case movedKind:
		if req := l.requestFor(r.dest); req.coordinator == from && r.coordinator < l.settings.FleetSize {
			l.skipUntil[r.coordinator] = 0
			l.activate(req)
		}
	case pledgeRequestKind:
		l.pledgeRequested(from, r)
	case pledgeKind:
		l.acceptPledge(from, r)
	case releaseKind:
		if own := l.ownShares[r.dest]; own != nil {
			own.holder.Release(l.now, from, r.stamp)
		}
	case helloKind:
		if !r.answer {
			l.send(from, record{kind: helloKind, answer: true})
		}
	}
}

// handleOutcome processes the outcome of a call that this relay granted as a coordinator.
func (l *Limiter) handleOutcome(from int, r record) {
	coord := l.coordinated[r.dest]
	if coord == nil {
		return
	}
	p := coord.routes[r.routes[0].route]
	if p == nil {
		return
	}
	p.advance(l.now, l.receivedAt, false)
	if p.complete(l.now, from, r.grant, r.outcome, r.took, min(r.wait, maxRetryAfter)) && coord.configured != nil {
		coord.configured.tokens++
	}
}

// handleGrant passes a grant to the Chooser, or returns it if it cannot be used any more. A duplicate is ignored.
func (l *Limiter) handleGrant(from int, r record) {
	req := l.requestAnswered(from, r)
	id := grantID{from, r.grant}
	if _, duplicate := req.recentGrants[id]; duplicate {
		return
	}
	name, ok := req.routeNames[r.routes[0].route]
	if !ok || l.expired(r) { // the route is no longer wanted, or the time has passed
		req.recentGrants[id] = l.now
		r.kind, r.outcome = outcomeKind, choice.NotSent
		l.send(from, r)
		return
	}
	l.lastLocalGrant++
	req.recentGrants[id], req.activeGrants[l.lastLocalGrant] = l.now, activeGrant{id, l.now}
	req.requested.Calls, req.wanted.Calls = max(0, req.requested.Calls-1), max(0, req.wanted.Calls-1)
	l.grants = append(l.grants, choice.Granted{Dest: r.dest, Route: name, Grant: l.lastLocalGrant, For: r.validFor, Well: r.healthy})
}

// receivedAt returns when the last message of a relay arrived; for this relay itself the present.
func (l *Limiter) receivedAt(relay int) time.Duration {
	if relay == l.settings.Index {
		return l.now
	}
	return l.lastReceived[relay]
}

// send appends a record to the message for a relay, or handles it at once if that is this relay.
func (l *Limiter) send(to int, r record) {
	if to == l.settings.Index {
		l.handle(to, r)
		return
	}
	b := l.outgoing[to]
	if b == nil {
		b = []byte{version}
	}
	next := r.appendTo(b)
	if len(next) > gossip.MaxUnsealedBytes {
		l.actions = append(l.actions, choice.Tell{To: to, Note: gossip.Seal(b)})
		next = r.appendTo([]byte{version})
	}
	l.outgoing[to] = next
}

// flush sends the messages of this step.
func (l *Limiter) flush() {
	for to := range l.skipUntil {
		if b := l.outgoing[to]; b != nil {
			l.actions = append(l.actions, choice.Tell{To: to, Note: gossip.Seal(b)})
		}
	}
	clear(l.outgoing)
}
