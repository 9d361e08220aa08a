package fleetlimit

import (
	"fmt"
	"time"

	"larchrouter/choice"
)

// A process that stood still does not know it: its machine was suspended, or paged, or somebody stopped it. To itself no
// time has passed between two instants, and all that it awaited seems late by the fault of others: stewards that did not
// answer, calls whose ends were not told, a route that took few calls for long. So a relay that is woken far later than
// it asked to be takes nothing from the time between. What others sent it meanwhile lies in the socket and may be as
// old as that; as nobody can tell, it is not taken, like any note that is lost.

const (
	// stallThreshold is by how much a wake is late when the process stood still: more than the scheduler of a busy machine
	// makes of it, and less than grantLife, after which nothing that it granted or was granted counts.
	stallThreshold = 250 * time.Millisecond
	// discardTime is how long notes that came meanwhile are read after it.
	discardTime = 50 * time.Millisecond
)

// detectStall finds that this relay stood still until now. It comes before anything else is taken in.
func (f *Limiter) detectStall(now time.Duration) {
	if f.wakeAt <= f.now || now-f.wakeAt < stallThreshold {
		return
	}
	f.actions = append(f.actions, choice.Log{Text: fmt.Sprintf("this relay stood still for %v: what it granted is void, and so are the notes that came meanwhile", now-f.wakeAt)})
	f.discardUntil = now + discardTime
	f.connectivity.lastReceived, f.connectivity.suspectedAt = now, -1
	for _, e := range f.active {
		e.attempts, e.answered, e.awaitingSince, e.requestedAt = 0, false, now, now-refreshInterval // it is asked for again
	}
	for _, k := range f.coordinated {
		k.requests = nil
		for _, p := range k.routes {
			p.resume(now)
			p.limitKnown = false // the one that stood in may have found out more since
		}
	}
}
