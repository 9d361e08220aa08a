package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/turnstore"
	"larchrouter/internal/tier/upstream"
)

// Bounds of the lines about requests that were lost or late, so that a burst of them costs little processor time.
const (
	lossLinesPerSecond = 20
	lossLineBurst      = 40
)

// lossLog writes one line for each request that ends without the complete response of a host, and for each that is late, with its
// cause: `larch-control losses` prints a table of them. Lines beyond a rate are counted and left out.
type lossLog struct {
	mu      sync.Mutex
	credit  float64
	last    time.Time // of the last change of credit
	omitted int       // lines left out since the last one
}

// allow reports whether a line may be written now, and how many were left out before it.
func (l *lossLog) allow(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.IsZero() {
		l.credit = lossLineBurst
	} else {
		l.credit = min(lossLineBurst, l.credit+now.Sub(l.last).Seconds()*lossLinesPerSecond)
	}
	if l.last = now; l.credit < 1 {
		l.omitted++
		return 0, false
	}
	l.credit--
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// Causes of losses that are not errors of a call.
const (
	causeClientGone  = "client_gone"
	causeDrain       = "drain"
	causeNoRoom      = "no_room"      // no host had a slot in time, and the request has not run
	causeNotRecorded = "not_recorded" // the stores did not take the turn
	causeStores      = "stores"       // they could not be sure of the turn
	causeNoMemory    = "no_memory"    // for the history of the turn, or for what is kept of its stream
	causeBudget      = "budget"
	causeNoTurn      = "no_such_turn"
	causeHostFailed  = "host_failed" // it answered with a failure of its own
	causeUnknownKey  = "unknown_key" // no tenant has the request's key, or it has none

	// causeUncheckedKey: the key cannot be checked, as the tables may be too old.
	causeUncheckedKey = "unchecked_key"
)

// errorCause returns the cause of a loss by the error of the last call, or of the opening of the turn.
func errorCause(err error) string {
	switch {
	case isOutOfMemory(err):
		return causeNoMemory
	case errors.Is(err, upstream.ErrDeadline):
		return "host_timeout"
	case errors.Is(err, upstream.ErrConnect), errors.Is(err, upstream.ErrNotSent):
		return "host_unreachable"
	case errors.Is(err, upstream.ErrBroken):
		return "host_broke_off"
	case errors.Is(err, upstream.ErrCancelled):
		return causeClientGone
	case errors.Is(err, turnstore.ErrBudget):
		return causeBudget
	case errors.Is(err, turnstore.ErrNoTurn):
		return causeNoTurn
	}
	return causeHostFailed
}

// logLoss logs that the request ends without the complete response of a host, once for a request. status is 0 if the connection
// ends without one.
func (r *request) logLoss(cause string, status int) {
	if r.lossLogged {
		return
	}
	r.lossLogged = true
	omitted, ok := r.server().losses.allow(time.Now())
	if !ok {
		return
	}
	p := &r.phases
	r.server().options.Log.Info("request lost", "cause", cause, "kind", r.route.Kind, "route", r.route.Name, "service", r.service.Name,
		"host", p.host, "status", status, "ms", time.Since(r.arrivedAt).Milliseconds(), "call", p.calledFor.Milliseconds(),
		"reused", p.reused, "answered", p.answered, "attempts", p.attempts, "omitted", omitted)
}

// phases are the times that a request took until the first byte of its response.
type phases struct {
	openedAt  time.Time     // when its turn was open; the arrival if there was none to open
	queuedFor time.Duration // in all its attempts
	triedFor  time.Duration // in attempts without a response that was passed on
	calledFor time.Duration // in the last attempt
	attempts  int
	host      string // of the last attempt; empty for none
	reused    bool   // it went out on a connection that was used before
	answered  bool   // some byte of a response came
}

// attempted records the end of a call to a host.
func (p *phases) attempted(a *attempt) {
	p.triedFor += p.calledFor
	p.calledFor, p.host = time.Since(a.startedAt), a.endpoint.connections.ID
	p.reused, p.answered = a.ConnReused, a.ResponseStarted
	p.attempts++
}

// logIfLate logs that the first byte of a response comes behind the latency target, with the longest phase as the cause.
func (r *request) logIfLate() {
	now := time.Now()
	took := now.Sub(r.arrivedAt)
	if took <= r.route.LatencyTarget {
		return
	}
	omitted, ok := r.server().losses.allow(now)
	if !ok {
		return
	}
	p := &r.phases
	opened := p.openedAt.Sub(r.arrivedAt)
	cause, longest := "host", p.calledFor
	for _, phase := range []struct {
		name string
		took time.Duration
	}{{"open", opened}, {"queue", p.queuedFor}, {"failed_attempts", p.triedFor}} {
		if phase.took > longest {
			cause, longest = phase.name, phase.took
		}
	}
	r.server().options.Log.Info("request late", "cause", cause, "kind", r.route.Kind, "route", r.route.Name, "service", r.service.Name,
		"host", p.host, "status", http.StatusOK, "ms", took.Milliseconds(), "open", opened.Milliseconds(),
		"queue", p.queuedFor.Milliseconds(), "tried", p.triedFor.Milliseconds(), "call", p.calledFor.Milliseconds(),
		"attempts", p.attempts, "omitted", omitted)
}
