package chaostest

import (
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/internal/relay/scenario"
)

// recorder guards an EventLog while it is written, and has the run's clock.
type recorder struct {
	mu        sync.Mutex // of log
	log       *EventLog
	startedAt atomic.Pointer[time.Time]
}

func newRecorder(plan scenario.Plan) *recorder {
	r := &recorder{log: &EventLog{Plan: plan, Messages: map[string]*Message{}}}
	r.restartClock()
	return r
}

// restartClock sets the run's clock to 0.
func (l *recorder) restartClock() {
	now := time.Now()
	l.startedAt.Store(&now)
}

// now returns the time since the run began.
func (l *recorder) now() time.Duration { return l.since(time.Now()) }

func (l *recorder) since(t time.Time) time.Duration { return t.Sub(*l.startedAt.Load()) }

// update changes the event log under its lock.
func (l *recorder) update(f func(b *EventLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.log)
}

// addError records an error of the run or of a relay's process.
func (l *recorder) addError(text string) {
	l.update(func(b *EventLog) { b.Errors = append(b.Errors, text) })
}
