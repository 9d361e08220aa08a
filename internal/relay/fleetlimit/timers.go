package fleetlimit

import (
	"maps"
	"time"

	"larchrouter/choice"
)

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
