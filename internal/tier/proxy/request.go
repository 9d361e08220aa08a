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
	answerMargin = 15 * time.Millisecond  // before its deadline at which a request is answered at the latest
	maxUnsent    = 4                      // tries that reached no host, beside those that did
	writeGrace   = 200 * time.Millisecond // for the bytes of an answer to leave, past the deadline of its request

	refusalGrace = 2 * time.Second         // for those of a refusal, where no deadline is known
	staleAfter   = 1500 * time.Millisecond // without word of the core, from which on a route may have been added
)

// request is one of a client, from its first byte to its answer.
type request struct {
	*head
	client     *client
	arrived    time.Time // when its first byte was seen, though one before it was still served
	body       []byte
	idle       time.Duration
	closeAfter bool // the connection ends with the answer
	keepAlive  bool // the answer was whole, and the connection serves on

	id      string
	tables  *feed.Tables
	route   *routing.Route
	service routing.Service
	until   time.Time // an answer is of use until then
	finish  time.Time
	tokens  int // the most that it sends out
	prompt  int // tokens of its prompt
	gone    chan struct{}

	mu         sync.Mutex
	call       *upstream.Call
	stop       func() // ends the opening of the turn; nil otherwise
	clientGone bool   // the client has gone
}

// cancel stops the work for a client that has gone.
func (r *request) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.clientGone {
		r.clientGone = true
		close(r.gone)
	}
	if r.call != nil {
		r.call.Cancel()
	}
	if r.stop != nil {
		r.stop()
	}
}

// opening has stop called once the client has gone; nil ends that.
func (r *request) opening(stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop = stop; stop != nil && r.clientGone {
		stop()
	}
}

func (r *request) newCall() *upstream.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.call = new(upstream.Call)
	if r.clientGone {
		r.call.Cancel()
	}
	return r.call
}

func (r *request) hasGone() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.clientGone }

func (r *request) server() *Server { return r.client.server }

// handle serves a request that was read whole.
func (r *request) handle() {
	r.closeAfter = r.close
	r.tables = r.server().cfg.Source.Tables()
	if r.tables.Config == nil {
		r.fail(http.StatusServiceUnavailable, startsAgain(), "no configuration yet: come back")
		return
	}
	r.route = r.tables.Config.Route(r.host, r.path())
	if r.route == nil && stale(r.tables, time.Now()) {
		r.fail(http.StatusServiceUnavailable, startsAgain(), "no such route in a configuration that may be old: come back after Retry-After")
		return
	}
	if r.route == nil {
		r.fail(http.StatusNotFound, 0, "no route for this host and path: send to one of the configuration")
		return
	}
	if !r.read() {
		return
	}
	shares := make([]int, len(r.route.Targets))
	for i, t := range r.route.Targets {
		shares[i] = t.Weight
	}
	r.service = r.tables.Config.Services[r.route.Targets[balancer.PickTarget(shares, r.id)].Service]
	r.gone = make(chan struct{})
	r.client.during(r.cancel)
	if r.route.Kind == routing.Streaming {
		r.stream()
	} else {
		r.plain()
	}
}

// stale tells whether the configuration may be an old one: no core node that hears a majority has answered for a while.
func stale(t *feed.Tables, now time.Time) bool {
	return !t.ConfirmedAt.IsZero() && now.Sub(t.ConfirmedAt) > staleAfter
}
