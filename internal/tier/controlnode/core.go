package controlnode

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/view"
)

const (
	tickInterval     = 50 * time.Millisecond
	requestTimeout   = 900 * time.Millisecond  // callers take a second of silence for a dead node
	leaveTimeout     = 1500 * time.Millisecond // for the others to agree on a view without this node
	hostPollInterval = 900 * time.Millisecond  // the platform's list
	planInterval     = 100 * time.Millisecond
	pollGrace        = 300 * time.Millisecond // how long a follower is kept while this node is cut off or behind
)

// Server is a core node as a process: one goroutine owns the node's decisions, syncs what they changed, and then sends.
type Server struct {
	settings    *process.Settings
	db          *sqlitelog.DB
	log         *process.Ring
	clients     *rpc.Clients
	self        view.Member
	startedAt   time.Time
	incarnation int64 // how often this node was started with its disk

	requests     chan func()
	peerMessages chan Message // of other core nodes: they go before all else
	ctx          context.Context
	stop         context.CancelFunc
	wg           sync.WaitGroup

	// of the loop
	node            *Node
	ready           Ready
	awaitingSync    []chan struct{}                                // of do, to be closed once what was taken before them is on disk
	syncRows        func(context.Context, []sqlitelog.Write) error // syncs rows to the disk
	savedHashes     map[int64]uint64                               // hashes of the entries on disk, by index
	savedState      chain.State
	pendingRequests map[int64]pendingRequest
	lastRequestID   int64
	placementRole   placementRole
	hostListHistory discovery.History // of the lists of hosts

	isHead  atomic.Bool
	mu      sync.Mutex
	changed chan struct{} // closed when followers may have something to take
	senders map[string]chan Message

	followers sync.Map // name to *Following
	feed      feedServer
}

// Open makes a core node from its settings and its disk.
func Open(s *process.Settings, log *process.Ring) (*Server, error) {
	if err := cmp.Or(process.RequireSetting("bind_addrs.control_addr", s.Bind.Control, "give HOST:PORT, for operators"), process.RequireSetting("data_dir", s.DataDir, "give a core node a folder")); err != nil {
		return nil, err
	}
	db, err := sqlitelog.Open(s.DataDir, "core.db", int64(s.Limits.DiskMB*0.8)<<20, "vote", "entries")
	if err != nil {
		return nil, err
	}
	c := &Server{settings: s, db: db, log: log, clients: &rpc.Clients{}, startedAt: time.Now(), requests: make(chan func(), 256), peerMessages: make(chan Message, 256),
		savedHashes: map[int64]uint64{}, pendingRequests: map[int64]pendingRequest{}, changed: make(chan struct{}), senders: map[string]chan Message{}}
	c.syncRows = db.Commit
	c.ctx, c.stop = context.WithCancel(context.Background())
	d, err := c.load()
	if err != nil {
		_ = db.Close()
		return nil, err
	}
	var seeds []string
	for _, one := range s.Seeds {
		seeds = append(seeds, s.PeerAddr(one, process.CorePort))
	}
	c.node = NewNode(NodeSettings{Self: c.self, Incarnation: c.incarnation, Seeds: seeds, FaultTolerance: s.FaultTolerance(), Timings: DefaultTimings()}, d, 0)
	return c, nil
}

func (c *Server) now() time.Duration { return time.Since(c.startedAt) }

// UpdateSeeds takes in the core nodes that settings name, for a node that has to be admitted.
func (c *Server) UpdateSeeds(s *process.Settings) {
	var seeds []string
	for _, one := range s.Seeds {
		seeds = append(seeds, s.PeerAddr(one, process.CorePort))
	}
	c.runOnLoop(func() { c.node.settings.Seeds = seeds })
}

// Run serves until the context ends, then hands its duties over and stops.
func (c *Server) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp4", c.self.Addr)
	if err != nil {
		return errors.Wrap(err, "listen for other nodes: free the port or change port_range")
	}
	control, err := net.Listen("tcp4", c.settings.Bind.Control)
	if err != nil {
		peers.Close()
		return errors.Wrap(err, "listen for operators: free the port or change bind_addrs.control_addr")
	}
	server := rpc.NewServer(c.handlers())
	web := &http.Server{Handler: c.operatorAPI(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	c.wg.Go(func() { server.Serve(peers) })
	c.wg.Go(func() { _ = web.Serve(control) })
	c.wg.Go(c.pollPlatform)
	lost := make(chan error, 1)
	c.wg.Go(func() { lost <- c.eventLoop() })
	select {
	case <-ctx.Done():
		c.leaveView()
	case err = <-lost:
	}
	short, done := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer done()
	_ = web.Shutdown(short)
	_ = web.Close()
	c.stop()
	c.clients.Close()
	server.Close()
	c.wg.Wait()
	return errors.CombineErrors(err, c.db.Close())
}

// leaveView names a successor for the duties, as far as the others are there to agree.
func (c *Server) leaveView() {
	c.runOnLoop(func() { c.mergeReady(c.node.StartLeaving(c.now())) })
	until := time.Now().Add(leaveTimeout)
	for left := false; !left && time.Now().Before(until); {
		c.sleep(20 * time.Millisecond)
		if !c.runOnLoop(func() { left = c.node.CanStop() }) {
			return
		}
	}
}

func (c *Server) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}
