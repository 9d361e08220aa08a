package turnstore

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/budget"
)

func opening(program, turn, previous string) OpenRequest {
	return OpenRequest{Program: program, Turn: turn, Previous: previous, MaxTokens: 10, Budget: 10_000}
}

func wantError(t *testing.T, err, kind error) {
	t.Helper()
	if !errors.Is(err, kind) {
		t.Fatalf("got %v, want %v", err, kind)
	}
}

// copiesOf splits the nodes into those that hold a program and the others.
func (tr *tier) copiesOf(program string) (in, out []*node) {
	for _, n := range tr.nodes {
		held := false
		for _, s := range tr.placed.Load().ReplicaSets(program)[0] {
			held = held || s.ID == n.store.ID()
		}
		if held {
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

func TestHistoryIsInputsAndOutputsOfTheChain(t *testing.T) {
	tr := newTier(t, 4)
	c := tr.client()
	outputs := []string{"a\nb\n", "c\n", "d\n"}
	for i, want := range []string{"in1", "in1a\nb\nin2", "in1a\nb\nin2c\nin3"} {
		previous := ""
		if i > 0 {
			previous = fmt.Sprint("t", i-1)
		}
		got := turnOf(t, c, opening("p", fmt.Sprint("t", i), previous), fmt.Sprint("in", i+1), outputs[i])
		if got != want {
			t.Fatalf("turn %d: the host is sent %q, want %q", i, got, want)
		}
	}
	// Another front has nothing cached; two turns may continue from the same one.
	for i, other := range []*Client{tr.client(), tr.client()} {
		if got := turnOf(t, other, opening("p", fmt.Sprint("fork", i), "t1"), "X", ""); got != "in1a\nb\nin2c\nX" {
			t.Fatalf("fork %d: %q", i, got)
		}
	}
}

func TestTurnIsKeptWithAnyOneStoreLost(t *testing.T) {
	tr := newTier(t, 4)
	for i := range 6 {
		turnOf(t, tr.client(), opening(fmt.Sprint("p", i), fmt.Sprint("a", i), ""), "in", "out\n")
	}
	for _, lost := range tr.nodes {
		lost.end()
		c := tr.client()
		for i := range 6 {
			o := opening(fmt.Sprint("p", i), fmt.Sprint("b", i, lost.name), fmt.Sprint("a", i))
			if got := turnOf(t, c, o, "x", "y\n"); got != "inout\nx" {
				t.Fatalf("without %s: %q", lost.name, got)
			}
		}
		lost.start() // as the process that was killed: what it acknowledged is on its disk
	}
}

// Forces what happens by chance beside other programs: while a store is down, a connection wants its port as its own.
func TestAddressOfAStoreThatIsDownIsKept(t *testing.T) {
	tr := newTier(t, 4)
	lost := tr.nodes[0]
	lost.end()
	local, err := net.ResolveTCPAddr("tcp4", lost.addr)
	if err != nil {
		t.Fatal(err)
	}
	connection, err := (&net.Dialer{LocalAddr: local}).Dial("tcp4", tr.nodes[1].addr)
	if err == nil {
		defer connection.Close()
		t.Error("a connection took the port of a store that is down")
	}
	lost.start()
}

func TestContinuesFromAnotherProgramsTurn(t *testing.T) {
	tr := newTier(t, 5)
	for i := range 5 { // over several placements of the keys
		old, fresh := fmt.Sprint("old", i), fmt.Sprint("fresh", i)
		turnOf(t, tr.client(), opening(old, old+"-1", ""), "one", "1\n")
		turnOf(t, tr.client(), opening(old, old+"-2", old+"-1"), "two", "2\n")
		c := tr.client()
		opened, err := c.Open(t.Context(), opening(fresh, fresh+"-1", old+"-2"))
		if err != nil || !opened.ForeignBase || string(opened.History) != "one1\ntwo2\n" {
			t.Fatalf("%+v %v", opened, err)
		}
		if err := c.Close(t.Context(), opened.Record([]byte("three"), []byte("3\n"), 5, time.Minute)); err != nil {
			t.Fatal(err)
		}
		for _, front := range []*Client{c, tr.client()} { // from its cache, and from the stores
			opened, err := front.Open(t.Context(), opening(fresh, fmt.Sprintf("%s-%p", fresh, front), fresh+"-1"))
			if err != nil || opened.ForeignBase || string(opened.History) != "one1\ntwo2\nthree3\n" {
				t.Fatalf("%+v %v", opened, err)
			}
		}
	}
}

func TestUnknownPreviousIsToldOnlyWhenSure(t *testing.T) {
	tr := newTier(t, 4)
	turnOf(t, tr.client(), opening("p", "a", ""), "in", "")
	c := tr.client()
	_, err := c.Open(t.Context(), opening("p", "b", "nothing"))
	wantError(t, err, ErrNoTurn)
	until(t, "the reservation of a turn that was refused is taken back", func() bool {
		for _, n := range tr.nodes {
			l := n.ledger("p")
			if e, ok := l.Get("b"); ok && (e != budget.Entry{Turn: "b", Settled: true}) {
				return false
			}
		}
		return true
	})
	tr.nodes[0].end()
	_, err = tr.client().Open(t.Context(), opening("p", "c", "nothing"))
	wantError(t, err, ErrNoTurn) // all but as many as may be lost say so
	tr.nodes[1].end()
	_, err = tr.hasty().Open(t.Context(), opening("p", "d", "nothing"))
	wantError(t, err, ErrUnavailable)
}

func TestTwoOfFourStoresDownMakesUnsure(t *testing.T) {
	tr := newTier(t, 4)
	turnOf(t, tr.client(), opening("p", "a", ""), "in", "")
	in, out := tr.copiesOf("p")
	in[0].end()
	in[1].end()
	c := tr.hasty()
	_, err := c.Open(t.Context(), opening("p", "b", "a"))
	wantError(t, err, ErrUnavailable)
	ctx, stop := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer stop()
	wantError(t, c.Close(ctx, &Turn{Key: "p", ID: "b", Previous: "a", RetainSeconds: 30}), ErrUnavailable)
	in[0].start()
	if got := turnOf(t, tr.client(), opening("p", "e", "a"), "x", ""); got != "inx" {
		t.Fatalf("with one back: %q", got)
	}
	_ = out
}

func TestBudgetIsHeldAcrossFronts(t *testing.T) {
	tr := newTier(t, 4)
	const budget, need, fronts, tries = 100, 10, 4, 8
	var granted atomic.Int64
	var wg sync.WaitGroup
	for f := range fronts {
		c := tr.client()
		wg.Go(func() {
			for i := range tries {
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
	// What is handed back may be used, what was used not; all of the rest may be granted.
	c := tr.client()
	turnOf(t, c, OpenRequest{Program: "q", Turn: "a", MaxTokens: 60, Budget: budget}, "", "") // uses 30
	if _, err := c.Open(t.Context(), OpenRequest{Program: "q", Turn: "b", MaxTokens: 70, Budget: budget}); err != nil {
		t.Fatal(err)
	}
	_, err := c.Open(t.Context(), OpenRequest{Program: "q", Turn: "c", MaxTokens: 1, Budget: budget})
	wantError(t, err, ErrBudget)
	c.Settle("q", "b", 0)
	until(t, "the reservation is settled", func() bool {
		in, _ := tr.copiesOf("q")
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

func TestAllAcknowledgedIsThereAfterAllStoresStartAgain(t *testing.T) {
	tr := newTier(t, 4)
	turnOf(t, tr.client(), opening("p", "a", ""), "in", "out\n")
	if _, err := tr.client().Open(t.Context(), OpenRequest{Program: "p", Turn: "b", Previous: "a", MaxTokens: 50, Budget: 100}); err != nil {
		t.Fatal(err)
	}
	for _, n := range tr.nodes {
		n.end()
	}
	for _, n := range tr.nodes {
		n.start()
	}
	_, err := tr.client().Open(t.Context(), OpenRequest{Program: "p", Turn: "c", Previous: "a", MaxTokens: 50, Budget: 100})
	wantError(t, err, ErrBudget) // 5 used and 50 reserved before
	until(t, "the refused turn is settled everywhere", func() bool {
		in, _ := tr.copiesOf("p")
		for _, n := range in {
			if l := n.ledger("p"); l.Sum() != 55 || l.Len() != 3 {
				return false
			}
		}
		return true
	})
	if got := turnOf(t, tr.client(), OpenRequest{Program: "p", Turn: "d", Previous: "a", MaxTokens: 45, Budget: 100}, "x", ""); got != "inout\nx" {
		t.Fatal(got)
	}
}

// joint puts a change to the given stores in force, waits until all of them have swept, and makes it stable.
func (tr *tier) joint(nodes ...*node) {
	tr.t.Helper()
	was := tr.placed.Load()
	p := &Placement{Generation: was.Generation + 1, Old: was.Old, New: tr.stores(nodes...)}
	tr.place(p)
	until(tr.t, "all stores of the new list have swept", func() bool {
		for _, n := range nodes {
			if n.store.SweptGeneration() != p.Generation {
				return false
			}
		}
		return true
	})
	tr.place(&Placement{Generation: p.Generation, Old: p.New})
}

func TestStoreWhoseDiskWasLostJoinsAsANewcomer(t *testing.T) {
	tr := newTier(t, 4)
	const programs = 12
	for i := range programs {
		p := fmt.Sprint("p", i)
		turnOf(t, tr.client(), opening(p, p+"a", ""), "in", "out\n")
		turnOf(t, tr.client(), opening(p, p+"b", p+"a"), "in", "out\n")
	}
	lost := tr.nodes[2]
	before := lost.store.ID()
	lost.wipe()
	lost.start()
	if lost.store.ID() == before {
		t.Fatal("an empty disk has the identity of the one before")
	}
	// It is no copy of the old list: what is asked for under that identity is refused.
	turnOf(t, tr.client(), opening("p0", "p0c", "p0b"), "x", "")
	if n, _ := lost.store.Counts(); n != 0 {
		t.Fatalf("a store that is not placed took %d programs", n)
	}
	tr.joint(tr.nodes...)
	// Another one may be lost now.
	tr.nodes[0].end()
	for i := range programs {
		p := fmt.Sprint("p", i)
		if got := turnOf(t, tr.client(), opening(p, p+"d", p+"b"), "x", ""); got != "inout\ninout\nx" {
			t.Fatalf("%s: %q", p, got)
		}
	}
	for i := range programs {
		p := fmt.Sprint("p", i)
		for _, s := range tr.placed.Load().ReplicaSets(p)[0] {
			if s.ID == lost.store.ID() && !lost.has(p+"a") {
				t.Errorf("%s is not whole in the store that joined", p)
			}
		}
	}
}

func TestStoreThatHasNotSweptSaysNothingOfWhatThereIsNot(t *testing.T) {
	tr := newTier(t, 3)
	turnOf(t, tr.client(), opening("p", "a", ""), "in", "")
	was := tr.placed.Load()
	added := tr.add("store-9", "zone-0")
	added.alone = true // does not sweep
	added.start()
	others := tr.nodes[:2]
	tr.place(&Placement{Generation: 2, Old: was.Old, New: tr.stores(others[0], added, tr.nodes[2])})
	tr.nodes[2].end()
	// By the new list one store is away and one cannot tell: nobody may say that there is no such turn.
	_, err := tr.hasty().Open(t.Context(), opening("p", "b", "nothing"))
	wantError(t, err, ErrUnavailable)
	if got := turnOf(t, tr.client(), opening("p", "c", "a"), "x", ""); got != "inx" {
		t.Fatalf("a turn that there is: %q", got)
	}
	if !added.has("c") {
		t.Fatal("the store that joins does not take writes")
	}
}

func TestRetiredStoresPartIsTakenOver(t *testing.T) {
	tr := newTier(t, 4)
	const programs = 12
	for i := range programs {
		p := fmt.Sprint("p", i)
		turnOf(t, tr.client(), opening(p, p+"a", ""), "in", "out\n")
	}
	tr.joint(tr.nodes[1:]...)
	tr.nodes[0].end()
	tr.nodes[1].end() // one loss is tolerated beside the one that retired
	for i := range programs {
		p := fmt.Sprint("p", i)
		if got := turnOf(t, tr.client(), opening(p, p+"b", p+"a"), "x", ""); got != "inout\nx" {
			t.Fatalf("%s: %q", p, got)
		}
	}
}

func TestWrongIdentityAndOldPlacementAreRefused(t *testing.T) {
	tr := newTier(t, 3)
	n := tr.nodes[0]
	call := func(store string, gen int64) error {
		var r statusReply
		c := &closeCall{To: RequestHeader{store, gen}, Turn: Record{Key: "p", ID: fmt.Sprint("t", gen, store), Root: true, RetainSeconds: 30}}
		if err := tr.calls.To(n.addr).Call(t.Context(), MethodClose, c, &r); err != nil {
			t.Fatal(err)
		}
		return statusError(r.Status)
	}
	wantError(t, call("another", 1), ErrWrongStore)
	if err := call(n.store.ID(), 1); err != nil {
		t.Fatal(err)
	}
	tr.place(&Placement{Generation: 2, Old: tr.placed.Load().Old})
	wantError(t, call(n.store.ID(), 1), ErrOldPlacement)
	if err := call(n.store.ID(), 3); err != nil { // a front may hear of a placement first
		t.Fatal(err)
	}
	// A front with the older one goes on as soon as it hears of the newer.
	var placed atomic.Pointer[Placement]
	placed.Store(&Placement{Generation: 1, ReplicationFactor: 3, DurableReplicas: 2, FaultTolerance: 1, Old: tr.placed.Load().Old})
	c := NewClient(placed.Load, &tr.calls, "zone-0", n.store.Log)
	defer c.Shutdown(t.Context())
	_, err := c.Open(t.Context(), opening("p", "x", ""))
	wantError(t, err, ErrUnavailable)
	done := make(chan error)
	go func() { _, err := c.Open(t.Context(), opening("p", "y", "")); done <- err }()
	placed.Store(tr.placed.Load())
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A peer answers a sweep only once it goes by the placement itself; from then on, after a restart too, it takes
// nothing by an older one.
func TestSweepWaitsForThePeersToAdopt(t *testing.T) {
	tr := newTier(t, 3)
	turnOf(t, tr.client(), opening("p", "a", ""), "in", "")
	was := tr.placed.Load()
	for _, n := range tr.nodes {
		n.placed.Store(was) // they hear of nothing new
	}
	added := tr.add("store-9", "zone-0")
	added.start()
	next := &Placement{Generation: 2, ReplicationFactor: 3, DurableReplicas: 2, FaultTolerance: 1, Old: was.Old, New: tr.stores(tr.nodes[1], tr.nodes[2], added)}
	added.placed.Store(next)
	if added.store.sweep(t.Context(), next) {
		t.Fatal("swept stores that may still take writes by the older placement")
	}
	tr.nodes[0].placed.Store(next)
	if added.store.sweep(t.Context(), next) {
		t.Fatal("swept though two stores may take writes by the older placement")
	}
	// A front with the older placement may still write to those two.
	c := NewClient(func() *Placement { return was }, &tr.calls, "zone-0", added.store.Log)
	defer c.Shutdown(t.Context())
	opened, err := c.Open(t.Context(), opening("p", "b", "a"))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Close(t.Context(), opened.Record([]byte("x"), nil, 1, time.Minute)); err != nil {
		t.Fatal(err)
	}
	tr.nodes[1].placed.Store(next)
	until(t, "the store has swept all but one", func() bool { return added.store.SweptGeneration() == 2 })
	if !added.has("a") || !added.has("b") {
		t.Fatal("what was written by the older placement was not swept")
	}
	tr.nodes[0].end()
	tr.nodes[0].placed.Store(was)
	tr.nodes[0].start() // hears of the older one for a moment
	var r statusReply
	until(t, "the store that started again is reached", func() bool { // the connection of before ends
		c := &settleCall{To: RequestHeader{tr.nodes[0].store.ID(), 1}, Program: "p", Turn: "z"}
		return tr.calls.To(tr.nodes[0].addr).Call(t.Context(), MethodSettle, c, &r) == nil
	})
	wantError(t, statusError(r.Status), ErrOldPlacement)
}

// A placement that the store adopts while it syncs may have been swept before: what it synced is not promised.
func TestPlacementAdoptedDuringTheSyncRefuses(t *testing.T) {
	tr := quiet(t, 3)
	n := tr.nodes[0]
	gen := int64(1)
	looks := 0
	n.hear = func() *Placement {
		p := *tr.placed.Load()
		p.Generation = gen
		if looks++; looks > 1 {
			p.Generation++
		}
		return &p
	}
	for what, call := range map[string]func(RequestHeader) int{
		"open": func(h RequestHeader) int {
			return n.store.handleOpen(t.Context(), &openCall{To: h, Program: "p", Turn: "a", MaxTokens: 1}).Status
		},
		"close": func(h RequestHeader) int {
			return n.store.handleClose(t.Context(), &closeCall{To: h, Turn: Record{Key: "p", ID: "b", Root: true, RetainSeconds: 30}}).Status
		},
		"settle": func(h RequestHeader) int {
			return n.store.handleSettle(t.Context(), &settleCall{To: h, Program: "p", Turn: "c"}).Status
		},
	} {
		looks = 0
		if err := statusError(call(RequestHeader{n.store.ID(), gen})); !errors.Is(err, ErrOldPlacement) {
			t.Errorf("%s: %v", what, err)
		}
		gen++
	}
}

func TestHistoryIsPutTogetherFromSeveralStores(t *testing.T) {
	tr := quiet(t, 3)
	// Each turn of the chain lacks on another copy.
	previous := ""
	want := ""
	for i := range 9 {
		id := fmt.Sprint("t", i)
		record := Record{Key: "p", ID: id, Previous: previous, Root: i == 0, RetainSeconds: 30, Increment: fmt.Append(nil, "piece", i, "\n")}
		for j, n := range tr.nodes {
			if i%3 == j {
				continue
			}
			if r := n.store.handleClose(t.Context(), &closeCall{To: RequestHeader{n.store.ID(), 1}, Turn: record}); r.Status != statusOK {
				t.Fatal(r.Status)
			}
		}
		want += string(record.Increment)
		previous = id
	}
	opened, err := tr.client().Open(t.Context(), opening("p", "x", previous))
	if err != nil {
		t.Fatal(err)
	}
	if string(opened.History) != want {
		t.Fatalf("%q, want %q", opened.History, want)
	}
	// Those that lack turns were told: a copy on its own is whole after it has mended.
	for _, n := range tr.nodes {
		n.store.repair(t.Context(), "p")
	}
	for _, n := range tr.nodes {
		r := n.store.handleHistory(t.Context(), &historyCall{To: RequestHeader{n.store.ID(), 1}, Key: "p", Turn: previous})
		if string(r.History) != want || r.Missing != "" {
			t.Fatalf("%s: %q, from behind %q", n.name, r.History, r.Missing)
		}
	}
}

func TestFrontTellsACopyThatLacksATurn(t *testing.T) {
	tr := quiet(t, 3)
	lacks := tr.nodes[0] // in the zone of the front: it is asked for the history
	for _, n := range tr.nodes[1:] {
		c := &closeCall{To: RequestHeader{n.store.ID(), 1}, Turn: Record{Key: "p", ID: "a", Root: true, RetainSeconds: 30, Increment: []byte("piece")}}
		if r := n.store.handleClose(t.Context(), c); r.Status != statusOK {
			t.Fatal(r.Status)
		}
	}
	opened, err := tr.client().Open(t.Context(), opening("p", "b", "a"))
	if err != nil || string(opened.History) != "piece" {
		t.Fatalf("%+v %v", opened, err)
	}
	until(t, "the copy is told", func() bool { return len(lacks.store.repairs) == 1 })
	lacks.store.repair(t.Context(), <-lacks.store.repairs)
	if !lacks.has("a") {
		t.Fatal("the copy is not mended")
	}
}

func TestAntiEntropyBringsCopiesTogether(t *testing.T) {
	tr := quiet(t, 4)
	p := tr.placed.Load()
	for i := range 60 {
		key := fmt.Sprint("p", i)
		in, _ := tr.copiesOf(key)
		for j, n := range in { // each has a turn and an entry that the others lack
			c := &closeCall{To: RequestHeader{n.store.ID(), 1}, Turn: Record{Key: key, ID: fmt.Sprint(key, "-", j), Root: true, RetainSeconds: 30, Increment: []byte(key)}, UsedTokens: j}
			if r := n.store.handleClose(t.Context(), c); r.Status != statusOK {
				t.Fatal(r.Status)
			}
		}
	}
	for range 2 {
		for _, n := range tr.nodes {
			for _, peer := range p.Old {
				if err := n.store.compare(t.Context(), p, peer); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	for i := range 60 {
		key := fmt.Sprint("p", i)
		in, out := tr.copiesOf(key)
		for _, n := range in {
			if l := n.ledger(key); !n.has(key+"-0") || !n.has(key+"-1") || !n.has(key+"-2") || l.Sum() != 3 {
				t.Fatalf("%s of %s is not whole", key, n.name)
			}
			r := n.store.handleHistory(t.Context(), &historyCall{To: RequestHeader{n.store.ID(), 1}, Key: key, Turn: key + "-1"})
			if string(r.History) != key {
				t.Fatalf("%s of %s: %q", key, n.name, r.History)
			}
		}
		for _, n := range out {
			if n.has(key + "-0") {
				t.Fatalf("%s has a program that is not placed there", n.name)
			}
		}
	}
	for _, n := range tr.nodes {
		for _, peer := range tr.nodes {
			if n == peer {
				continue
			}
			n.store.mu.Lock()
			mine := n.store.index.bucketDigests(p, n.store.id, peer.store.id)
			n.store.mu.Unlock()
			peer.store.mu.Lock()
			theirs := peer.store.index.bucketDigests(p, peer.store.id, n.store.id)
			peer.store.mu.Unlock()
			if mine != theirs {
				t.Fatalf("%s and %s differ still", n.name, peer.name)
			}
		}
	}
}

func TestExpiredTurnsGoAndDoNotComeBack(t *testing.T) {
	tr := quiet(t, 3)
	c := tr.client()
	turnOf(t, c, opening("p", "a", ""), "in", "out\n")
	turnOf(t, c, opening("q", "z", ""), "in", "out\n")
	for _, n := range tr.nodes {
		until(t, "all copies have it", func() bool { return n.has("a") && n.has("z") })
	}
	tr.ahead.Store(int64(29 * time.Second))
	for _, n := range tr.nodes {
		n.store.expire(t.Context())
	}
	turnOf(t, tr.client(), opening("q", "y", "z"), "in", "out\n") // keeps its chain
	for _, n := range tr.nodes {
		until(t, "all copies have it", func() bool { return n.has("y") })
	}
	tr.ahead.Store(int64(30*time.Second + retainMargin + time.Second))
	for _, n := range tr.nodes[:2] {
		n.store.expire(t.Context())
		if n.has("a") || !n.has("z") {
			t.Fatalf("%s: expired turn is there: %v; kept turn is there: %v", n.name, n.has("a"), n.has("z"))
		}
		if b, err := n.db.Get(tableBodies, rowKey("p", "a")); err != nil || b != nil {
			t.Fatalf("%s: body on disk: %q %v", n.name, b, err)
		}
		if l := n.ledger("p"); l.Sum() != 5 {
			t.Fatalf("%s: the ledger went with the turns", n.name)
		}
	}
	// The third store's clock started later: it has the turn still, and it must not come back.
	p := tr.placed.Load()
	for _, n := range tr.nodes[:2] {
		for _, peer := range p.Old {
			if err := n.store.compare(t.Context(), p, peer); err != nil {
				t.Fatal(err)
			}
		}
		n.store.repair(t.Context(), "p")
		if n.has("a") {
			t.Fatalf("%s: the expired turn came back", n.name)
		}
	}
	_, err := tr.client().Open(t.Context(), opening("p", "b", "a"))
	if err != nil && !errors.Is(err, ErrNoTurn) { // either is allowed after its time
		t.Fatal(err)
	}
	// After a start the time counts anew: never early.
	n := tr.nodes[0]
	n.end()
	n.start()
	n.store.expire(t.Context())
	if !n.has("z") {
		t.Fatal("dropped at the start")
	}
	tr.ahead.Add(int64(ledgerRetention) + int64(time.Minute))
	for range 4 {
		n.store.expire(t.Context())
	}
	if programs, turns := n.store.Counts(); programs != 0 || turns != 0 {
		t.Fatalf("after hours it holds %d programs and %d turns", programs, turns)
	}
	for _, table := range []string{tableEntries, tableTurns, tableBodies} {
		if err := n.db.Range(table, nil, nil, func(k, _ []byte) error { return errors.Newf("row %q is left in %s", k, table) }); err != nil {
			t.Fatal(err)
		}
	}
}

// A turn under way keeps its chain, however long it runs.
func TestTurnUnderWayKeepsItsChain(t *testing.T) {
	tr := quiet(t, 3)
	turnOf(t, tr.client(), opening("p", "a", ""), "in", "out\n")
	c := tr.client()
	opened, err := c.Open(t.Context(), opening("p", "b", "a"))
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
	if got := turnOf(t, tr.client(), opening("p", "c", "b"), "z", ""); got != "inout\nxy\nz" {
		t.Fatal(got)
	}
}

func TestFullStoresRefusePlainly(t *testing.T) {
	tr := newTier(t, 3)
	for _, n := range tr.nodes {
		n.end()
		n.limit = 1 // raised to the least that a file may have
		n.start()
	}
	tr.place(&Placement{Generation: 2, Old: tr.stores(tr.nodes...)})
	c := tr.hasty()
	output := []byte(strings.Repeat("token\n", 20_000))
	kept := 0
	var err error
	for ; kept < 200; kept++ {
		ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
		err = c.Close(ctx, &Turn{Key: fmt.Sprint("p", kept), ID: fmt.Sprint("t", kept), Output: output, RetainSeconds: 30})
		stop()
		if err != nil {
			break
		}
	}
	wantError(t, err, ErrUnavailable)
	if kept < 5 {
		t.Fatalf("full after %d turns", kept)
	}
	for i := range kept {
		opened, err := tr.client().Open(t.Context(), opening(fmt.Sprint("p", i), fmt.Sprint("next", i), fmt.Sprint("t", i)))
		if errors.Is(err, ErrUnavailable) {
			continue // no room for its reservation
		}
		if err != nil || string(opened.History) != string(output) {
			t.Fatalf("turn %d: %v", i, err)
		}
	}
	for _, n := range tr.nodes {
		if err := n.db.Err(); err != nil {
			t.Fatalf("a full file is taken for a broken one: %v", err)
		}
	}
}

func TestOneSyncForManyTurns(t *testing.T) {
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

func TestStoreThatSaysNothingIsNotWaitedFor(t *testing.T) {
	tr := newTier(t, 3)
	turnOf(t, tr.client(), opening("p", "a", ""), "in", "out\n")
	silent := tr.nodes[0] // in the front's own zone: it would be asked for the history
	silent.store.mu.Lock()
	defer silent.store.mu.Unlock()
	began := time.Now()
	if got := turnOf(t, tr.client(), opening("p", "b", "a"), "x", ""); got != "inout\nx" {
		t.Fatal(got)
	}
	if d := time.Since(began); d > callTimeout {
		t.Fatalf("a turn took %v", d)
	}
}

func TestShutdownEndsWhatIsInTheBackground(t *testing.T) {
	tr := newTier(t, 3)
	for _, n := range tr.nodes {
		n.end()
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
	c.Settle("p", "late", 0) // does nothing
}

// What a front has closed or read itself, it needs no history of from the stores, until its time is over.
func TestFrontReadsNoHistoryTwice(t *testing.T) {
	tr := quiet(t, 3)
	writer, reader := tr.client(), tr.client()
	turnOf(t, writer, opening("p", "a", ""), "one", "1\n")
	turnOf(t, writer, opening("p", "b", "a"), "two", "2\n")
	turnOf(t, reader, opening("p", "c", "b"), "three", "3\n")
	for _, n := range tr.nodes { // the bodies are gone from the stores' disks and caches
		until(t, "all copies have all turns", func() bool { return n.has("a") && n.has("b") && n.has("c") })
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
		opened, err := c.Open(t.Context(), opening("p", "after-"+previous, previous))
		if err != nil || string(opened.History) != want {
			t.Fatalf("after %s: %+v %v", previous, opened, err)
		}
	}
	_, err := tr.hasty().Open(t.Context(), opening("p", "other", "b"))
	wantError(t, err, ErrUnavailable) // a turn that there is, and whose history cannot be had, is no 404
	if _, _, ok := writer.cache.history("b", time.Now().Add(31*time.Second)); ok {
		t.Fatal("a cached turn outlives the time for which the stores keep it")
	}
}

func TestPiecesKeepWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 4000
		c := newIncrementCache(most)
		model := map[string]string{} // whole histories
		for i := range rapid.IntRange(1, 60).Draw(t, "turns") {
			id := fmt.Sprint("t", i)
			p := &cachedIncrement{key: "p", id: id, bytes: []byte(strings.Repeat(fmt.Sprint(i%10), rapid.IntRange(0, 400).Draw(t, "size")))}
			if i > 0 && rapid.Bool().Draw(t, "continues") {
				p.previous = fmt.Sprint("t", rapid.IntRange(0, i-1).Draw(t, "previous"))
			}
			model[id] = model[p.previous] + string(p.bytes)
			c.put(p)
			if _, history, ok := c.history(id, time.Now()); ok && string(history) != model[id] {
				t.Fatalf("%s: %q, want %q", id, history, model[id])
			} else if _, had := c.get(p.previous); !ok && (p.previous == "" && c.sizeOf(p) <= most/4) {
				t.Fatalf("%s is not there: %v", id, had)
			}
			sum := 0
			for _, e := range c.byID {
				sum += c.sizeOf(e.Value.(*cachedIncrement))
			}
			if sum != c.bytes || sum > most || c.recency.Len() != len(c.byID) {
				t.Fatalf("%d bytes of %d, counted as %d", sum, most, c.bytes)
			}
		}
	})
}

func TestRowsNameProgramAndTurn(t *testing.T) {
	for _, c := range [][2]string{{"", ""}, {"p", "t"}, {strings.Repeat("p", 300), "t\x00u"}, {"p", ""}} {
		program, turn, err := parseRowKey(rowKey(c[0], c[1]))
		if err != nil || program != c[0] || turn != c[1] {
			t.Errorf("%q: %q %q %v", c, program, turn, err)
		}
	}
	for _, bad := range [][]byte{nil, {5, 'a'}, {0xff}} {
		if _, _, err := parseRowKey(bad); err == nil {
			t.Errorf("%x is taken for a row's key", bad)
		}
	}
}
