package fleetlimit

import (
	"fmt"
	"time"

	"larchrouter/choice"
)

// A process that was stalled does not know it: its machine was suspended, or paged, or the process was stopped.
// For the process no time has passed between two instants, and everything that it awaits seems late by the fault
// of others: coordinators that did not answer, calls whose outcomes were not reported, a route that accepted few
// calls for long. So a relay that is woken far later than it requested uses nothing from the time between. What
// others sent meanwhile is in the socket and may be as old as that; as it cannot be told apart, it is discarded,
// like any message that is lost.

const (
	// stallThreshold is by how much a wake-up is late when the process was stalled: more than the scheduler of a
	// busy machine causes, and less than grantTTL, after which no grant made or received before is valid.
	stallThreshold = 250 * time.Millisecond
	// discardTime is for how long messages that arrived during the stall are read after it.
	discardTime = 50 * time.Millisecond
)

// detectStall detects that this process was stalled until now. It precedes all other processing of a step.
func (l *Limiter) detectStall(now time.Duration) {
	if l.wakeAt <= l.now || now-l.wakeAt < stallThreshold {
		return
	}
	const text = "this relay stood still for %v: what it granted is void, and so are the notes that came meanwhile"
	l.actions = append(l.actions, choice.Log{Text: fmt.Sprintf(text, now-l.wakeAt)})
	l.discardUntil = now + discardTime
	l.connectivity.lastReceived, l.connectivity.suspectedAt = now, -1
	for _, req := range l.active {
		req.attempts, req.answered, req.awaitingSince = 0, false, now
		req.requestedAt = now - refreshInterval // due again
	}
	for _, coord := range l.coordinated {
		coord.requests = nil
		for _, p := range coord.routes {
			p.resume(now)
			p.limitKnown = false // another coordinator may have measured more since
		}
	}
}
