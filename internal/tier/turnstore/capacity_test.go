package turnstore

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A store with little room opens no turns; those that were open before end, and once old ones have expired it opens
// turns again.
func TestStoreWithLittleRoomEndsWhatIsOpen(t *testing.T) {
	tr := quiet(t, 3)
	for _, n := range tr.nodes {
		n.end()
		n.limit = 1 // raised to the least that a file may have
		n.start()
	}
	tr.place(&Placement{Generation: 2, Old: tr.stores(tr.nodes...)})
	c := tr.client()
	var open []*OpenedTurn
	for i := range 5 {
		o, err := c.Open(t.Context(), opening(fmt.Sprint("open", i), fmt.Sprint("o", i), ""))
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
	piece := []byte(strings.Repeat("token\n", 1000))
	kept := 0
	for ; !full(); kept++ {
		if kept > 1000 {
			t.Fatal("no store takes its disk for nearly full")
		}
		if err := c.Close(t.Context(), &Turn{Key: fmt.Sprint("p", kept), ID: fmt.Sprint("t", kept), Output: piece, RetainSeconds: 30}); err != nil {
			t.Fatalf("turn %d does not end, before any store said that it is nearly full: %v", kept, err)
		}
	}
	_, err := c.Open(t.Context(), opening("another", "a", ""))
	wantError(t, err, ErrUnavailable)
	wantError(t, err, ErrFull)
	for _, o := range open {
		if err := c.Close(t.Context(), o.Record([]byte("x"), piece, 5, 30*time.Second)); err != nil {
			t.Errorf("turn %s, open before, does not end: %v", o.Turn, err)
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
	if _, err := c.Open(t.Context(), opening("another", "b", "")); err != nil {
		t.Error(err)
	}
	t.Logf("nearly full with %d turns of %d bytes", kept, len(piece))
}
