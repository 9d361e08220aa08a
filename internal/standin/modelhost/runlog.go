package modelhost

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
)

// Outcome is how a run ended, as its host saw it.
type Outcome int

// The ends of a run.
const (
	Running   Outcome = iota
	Completed         // the whole answer was written
	Failed            // 500, or 504 at its deadline
	Aborted           // the host broke off, lost its answer, sent noise, or was closed
	Canceled          // the caller closed the connection
)

// Run is one request that a host began to work on.
type Run struct {
	Host          string // its id
	Service       string
	Attempt       string
	Method        string
	URI           string
	Header        http.Header
	Body          []byte
	Events        []string // the data of those that were written
	PrefillTokens int      // tokens of the prompt that no kept part covered
	Outcome       Outcome
}

// RunLog has all runs of all hosts that share it. It is safe for concurrent use; its zero value is ready.
type RunLog struct {
	mu      sync.Mutex
	runs    []*Run
	changed chan struct{}
}

func (l *RunLog) add(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, &r)
	l.notify()
	return &r
}

// update changes a run.
func (l *RunLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	l.notify()
}

func (l *RunLog) notify() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

func (l *RunLog) clone(of func(r *Run) bool) []Run {
	var all []Run
	for _, r := range l.runs {
		if of(r) {
			one := *r
			one.Events = slices.Clone(r.Events)
			all = append(all, one)
		}
	}
	return all
}

// Runs are all runs in the order of their beginning.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clone(func(*Run) bool { return true })
}

// ForAttempt are the runs of one attempt.
func (l *RunLog) ForAttempt(attempt string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clone(func(r *Run) bool { return r.Attempt == attempt })
}

// Wait comes back once the runs are as asked for.
func (l *RunLog) Wait(ctx context.Context, ok func(runs []Run) bool) error {
	for {
		l.mu.Lock()
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed, runs := l.changed, l.clone(func(*Run) bool { return true })
		l.mu.Unlock()
		if ok(runs) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// DuplicateRuns names the attempts that ran more than once and may not: those for which idempotent is false.
func (l *RunLog) DuplicateRuns(idempotent func(r Run) bool) []string {
	var out []string
	count := map[string]int{}
	for _, r := range l.Runs() {
		if count[r.Attempt]++; count[r.Attempt] == 2 && !idempotent(r) {
			out = append(out, r.Attempt)
		}
	}
	return out
}

// HistoryMismatches tells of the turns whose body is not what their chain says: the body of the turn that Previous names and
// the data of each of its events, each with a line feed after it, and then the new input, which input gives by attempt.
func (l *RunLog) HistoryMismatches(input func(attempt string) []byte) []string {
	var out []string
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
			out = append(out, fmt.Sprintf("%s continues %s, which did not run whole", r.Attempt, r.Header.Get("Previous")))
		} else if want = append(want, input(r.Attempt)...); !bytes.Equal(r.Body, want) {
			out = append(out, fmt.Sprintf("%s got %q, want %q", r.Attempt, r.Body, want))
		}
	}
	return out
}

// AppendOutput appends the data of events as they stand in a history.
func AppendOutput(history []byte, events []string) []byte {
	for _, e := range events {
		history = append(append(history, e...), '\n')
	}
	return history
}
