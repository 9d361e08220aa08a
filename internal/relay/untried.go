package relay

import (
	"log/slog"
)

// untriedMessages are the messages that this process found admitted and without an attempt, until each has had its first
// attempt or has ended without one. They are owed an attempt; the log says why one had none.
type untriedMessages struct {
	pending       map[string]bool
	attempted     int
	endedByReason map[string]int // by why
}

// add adds a message. It precedes the first step.
func (f *untriedMessages) add(id string) {
	if f.pending == nil {
		f.pending, f.endedByReason = map[string]bool{}, map[string]int{}
	}
	f.pending[id] = true
}

// markAttempted removes a message that is in a call.
func (f *untriedMessages) markAttempted(id string) {
	if f.pending[id] {
		f.attempted++
		f.remove(id)
	}
}

// markEnded removes a message that has ended; why is for people.
func (f *untriedMessages) markEnded(id, why string) {
	if f.pending[id] {
		f.endedByReason[why]++
		f.remove(id)
	}
}

// remove removes a message, and logs the result after the last one.
func (f *untriedMessages) remove(id string) {
	if delete(f.pending, id); len(f.pending) == 0 {
		slog.Info("what the restart found untried is over", "tried", f.attempted, "given up with no call", f.endedByReason)
	}
}
