// Package proxy is the front's reverse proxy: it takes requests of clients, has the pure modules decide, calls hosts and
// streams their answers back. It holds the sockets, clocks and goroutines of the data plane.
package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/turnstore"
	"larchrouter/internal/tier/upstream"
)

// Ledger is the store of turns and budgets, as turnstore.Client is: after an error of Open nothing stays reserved, and the
// error is marked with turnstore.ErrBudget, ErrNoTurn or, otherwise, ErrUnsure. Settle does not wait.
type Ledger interface {
	Open(ctx context.Context, o turnstore.OpenRequest) (*turnstore.OpenedTurn, error)
	Close(ctx context.Context, t *turnstore.Turn) error
	Settle(program, turn string, used int)
}

var _ Ledger = (*turnstore.Client)(nil)

// Unlimited is the budget of a program that names none.
const Unlimited = 1 << 50

// Options is what a Server is made of.
type Options struct {
	Zone             string
	Source           feed.Source
	Ledger           Ledger
	NewOracle        func(deadline time.Duration) balancer.Oracle
	Log              *process.Ring
	GracePeriod      time.Duration // between SIGTERM and SIGKILL
	MaxInFlight      int           // calls to hosts at once
	MaxClientConns   int           // of clients
	ConnLimitDivisor int           // this relay takes one in so many of a host's connections
	Seed             uint64
	Dial             upstream.Dial // of hosts; nil for TCP
}

// Server serves clients.
type Server struct {
	options    Options
	dispatcher *dispatcher
	draining   atomic.Bool
	stop       context.CancelFunc
	ctx        context.Context
	wg         sync.WaitGroup

	mu      sync.Mutex
	clients map[*client]bool
	closed  bool
	drained chan struct{} // closed when the last client has gone; made once that ends a drain
}

const (
	sweepInterval    = 250 * time.Millisecond
	drainIdleTimeout = 500 * time.Millisecond // a kept connection is closed so long after its last answer
	drainMargin      = time.Second            // of the grace period that is not used
)

var defaultLimits = routing.Limits{MaxHeader: 16 << 10, MaxBody: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// New makes a server.
func New(c Options) *Server {
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = 768
	}
	if c.MaxClientConns <= 0 {
		c.MaxClientConns = 2000
	}
	if c.ConnLimitDivisor <= 0 {
		c.ConnLimitDivisor = 4
	}
	if c.GracePeriod <= 0 {
		c.GracePeriod = 8 * time.Second
	}
	s := &Server{options: c, dispatcher: newDispatcher(c), clients: map[*client]bool{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Ready tells whether this relay should get new connections.
func (s *Server) Ready() bool {
	t := s.options.Source.Tables()
	if s.draining.Load() || t.Config == nil || t.Hosts == nil {
		return false
	}
	if t.Placement != nil {
		return true
	}
	for i := range t.Config.Routes {
		if t.Config.Routes[i].Retained {
			return false
		}
	}
	return true
}

// Serve takes connections until Close. ready may be nil.
func (s *Server) Serve(front, ready net.Listener) {
	s.wg.Go(s.followTables)
	s.wg.Go(func() { <-s.ctx.Done(); front.Close() })
	if ready != nil {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /api/readiness", func(w http.ResponseWriter, _ *http.Request) {
			if !s.Ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		h := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
		s.wg.Go(func() { _ = h.Serve(ready) })
		s.wg.Go(func() { <-s.ctx.Done(); _ = h.Close() })
	}
	for {
		nc, err := front.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return
			}
			time.Sleep(5 * time.Millisecond) // descriptors ran out for a moment
			continue
		}
		c := newClient(s, nc)
		s.mu.Lock()
		if s.closed || len(s.clients) >= s.options.MaxClientConns {
			s.mu.Unlock()
			nc.Close() // unread: the client may go elsewhere
			continue
		}
		s.clients[c] = true
		s.wg.Go(c.serve)
		s.mu.Unlock()
	}
}

// followTables brings the hosts up to date, and closes connections that have been idle for too long.
func (s *Server) followTables() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		changed := s.options.Source.Changed()
		s.dispatcher.update(s.options.Source.Tables(), time.Now())
		for again := false; !again; {
			select {
			case <-s.ctx.Done():
				return
			case <-changed:
				again = true
			case now := <-tick.C:
				s.dispatcher.sweep(now)
			}
		}
	}
}

// note keeps what went wrong in the log ring; it is not called for each request.
func (s *Server) note(keyvals ...any) {
	if s.options.Log != nil {
		_ = s.options.Log.Log(keyvals...)
	}
}

func (s *Server) clientClosed(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	s.notifyDrained()
}

// notifyDrained tells Drain that nothing is left, and takes no connection from then on: what would come before the listener is
// closed is not read, so that its client may go elsewhere. The lock is held.
func (s *Server) notifyDrained() {
	if s.drained != nil && len(s.clients) == 0 {
		s.closed = true
		close(s.drained)
		s.drained = nil
	}
}

// Drain serves on what comes, but is not ready any more and keeps no connection. It returns when the grace period is
// nearly over, when ctx ends, or when no client was left for long enough that the platform sends no more.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.mu.Lock()
	for c := range s.clients {
		c.drain()
	}
	s.mu.Unlock()
	end := time.NewTimer(max(0, s.options.GracePeriod-drainMargin))
	defer end.Stop()
	unlisted := time.NewTimer(min(unlistDelay, max(0, s.options.GracePeriod-drainMargin)))
	defer unlisted.Stop()
	select { // two misses of the platform's question, a second apart, and what they take to be heeded
	case <-unlisted.C:
	case <-end.C:
		return
	case <-ctx.Done():
		return
	}
	quiet := make(chan struct{})
	s.mu.Lock()
	s.drained = quiet
	s.notifyDrained()
	s.mu.Unlock()
	select {
	case <-quiet:
	case <-end.C:
	case <-ctx.Done():
	}
}

const unlistDelay = 3500 * time.Millisecond

// Close ends all connections and waits for what runs.
func (s *Server) Close() {
	s.stop()
	s.mu.Lock()
	s.closed = true
	for c := range s.clients {
		c.abort()
	}
	s.mu.Unlock()
	s.wg.Wait()
	s.dispatcher.close()
}
