package chaostest

import (
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/internal/relay/scenario"
)

// recorder is a Book that is being written.
type recorder struct {
	mu        sync.Mutex
	log       *EventLog
	startedAt atomic.Pointer[time.Time]
}

func newRecorder(plan scenario.Plan) *recorder {
	l := &recorder{log: &EventLog{Plan: plan, Messages: map[string]*Message{}}}
	l.restartClock()
	return l
}

// restartClock begins the book's time anew.
func (l *recorder) restartClock() {
	now := time.Now()
	l.startedAt.Store(&now)
}

// now is the book's time.
func (l *recorder) now() time.Duration { return l.since(time.Now()) }

func (l *recorder) since(t time.Time) time.Duration { return t.Sub(*l.startedAt.Load()) }

// update changes the book.
func (l *recorder) update(f func(b *EventLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.log)
}

// addError notes what went wrong.
func (l *recorder) addError(text string) {
	l.update(func(b *EventLog) { b.Errors = append(b.Errors, text) })
}
