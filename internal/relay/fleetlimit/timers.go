package fleetlimit

import (
	"maps"
	"time"

	"larchrouter/choice"
)

// expire drops the state of destinations, routes and grants that are no longer in use.
func (l *Limiter) expire() {
	if l.now < l.sweepAt {
		return
	}
	l.sweepAt = l.now + expireInterval
	for dest, coord := range l.coordinated {
		coord.pool.Expire(l.now)
		if coord.expireRoutes(l.now); len(coord.order) == 0 && !coord.inBusy {
			delete(l.coordinated, dest)
		}
	}
	for dest, own := range l.ownShares {
		if l.now >= own.holder.FreeAt()+activeGrantTTL {
			delete(l.ownShares, dest)
		}
	}
	for dest, req := range l.requests {
		for id, grant := range req.activeGrants {
			if l.now-grant.grantedAt > activeGrantTTL {
				delete(req.activeGrants, id)
			}
		}
		maps.DeleteFunc(req.recentGrants, func(_ grantID, at time.Duration) bool { return l.now-at > grantHistory })
		if !req.inActive && len(req.activeGrants) == 0 && l.now-req.requestedAt > routeTTL {
			delete(l.requests, dest)
		}
	}
}

// scheduleWake requests a wake-up for the next deadline, if it is earlier than the one requested before.
func (l *Limiter) scheduleWake() {
	at := never
	for _, req := range l.active {
		if req.requested.Calls > 0 && !req.answered {
			at = min(at, req.awaitingSince+answerTimeout)
		}
		at = min(at, req.requestedAt+refreshInterval)
	}
	if len(l.active) > 0 {
		at = min(at, l.connectivity.nextCheck())
	}
	for _, since := range l.probedAt {
		if since >= 0 {
			at = min(at, since+answerTimeout)
		}
	}
	for _, coord := range l.busy {
		at = min(at, coord.nextRoomAt)
		if l.settings.QuotaShares {
			at = min(at, coord.pledgeRequestAt)
		}
		if len(coord.predecessors) > 0 {
			at = min(at, coord.helloAt+helloInterval)
		}
	}
	if at < never && (l.wakeAt <= l.now || at < l.wakeAt) {
		l.wakeAt = max(at, l.now+time.Millisecond)
		l.actions = append(l.actions, choice.Wake{After: l.wakeAt - l.now})
	}
}
