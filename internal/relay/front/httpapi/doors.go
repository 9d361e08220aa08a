package httpapi

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Doors send a relay's clients away while the process keeps running, and let them in again. Closed, /up says no,
// so that the front sends nobody new; messages are still taken on, since the front needs a while to notice; each
// answer ends its connection; and after the grace the connections on which no request has begun are closed.
type Doors struct {
	clients *Listener
	grace   time.Duration
	closed  atomic.Bool

	mu    sync.Mutex
	timer *time.Timer // closes idle connections
}

// idleRecheckInterval is how soon it is looked anew for idle connections: an answer under way when the doors were closed keeps its own.
const idleRecheckInterval = 100 * time.Millisecond

// NewDoors are open doors of a listener's clients. The grace is how long idle connections stay once the doors are
// closed: longer than the front goes on sending clients, so that few meet a connection that closes under them.
func NewDoors(clients *Listener, grace time.Duration) *Doors {
	return &Doors{clients: clients, grace: grace}
}

// Close sends clients away. Closing closed doors changes nothing.
func (d *Doors) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed.Swap(true) {
		d.timer = time.AfterFunc(d.grace, d.closeIdle)
	}
}

// Shut sends clients away with no grace, for good: the doors do not open again.
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

func (d *Doors) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed.Load() && d.timer != nil {
		d.clients.SendAway(false)
		d.timer.Reset(idleRecheckInterval)
	}
}

// Open lets clients in again, at once.
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

// Closed tells whether clients are being sent away.
func (d *Doors) Closed() bool { return d.closed.Load() }

// ServeUp answers whether clients may be sent here.
func (d *Doors) ServeUp(w http.ResponseWriter, _ *http.Request) {
	if d.Closed() {
		http.Error(w, "clients are sent away", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Behind has each answer of a handler end its connection while the doors are closed.
func (d *Doors) Behind(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if d.Closed() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, req)
	})
}
