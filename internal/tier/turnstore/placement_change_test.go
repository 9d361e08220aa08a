package turnstore

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestStoreWithLostDiskJoinsUnderNewIdentity(t *testing.T) {
	tr := newTier(t, 4)
	const programs = 12
	for i := range programs {
		p := fmt.Sprint("p", i)
		runTurn(t, tr.client(), openRequest(p, p+"a", ""), "in", "out\n")
		runTurn(t, tr.client(), openRequest(p, p+"b", p+"a"), "in", "out\n")
	}
	lost := tr.nodes[2]
	before := lost.store.ID()
	lost.wipe()
	lost.start()
	if lost.store.ID() == before {
		t.Fatal("an empty disk has the identity of the one before")
	}
	// It is not a replica by the old list: calls to the old identity are rejected.
	runTurn(t, tr.client(), openRequest("p0", "p0c", "p0b"), "x", "")
	if n, _ := lost.store.Counts(); n != 0 {
		t.Fatalf("a store that is not placed has %d programs", n)
	}
	tr.changePlacement(tr.nodes...)
	// The next loss is within the fault tolerance now.
	tr.nodes[0].shutdown()
	for i := range programs {
		p := fmt.Sprint("p", i)
		if got := runTurn(t, tr.client(), openRequest(p, p+"d", p+"b"), "x", ""); got != "inout\ninout\nx" {
			t.Fatalf("%s: %q", p, got)
		}
	}
	for i := range programs {
		p := fmt.Sprint("p", i)
		for _, s := range tr.placed.Load().ReplicaSets(p)[0] {
			if s.ID == lost.store.ID() && !lost.has(p+"a") {
				t.Errorf("%s is incomplete in the store that joined", p)
			}
		}
	}
}

func TestStoreWithoutSweepIsNotAuthoritative(t *testing.T) {
	tr := newTier(t, 3)
	runTurn(t, tr.client(), openRequest("p", "a", ""), "in", "")
	was := tr.placed.Load()
	added := tr.add("store-9", "zone-0")
	added.passive = true // does not sweep
	added.start()
	others := tr.nodes[:2]
	tr.setPlacement(&Placement{Generation: 2, Old: was.Old, New: tr.stores(others[0], added, tr.nodes[2])})
	tr.nodes[2].shutdown()
	// By the new list one store is down and one not authoritative: the turn cannot be denied.
	_, err := tr.productionClient().Open(t.Context(), openRequest("p", "b", "nothing"))
	requireErrorIs(t, err, ErrUnavailable)
	if got := runTurn(t, tr.client(), openRequest("p", "c", "a"), "x", ""); got != "inx" {
		t.Fatalf("an existing turn: %q", got)
	}
	if !added.has("c") {
		t.Fatal("the store that joins does not accept writes")
	}
}

func TestReplicasOfRetiredStoreAreRebuilt(t *testing.T) {
	tr := newTier(t, 4)
	const programs = 12
	for i := range programs {
		p := fmt.Sprint("p", i)
		runTurn(t, tr.client(), openRequest(p, p+"a", ""), "in", "out\n")
	}
	tr.changePlacement(tr.nodes[1:]...)
	tr.nodes[0].shutdown()
	tr.nodes[1].shutdown() // one loss is tolerated in addition to the retired store
	for i := range programs {
		p := fmt.Sprint("p", i)
		if got := runTurn(t, tr.client(), openRequest(p, p+"b", p+"a"), "x", ""); got != "inout\nx" {
			t.Fatalf("%s: %q", p, got)
		}
	}
}

func TestWrongIdentityAndOldPlacementAreRejected(t *testing.T) {
	tr := newTier(t, 3)
	n := tr.nodes[0]
	call := func(store string, gen int64) error {
		var r statusReply
		c := &closeCall{To: RequestHeader{store, gen}, Turn: Record{Key: "p", ID: fmt.Sprint("t", gen, store),
			Root: true, RetainSeconds: 30}}
		if err := tr.calls.To(n.addr).Call(t.Context(), MethodClose, c, &r); err != nil {
			t.Fatal(err)
		}
		return statusError(r.Status)
	}
	requireErrorIs(t, call("another", 1), ErrWrongStore)
	if err := call(n.store.ID(), 1); err != nil {
		t.Fatal(err)
	}
	tr.setPlacement(&Placement{Generation: 2, Old: tr.placed.Load().Old})
	requireErrorIs(t, call(n.store.ID(), 1), ErrOldPlacement)
	if err := call(n.store.ID(), 3); err != nil { // a client may receive a placement before the store
		t.Fatal(err)
	}
	// A client with the older one proceeds as soon as it receives the newer.
	var placed atomic.Pointer[Placement]
	placed.Store(&Placement{Generation: 1, ReplicationFactor: 3, DurableReplicas: 2, FaultTolerance: 1, Old: tr.placed.Load().Old})
	c := NewClient(placed.Load, &tr.calls, "zone-0", n.store.Log)
	defer c.Shutdown(t.Context())
	_, err := c.Open(t.Context(), openRequest("p", "x", ""))
	requireErrorIs(t, err, ErrUnavailable)
	done := make(chan error)
	go func() { _, err := c.Open(t.Context(), openRequest("p", "y", "")); done <- err }()
	placed.Store(tr.placed.Load())
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A peer serves a sweep only once it has adopted the generation; from then on, after a restart too, it rejects writes under an
// older one.
func TestSweepWaitsForPeersToAdoptGeneration(t *testing.T) {
	tr := newTier(t, 3)
	runTurn(t, tr.client(), openRequest("p", "a", ""), "in", "")
	was := tr.placed.Load()
	for _, n := range tr.nodes {
		n.placed.Store(was) // they receive nothing newer
	}
	added := tr.add("store-9", "zone-0")
	added.start()
	next := &Placement{Generation: 2, ReplicationFactor: 3, DurableReplicas: 2, FaultTolerance: 1, Old: was.Old,
		New: tr.stores(tr.nodes[1], tr.nodes[2], added)}
	added.placed.Store(next)
	if added.store.sweep(t.Context(), next) {
		t.Fatal("the sweep is complete though peers may accept writes under the older placement")
	}
	tr.nodes[0].placed.Store(next)
	if added.store.sweep(t.Context(), next) {
		t.Fatal("the sweep is complete though two peers may accept writes under the older placement")
	}
	// A client with the older placement may still write to those two.
	c := NewClient(func() *Placement { return was }, &tr.calls, "zone-0", added.store.Log)
	defer c.Shutdown(t.Context())
	opened, err := c.Open(t.Context(), openRequest("p", "b", "a"))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Close(t.Context(), opened.Record([]byte("x"), nil, 1, time.Minute)); err != nil {
		t.Fatal(err)
	}
	tr.nodes[1].placed.Store(next)
	eventually(t, "the store has swept all but one peer", func() bool { return added.store.SweptGeneration() == 2 })
	if !added.has("a") || !added.has("b") {
		t.Fatal("what was written under the older placement was not swept")
	}
	tr.nodes[0].shutdown()
	tr.nodes[0].placed.Store(was)
	tr.nodes[0].start() // receives the older one first
	var r statusReply
	eventually(t, "the restarted store is reached", func() bool { // the connection of before the restart ends
		c := &settleCall{To: RequestHeader{tr.nodes[0].store.ID(), 1}, Program: "p", Turn: "z"}
		return tr.calls.To(tr.nodes[0].addr).Call(t.Context(), MethodSettle, c, &r) == nil
	})
	requireErrorIs(t, statusError(r.Status), ErrOldPlacement)
}

// A sweep may already have run under a generation that the store adopts during a sync: the write is not acknowledged.
func TestPlacementAdoptedDuringSyncRejectsWrite(t *testing.T) {
	tr := newPassiveTier(t, 3)
	n := tr.nodes[0]
	gen := int64(1)
	calls := 0
	n.placementOverride = func() *Placement {
		p := *tr.placed.Load()
		p.Generation = gen
		if calls++; calls > 1 {
			p.Generation++
		}
		return &p
	}
	for name, call := range map[string]func(RequestHeader) int{
		"open": func(h RequestHeader) int {
			return n.store.handleOpen(t.Context(), &openCall{To: h, Program: "p", Turn: "a", MaxTokens: 1}).Status
		},
		"close": func(h RequestHeader) int {
			return n.store.handleClose(t.Context(), &closeCall{To: h, Turn: Record{Key: "p", ID: "b", Root: true,
				RetainSeconds: 30}}).Status
		},
		"settle": func(h RequestHeader) int {
			return n.store.handleSettle(t.Context(), &settleCall{To: h, Program: "p", Turn: "c"}).Status
		},
	} {
		calls = 0
		if err := statusError(call(RequestHeader{n.store.ID(), gen})); !errors.Is(err, ErrOldPlacement) {
			t.Errorf("%s: %v", name, err)
		}
		gen++
	}
}
