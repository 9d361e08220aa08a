package proxy

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"larchrouter/internal/connlimit"
	"larchrouter/internal/membudget"
	"larchrouter/internal/tier/admission"
	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/fairshare"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/hosthealth"
	"larchrouter/internal/tier/turnstore"
	"larchrouter/internal/tier/upstream"
)

// Ledger is the store of turns and token budgets. It is safe for concurrent use. turnstore.Client implements it.
type Ledger interface {
	// Open reserves the tokens that a turn may generate and returns the history that it continues. After an error nothing
	// stays reserved and the turn must not run. The error is marked with turnstore.ErrBudget if the budget is spent and
	// with turnstore.ErrNoTurn if the previous turn does not exist; any other error leaves that unknown.
	Open(ctx context.Context, o turnstore.OpenRequest) (*turnstore.OpenedTurn, error)
	// Close records a turn that is complete and commits its tokens. It returns nil once the record is durable, so that the
	// end of the stream may be passed on. After an error the turn may be recorded or not.
	Close(ctx context.Context, t *turnstore.Turn) error
	// Settle commits the tokens that a turn used which was opened and is not recorded; 0 if it did not run. It does not
	// wait.
	Settle(program, turn string, used int)
}

var _ Ledger = (*turnstore.Client)(nil)

// Unlimited is the budget, in tokens, of a program that names none.
const Unlimited = 1 << 50

// Options configures a Server. Source, Ledger and NewOracle are required.
type Options struct {
	// Zone of this front. Hosts in it are preferred.
	Zone string

	// Source has the configuration, the host list and the placement of the stores.
	Source feed.TablesProvider

	// Ledger stores turns and budgets, for retained routes.
	Ledger Ledger

	// NewOracle returns the latency table for a destination and a route's deadline.
	NewOracle func(deadline time.Duration) balancer.Oracle

	// ReportHealth gets what this front observes of hosts that fail. Default: nothing is reported.
	ReportHealth ReportHealth

	// Usage counts the requests that hosts begin to run, and the calls to them. Default: nothing is counted.
	Usage UsageRecorder

	// Log gets faults. Default: nothing is logged.
	Log *slog.Logger

	// GracePeriod is the time between SIGTERM and SIGKILL, which bounds Drain. Default: 8 s.
	GracePeriod time.Duration

	// RevocationBound is the time after the acknowledgement of a configuration from which no request runs with a key that it took
	// away, whether this front is in touch with the core or not. Default: keys are trusted for as long as they are in the tables.
	RevocationBound time.Duration

	// MaxInFlight is the number of calls to hosts at once, at most. Default: 768.
	MaxInFlight int

	// MaxClientConns is the number of client connections, at most. For a further one, a connection gives way that is idle, or whose
	// request is not read completely; if there is none, the further one is closed unread. Default: 2000.
	MaxClientConns int

	// Memory bounds what clients make the server hold. Default: no limit.
	Memory *membudget.Budget

	// LinkBytesPerSecond is what the link of this node carries; 0 if it is not known. Long responses share it.
	LinkBytesPerSecond float64

	// Cores is the processor time that this node is granted, in cores; 0 if it is not known. Long responses leave a part of it to others.
	Cores float64

	// ConnLimitDivisor divides a service's conn_limit per host among the fronts: this front opens at most
	// conn_limit / ConnLimitDivisor connections to a host, but at least 4. Default: 4.
	ConnLimitDivisor int

	// Seed breaks ties between hosts.
	Seed uint64

	// Balancing has the parameters of load balancing; they must pass Params.Check. Default: balancer.DefaultParams.
	Balancing balancer.Params

	// Admission has the parameters of the queues; they must pass Params.Check. Default: admission.DefaultParams.
	Admission admission.Params

	// Retries has the parameters of retries. Default: DefaultRetryParams.
	Retries RetryParams

	// Dial connects to hosts. Default: TCP.
	Dial upstream.Dial
}

// withDefaults replaces zero values by defaults.
func (o Options) withDefaults() Options {
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = 768
	}
	if o.MaxClientConns <= 0 {
		o.MaxClientConns = 2000
	}
	if o.Memory == nil {
		o.Memory = membudget.New(membudget.Options{})
	}
	if o.ConnLimitDivisor <= 0 {
		o.ConnLimitDivisor = 4
	}
	if o.Balancing == (balancer.Params{}) {
		o.Balancing = balancer.DefaultParams()
	}
	if o.Admission == (admission.Params{}) {
		o.Admission = admission.DefaultParams()
	}
	if o.Retries == (RetryParams{}) {
		o.Retries = DefaultRetryParams()
	}
	if o.ReportHealth == nil {
		o.ReportHealth = func(context.Context, []hosthealth.Observation) error { return nil }
	}
	if o.Usage == nil {
		o.Usage = noUsage{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.GracePeriod <= 0 {
		o.GracePeriod = 8 * time.Second
	}
	return o
}

// Server is the reverse proxy. Use New to make one.
type Server struct {
	options    Options
	dispatcher *dispatcher
	drain      atomic.Pointer[drainPlan] // of the graceful shutdown; nil before it
	expired    atomic.Bool               // requests in flight were ended by expire; no more are forwarded
	stop       context.CancelFunc        // cancels ctx
	ctx        context.Context           // done once Close was called
	wg         sync.WaitGroup            // all goroutines of the server
	losses     lossLog
	memoryLog  memoryLog
	bounds     boundLog
	pacer      *fairshare.Pacer // of long responses
	serving    atomic.Int64     // requests that are handled
	begun      atomic.Int64     // requests that were or are
	evictable  evictableConns
	lingering  atomic.Int32 // clients whose rejected requests are still read

	mu      sync.Mutex
	clients map[*client]bool
	closed  bool          // new connections are closed unread
	drained chan struct{} // closed once no client is left; set by Drain while it waits for that

	drainBegan time.Time // zero before Drain; guarded by mu
}

// maxReadinessConns is the number of connections to the readiness endpoint, at most.
const maxReadinessConns = 32

const (
	readinessTimeout = 5 * time.Second // for a call to the readiness endpoint to be read and answered
	maxReadinessHead = 8 << 10         // bytes
)

const sweepInterval = 250 * time.Millisecond // between two looks for idle connections to hosts that have expired

// New returns a server that serves nothing yet.
func New(options Options) *Server {
	options = options.withDefaults()
	s := &Server{options: options, dispatcher: newDispatcher(options), clients: map[*client]bool{}}
	s.pacer = fairshare.New(fairshare.Options{LinkBytesPerSecond: options.LinkBytesPerSecond, Cores: options.Cores, Requests: s.requests})
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// requests returns how many requests are handled now, and how many have begun so far.
func (s *Server) requests() (serving int, begun int64) { return int(s.serving.Load()), s.begun.Load() }

// draining reports whether the graceful shutdown has begun.
func (s *Server) draining() bool { return s.drain.Load() != nil }

// Ready reports whether this front should get new connections: it is not draining and knows the configuration, the hosts
// and, if the configuration has retained routes, the placement of the stores.
func (s *Server) Ready() bool {
	t := s.options.Source.Tables()
	if s.draining() || t.Config == nil || t.Hosts == nil {
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

// Serve accepts client connections on front until Close. If ready is not nil, it serves the readiness endpoint for the
// platform there. Serve closes both listeners.
func (s *Server) Serve(front, ready net.Listener) {
	s.wg.Go(s.followTables)
	s.wg.Go(func() { s.dispatcher.health.run(s.ctx) })
	s.wg.Go(func() { <-s.ctx.Done(); front.Close() })
	if ready != nil {
		s.serveReadiness(ready)
	}
	for {
		nc, err := front.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return
			}
			time.Sleep(5 * time.Millisecond) // out of descriptors
			continue
		}
		s.serveClient(nc)
	}
}

// serveClient serves a new connection, if it is permitted.
func (s *Server) serveClient(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.hasRoomForClient() {
		nc.Close() // unread, so that the client may safely retry elsewhere
		return
	}
	c := newClient(s, nc)
	s.clients[c] = true
	s.evictable.setIdle(c)
	s.wg.Go(c.serve)
}

// hasRoomForClient reports whether one more connection is permitted, for which another one gives way if necessary. s.mu must be held.
func (s *Server) hasRoomForClient() bool {
	return len(s.clients)-s.evictable.evictingCount() < s.options.MaxClientConns || s.evictable.evictOne()
}

// serveReadiness starts the readiness endpoint: 200 if Ready, else 503.
func (s *Server) serveReadiness(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /api/memory", s.serveMemory)
	mux.HandleFunc("GET /api/responses", s.serveResponses)
	h := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: readinessTimeout,
		WriteTimeout: readinessTimeout, IdleTimeout: 15 * time.Second, MaxHeaderBytes: maxReadinessHead}
	connlimit.Apply(h, maxReadinessConns)
	s.wg.Go(func() { _ = h.Serve(listener) })
	s.wg.Go(func() { <-s.ctx.Done(); _ = h.Close() })
}

// followTables applies each change of the tables to the dispatcher, and closes expired connections every sweepInterval.
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
