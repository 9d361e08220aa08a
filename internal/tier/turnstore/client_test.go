package turnstore

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/budget"
)

func TestHistoryIsConcatenationOfChain(t *testing.T) {
	tr := newTier(t, 4)
	c := tr.client()
	outputs := []string{"a\nb\n", "c\n", "d\n"}
	for i, want := range []string{"in1", "in1a\nb\nin2", "in1a\nb\nin2c\nin3"} {
		previous := ""
		if i > 0 {
			previous = fmt.Sprint("t", i-1)
		}
		got := runTurn(t, c, openRequest("p", fmt.Sprint("t", i), previous), fmt.Sprint("in", i+1), outputs[i])
		if got != want {
			t.Fatalf("turn %d: the input is %q, want %q", i, got, want)
		}
	}
	// Other clients have nothing cached; two turns may continue from the same one.
	for i, other := range []*Client{tr.client(), tr.client()} {
		if got := runTurn(t, other, openRequest("p", fmt.Sprint("fork", i), "t1"), "X", ""); got != "in1a\nb\nin2c\nX" {
			t.Fatalf("fork %d: %q", i, got)
		}
	}
}

func TestTurnSurvivesLossOfAnyStore(t *testing.T) {
	tr := newTier(t, 4)
	for i := range 6 {
		runTurn(t, tr.client(), openRequest(fmt.Sprint("p", i), fmt.Sprint("a", i), ""), "in", "out\n")
	}
	for _, lost := range tr.nodes {
		lost.shutdown()
		c := tr.client()
		for i := range 6 {
			o := openRequest(fmt.Sprint("p", i), fmt.Sprint("b", i, lost.name), fmt.Sprint("a", i))
			if got := runTurn(t, c, o, "x", "y\n"); got != "inout\nx" {
				t.Fatalf("without %s: %q", lost.name, got)
			}
		}
		lost.start() // as after a kill: what it acknowledged is on its disk
	}
}

// Forces what otherwise happens by chance: while a store is stopped, another connection requests its port as the local one.
func TestAddressOfStoppedStoreStaysReserved(t *testing.T) {
	tr := newTier(t, 4)
	stopped := tr.nodes[0]
	stopped.shutdown()
	local, err := net.ResolveTCPAddr("tcp4", stopped.addr)
	if err != nil {
		t.Fatal(err)
	}
	connection, err := (&net.Dialer{LocalAddr: local}).Dial("tcp4", tr.nodes[1].addr)
	if err == nil {
		defer connection.Close()
		t.Error("a connection took the port of a stopped store")
	}
	stopped.start()
}

func TestTurnContinuesFromAnotherProgram(t *testing.T) {
	tr := newTier(t, 5)
	for i := range 5 { // over several replica sets
		old, fresh := fmt.Sprint("old", i), fmt.Sprint("fresh", i)
		runTurn(t, tr.client(), openRequest(old, old+"-1", ""), "one", "1\n")
		runTurn(t, tr.client(), openRequest(old, old+"-2", old+"-1"), "two", "2\n")
		c := tr.client()
		opened, err := c.Open(t.Context(), openRequest(fresh, fresh+"-1", old+"-2"))
		if err != nil || !opened.ForeignBase || string(opened.History) != "one1\ntwo2\n" {
			t.Fatalf("%+v %v", opened, err)
		}
		if err := c.Close(t.Context(), opened.Record([]byte("three"), []byte("3\n"), 5, time.Minute)); err != nil {
			t.Fatal(err)
		}
		for _, front := range []*Client{c, tr.client()} { // from the cache, and from the stores
			opened, err := front.Open(t.Context(), openRequest(fresh, fmt.Sprintf("%s-%p", fresh, front), fresh+"-1"))
			if err != nil || opened.ForeignBase || string(opened.History) != "one1\ntwo2\nthree3\n" {
				t.Fatalf("%+v %v", opened, err)
			}
		}
	}
}

func TestErrNoTurnNeedsDenialByAllButFaultTolerance(t *testing.T) {
	tr := newTier(t, 4)
	runTurn(t, tr.client(), openRequest("p", "a", ""), "in", "")
	c := tr.client()
	_, err := c.Open(t.Context(), openRequest("p", "b", "nothing"))
	requireErrorIs(t, err, ErrNoTurn)
	eventually(t, "the reservation of a rejected turn is settled at 0", func() bool {
		for _, n := range tr.nodes {
			l := n.ledger("p")
			if e, ok := l.Get("b"); ok && (e != budget.Entry{Turn: "b", Settled: true}) {
				return false
			}
		}
		return true
	})
	tr.nodes[0].shutdown()
	_, err = tr.client().Open(t.Context(), openRequest("p", "c", "nothing"))
	requireErrorIs(t, err, ErrNoTurn) // denied by all but FaultTolerance stores
	tr.nodes[1].shutdown()
	_, err = tr.productionClient().Open(t.Context(), openRequest("p", "d", "nothing"))
	requireErrorIs(t, err, ErrUnavailable)
}

func TestLossBeyondFaultToleranceIsErrUnavailable(t *testing.T) {
	tr := newTier(t, 4)
	runTurn(t, tr.client(), openRequest("p", "a", ""), "in", "")
	in, _ := tr.replicasOf("p")
	in[0].shutdown()
	in[1].shutdown()
	c := tr.productionClient()
	_, err := c.Open(t.Context(), openRequest("p", "b", "a"))
	requireErrorIs(t, err, ErrUnavailable)
	ctx, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer stop()
	requireErrorIs(t, c.Close(ctx, &Turn{Key: "p", ID: "b", Previous: "a", RetainSeconds: 30}), ErrUnavailable)
	in[0].start()
	if got := runTurn(t, tr.client(), openRequest("p", "e", "a"), "x", ""); got != "inx" {
		t.Fatalf("with one restarted: %q", got)
	}
}

func TestBudgetHoldsAcrossFronts(t *testing.T) {
	tr := newTier(t, 4)
	const budget, need, fronts, attempts = 100, 10, 4, 8
	var granted atomic.Int64
	var wg sync.WaitGroup
	for f := range fronts {
		c := tr.client()
		wg.Go(func() {
			for i := range attempts {
				_, err := c.Open(t.Context(), OpenRequest{Program: "p", Turn: fmt.Sprintf("%d-%d", f, i), MaxTokens: need, Budget: budget})
				switch {
				case err == nil:
					granted.Add(need)
				case !errors.Is(err, ErrBudget):
					t.Errorf("open: %v", err)
				}
			}
		})
	}
	wg.Wait()
	if n := granted.Load(); n > budget || n < need {
		t.Fatalf("%d tokens granted of a budget of %d", n, budget)
	}
	// Tokens that were reserved and not used are available again; used ones are not; all of the rest may be granted.
	c := tr.client()
	runTurn(t, c, OpenRequest{Program: "q", Turn: "a", MaxTokens: 60, Budget: budget}, "", "") // uses 30
	if _, err := c.Open(t.Context(), OpenRequest{Program: "q", Turn: "b", MaxTokens: 70, Budget: budget}); err != nil {
		t.Fatal(err)
	}
	_, err := c.Open(t.Context(), OpenRequest{Program: "q", Turn: "c", MaxTokens: 1, Budget: budget})
	requireErrorIs(t, err, ErrBudget)
	c.Settle("q", "b", 0)
	eventually(t, "the reservation is settled", func() bool {
		in, _ := tr.replicasOf("q")
		for _, n := range in {
			if l := n.ledger("q"); l.Sum() != 30 {
				return false
			}
		}
		return true
	})
	if _, err := c.Open(t.Context(), OpenRequest{Program: "q", Turn: "d", MaxTokens: 70, Budget: budget}); err != nil {
		t.Fatal(err)
	}
}

func TestAcknowledgedWritesSurviveRestartOfAllStores(t *testing.T) {
	tr := newTier(t, 4)
	runTurn(t, tr.client(), openRequest("p", "a", ""), "in", "out\n")
	if _, err := tr.client().Open(t.Context(), OpenRequest{Program: "p", Turn: "b", Previous: "a", MaxTokens: 50,
		Budget: 100}); err != nil {
		t.Fatal(err)
	}
	for _, n := range tr.nodes {
		n.shutdown()
	}
	for _, n := range tr.nodes {
		n.start()
	}
	_, err := tr.client().Open(t.Context(), OpenRequest{Program: "p", Turn: "c", Previous: "a", MaxTokens: 50, Budget: 100})
	requireErrorIs(t, err, ErrBudget) // 5 used and 50 reserved
	eventually(t, "the rejected turn is settled everywhere", func() bool {
		in, _ := tr.replicasOf("p")
		for _, n := range in {
			if l := n.ledger("p"); l.Sum() != 55 || l.Len() != 3 {
				return false
			}
		}
		return true
	})
	if got := runTurn(t, tr.client(), OpenRequest{Program: "p", Turn: "d", Previous: "a", MaxTokens: 45,
		Budget: 100}, "x", ""); got != "inout\nx" {
		t.Fatal(got)
	}
}

func TestUnresponsiveStoreDoesNotDelayTurns(t *testing.T) {
	tr := newTier(t, 3)
	runTurn(t, tr.client(), openRequest("p", "a", ""), "in", "out\n")
	unresponsive := tr.nodes[0] // in the client's zone: it is asked for the history first
	unresponsive.store.mu.Lock()
	defer unresponsive.store.mu.Unlock()
	began := time.Now()
	if got := runTurn(t, tr.client(), openRequest("p", "b", "a"), "x", ""); got != "inout\nx" {
		t.Fatal(got)
	}
	if d := time.Since(began); d > callTimeout {
		t.Fatalf("a turn took %v", d)
	}
}

func TestShutdownCancelsBackgroundOperations(t *testing.T) {
	tr := newTier(t, 3)
	for _, n := range tr.nodes {
		n.shutdown()
	}
	c := tr.client()
	for i := range 100 {
		c.Settle("p", fmt.Sprint(i), 0)
	}
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	began := time.Now()
	c.Shutdown(ctx)
	if d := time.Since(began); d > 3*time.Second {
		t.Fatalf("shutdown took %v", d)
	}
	c.Settle("p", "after shutdown", 0) // does nothing
}

// A client serves from its cache the history of turns that it closed or read, until their retention time is over.
func TestClientServesHistoryFromCache(t *testing.T) {
	tr := newPassiveTier(t, 3)
	writer, reader := tr.client(), tr.client()
	runTurn(t, writer, openRequest("p", "a", ""), "one", "1\n")
	runTurn(t, writer, openRequest("p", "b", "a"), "two", "2\n")
	runTurn(t, reader, openRequest("p", "c", "b"), "three", "3\n")
	for _, n := range tr.nodes { // delete the bodies from the stores' disks and caches
		eventually(t, "all replicas have all turns", func() bool { return n.has("a") && n.has("b") && n.has("c") })
		var w []sqlitelog.Write
		for _, id := range []string{"a", "b", "c"} {
			n.store.cache.remove(id)
			w = append(w, sqlitelog.Write{Table: tableBodies, Key: rowKey("p", id)})
		}
		if err := n.db.Commit(t.Context(), w); err != nil {
			t.Fatal(err)
		}
	}
	for c, previous := range map[*Client]string{writer: "b", reader: "c"} {
		want := map[string]string{"b": "one1\ntwo2\n", "c": "one1\ntwo2\nthree3\n"}[previous]
		opened, err := c.Open(t.Context(), openRequest("p", "after-"+previous, previous))
		if err != nil || string(opened.History) != want {
			t.Fatalf("after %s: %+v %v", previous, opened, err)
		}
	}
	_, err := tr.productionClient().Open(t.Context(), openRequest("p", "other", "b"))
	requireErrorIs(t, err, ErrUnavailable) // a turn that exists and whose history cannot be read is not ErrNoTurn
	if _, _, ok := writer.cache.history("b", time.Now().Add(31*time.Second)); ok {
		t.Fatal("a cached turn outlives the retention at the stores")
	}
}
