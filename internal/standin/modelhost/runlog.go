package modelhost

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
)

// Outcome is how a run ended, as its host observed it.
type Outcome int

// The outcomes of a run.
const (
	Running   Outcome = iota // in progress
	Completed                // the complete answer was written
	Failed                   // status 500, or 504 at its deadline
	Aborted                  // the host broke off or dropped its answer, sent garbage, or was closed
	Canceled                 // the caller closed the connection
)

// Run is one request that a host began to execute.
type Run struct {
	Host          string // its id
	Service       string
	Attempt       string // X-Attempt-Id
	Method        string
	URI           string
	Header        http.Header
	Body          []byte
	Skipped       int      // events ahead of the first one, by Last-Event-Id
	Events        []string // the data of the events that were written
	PrefillTokens int      // tokens of the prompt that were not cached
	Outcome       Outcome
	Endless       bool // the host sent an answer that never ends, by its fault
}

// RunLog records the runs of all hosts that share it. It is safe for concurrent use; its zero value is ready.
type RunLog struct {
	mu      sync.Mutex
	runs    []*Run        // in the order of their beginning
	changed chan struct{} // closed by the next change; nil if nobody waits
}

// add records the beginning of a run. The run may be changed in update alone.
func (l *RunLog) add(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &r)
	l.notify()
	return &r
}

// update calls a function that changes a run.
func (l *RunLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.notify()
}

// notify wakes those in Wait. The caller has locked mu.
func (l *RunLog) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// clone returns copies of the runs that match. The caller has locked mu.
func (l *RunLog) clone(match func(r *Run) bool) []Run {
	var runs []Run
	for _, r := range l.runs {
		if match(r) {
			run := *r
			run.Events = slices.Clone(r.Events)
			runs = append(runs, run)
		}
	}
	return runs
}

// Runs returns all runs in the order of their beginning.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clone(func(*Run) bool { return true })
}

// ForAttempt returns the runs of one attempt.
func (l *RunLog) ForAttempt(attempt string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clone(func(r *Run) bool { return r.Attempt == attempt })
}

// ForHost returns the runs of one host.
func (l *RunLog) ForHost(host string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clone(func(r *Run) bool { return r.Host == host })
}

// Wait waits until the runs meet a condition or the context ends.
func (l *RunLog) Wait(ctx context.Context, met func(runs []Run) bool) error {
	for {
		l.mu.Lock()
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed, runs := l.changed, l.clone(func(*Run) bool { return true })
		l.mu.Unlock()
		if met(runs) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// DuplicateRuns returns the ids of attempts that ran more than once although they are not idempotent.
func (l *RunLog) DuplicateRuns(idempotent func(r Run) bool) []string {
	var attempts []string
	count := map[string]int{}
	for _, r := range l.Runs() {
		if count[r.Attempt]++; count[r.Attempt] == 2 && !idempotent(r) {
			attempts = append(attempts, r.Attempt)
		}
	}
	return attempts
}

// HistoryMismatches describes the turns whose body is not the history that their chain requires: the body of the turn that
// the header Previous names, the data of each of its events with a line feed, and then the new input, which input returns
// by attempt.
func (l *RunLog) HistoryMismatches(input func(attempt string) []byte) []string {
	var mismatches []string
	runs := l.Runs()
	for _, r := range runs {
		want, found := []byte(nil), true
		if previous := r.Header.Get("Previous"); previous != "" {
			i := slices.IndexFunc(runs, func(p Run) bool { return p.Attempt == previous && p.Outcome == Completed })
			if found = i >= 0; found {
				want = AppendOutput(slices.Clone(runs[i].Body), runs[i].Events)
			}
		}
		if !found {
			mismatches = append(mismatches, fmt.Sprintf("%s continues %s, which was not completed", r.Attempt, r.Header.Get("Previous")))
		} else if want = append(want, input(r.Attempt)...); !bytes.Equal(r.Body, want) {
			mismatches = append(mismatches, fmt.Sprintf("%s got %q, want %q", r.Attempt, r.Body, want))
		}
	}
	return mismatches
}

// AppendOutput appends the data of events to a history, each with a line feed.
func AppendOutput(history []byte, events []string) []byte {
	for _, event := range events {
		history = append(append(history, event...), '\n')
	}
	return history
}
