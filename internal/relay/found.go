package relay

import (
	"log/slog"
)

// found are the messages that this process found taken on and untried, until each has had its first call or has ended
// without: they are owed a try, and what keeps them from it is told in the log.
type found struct {
	left    map[string]bool
	tried   int
	without map[string]int // by why
}

// add takes one in. It precedes the first Step.
func (f *found) add(id string) {
	if f.left == nil {
		f.left, f.without = map[string]bool{}, map[string]int{}
	}
	f.left[id] = true
}

// try notes that a message has its call.
func (f *found) try(id string) {
	if f.left[id] {
		f.tried++
		f.over(id)
	}
}

// end notes that a message has ended; why is for people.
func (f *found) end(id, why string) {
	if f.left[id] {
		f.without[why]++
		f.over(id)
	}
}

func (f *found) over(id string) {
	if delete(f.left, id); len(f.left) == 0 {
		slog.Info("what the restart found untried is over", "tried", f.tried, "given up with no call", f.without)
	}
}
