package httpapi

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Doors drain a relay's client connections while the process keeps running, and admit clients again. While they are
// closed, /up fails, so that the load balancer in front sends no new clients; messages are still accepted, since that
// takes a while to have effect; each response closes its connection; and after a grace period the connections on
// which no request has begun are closed.
//
// Doors are safe for concurrent use.
type Doors struct {
	clients *Listener
	grace   time.Duration
	closed  atomic.Bool // written under mu

	mu    sync.Mutex
	timer *time.Timer // closes idle connections after grace; nil while the doors are open, and once they are shut for good
}

// idleRecheckInterval is the time between two passes that close idle connections: a response that was under way when
// the doors were closed left its connection open.
const idleRecheckInterval = 100 * time.Millisecond

// NewDoors returns open doors for a listener's clients. grace is the time for which idle connections stay open once the
// doors are closed. It should be longer than the load balancer goes on sending clients, so that few of them use a
// connection that is just being closed.
func NewDoors(clients *Listener, grace time.Duration) *Doors {
	return &Doors{clients: clients, grace: grace}
}

// Close begins to drain the client connections. It has no effect on doors that are closed.
func (d *Doors) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed.Swap(true) {
		d.timer = time.AfterFunc(d.grace, d.closeIdle)
	}
}

// Shut closes the idle client connections at once, and the doors for good: Open has no effect afterwards. It may be
// called again, to close connections that have become idle since.
func (d *Doors) Shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed.Store(true)
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timer = nil
	d.clients.SendAway(false)
}

// closeIdle closes the idle client connections and schedules the next pass.
func (d *Doors) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed.Load() && d.timer != nil {
		d.clients.SendAway(false)
		d.timer.Reset(idleRecheckInterval)
	}
}

// Open admits clients again, at once.
func (d *Doors) Open() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer == nil {
		return
	}
	d.closed.Store(false)
	d.timer.Stop()
	d.timer = nil
}

// Closed reports whether the client connections are being drained.
func (d *Doors) Closed() bool { return d.closed.Load() }

// ServeUp is the handler of /up: status 200 if clients may be sent here, and 503 while the doors are closed.
func (d *Doors) ServeUp(w http.ResponseWriter, _ *http.Request) {
	if d.Closed() {
		http.Error(w, "clients are sent away", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Behind wraps a handler so that each of its responses closes the connection while the doors are closed.
func (d *Doors) Behind(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if d.Closed() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, req)
	})
}
