package relay

import (
	"log/slog"
)

// untriedMessages are the messages that this process untriedMessages taken on and untried, until each has had its first call or has ended
// without: they are owed a try, and what keeps them from it is told in the log.
type untriedMessages struct {
	pending       map[string]bool
	attempted     int
	endedByReason map[string]int // by why
}

// add takes one in. It precedes the first Step.
func (f *untriedMessages) add(id string) {
	if f.pending == nil {
		f.pending, f.endedByReason = map[string]bool{}, map[string]int{}
	}
	f.pending[id] = true
}

// markAttempted notes that a message has its call.
func (f *untriedMessages) markAttempted(id string) {
	if f.pending[id] {
		f.attempted++
		f.remove(id)
	}
}

// markEnded notes that a message has ended; why is for people.
func (f *untriedMessages) markEnded(id, why string) {
	if f.pending[id] {
		f.endedByReason[why]++
		f.remove(id)
	}
}

func (f *untriedMessages) remove(id string) {
	if delete(f.pending, id); len(f.pending) == 0 {
		slog.Info("what the restart found untried is over", "tried", f.attempted, "given up with no call", f.endedByReason)
	}
}
