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
	// awayFor is by how much a wake is late when the process stood still: more than the scheduler of a busy machine
	// makes of it, and less than grantLife, after which nothing that it granted or was granted counts.
	awayFor = 250 * time.Millisecond
	// drainFor is how long notes that came meanwhile are read after it.
	drainFor = 50 * time.Millisecond
)

// away finds that this relay stood still until now. It comes before anything else is taken in.
func (f *Fleet) away(now time.Duration) {
	if f.wakeAt <= f.now || now-f.wakeAt < awayFor {
		return
	}
	f.acts = append(f.acts, choice.Log{Text: fmt.Sprintf("this relay stood still for %v: what it granted is void, and so are the notes that came meanwhile", now-f.wakeAt)})
	f.deafUntil = now + drainFor
	f.hearing.at, f.hearing.doubtAt = now, -1
	for _, e := range f.active {
		e.tries, e.heard, e.since, e.saidAt = 0, false, now, now-refresh // it is asked for again
	}
	for _, k := range f.desks {
		k.asks = nil
		for _, p := range k.routes {
			p.resume(now)
			p.found = false // the one that stood in may have found out more since
		}
	}
}

// resume takes a route up where it was after a time in which its ends could not be heard. Calls that were under way have
// ended, whatever became of them.
func (p *pacer) resume(now time.Duration) {
	p.out, p.epoch, p.calls, p.votes = nil, -1, 0, nil
	p.at, p.served, p.tokens = now, now, min(p.tokens, 0)
}
