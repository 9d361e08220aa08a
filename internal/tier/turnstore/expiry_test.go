package turnstore

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestExpiredTurnsAreDeletedAndNotRefetched(t *testing.T) {
	tr := newPassiveTier(t, 3)
	c := tr.client()
	runTurn(t, c, openRequest("p", "a", ""), "in", "out\n")
	runTurn(t, c, openRequest("q", "z", ""), "in", "out\n")
	for _, n := range tr.nodes {
		eventually(t, "all replicas have it", func() bool { return n.has("a") && n.has("z") })
	}
	tr.ahead.Store(int64(29 * time.Second))
	for _, n := range tr.nodes {
		n.store.expire(t.Context())
	}
	runTurn(t, tr.client(), openRequest("q", "y", "z"), "in", "out\n") // extends the retention of its chain
	for _, n := range tr.nodes {
		eventually(t, "all replicas have it", func() bool { return n.has("y") })
	}
	tr.ahead.Store(int64(30*time.Second + retainMargin + time.Second))
	for _, n := range tr.nodes[:2] {
		n.store.expire(t.Context())
		if n.has("a") || !n.has("z") {
			t.Fatalf("%s: has the expired turn: %v; has the retained turn: %v", n.name, n.has("a"), n.has("z"))
		}
		if b, err := n.db.Get(tableBodies, rowKey("p", "a")); err != nil || b != nil {
			t.Fatalf("%s: body on disk: %q %v", n.name, b, err)
		}
		if l := n.ledger("p"); l.Sum() != 5 {
			t.Fatalf("%s: the ledger was dropped with the turns", n.name)
		}
	}
	// The third store has not expired the turn yet: it must not be fetched from there.
	p := tr.placed.Load()
	for _, n := range tr.nodes[:2] {
		for _, peer := range p.Old {
			if err := n.store.compare(t.Context(), p, peer); err != nil {
				t.Fatal(err)
			}
		}
		n.store.repair(t.Context(), "p")
		if n.has("a") {
			t.Fatalf("%s: the expired turn was fetched again", n.name)
		}
	}
	_, err := tr.client().Open(t.Context(), openRequest("p", "b", "a"))
	if err != nil && !errors.Is(err, ErrNoTurn) { // either is allowed after its retention time
		t.Fatal(err)
	}
	// After a restart the retention time starts anew: turns never expire early.
	n := tr.nodes[0]
	n.shutdown()
	n.start()
	n.store.expire(t.Context())
	if !n.has("z") {
		t.Fatal("expired at the restart")
	}
	tr.ahead.Add(int64(ledgerRetention) + int64(time.Minute))
	for range 4 {
		n.store.expire(t.Context())
	}
	if programs, turns := n.store.Counts(); programs != 0 || turns != 0 {
		t.Fatalf("after hours it has %d programs and %d turns", programs, turns)
	}
	for _, table := range []string{tableEntries, tableTurns, tableBodies} {
		if err := n.db.Range(table, nil, nil, func(k, _ []byte) error {
			return errors.Newf("row %q is left in %s", k,
				table)
		}); err != nil {
			t.Fatal(err)
		}
	}
}

// An open turn retains its chain for longer than the retention time.
func TestOpenTurnRetainsItsChain(t *testing.T) {
	tr := newPassiveTier(t, 3)
	runTurn(t, tr.client(), openRequest("p", "a", ""), "in", "out\n")
	c := tr.client()
	opened, err := c.Open(t.Context(), openRequest("p", "b", "a"))
	if err != nil {
		t.Fatal(err)
	}
	tr.ahead.Store(int64(2 * time.Minute))
	for _, n := range tr.nodes {
		n.store.expire(t.Context())
	}
	if err := c.Close(t.Context(), opened.Record([]byte("x"), []byte("y\n"), 5, 30*time.Second)); err != nil {
		t.Fatal(err)
	}
	if got := runTurn(t, tr.client(), openRequest("p", "c", "b"), "z", ""); got != "inout\nxy\nz" {
		t.Fatal(got)
	}
}
