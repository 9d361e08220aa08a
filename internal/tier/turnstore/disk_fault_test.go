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

// faultyDisk injects faults into writes. Nothing of a failed write is made.
type faultyDisk struct {
	disk
	mu      sync.Mutex
	fault   error         // of each write; nil: none
	gate    chan struct{} // writes are acknowledged once it is closed; nil: at once
	submits int           // number of writes so far
}

func (d *faultyDisk) set(fault error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = fault
}

// delayWrites delays the acknowledgement of all writes from now on until release is called.
func (d *faultyDisk) delayWrites() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gate := make(chan struct{})
	d.gate = gate
	return func() { close(gate) }
}

func (d *faultyDisk) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.submits
}

func (d *faultyDisk) Submit(writes []sqlitelog.Write) pendingWrite {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.submits++
	if d.fault != nil && len(writes) > 0 {
		return failedWrite{d.fault}
	}
	p := d.disk.Submit(writes)
	if d.gate != nil {
		return delayedWrite{p, d.gate}
	}
	return p
}

func (d *faultyDisk) Commit(ctx context.Context, writes []sqlitelog.Write) error {
	return d.Submit(writes).Wait(ctx)
}

type failedWrite struct{ err error }

func (w failedWrite) Wait(context.Context) error { return w.err }

type delayedWrite struct {
	pendingWrite
	gate chan struct{}
}

func (w delayedWrite) Wait(ctx context.Context) error {
	select {
	case <-w.gate:
		return w.pendingWrite.Wait(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// withFaults restarts a node on a faultyDisk; its log goes into the buffer.
func (n *node) withFaults() (*faultyDisk, *bytes.Buffer) {
	t := n.tier.t
	t.Helper()
	n.shutdown()
	db, err := sqlitelog.Open(n.dir, "store.db", n.limit, StoreTables...)
	if err != nil {
		t.Fatal(err)
	}
	n.db = db
	d := &faultyDisk{disk: sqliteDisk{db}}
	var log bytes.Buffer
	c := ServerOptions{DB: db, Placement: n.placement, Calls: &n.tier.calls, Now: n.tier.now, Log: process.NewLogger(&log)}
	if n.store, err = newServer(c, d, rpcTransport{c.Calls}); err != nil {
		t.Fatal(err)
	}
	n.serve()
	return d, &log
}

func (n *node) head() RequestHeader {
	return RequestHeader{Store: n.store.ID(), Generation: n.tier.placed.Load().Generation}
}

func (n *node) open(t *testing.T, program, turn string) error {
	return statusError(n.store.handleOpen(t.Context(), &openCall{To: n.head(), Program: program, Turn: turn,
		MaxTokens: 10}).Status)
}

func (n *node) close(t *testing.T, program, turn, text string) error {
	record := Record{Key: program, ID: turn, Root: true, RetainSeconds: 30, Increment: []byte(text)}
	return statusError(n.store.handleClose(t.Context(), &closeCall{To: n.head(), Turn: record, UsedTokens: 5}).Status)
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// A store whose disk is full reports it in its log and to the control plane, opens no turns, still tries to close open ones, and
// serves reads. Once the disk accepts writes it recovers by itself.
func TestFullDiskIsReportedAndStoreRecovers(t *testing.T) {
	tr := newPassiveTier(t, 3)
	n := tr.nodes[0]
	d, log := n.withFaults()
	requireNoError(t, n.close(t, "p", "a", "text"))
	requireNoError(t, n.open(t, "p", "open before"))
	for spell := range 2 { // each is reported
		logged := log.Len()
		d.set(sqlitelog.ErrFull)
		err := n.open(t, "p", "b")
		requireErrorIs(t, err, ErrFull)
		if remedy := "give it more disk, or add stores"; !strings.Contains(err.Error(),
			remedy) || !strings.Contains(log.String()[logged:], remedy) {
			t.Errorf("spell %d: the remedy is not named: %v\n%s", spell, err, log.String()[logged:])
		}
		if !n.store.Full() {
			t.Fatalf("spell %d: Full is not reported", spell)
		}
		before := d.count()
		requireErrorIs(t, n.open(t, "p", "c"), ErrFull)
		if d.count() != before {
			t.Errorf("spell %d: a full store writes to open a turn", spell)
		}
		requireErrorIs(t, n.close(t, "p", "open before", "x"), ErrFull)
		if d.count() == before {
			t.Errorf("spell %d: a full store does not try to close a turn", spell)
		}
		r := n.store.handleHistory(t.Context(), &historyCall{To: n.head(), Key: "p", Turn: "a"})
		if r.Status != statusOK || string(r.History) != "text" {
			t.Errorf("spell %d: a full store serves %+v", spell, r)
		}
		swept := n.store.handleListKeys(t.Context(), &listKeysCall{To: n.head(), Requester: "another",
			Sweep: true}) // must persist the generation it adopted
		requireErrorIs(t, statusError(swept.Status), ErrFull)
		n.store.checkCapacity(t.Context())
		if !n.store.Full() {
			t.Errorf("spell %d: turns are opened before the disk accepts writes", spell)
		}
		d.set(nil)
		n.store.checkCapacity(t.Context())
		if n.store.Full() || !strings.Contains(log.String()[logged:], "disk has room again") {
			t.Errorf("spell %d: the disk has recovered, and the store does not report it: %s", spell, log.String()[logged:])
		}
		requireNoError(t, n.open(t, "p", fmt.Sprint("after ", spell)))
	}
	requireNoError(t, n.close(t, "p", "open before", "x"))
}

// A store that has maxLedgerEntries reports that it is full as well.
func TestFullLedgersAreReported(t *testing.T) {
	tr := newPassiveTier(t, 3)
	n := tr.nodes[0]
	_, log := n.withFaults()
	entries := func(more int) {
		n.store.mu.Lock()
		defer n.store.mu.Unlock()
		n.store.index.entries += more
	}
	entries(maxLedgerEntries)
	requireErrorIs(t, n.open(t, "p", "a"), ErrFull)
	n.store.checkCapacity(t.Context())
	if !n.store.Full() || !strings.Contains(log.String(), "ledgers are full") {
		t.Errorf("not reported: %s", log)
	}
	entries(-maxLedgerEntries)
	n.store.checkCapacity(t.Context())
	if n.store.Full() {
		t.Error("full with capacity for entries")
	}
	requireNoError(t, n.open(t, "p", "a"))
}

func TestCapacityHysteresis(t *testing.T) {
	const most = 8000
	var r capacity
	for i, step := range []struct {
		left    int64
		refused bool
		full    bool
	}{
		{most, false, false}, {most / lowDivisor, false, false}, {most/lowDivisor - 1, false,
			true}, {most/reopenDivisor - 1, false, true},
		{most / reopenDivisor, false, false}, {most, true, true}, {most, false, false}, {0, true, true}, {most, false, false},
	} {
		r.measure(step.left, most)
		r.writeRefused = step.refused
		if r.full() != step.full {
			t.Errorf("step %d: full %v, with %d left, refused %v", i, r.full(), step.left, step.refused)
		}
	}
	r.measure(0, 0)
	if r.full() {
		t.Error("a disk without a limit is reported as full")
	}
}

// What expired while the disk rejected writes is deleted once it accepts them: space is reclaimed without a restart.
func TestExpiryOnFullDiskIsRetried(t *testing.T) {
	tr := newPassiveTier(t, 3)
	n := tr.nodes[0]
	d, _ := n.withFaults()
	requireNoError(t, n.close(t, "p", "a", "text"))
	requireNoError(t, n.close(t, "q", "b", "text"))
	rows := func() (all int) {
		for _, table := range []string{tableTurns, tableBodies, tableEntries} {
			requireNoError(t, n.db.Range(table, nil, nil, func(_, _ []byte) error { all++; return nil }))
		}
		return all
	}
	tr.ahead.Store(int64(ledgerRetention + time.Minute))
	d.set(sqlitelog.ErrFull)
	for range 3 {
		if n.store.expire(t.Context()) {
			t.Error("a delete that failed is retried at once")
		}
	}
	if rows() != 6 {
		t.Fatalf("%d rows while the disk rejects writes", rows())
	}
	d.set(nil)
	for n.store.expire(t.Context()) {
	}
	n.store.expire(t.Context()) // turns first, then their ledger
	if n := rows(); n != 0 {
		t.Errorf("%d expired rows are left on a disk that accepts writes", n)
	}
	if programs, turns := n.store.Counts(); programs != 0 || turns != 0 {
		t.Errorf("%d programs and %d turns are left", programs, turns)
	}
}

// A program that is used again after its turns could not be deleted retains what was written since.
func TestTurnClosedAfterFailedExpiryStays(t *testing.T) {
	tr := newPassiveTier(t, 3)
	n := tr.nodes[0]
	d, _ := n.withFaults()
	requireNoError(t, n.close(t, "p", "a", "text"))
	tr.ahead.Store(int64(2 * time.Minute))
	d.set(sqlitelog.ErrFull)
	n.store.expire(t.Context())
	d.set(nil)
	requireNoError(t, n.close(t, "p", "b", "more"))
	for n.store.expire(t.Context()) {
	}
	n.shutdown()
	n.start()
	if !n.has("b") {
		t.Error("an acknowledged turn is lost after a kill")
	}
}

// restarted restarts a node and returns its ledger of a program, as read from disk.
func (n *node) restarted(program string) budget.Ledger {
	n.shutdown()
	n.start()
	return n.ledger(program)
}

// A sweep is complete only with every entry on disk, including those that joined the index while the disk rejected writes.
func TestSweepIsIncompleteUntilEntriesAreSynced(t *testing.T) {
	for name, fault := range map[string]error{"full": sqlitelog.ErrFull, "busy": sqlitelog.ErrBusy} {
		t.Run(name, func(t *testing.T) {
			tr := newPassiveTier(t, 4)
			old, fresh := tr.nodes[:3], tr.nodes[3]
			tr.setPlacement(&Placement{Generation: 1, Old: tr.stores(old...)})
			for _, n := range old {
				requireNoError(t, n.open(t, "p", "acknowledged"))
			}
			d, _ := fresh.withFaults()
			next := &Placement{Generation: 2, Old: tr.stores(old...), New: tr.stores(old[0], old[1], fresh)}
			tr.setPlacement(next)
			d.set(fault)
			for range 3 {
				if fresh.store.sweep(t.Context(), next) || fresh.store.SweptGeneration() != 0 {
					t.Fatal("a sweep is complete on a disk that rejects writes")
				}
			}
			d.set(nil)
			if !fresh.store.sweep(t.Context(), next) {
				t.Fatal("the sweep is not complete on a disk that has recovered")
			}
			ledger := fresh.restarted("p")
			if fresh.store.SweptGeneration() != 2 || ledger.Sum() != 10 {
				t.Errorf("after a kill it has swept generation %d and has %d tokens of 10 that were acknowledged",
					fresh.store.SweptGeneration(), ledger.Sum())
			}
		})
	}
}

// An entry whose write was rejected is rewritten once the disk accepts writes: the same entry of a peer would appear known.
func TestEntryOfFailedWriteIsRewritten(t *testing.T) {
	tr := newPassiveTier(t, 3)
	n := tr.nodes[0]
	d, _ := n.withFaults()
	for _, c := range []struct {
		turn  string
		fault error
		want  error
	}{{"a", sqlitelog.ErrFull, ErrFull}, {"b", sqlitelog.ErrBusy, ErrBusy}} {
		d.set(c.fault)
		requireErrorIs(t, n.open(t, "p", c.turn), c.want)
		d.set(nil)
		n.store.checkCapacity(t.Context())
	}
	if more, err := n.store.rewriteFailedEntries(t.Context()); more || err != nil {
		t.Errorf("more %v, %v", more, err)
	}
	before := d.count()
	if _, err := n.store.rewriteFailedEntries(t.Context()); err != nil || d.count() != before {
		t.Errorf("synced entries are written again: %v", err)
	}
	ledger := n.restarted("p")
	if ledger.Len() != 2 {
		t.Errorf("%d entries of 2 on disk", ledger.Len())
	}
}

// A late reply to a cancelled open, from a store that was stalled, is not matched to another open.
func TestLateReplyIsNotMatchedToAnotherOpen(t *testing.T) {
	tr := newPassiveTier(t, 3)
	n := tr.nodes[0]
	d, _ := n.withFaults()
	release := d.delayWrites()
	link := tr.calls.To(n.addr)
	call := func(ctx context.Context, program string) (*openReply, error) {
		r := new(openReply)
		return r, link.Call(ctx, MethodOpen, &openCall{To: n.head(), Program: program, Turn: "turn of " + program, MaxTokens: 10}, r)
	}
	submitted := func(most int) { eventually(t, "the store writes", func() bool { return d.count() >= most }) }

	ctx, cancel := context.WithCancel(t.Context())
	cancelled := make(chan error, 1)
	go func() {
		_, err := call(ctx, "p")
		cancelled <- err
	}()
	submitted(1)
	cancel()
	requireErrorIs(t, <-cancelled, rpc.ErrLost)

	releaseSecond := d.delayWrites()
	type outcome struct {
		reply *openReply
		err   error
	}
	second := make(chan outcome, 1)
	go func() {
		r, err := call(t.Context(), "q")
		second <- outcome{r, err}
	}()
	submitted(2)
	release() // the first reply arrives while the second open is pending
	eventually(t, "the first is synced", func() bool {
		n.store.mu.Lock()
		defer n.store.mu.Unlock()
		_, unsynced := n.store.unsynced.entries[entryID{"p", "turn of p"}]
		return !unsynced
	})
	ledger := new(readLedgerReply) // another call overtakes the pending one
	requireNoError(t, link.Call(t.Context(), MethodReadLedger, &readLedgerCall{To: n.head(), Program: "p"}, ledger))
	if len(ledger.Ledger) != 1 || ledger.Ledger[0].Turn != "turn of p" {
		t.Errorf("ledger of the first open's program: %+v", ledger.Ledger)
	}
	select {
	case o := <-second:
		t.Fatalf("acknowledged before its own sync: %+v %v", o.reply, o.err)
	default:
	}
	releaseSecond()
	o := <-second
	if o.err != nil || len(o.reply.Ledger) != 1 || o.reply.Ledger[0].Turn != "turn of q" {
		t.Errorf("%+v %v", o.reply, o.err)
	}
}
