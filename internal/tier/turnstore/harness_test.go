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

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/standin/reservedport"
	"larchrouter/internal/tier/budget"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// tier is several stores and clients on loopback.
type tier struct {
	t      testing.TB
	dir    string
	placed atomic.Pointer[Placement]
	calls  rpc.Clients
	nodes  []*node
	ahead  atomic.Int64 // nanoseconds by which the stores' clocks are ahead
}

// node is one store process with its disk and address.
type node struct {
	tier              *tier
	name              string
	addr              string
	zone              string
	dir               string
	limit             int64
	db                *sqlitelog.DB
	store             *Server
	server            *rpc.Server
	stop              context.CancelFunc
	wg                sync.WaitGroup
	placed            atomic.Pointer[Placement] // the placement it received; nil: the tier's
	placementOverride func() *Placement         // overrides both
	passive           bool                      // Run is not called: it does not sweep, repair or expire by itself
}

// newTier returns a tier of stores that run as in production.
func newTier(t *testing.T, stores int) *tier { t.Helper(); return startTier(t, stores, false) }

// newPassiveTier returns a tier of stores without background work.
func newPassiveTier(t *testing.T, stores int) *tier { t.Helper(); return startTier(t, stores, true) }

func startTier(t testing.TB, stores int, alone bool) *tier {
	t.Helper()
	tr := &tier{t: t, dir: t.TempDir()}
	for i := range stores {
		n := tr.add(fmt.Sprintf("store-%d", i), fmt.Sprintf("zone-%d", i%2))
		n.passive = alone
		n.start()
	}
	t.Cleanup(func() {
		for _, n := range tr.nodes {
			n.shutdown()
		}
		tr.calls.Close()
	})
	tr.setPlacement(&Placement{Generation: 1, Old: tr.stores(tr.nodes...)})
	return tr
}

func (tr *tier) add(name, zone string) *node {
	port, err := reservedport.Reserve() // the address must be free when a node is restarted
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.t.Cleanup(port.Close)
	n := &node{tier: tr, name: name, zone: zone, addr: port.Addr(), dir: filepath.Join(tr.dir, name)}
	tr.nodes = append(tr.nodes, n)
	return n
}

// setPlacement puts a placement in force for all nodes that follow the tier's, with a fault tolerance of 1.
func (tr *tier) setPlacement(p *Placement) {
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
	if n.placementOverride != nil {
		return n.placementOverride()
	}
	if p := n.placed.Load(); p != nil {
		return p
	}
	return n.tier.placed.Load()
}

// start opens the node's database and serves at its address.
func (n *node) start() {
	t := n.tier.t
	t.Helper()
	db, err := sqlitelog.Open(n.dir, "store.db", n.limit, StoreTables...)
	if err != nil {
		t.Fatal(err)
	}
	n.db = db
	n.store, err = NewServer(ServerOptions{DB: db, Placement: n.placement, Calls: &n.tier.calls, Now: n.tier.now,
		Log: process.NewLogger(io.Discard)})
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
	if !n.passive {
		ctx, stop := context.WithCancel(context.Background())
		n.stop = stop
		n.wg.Go(func() { n.store.Run(ctx) })
	}
}

// stopServing stops the node's server and its background work; its database stays open.
func (n *node) stopServing() {
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

// shutdown stops the node and closes its database.
func (n *node) shutdown() {
	n.stopServing()
	if n.db != nil {
		_ = n.db.Close()
		n.db = nil
	}
}

// wipe stops the node and deletes its disk.
func (n *node) wipe() {
	n.shutdown()
	if err := os.RemoveAll(n.dir); err != nil {
		n.tier.t.Fatal(err)
	}
}

// client returns a client with long time-outs, for the disk of a busy test machine.
func (tr *tier) client() *Client {
	c := tr.productionClient()
	c.callTimeout, c.closeTimeout = 8*time.Second, 8*time.Second
	return c
}

// productionClient returns a client with the time-outs of production.
func (tr *tier) productionClient() *Client {
	c := NewClient(tr.placed.Load, &tr.calls, "zone-0", process.NewLogger(io.Discard))
	tr.t.Cleanup(func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Millisecond)
		defer stop()
		c.Shutdown(ctx)
	})
	return c
}

// runTurn opens and closes a turn and returns the input that the host is sent: the history and the turn's own.
func runTurn(t *testing.T, c *Client, o OpenRequest, input, output string) string {
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

// eventually polls for a condition that background work brings about, and fails the test after 10 s.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !f(); {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func openRequest(program, turn, previous string) OpenRequest {
	return OpenRequest{Program: program, Turn: turn, Previous: previous, MaxTokens: 10, Budget: 10_000}
}

func requireErrorIs(t *testing.T, err, kind error) {
	t.Helper()
	if !errors.Is(err, kind) {
		t.Fatalf("got %v, want %v", err, kind)
	}
}

// replicasOf returns the nodes that are replicas of a program and the others.
func (tr *tier) replicasOf(program string) (in, out []*node) {
	for _, n := range tr.nodes {
		replica := false
		for _, s := range tr.placed.Load().ReplicaSets(program)[0] {
			replica = replica || s.ID == n.store.ID()
		}
		if replica {
			in = append(in, n)
		} else {
			out = append(out, n)
		}
	}
	return in, out
}

func (n *node) has(turn string) bool {
	n.store.mu.Lock()
	defer n.store.mu.Unlock()
	return n.store.index.turns[turn] != nil
}

func (n *node) ledger(program string) budget.Ledger {
	n.store.mu.Lock()
	defer n.store.mu.Unlock()
	var l budget.Ledger
	if p := n.store.index.get(program); p != nil {
		l.Merge(p.ledger.Entries())
	}
	return l
}

// changePlacement changes the placement to the given stores: a changePlacement placement until all of them have swept, then a stable one.
func (tr *tier) changePlacement(nodes ...*node) {
	tr.t.Helper()
	was := tr.placed.Load()
	p := &Placement{Generation: was.Generation + 1, Old: was.Old, New: tr.stores(nodes...)}
	tr.setPlacement(p)
	eventually(tr.t, "all stores of the new list have swept", func() bool {
		for _, n := range nodes {
			if n.store.SweptGeneration() != p.Generation {
				return false
			}
		}
		return true
	})
	tr.setPlacement(&Placement{Generation: p.Generation, Old: p.New})
}
