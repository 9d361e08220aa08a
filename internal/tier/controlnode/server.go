package controlnode

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/connlimit"
	"larchrouter/internal/ctxtime"
	"larchrouter/internal/lifecycle"
	"larchrouter/internal/membudget"
	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/lease"
	"larchrouter/internal/tier/usage"
	"larchrouter/internal/tier/view"
)

// Intervals and time-outs of the server.
const (
	tickInterval     = 50 * time.Millisecond                 // between ticks of the event loop
	requestTimeout   = 900 * time.Millisecond                // callers consider a node dead that does not answer within a second
	gracePeriod      = 8 * time.Second                       // between SIGTERM and SIGKILL, if the settings do not say
	shutdownTimeout  = requestTimeout + 300*time.Millisecond // for answering operators' calls in flight
	hostPollInterval = 900 * time.Millisecond                // between fetches of the platform's host list
	planInterval     = 100 * time.Millisecond                // minimum time between two plans of the store placement
	pollGrace        = 300 * time.Millisecond                // how long a follower's poll waits while this node is partitioned or behind
)

// Bounds of the connections to a node.
const (
	peerConnsPart     = 2                // divides max_fds: connections of other processes
	operatorConnsPart = 4                // divides max_fds: connections of operators
	operatorTimeout   = 30 * time.Second // for an operator's call, until its response is written
	maxOperatorHead   = 16 << 10         // bytes
)

// Server runs a control node as a process. One goroutine, the event loop, owns the Node and everything that depends on
// it; all other goroutines send it requests. See the package documentation.
type Server struct {
	settings    *process.Settings
	db          *sqlitelog.DB
	log         *slog.Logger
	memory      *membudget.Budget // of what operators and other processes make the node hold
	clients     *rpc.Clients
	self        view.Member
	startedAt   time.Time
	incarnation int64 // number of starts of this node with its disk

	requests     chan queuedRequest
	peerMessages chan Message // from other control nodes: the loop handles them before all else
	ctx          context.Context
	stop         context.CancelFunc
	wg           sync.WaitGroup

	// Owned by the event loop; only loopRequest.handle and nodeRequest.start use them elsewhere.
	node            *Node
	ready           Ready                                          // merged from the steps of the current batch
	awaitingSync    []chan bool                                    // callers of runOnLoop, see queuedRequest
	syncTimes       durations                                      // of syncRows
	tickTimes       durations                                      // between two ticks
	syncRows        func(context.Context, []sqlitelog.Write) error // db.Commit
	saved           savedState                                     // on disk
	pendingRequests map[int64]pendingRequest                       // by request ID
	lastRequestID   int64
	placementRole   placementRole
	healthRole      healthRole
	lease           *lease.Lease // for the singleton tasks

	releasesInFlight int // calls that release the lease to the next head
	usageRole        usageRole
	hostListHistory  discovery.History

	trueTime  *usage.TrueTime // estimated from the clocks of the voters
	taskCalls platformCallLog // recent calls to the platform, for operators

	taskSnapshot atomic.Pointer[taskSnapshot] // state of the singleton tasks after their last step, for operators; nil before the first

	healthReported chan struct{} // of capacity 1: a front has reported since pollPlatform last received from it

	isHead    atomic.Bool                    // IsConfirmedHead after the last batch
	viewEpoch atomic.Int64                   // epoch of the view after the last batch
	taskGrant atomic.Pointer[publishedGrant] // this node's lease for the singleton tasks; nil for none
	diskFull  atomic.Bool                    // the event loop waits for free disk space
	mu        sync.Mutex                     // guards changed
	changed   chan struct{}                  // closed when there may be an update for followers
	senders   map[string]chan Message        // by address; owned by the event loop

	founding  foundingState
	followers sync.Map // from name to *Follower
	feed      feedServer
}

// RequireSettings returns an ErrSettings if a setting that a control node cannot do without is empty.
func RequireSettings(s *process.Settings) error {
	return cmp.Or(
		process.RequireSetting("bind_addrs.control_addr", s.Bind.Control, "give HOST:PORT, for operators"),
		process.RequireSetting("data_dir", s.DataDir, "give a core node a folder"),
	)
}

// Open opens the data folder of a control node and returns the node. Run starts it.
func Open(s *process.Settings, log *slog.Logger) (*Server, error) {
	if err := RequireSettings(s); err != nil {
		return nil, err
	}
	// The database and its write-ahead log may use 80 % of the disk limit.
	db, err := sqlitelog.Open(s.DataDir, "core.db", int64(s.Limits.DiskMB*0.8)<<20, "vote", "entries")
	if err != nil {
		return nil, err
	}
	server := &Server{
		settings:        s,
		db:              db,
		log:             log,
		memory:          s.RequestMemory(process.SmallOrder),
		clients:         &rpc.Clients{},
		startedAt:       time.Now(),
		requests:        make(chan queuedRequest, 256),
		peerMessages:    make(chan Message, 256),
		pendingRequests: map[int64]pendingRequest{},
		changed:         make(chan struct{}),
		senders:         map[string]chan Message{},
		healthReported:  make(chan struct{}, 1),
	}
	server.syncRows = db.Commit
	server.ctx, server.stop = context.WithCancel(context.Background())
	durable, err := server.load()
	if err != nil {
		_ = db.Close()
		return nil, err
	}
	server.node = NewNode(NodeSettings{
		Self:           server.self,
		Incarnation:    server.incarnation,
		Seeds:          s.SeedPeerAddrs(),
		FaultTolerance: s.FaultTolerance(),
		ChainLength:    chainLength(s),
		Timings:        DefaultTimings(),
	}, durable, 0)
	server.lease = lease.New(server.leaseParams(), 0)
	server.trueTime = usage.NewTrueTime(server.startedAt, 0)
	return server, nil
}

// chainLength returns the target number of chain members for the settings. If whole zones may be lost it is 0, for all
// voters, since a view does not name the zones of its members.
func chainLength(s *process.Settings) int {
	if s.Tolerance.Zones > 0 {
		return 0
	}
	return ChainLength(s.FaultTolerance())
}

// now returns the time since the start, which is the clock of the Node.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// UpdateSeeds sets the seeds from reloaded settings; a node without a vote announces itself to them.
func (s *Server) UpdateSeeds(settings *process.Settings) {
	s.runOnLoop(&setSeedsRequest{seeds: settings.SeedPeerAddrs()})
}

// setSeedsRequest replaces the seeds of the node.
type setSeedsRequest struct{ seeds []string }

func (r *setSeedsRequest) handle(s *Server) { s.node.settings.Seeds = r.seeds }

// Run listens, waiting until its ports are free, and serves until the context ends. It then shuts down gracefully: it leaves the view if
// other nodes can replace this one, answers the operators' calls in flight, and stops. It returns an error if the node cannot listen or
// its disk fails, and ErrFounder if the data folder has to be opened again. In any case it closes the data folder.
func (s *Server) Run(ctx context.Context) error {
	listeners, err := lifecycle.Listen(ctx, s.log, s.self.Addr, s.settings.Bind.Control)
	if err != nil {
		s.stop()
		return errors.CombineErrors(err, s.db.Close())
	}
	peers, control := listeners[0], listeners[1]
	server := rpc.NewServer(s.handlers())
	server.Memory, server.MaxConns = s.memory, s.settings.Limits.MaxFDs/peerConnsPart
	operators := &http.Server{Handler: s.operatorAPI(), ReadHeaderTimeout: 3 * time.Second, WriteTimeout: operatorTimeout, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: maxOperatorHead}
	connlimit.Apply(operators, s.settings.Limits.MaxFDs/operatorConnsPart)
	s.wg.Go(func() { server.Serve(peers) })
	s.wg.Go(func() { _ = operators.Serve(control) })
	s.wg.Go(s.pollPlatform)
	s.wg.Go(s.sampleClocks)
	s.wg.Go(s.runSingletonTasks)
	s.wg.Go(s.awaitFounding)
	loopEnded := make(chan error, 1)
	s.wg.Go(func() { loopEnded <- s.eventLoop() })
	select {
	case <-ctx.Done():
		s.leaveView()
	case err = <-loopEnded:
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = operators.Shutdown(shutdown)
	_ = operators.Close()
	s.stop()
	s.clients.Close()
	server.Close()
	s.wg.Wait()
	return errors.CombineErrors(err, s.db.Close())
}

// leaveTimeout returns how long a node waits for the others to agree on a view without it, given its grace period. The rest is
// for the operators' calls in flight and the disk. The others may have to notice a loss first, which takes seconds.
func leaveTimeout(gracePeriod time.Duration) time.Duration { return gracePeriod / 2 }

// leaveView asks the other nodes to agree on a view without this node, and waits for at most leaveTimeout.
func (s *Server) leaveView() {
	s.runOnLoop(&startLeavingRequest{})
	deadline := time.Now().Add(leaveTimeout(s.settings.TimingBound("grace_period_s", gracePeriod)))
	query := &canStopQuery{}
	for !query.canStop && time.Now().Before(deadline) {
		s.sleep(20 * time.Millisecond)
		if !s.runOnLoop(query) {
			return
		}
	}
	s.log.Info("stopping", "left_view", query.leftView, "others_staying", query.staying)
}

// startLeavingRequest announces that this node is about to stop.
type startLeavingRequest struct{}

func (*startLeavingRequest) handle(s *Server) { s.mergeReady(s.node.StartLeaving(s.now())) }

// canStopQuery reports whether other nodes have replaced this node, or cannot, and the next head has received the lease
// release.
type canStopQuery struct {
	canStop  bool
	leftView bool // Node.LeftView
	staying  int  // Node.OthersStaying
}

func (q *canStopQuery) handle(s *Server) {
	q.canStop = s.node.CanStop() && !s.hasPendingRelease()
	q.leftView, q.staying = s.node.LeftView(), s.node.OthersStaying()
}

// sleep returns after a duration, or at once when the server stops.
func (s *Server) sleep(d time.Duration) { ctxtime.Sleep(s.ctx, d) }
