package controlnode

import (
	"cmp"
	"context"
	"log/slog"
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
	tickEvery   = 50 * time.Millisecond
	answerIn    = 900 * time.Millisecond  // callers take a second of silence for a dead node
	leaveIn     = 1500 * time.Millisecond // for the others to agree on a view without this node
	askEvery    = 900 * time.Millisecond  // the platform's list
	planEvery   = 100 * time.Millisecond
	followFresh = 300 * time.Millisecond // how long a follower is kept while this node is cut off or behind
)

// Core is a core node as a process: one goroutine owns the node's decisions, syncs what they changed, and then sends.
type Core struct {
	set   *process.Settings
	db    *sqlitelog.DB
	log   *slog.Logger
	calls *rpc.Clients
	self  view.Member
	begin time.Time
	life  int64 // how often this node was started with its disk

	events chan func()
	peers  chan Message // of other core nodes: they go before all else
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	// of the loop
	node          *Node
	out           Output
	finished      []chan struct{}                                // of do, to be closed once what was taken before them is on disk
	commit        func(context.Context, []sqlitelog.Write) error // syncs rows to the disk
	saved         map[int64]uint64                               // hashes of the entries on disk, by index
	savedTo       chain.State
	pending       map[int64]caller
	lastRequestID int64
	duty          duty
	history       discovery.History // of the lists of hosts

	head    atomic.Bool
	mu      sync.Mutex
	changed chan struct{} // closed when followers may have something to take
	senders map[string]chan Message

	followers sync.Map // name to *Following
	feed      feedServer
}

// Open makes a core node from its settings and its disk.
func Open(s *process.Settings, log *slog.Logger) (*Core, error) {
	if err := cmp.Or(process.RequireSetting("bind_addrs.control_addr", s.Bind.Control, "give HOST:PORT, for operators"), process.RequireSetting("data_dir", s.DataDir, "give a core node a folder")); err != nil {
		return nil, err
	}
	db, err := sqlitelog.Open(s.DataDir, "core.db", int64(s.Limits.DiskMB*0.8)<<20, "vote", "entries")
	if err != nil {
		return nil, err
	}
	c := &Core{set: s, db: db, log: log, calls: &rpc.Clients{}, begin: time.Now(), events: make(chan func(), 256), peers: make(chan Message, 256),
		saved: map[int64]uint64{}, pending: map[int64]caller{}, changed: make(chan struct{}), senders: map[string]chan Message{}}
	c.commit = db.Commit
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
	c.node = NewNode(NodeSettings{Self: c.self, Life: c.life, Seeds: seeds, Losses: s.FaultTolerance(), Timings: DefaultTimings()}, d, 0)
	return c, nil
}

func (c *Core) now() time.Duration { return time.Since(c.begin) }

// UpdateSeeds takes in the core nodes that settings name, for a node that has to be admitted.
func (c *Core) UpdateSeeds(s *process.Settings) {
	var seeds []string
	for _, one := range s.Seeds {
		seeds = append(seeds, s.PeerAddr(one, process.CorePort))
	}
	c.do(func() { c.node.set.Seeds = seeds })
}

// Run serves until the context ends, then hands its duties over and stops.
func (c *Core) Run(ctx context.Context) error {
	peers, err := net.Listen("tcp4", c.self.Addr)
	if err != nil {
		return errors.Wrap(err, "listen for other nodes: free the port or change port_range")
	}
	control, err := net.Listen("tcp4", c.set.Bind.Control)
	if err != nil {
		peers.Close()
		return errors.Wrap(err, "listen for operators: free the port or change bind_addrs.control_addr")
	}
	server := rpc.NewServer(c.handlers())
	web := &http.Server{Handler: c.operatorAPI(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second}
	c.wg.Go(func() { server.Serve(peers) })
	c.wg.Go(func() { _ = web.Serve(control) })
	c.wg.Go(c.askPlatform)
	lost := make(chan error, 1)
	c.wg.Go(func() { lost <- c.loop() })
	select {
	case <-ctx.Done():
		c.leave()
	case err = <-lost:
	}
	short, done := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer done()
	_ = web.Shutdown(short)
	_ = web.Close()
	c.stop()
	c.calls.Close()
	server.Close()
	c.wg.Wait()
	return errors.CombineErrors(err, c.db.Close())
}

// leave names a successor for the duties, as far as the others are there to agree.
func (c *Core) leave() {
	c.do(func() { c.add(c.node.Leave(c.now())) })
	until := time.Now().Add(leaveIn)
	for left := false; !left && time.Now().Before(until); {
		c.wait(20 * time.Millisecond)
		if !c.do(func() { left = c.node.Left() }) {
			return
		}
	}
}

func (c *Core) wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.ctx.Done():
	}
}
