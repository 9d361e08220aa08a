package fleetlimit

import (
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
)

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
