package turnstore

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/budget"
)

// faultyDisk is a file with faults in its writes. Nothing of a write that fails is made.
type faultyDisk struct {
	disk
	mu      sync.Mutex
	fault   error         // of each write from now on, nil: none
	hold    chan struct{} // writes are acknowledged once it is closed, nil: at once
	submits int
}

func (d *faultyDisk) set(fault error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

// held has all writes from now on wait until the given function is called.
func (d *faultyDisk) held() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hold := make(chan struct{})
	d.hold = hold
	return func() { close(hold) }
}

func (d *faultyDisk) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.submits
}

func (d *faultyDisk) Submit(writes []sqlitelog.Write) pending {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.submits++
	if d.fault != nil && len(writes) > 0 {
		return failedWrite{d.fault}
	}
	p := d.disk.Submit(writes)
	if d.hold != nil {
		return heldWrite{p, d.hold}
	}
	return p
}

func (d *faultyDisk) Commit(ctx context.Context, writes []sqlitelog.Write) error {
	return d.Submit(writes).Wait(ctx)
}

type failedWrite struct{ err error }

func (w failedWrite) Wait(context.Context) error { return w.err }

type heldWrite struct {
	pending
	hold chan struct{}
}

func (w heldWrite) Wait(ctx context.Context) error {
	select {
	case <-w.hold:
		return w.pending.Wait(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// withFaults starts a node again, on a disk with faults; what it logs goes into the buffer.
func (n *node) withFaults() (*faultyDisk, *bytes.Buffer) {
	t := n.tier.t
	t.Helper()
	n.end()
	db, err := sqlitelog.Open(n.dir, "store.db", n.limit, StoreTables...)
	if err != nil {
		t.Fatal(err)
	}
	n.db = db
	d := &faultyDisk{disk: file{db}}
	var log bytes.Buffer
	c := ServerOptions{DB: db, Placement: n.placement, Calls: &n.tier.calls, Now: n.tier.now, Log: process.NewLogger(&log)}
	if n.store, err = newStore(c, d, connections{c.Calls}); err != nil {
		t.Fatal(err)
	}
	n.serve()
	return d, &log
}

func (n *node) head() RequestHeader {
	return RequestHeader{Store: n.store.ID(), Generation: n.tier.placed.Load().Generation}
}

func (n *node) open(t *testing.T, program, turn string) error {
	return statusError(n.store.open(t.Context(), &openCall{To: n.head(), Program: program, Turn: turn, Need: 10}).Status)
}

func (n *node) close(t *testing.T, program, turn, text string) error {
	record := Record{Key: program, ID: turn, Root: true, RetainSeconds: 30, Increment: []byte(text)}
	return statusError(n.store.close(t.Context(), &closeCall{To: n.head(), Turn: record, Used: 5}).Status)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// A store whose disk takes no more bytes says so in its log and to the core, opens no turns, but tries to end those that are
// open, and serves what it has. Once the disk is well it goes on by itself.
func TestFullDiskIsToldAndTheStoreGoesOnByItself(t *testing.T) {
	tr := quiet(t, 3)
	n := tr.nodes[0]
	d, log := n.withFaults()
	must(t, n.close(t, "p", "a", "text"))
	must(t, n.open(t, "p", "open before"))
	for spell := range 2 { // each is told
		told := log.Len()
		d.set(sqlitelog.ErrFull)
		err := n.open(t, "p", "b")
		wantError(t, err, ErrFull)
		if remedy := "give it more disk, or add stores"; !strings.Contains(err.Error(), remedy) || !strings.Contains(log.String()[told:], remedy) {
			t.Errorf("spell %d: the remedy is not told: %v\n%s", spell, err, log.String()[told:])
		}
		if !n.store.Full() {
			t.Fatalf("spell %d: the core is not told", spell)
		}
		before := d.count()
		wantError(t, n.open(t, "p", "c"), ErrFull)
		if d.count() != before {
			t.Errorf("spell %d: a full store writes to open a turn", spell)
		}
		wantError(t, n.close(t, "p", "open before", "x"), ErrFull)
		if d.count() == before {
			t.Errorf("spell %d: a full store does not try to end a turn", spell)
		}
		r := n.store.history(t.Context(), &historyCall{To: n.head(), Key: "p", Turn: "a"})
		if r.Status != statusOK || string(r.History) != "text" {
			t.Errorf("spell %d: a full store serves %+v", spell, r)
		}
		swept := n.store.keys(t.Context(), &keysCall{To: n.head(), Asker: "another", Sweep: true}) // has to write what it adopted
		wantError(t, statusError(swept.Status), ErrFull)
		n.store.lookForRoom(t.Context())
		if !n.store.Full() {
			t.Errorf("spell %d: turns are opened before the disk takes writes", spell)
		}
		d.set(nil)
		n.store.lookForRoom(t.Context())
		if n.store.Full() || !strings.Contains(log.String()[told:], "disk has room again") {
			t.Errorf("spell %d: the disk is well, and the store does not say so: %s", spell, log.String()[told:])
		}
		must(t, n.open(t, "p", fmt.Sprint("after ", spell)))
	}
	must(t, n.close(t, "p", "open before", "x"))
}

// A store that holds as many entries of ledgers as it may says so, too.
func TestFullLedgersAreTold(t *testing.T) {
	tr := quiet(t, 3)
	n := tr.nodes[0]
	_, log := n.withFaults()
	entries := func(more int) {
		n.store.mu.Lock()
		defer n.store.mu.Unlock()
		n.store.index.entries += more
	}
	entries(maxEntries)
	wantError(t, n.open(t, "p", "a"), ErrFull)
	n.store.lookForRoom(t.Context())
	if !n.store.Full() || !strings.Contains(log.String(), "ledgers are full") {
		t.Errorf("not told: %s", log)
	}
	entries(-maxEntries)
	n.store.lookForRoom(t.Context())
	if n.store.Full() {
		t.Error("full with room for entries")
	}
	must(t, n.open(t, "p", "a"))
}

func TestRoomDecidesWhetherTurnsAreOpened(t *testing.T) {
	const most = 8000
	var r room
	for i, step := range []struct {
		left    int64
		refused bool
		full    bool
	}{
		{most, false, false}, {most / closesAt, false, false}, {most/closesAt - 1, false, true}, {most/opensAt - 1, false, true},
		{most / opensAt, false, false}, {most, true, true}, {most, false, false}, {0, true, true}, {most, false, false},
	} {
		r.measured(step.left, most)
		r.refused = step.refused
		if r.full() != step.full {
			t.Errorf("step %d: full %v, with %d left, refused %v", i, r.full(), step.left, step.refused)
		}
	}
	r.measured(0, 0)
	if r.full() {
		t.Error("a disk without a limit is taken for full")
	}
}

// What has expired while the disk refused writes is deleted once it takes them: space comes back without a restart.
func TestWhatExpiresOnAFullDiskGoesLater(t *testing.T) {
	tr := quiet(t, 3)
	n := tr.nodes[0]
	d, _ := n.withFaults()
	must(t, n.close(t, "p", "a", "text"))
	must(t, n.close(t, "q", "b", "text"))
	rows := func() (all int) {
		for _, table := range []string{tableTurns, tableBodies, tableEntries} {
			must(t, n.db.Range(table, nil, nil, func(_, _ []byte) error { all++; return nil }))
		}
		return all
	}
	tr.ahead.Store(int64(ledgerKeeps + time.Minute))
	d.set(sqlitelog.ErrFull)
	for range 3 {
		if n.store.expire(t.Context()) {
			t.Error("a disk that refuses is asked again at once")
		}
	}
	if rows() != 6 {
		t.Fatalf("%d rows while the disk refuses", rows())
	}
	d.set(nil)
	for n.store.expire(t.Context()) {
	}
	n.store.expire(t.Context()) // turns first, then their ledger
	if n := rows(); n != 0 {
		t.Errorf("%d rows of what has expired are left on a disk that takes writes", n)
	}
	if programs, turns := n.store.Counts(); programs != 0 || turns != 0 {
		t.Errorf("%d programs and %d turns are held", programs, turns)
	}
}

// A program that is used again while its turns could not be deleted keeps what was written since.
func TestWhatComesBackOnAFullDiskStays(t *testing.T) {
	tr := quiet(t, 3)
	n := tr.nodes[0]
	d, _ := n.withFaults()
	must(t, n.close(t, "p", "a", "text"))
	tr.ahead.Store(int64(2 * time.Minute))
	d.set(sqlitelog.ErrFull)
	n.store.expire(t.Context())
	d.set(nil)
	must(t, n.close(t, "p", "b", "more"))
	for n.store.expire(t.Context()) {
	}
	n.end()
	n.start()
	if !n.has("b") {
		t.Error("a turn that was acknowledged is not there after a kill")
	}
}

// restarted ends a node and reads its ledger of a program from disk.
func (n *node) restarted(program string) budget.Ledger {
	n.end()
	n.start()
	return n.ledger(program)
}

// A store counts as a copy under a new placement only with each entry on its disk, also those that it took into memory when
// the disk refused them.
func TestSweepIsNotCompleteWithoutItsEntriesOnDisk(t *testing.T) {
	for what, fault := range map[string]error{"full": sqlitelog.ErrFull, "busy": sqlitelog.ErrBusy} {
		t.Run(what, func(t *testing.T) {
			tr := quiet(t, 4)
			old, fresh := tr.nodes[:3], tr.nodes[3]
			tr.place(&Placement{Generation: 1, Old: tr.stores(old...)})
			for _, n := range old {
				must(t, n.open(t, "p", "promised"))
			}
			d, _ := fresh.withFaults()
			next := &Placement{Generation: 2, Old: tr.stores(old...), New: tr.stores(old[0], old[1], fresh)}
			tr.place(next)
			d.set(fault)
			for range 3 {
				if fresh.store.sweep(t.Context(), next) || fresh.store.SweptGeneration() != 0 {
					t.Fatal("a sweep ends on a disk that takes no writes")
				}
			}
			d.set(nil)
			if !fresh.store.sweep(t.Context(), next) {
				t.Fatal("the sweep does not end on a disk that is well again")
			}
			ledger := fresh.restarted("p")
			if fresh.store.SweptGeneration() != 2 || ledger.Sum() != 10 {
				t.Errorf("after a kill it has swept %d, and %d tokens of 10 that were promised", fresh.store.SweptGeneration(), ledger.Sum())
			}
		})
	}
}

// An entry whose write was refused is written once the disk takes it: a peer's copy of it looks known, and is not taken again.
func TestEntryThatTheDiskRefusedIsWrittenLater(t *testing.T) {
	tr := quiet(t, 3)
	n := tr.nodes[0]
	d, _ := n.withFaults()
	for _, c := range []struct {
		turn  string
		fault error
		want  error
	}{{"a", sqlitelog.ErrFull, ErrFull}, {"b", sqlitelog.ErrBusy, ErrBusy}} {
		d.set(c.fault)
		wantError(t, n.open(t, "p", c.turn), c.want)
		d.set(nil)
		n.store.lookForRoom(t.Context())
	}
	if more, err := n.store.rewriteEntries(t.Context()); more || err != nil {
		t.Errorf("more %v, %v", more, err)
	}
	before := d.count()
	if _, err := n.store.rewriteEntries(t.Context()); err != nil || d.count() != before {
		t.Errorf("entries that are synced are written again: %v", err)
	}
	ledger := n.restarted("p")
	if ledger.Len() != 2 {
		t.Errorf("%d entries of 2 on disk", ledger.Len())
	}
}

// The answer to an opening whose caller has left, from a store that stood still, is taken for no other opening.
func TestLateAnswerIsNotTakenForAnotherOpening(t *testing.T) {
	tr := quiet(t, 3)
	n := tr.nodes[0]
	d, _ := n.withFaults()
	release := d.held()
	link := tr.calls.To(n.addr)
	ask := func(ctx context.Context, program string) (*openReply, error) {
		r := new(openReply)
		return r, link.Call(ctx, MethodOpen, &openCall{To: n.head(), Program: program, Turn: "turn of " + program, Need: 10}, r)
	}
	submitted := func(most int) { until(t, "the store writes", func() bool { return d.count() >= most }) }

	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		_, err := ask(ctx, "p")
		left <- err
	}()
	submitted(1)
	leave()
	wantError(t, <-left, rpc.ErrLost)

	releaseSecond := d.held()
	type outcome struct {
		reply *openReply
		err   error
	}
	second := make(chan outcome, 1)
	go func() {
		r, err := ask(t.Context(), "q")
		second <- outcome{r, err}
	}()
	submitted(2)
	release() // the first answer comes while the second opening waits
	until(t, "the first is synced", func() bool {
		n.store.mu.Lock()
		defer n.store.mu.Unlock()
		_, waits := n.store.unsynced.entries[entryID{"p", "turn of p"}]
		return !waits
	})
	peek := new(peekReply) // another call goes past the one that waits
	must(t, link.Call(t.Context(), MethodReadLedger, &peekCall{To: n.head(), Program: "p"}, peek))
	if len(peek.Ledger) != 1 || peek.Ledger[0].Turn != "turn of p" {
		t.Errorf("ledger of the first opening's program: %+v", peek.Ledger)
	}
	select {
	case o := <-second:
		t.Fatalf("answered before its own sync: %+v %v", o.reply, o.err)
	default:
	}
	releaseSecond()
	o := <-second
	if o.err != nil || len(o.reply.Ledger) != 1 || o.reply.Ledger[0].Turn != "turn of q" {
		t.Errorf("%+v %v", o.reply, o.err)
	}
}
