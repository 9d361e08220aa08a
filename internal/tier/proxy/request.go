package proxy

import (
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/upstream"
)

const (
	responseMargin    = 15 * time.Millisecond  // before its deadline at which a request is answered at the latest
	maxUnsentAttempts = 4                      // tries that reached no host, beside those that did
	writeGrace        = 200 * time.Millisecond // for the bytes of an answer to leave, past the deadline of its request

	rejectionWriteTimeout = 2 * time.Second         // for those of a refusal, where no deadline is known
	staleTimeout          = 1500 * time.Millisecond // without word of the core, from which on a route may have been added
)

// request is one of a client, from its first byte to its answer.
type request struct {
	*head
	client      *client
	arrivedAt   time.Time // when its first byte was seen, though one before it was still served
	body        []byte
	idleTimeout time.Duration
	closeAfter  bool // the connection ends with the answer
	keepAlive   bool // the answer was whole, and the connection serves on

	id              string
	tables          *feed.Tables
	route           *routing.Route
	service         routing.Service
	deadline        time.Time // an answer is of use until then
	programDeadline time.Time
	maxTokens       int // the most that it sends out
	promptTokens    int // tokens of its prompt
	cancelled       chan struct{}

	mu          sync.Mutex
	call        *upstream.Call
	cancelOpen  func() // ends the opening of the turn; nil otherwise
	isCancelled bool   // the client has gone
}

// cancel stops the work for a client that has gone.
func (r *request) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isCancelled {
		r.isCancelled = true
		close(r.cancelled)
	}
	if r.call != nil {
		r.call.Cancel()
	}
	if r.cancelOpen != nil {
		r.cancelOpen()
	}
}

// setCancelOpen has stop called once the client has gone; nil ends that.
func (r *request) setCancelOpen(stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancelOpen = stop; stop != nil && r.isCancelled {
		stop()
	}
}

func (r *request) newCall() *upstream.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.call = new(upstream.Call)
	if r.isCancelled {
		r.call.Cancel()
	}
	return r.call
}

func (r *request) clientDisconnected() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.isCancelled }

func (r *request) server() *Server { return r.client.server }

// handle serves a request that was read whole.
func (r *request) handle() {
	r.closeAfter = r.close
	r.tables = r.server().options.Source.Tables()
	if r.tables.Config == nil {
		r.respondError(http.StatusServiceUnavailable, restartDelay(), "no configuration yet: come back")
		return
	}
	r.route = r.tables.Config.Route(r.host, r.path())
	if r.route == nil && isStale(r.tables, time.Now()) {
		r.respondError(http.StatusServiceUnavailable, restartDelay(), "no such route in a configuration that may be old: come back after Retry-After")
		return
	}
	if r.route == nil {
		r.respondError(http.StatusNotFound, 0, "no route for this host and path: send to one of the configuration")
		return
	}
	if !r.parseHeaders() {
		return
	}
	shares := make([]int, len(r.route.Targets))
	for i, t := range r.route.Targets {
		shares[i] = t.Weight
	}
	r.service = r.tables.Config.Services[r.route.Targets[balancer.PickTarget(shares, r.id)].Service]
	r.cancelled = make(chan struct{})
	r.client.setOnDisconnect(r.cancel)
	if r.route.Kind == routing.Streaming {
		r.serveStream()
	} else {
		r.serveBuffered()
	}
}

// isStale tells whether the configuration may be an old one: no core node that hears a majority has answered for a while.
func isStale(t *feed.Tables, now time.Time) bool {
	return !t.ConfirmedAt.IsZero() && now.Sub(t.ConfirmedAt) > staleTimeout
}
