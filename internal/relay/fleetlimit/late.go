package fleetlimit

import "time"

// A grant is meant for the instant in which it is given: its steward counts its call as made about then. One that comes two
// seconds late is used beside those of that time, and may be beside those of another steward, which no bound covers. Clocks
// of relays are not compared. But a relay knows when it said the ask that a grant answers, by its own clock, and the steward
// how long it had that ask, by its own: what is left of the time between is how long ask and grant were under way. A grant
// that was under way for longer than lateAfter is handed back.
//
// So a call goes out no later than lateAfter and grantLife after it was granted, whatever links do to notes.
//
// Asks are told apart the same way: one that comes after a newer one is old, and takes nothing back.
const (
	lateAfter = 500 * time.Millisecond // more than a busy machine makes of a way there and back, less than a lease
	// oldAsk is how much older than the newest an ask may be to count as late. One that is older still comes from another
	// start of its relay, whose clock began anew.
	oldAsk = 5 * time.Second
)

// markOf is an instant as a note has it: it comes round after nine minutes.
func markOf(now time.Duration) uint16 { return uint16(now / step) }

// since is how long ago a mark was made, if that is less than half of its round; below 0 for one yet to come.
func since(now time.Duration, mark uint16) time.Duration {
	return time.Duration(int16(markOf(now)-mark)) * step
}

// late tells whether a grant was under way for too long. What is not even its own relay's time is too.
func (f *Fleet) late(r record) bool {
	way := since(f.now, r.mark) - r.kept
	return way > lateAfter || way < -lateAfter
}

// stale tells whether an ask is older than the one that is known.
func (a *ask) stale(mark uint16) bool {
	behind := time.Duration(int16(a.mark-mark)) * step
	return behind > 0 && behind < oldAsk
}
