package turnstore

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// A nearly full store opens no turns; turns that were open before can be closed, and once old ones have expired it opens turns
// again.
func TestNearlyFullStoreClosesOpenTurns(t *testing.T) {
	tr := newPassiveTier(t, 3)
	for _, n := range tr.nodes {
		n.shutdown()
		n.limit = 1 // raised to the minimum of sqlitelog
		n.start()
	}
	tr.setPlacement(&Placement{Generation: 2, Old: tr.stores(tr.nodes...)})
	c := tr.client()
	var open []*OpenedTurn
	for i := range 5 {
		o, err := c.Open(t.Context(), openRequest(fmt.Sprint("open", i), fmt.Sprint("o", i), ""))
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, o)
	}
	full := func() bool {
		for _, n := range tr.nodes {
			n.store.checkCapacity(t.Context())
		}
		return tr.nodes[0].store.Full() && tr.nodes[1].store.Full() && tr.nodes[2].store.Full()
	}
	increment := []byte(strings.Repeat("token\n", 1000))
	closed := 0
	for ; !full(); closed++ {
		if closed > 1000 {
			t.Fatal("no store reports its disk as nearly full")
		}
		if err := c.Close(t.Context(), &Turn{Key: fmt.Sprint("p", closed), ID: fmt.Sprint("t", closed), Output: increment,
			RetainSeconds: 30}); err != nil {
			t.Fatalf("turn %d cannot be closed, before any store reported that it is nearly full: %v", closed, err)
		}
	}
	_, err := c.Open(t.Context(), openRequest("another", "a", ""))
	requireErrorIs(t, err, ErrUnavailable)
	requireErrorIs(t, err, ErrFull)
	for _, o := range open {
		if err := c.Close(t.Context(), o.Record([]byte("x"), increment, 5, 30*time.Second)); err != nil {
			t.Errorf("turn %s, opened before, cannot be closed: %v", o.Turn, err)
		}
	}
	tr.ahead.Store(int64(2 * time.Minute))
	for _, n := range tr.nodes {
		for n.store.expire(t.Context()) {
		}
	}
	if full() {
		t.Error("nearly full, with all turns expired")
	}
	if _, err := c.Open(t.Context(), openRequest("another", "b", "")); err != nil {
		t.Error(err)
	}
	t.Logf("nearly full with %d turns of %d bytes", closed, len(increment))
}

func TestFullStoresRejectWritesAndServeReads(t *testing.T) {
	tr := newTier(t, 3)
	for _, n := range tr.nodes {
		n.shutdown()
		n.limit = 1 // raised to the minimum of sqlitelog
		n.start()
	}
	tr.setPlacement(&Placement{Generation: 2, Old: tr.stores(tr.nodes...)})
	c := tr.productionClient()
	output := []byte(strings.Repeat("token\n", 20_000))
	closed := 0
	var err error
	for ; closed < 200; closed++ {
		ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
		err = c.Close(ctx, &Turn{Key: fmt.Sprint("p", closed), ID: fmt.Sprint("t", closed), Output: output, RetainSeconds: 30})
		stop()
		if err != nil {
			break
		}
	}
	requireErrorIs(t, err, ErrUnavailable)
	if closed < 5 {
		t.Fatalf("full after %d turns", closed)
	}
	for i := range closed {
		opened, err := tr.client().Open(t.Context(), openRequest(fmt.Sprint("p", i), fmt.Sprint("next", i), fmt.Sprint("t", i)))
		if errors.Is(err, ErrUnavailable) {
			continue // no capacity for its reservation
		}
		if err != nil || string(opened.History) != string(output) {
			t.Fatalf("turn %d: %v", i, err)
		}
	}
	for _, n := range tr.nodes {
		if err := n.db.Err(); err != nil {
			t.Fatalf("a full file is reported as broken: %v", err)
		}
	}
}

func TestConcurrentTurnsShareSyncs(t *testing.T) {
	tr := newTier(t, 3)
	c := tr.client()
	var before int64
	for _, n := range tr.nodes {
		before += n.db.Commits()
	}
	const turns = 200
	var wg sync.WaitGroup
	for i := range turns {
		wg.Go(func() {
			p := fmt.Sprint("p", i)
			if err := c.Close(t.Context(), &Turn{Key: p, ID: p, Output: []byte("x\n"), RetainSeconds: 30}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	var after int64
	for _, n := range tr.nodes {
		after += n.db.Commits()
	}
	if n := after - before; n >= 3*turns {
		t.Fatalf("%d syncs for %d turns on 3 stores", n, turns)
	} else {
		t.Logf("%d syncs for %d turns on 3 stores", n, turns)
	}
}
