package proxy

import (
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/membudget"
	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/upstream"
)

const (
	responseMargin        = 15 * time.Millisecond   // before its deadline at which a request is answered at the latest
	writeGrace            = 200 * time.Millisecond  // past the deadline, for the bytes of a response to be written
	rejectionWriteTimeout = 2 * time.Second         // the same where no deadline is known
	staleTimeout          = 1500 * time.Millisecond // without confirmation by the core, after which a route may be missing
)

// request is a request of a client, from its first byte to the end of its response.
type request struct {
	*head
	client      *client
	arrivedAt   time.Time // of its first byte, also while the request before it was served
	body        body
	memory      *membudget.Account // of what it makes the process hold; nil for nothing, see account
	idleTimeout time.Duration      // by the configuration when it was read; for Keep-Alive
	closeAfter  bool               // the connection ends with the response
	keepAlive   bool               // the response is complete and the connection serves the next request

	id              string // X-Attempt-Id
	tables          *feed.Tables
	route           *routing.Route
	tenant          *routing.Tenant // that holds the request's key; nil for none
	key             string          // Api-Key; empty for none
	service         routing.Service
	deadline        time.Time     // when it is answered at the latest
	programDeadline time.Time     // when its program should be over; zero for none
	maxTokens       int           // that it generates; 0 if unknown
	promptTokens    int           // 0 if unknown
	cancelled       chan struct{} // closed once the work is cancelled

	phases     phases
	lossLogged bool // by logLoss

	mu          sync.Mutex
	call        *upstream.Call // in flight, or the last one
	cancelOpen  func()         // cancels the opening of the turn; nil if none is under way
	cancelCause cancelCause    // if not 0, cancelled is closed
}

// cancelCause is why the work for a request is cancelled.
type cancelCause int

const (
	clientGone   cancelCause = iota + 1 // the client has disconnected: there is nobody to answer
	drainExpired                        // the grace period of a shutdown is nearly over: the client gets an error
)

// disconnect ends the work for a client that has disconnected.
func (r *request) disconnect() { r.cancel(clientGone) }

// expire ends the work for a request that a shutdown leaves no more time.
func (r *request) expire() { r.cancel(drainExpired) }

// cancel ends the work. The first cause counts.
func (r *request) cancel(cause cancelCause) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelCause == 0 {
		r.cancelCause = cause
		close(r.cancelled)
	}
	if r.call != nil {
		r.call.Cancel()
	}
	if r.cancelOpen != nil {
		r.cancelOpen()
	}
}

// setCancelOpen sets what cancel calls while the turn is opened; nil for nothing. If the request is cancelled already,
// it is called at once.
func (r *request) setCancelOpen(cancelOpen func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelOpen = cancelOpen; cancelOpen != nil && r.cancelCause != 0 {
		cancelOpen()
	}
}

// newCall returns the next call to a host, which cancel cancels.
func (r *request) newCall() *upstream.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.call = new(upstream.Call)
	if r.cancelCause != 0 {
		r.call.Cancel()
	}
	return r.call
}

// cancelledBy reports whether the work was cancelled for this cause.
func (r *request) cancelledBy(cause cancelCause) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelCause == cause
}

func (r *request) server() *Server { return r.client.server }

// handle serves a request that was read completely.
func (r *request) handle() {
	r.server().begun.Add(1)
	r.server().serving.Add(1)
	defer r.server().serving.Add(-1)
	r.closeAfter = r.close
	if !r.findRoute() || !r.authenticate() || !r.parseHeaders() || !r.admitDuringDrain() {
		return
	}
	weights := make([]int, len(r.route.Targets))
	for i, t := range r.route.Targets {
		weights[i] = t.Weight
	}
	r.service = r.tables.Config.Services[r.route.Targets[balancer.PickTarget(weights, r.id)].Service]
	r.cancelled = make(chan struct{})
	r.phases.openedAt = r.arrivedAt
	r.client.setOnDisconnect(r.disconnect)
	r.client.setInFlight(r)
	if r.server().expired.Load() { // since it was admitted
		r.expire()
	}
	if r.route.Kind == routing.Streaming {
		r.serveStream()
	} else {
		r.serveBuffered()
	}
}

// admitDuringDrain rejects a request that a draining front cannot be sure to answer before it ends. If it returns false the
// client has its error response.
func (r *request) admitDuringDrain() bool {
	if plan := r.server().drain.Load(); plan == nil || plan.takes(time.Now(), r.deadline) {
		return true
	}
	r.respondError(http.StatusServiceUnavailable, drainRetryDelay(), "this front is shutting down: come back, to another one")
	return false
}

// findRoute sets the tables and the route. If it returns false the client has its error response.
func (r *request) findRoute() bool {
	r.tables = r.server().options.Source.Tables()
	if r.tables.Config == nil {
		r.respondError(http.StatusServiceUnavailable, restartDelay(), "no configuration yet: come back")
		return false
	}
	r.route = r.tables.Config.Route(r.host, r.path())
	if r.route == nil && isStale(r.tables, time.Now()) {
		r.respondError(http.StatusServiceUnavailable, restartDelay(),
			"no such route in a configuration that may be old: come back after Retry-After")
		return false
	}
	if r.route == nil {
		r.respondError(http.StatusNotFound, 0, "no route for this host and path: send to one of the configuration")
		return false
	}
	return true
}

// isStale reports whether the configuration may be outdated: the core has not confirmed the tables for staleTimeout.
func isStale(t *feed.Tables, now time.Time) bool {
	return !t.ConfirmedAt.IsZero() && now.Sub(t.ConfirmedAt) > staleTimeout
}
