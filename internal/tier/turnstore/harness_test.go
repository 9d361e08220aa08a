package turnstore

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/standin/reservedport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// tier is some stores and clients on loopback.
type tier struct {
	t      testing.TB
	dir    string
	placed atomic.Pointer[Placement]
	calls  rpc.Clients
	nodes  []*node
	ahead  atomic.Int64 // nanoseconds that the stores' clocks were moved
}

// node is one store machine.
type node struct {
	tier   *tier
	name   string
	addr   string
	zone   string
	dir    string
	limit  int64
	db     *sqlitelog.DB
	store  *Server
	server *rpc.Server
	stop   context.CancelFunc
	wg     sync.WaitGroup
	placed atomic.Pointer[Placement] // what it has heard of, if not the tier's
	hear   func() *Placement         // in place of both
	alone  bool                      // does not sweep, repair or expire by itself
}

func newTier(t *testing.T, stores int) *tier { t.Helper(); return tierOf(t, stores, false) }

// quiet makes stores that do nothing by themselves.
func quiet(t *testing.T, stores int) *tier { t.Helper(); return tierOf(t, stores, true) }

func tierOf(t testing.TB, stores int, alone bool) *tier {
	t.Helper()
	tr := &tier{t: t, dir: t.TempDir()}
	for i := range stores {
		n := tr.add(fmt.Sprintf("store-%d", i), fmt.Sprintf("zone-%d", i%2))
		n.alone = alone
		n.start()
	}
	t.Cleanup(func() {
		for _, n := range tr.nodes {
			n.end()
		}
		tr.calls.Close()
	})
	tr.place(&Placement{Generation: 1, Old: tr.stores(tr.nodes...)})
	return tr
}

func (tr *tier) add(name, zone string) *node {
	port, err := reservedport.Reserve() // a node that starts again must find its address free
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.t.Cleanup(port.Close)
	n := &node{tier: tr, name: name, zone: zone, addr: port.Addr(), dir: filepath.Join(tr.dir, name)}
	tr.nodes = append(tr.nodes, n)
	return n
}

// place puts a placement in force for all that hear of the tier's; its figures are those of one loss.
func (tr *tier) place(p *Placement) {
	p.ReplicationFactor, p.DurableReplicas, p.FaultTolerance = 3, 2, 1
	tr.placed.Store(p)
}

func (tr *tier) stores(nodes ...*node) (out []Store) {
	for _, n := range nodes {
		out = append(out, Store{ID: n.store.ID(), Name: n.name, Addr: n.addr, Zone: n.zone})
	}
	return out
}

func (tr *tier) now() time.Time { return time.Now().Add(time.Duration(tr.ahead.Load())) }

func (n *node) placement() *Placement {
	if n.hear != nil {
		return n.hear()
	}
	if p := n.placed.Load(); p != nil {
		return p
	}
	return n.tier.placed.Load()
}

// start opens the node's files and serves at its address.
func (n *node) start() {
	t := n.tier.t
	t.Helper()
	db, err := sqlitelog.Open(n.dir, "store.db", n.limit, StoreTables...)
	if err != nil {
		t.Fatal(err)
	}
	n.db = db
	n.store, err = NewServer(ServerOptions{DB: db, Placement: n.placement, Calls: &n.tier.calls, Now: n.tier.now, Log: process.NewLogger(io.Discard)})
	if err != nil {
		t.Fatal(err)
	}
	n.serve()
}

func (n *node) serve() {
	l, err := net.Listen("tcp4", n.addr)
	if err != nil {
		n.tier.t.Fatal(err)
	}
	n.server = rpc.NewServer(n.store.Handlers())
	server := n.server
	n.wg.Go(func() { server.Serve(l) })
	if !n.alone {
		ctx, stop := context.WithCancel(context.Background())
		n.stop = stop
		n.wg.Go(func() { n.store.Run(ctx) })
	}
}

// cut ends the node's server: it answers no more; its files stay open.
func (n *node) cut() {
	if n.server != nil {
		n.server.Close()
		n.server = nil
	}
	if n.stop != nil {
		n.stop()
		n.stop = nil
	}
	n.wg.Wait()
}

func (n *node) end() {
	n.cut()
	if n.db != nil {
		_ = n.db.Close()
		n.db = nil
	}
}

// wipe ends the node and removes its disk.
func (n *node) wipe() {
	n.end()
	if err := os.RemoveAll(n.dir); err != nil {
		n.tier.t.Fatal(err)
	}
}

// client makes a front's client that waits long for a busy machine's disk.
func (tr *tier) client() *Client {
	c := tr.hasty()
	c.callTime, c.closeTime = 8*time.Second, 8*time.Second
	return c
}

// hasty makes a client with the time limits of a front.
func (tr *tier) hasty() *Client {
	c := NewClient(tr.placed.Load, &tr.calls, "zone-0", process.NewLogger(io.Discard))
	tr.t.Cleanup(func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Millisecond)
		defer stop()
		c.Shutdown(ctx)
	})
	return c
}

// turn opens and closes one turn and gives what the host was sent.
func turnOf(t *testing.T, c *Client, o OpenRequest, input, output string) string {
	t.Helper()
	opened, err := c.Open(t.Context(), o)
	if err != nil {
		t.Fatalf("open %s: %+v", o.Turn, err)
	}
	if err := c.Close(t.Context(), opened.Record([]byte(input), []byte(output), o.MaxTokens/2, 30*time.Second)); err != nil {
		t.Fatalf("close %s: %+v", o.Turn, err)
	}
	return string(opened.History) + input
}

// until polls, with a bound, for something that happens in the background.
func until(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
