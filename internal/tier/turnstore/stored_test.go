package turnstore

import (
	"bytes"
	"context"
	"encoding/hex"
	"io"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/fixture"
	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/budget"
)

// storedFolder is the folder of a store as an earlier version of the code wrote it. It is never rewritten, see package fixture.
var storedFolder = filepath.Join("testdata", "store-v1")

// storedID is the identity that the fixture's file got when it was made.
const storedID = "1566bcdee414bf701c2d8102b960cd2b"

// longProgram makes a key whose length takes two bytes.
var longProgram = strings.Repeat("long-", 40)

// rows are what a store's file has, by program and turn.
type rows struct {
	entries map[entryID]entryRow
	turns   map[entryID]indexRow
	bodies  map[entryID]string
	facts   map[string]string
}

// storedRows are the rows of the fixture.
var storedRows = rows{
	entries: map[entryID]entryRow{
		{"program-1", "turn-1"}:         {Tokens: 120, Settled: true},
		{"program-1", "turn-2"}:         {Tokens: big + 7, Settled: true},
		{"program-1", "turn-open"}:      {Tokens: 900},
		{"program-1", "turn-failed"}:    {Tokens: 33, Settled: true},
		{"program-2", "turn-based"}:     {Tokens: 44, Settled: true},
		{"program-3", "turn-empty"}:     {Settled: true},
		{"program-expired", "turn-old"}: {Tokens: 55, Settled: true},
		{longProgram, "turn-long"}:      {Tokens: 66, Settled: true},
	},
	turns: map[entryID]indexRow{
		{"program-1", "turn-1"}:     {Root: true, RetainSeconds: 3601},
		{"program-1", "turn-2"}:     {Previous: "turn-1", RetainSeconds: 3602},
		{"program-2", "turn-based"}: {Previous: "turn-2", Root: true, RetainSeconds: 3603},
		{"program-3", "turn-empty"}: {Root: true, RetainSeconds: 3604},
		{longProgram, "turn-long"}:  {Root: true, RetainSeconds: 3605},
	},
	bodies: map[entryID]string{
		{"program-1", "turn-1"}:     "input-1 output-1\n",
		{"program-1", "turn-2"}:     "input-2 output-2\n",
		{"program-2", "turn-based"}: "input-1 output-1\ninput-2 output-2\ninput-3 output-3\n",
		{"program-3", "turn-empty"}: "",
		{longProgram, "turn-long"}:  "\x00\xff input-4",
	},
	facts: map[string]string{"adopted": "5", "swept": "4", "probe": strings.Repeat("\x00", 16)},
}

// folder is a store's folder, opened as larch-control opens it but for the clock and the placement.
type folder struct {
	t     *testing.T
	db    *sqlitelog.DB
	store *Server
	gen   int64 // of the placement in force
	ahead time.Duration
}

func openFolder(t *testing.T, dir string) *folder {
	t.Helper()
	f := &folder{t: t, gen: 5}
	db, err := sqlitelog.Open(dir, "store.db", 64<<20, StoreTables...)
	if err != nil {
		t.Fatal(err)
	}
	f.db = db
	begin := time.Now()
	f.store, err = NewServer(ServerOptions{DB: db, Placement: f.placement, Calls: &rpc.Clients{}, Log: process.NewLogger(io.Discard),
		Now: func() time.Time { return begin.Add(f.ahead) }})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *folder) placement() *Placement {
	self := Store{ID: f.store.ID(), Name: "store-1", Addr: "127.0.0.1:1", Zone: "zone-1"}
	return &Placement{Generation: f.gen, ReplicationFactor: 1, DurableReplicas: 1, Old: []Store{self}}
}

func (f *folder) head() RequestHeader { return RequestHeader{Store: f.store.ID(), Generation: f.gen} }

func (f *folder) close() {
	f.t.Helper()
	if err := f.db.Close(); err != nil {
		f.t.Fatal(err)
	}
}

func (f *folder) status(what string, status int) {
	f.t.Helper()
	if status != statusOK {
		f.t.Fatalf("%s ended in status %d", what, status)
	}
}

// begin opens a turn with what it needs at most.
func (f *folder) begin(program, turn, previous string, need int) *openReply {
	f.t.Helper()
	r := f.store.handleOpen(f.t.Context(), &openCall{To: f.head(), Program: program, Turn: turn,
		Previous: previous, MaxTokens: need, WantHistory: true})
	f.status("open of "+turn, r.Status)
	return r
}

// turn opens and closes a turn.
func (f *folder) turn(r Record, used int) {
	f.t.Helper()
	f.begin(r.Key, r.ID, r.Previous, used+1)
	f.status("close of "+r.ID, f.store.handleClose(f.t.Context(), &closeCall{To: f.head(), Turn: r, UsedTokens: used}).Status)
}

// writeStoreFolder makes the fixture by the calls that a store takes, so that each kind of row is in it. The row of the probe,
// which a store leaves behind if it is killed while it checks its capacity, is put there with fewer bytes than a real one has.
func writeStoreFolder(t *testing.T, dir string) {
	t.Helper()
	ctx := t.Context()
	f := openFolder(t, dir)
	f.gen = 4
	f.turn(Record{Key: "program-expired", ID: "turn-old", Root: true, RetainSeconds: 1, Increment: []byte("expired")}, 55)
	f.ahead = time.Minute
	f.turn(Record{Key: "program-1", ID: "turn-1", Root: true, RetainSeconds: 3601,
		Increment: []byte("input-1 output-1\n"), CacheHost: "host-1", ContextTokens: 9}, 120)
	f.turn(Record{Key: "program-1", ID: "turn-2", Previous: "turn-1", RetainSeconds: 3602,
		Increment: []byte("input-2 output-2\n")}, big+7)
	based := &Turn{Key: "program-2", ID: "turn-based", Previous: "turn-2", Base: []byte("input-1 output-1\ninput-2 output-2\n"),
		Input: []byte("input-3 "), Output: []byte("output-3\n"), RetainSeconds: 3603}
	f.turn(based.record(), 44)
	f.turn(Record{Key: "program-3", ID: "turn-empty", Root: true, RetainSeconds: 3604}, 0)
	f.turn(Record{Key: longProgram, ID: "turn-long", Root: true, RetainSeconds: 3605, Increment: []byte("\x00\xff input-4")}, 66)
	f.begin("program-1", "turn-open", "", 900)
	f.begin("program-1", "turn-failed", "", 901)
	f.status("settle", f.store.handleSettle(ctx, &settleCall{To: f.head(), Program: "program-1",
		Turn: "turn-failed", UsedTokens: 33}).Status)
	f.store.expire(ctx)
	if err := f.store.commitSweep(ctx, 4); err != nil {
		t.Fatal(err)
	}
	f.gen = 5
	f.status("keys", f.store.handleListKeys(ctx, &listKeysCall{To: f.head(), Requester: "store-2", Sweep: true}).Status)
	if err := f.store.disk.Commit(ctx, []sqlitelog.Write{{Table: FactsTable, Key: []byte(factProbe),
		Value: make([]byte, 16)}}); err != nil {
		t.Fatal(err)
	}
	f.close()
}

// readRows reads each table of the file by the names that are on disk.
func (f *folder) readRows() rows {
	f.t.Helper()
	r := rows{map[entryID]entryRow{}, map[entryID]indexRow{}, map[entryID]string{}, map[string]string{}}
	read := func(table string, take func(key entryID, k, v []byte) error) {
		f.t.Helper()
		err := f.db.Range(table, nil, nil, func(k, v []byte) error {
			var key entryID
			if table != "facts" {
				var err error
				if key.program, key.turn, err = parseRowKey(k); err != nil {
					return err
				}
			}
			return take(key, k, v)
		})
		if err != nil {
			f.t.Fatalf("table %s: %v", table, err)
		}
	}
	read("entries", func(key entryID, _, v []byte) error {
		var row entryRow
		err := rpc.Decode(v, &row)
		r.entries[key] = row
		return err
	})
	read("turns", func(key entryID, _, v []byte) error {
		var row indexRow
		err := rpc.Decode(v, &row)
		r.turns[key] = row
		return err
	})
	read("bodies", func(key entryID, _, v []byte) error { r.bodies[key] = string(v); return nil })
	read("facts", func(_ entryID, k, v []byte) error { r.facts[string(k)] = string(v); return nil })
	return r
}

func (f *folder) requireRows(what string, want rows) {
	f.t.Helper()
	got := f.readRows()
	for _, one := range []struct {
		table     string
		got, want any
	}{{"entries", got.entries, want.entries}, {"turns", got.turns, want.turns}, {"bodies", got.bodies,
		want.bodies}, {"facts", got.facts, want.facts}} {
		if !reflect.DeepEqual(one.got, one.want) {
			f.t.Errorf("%s: table %s has\n%v, want\n%v", what, one.table, one.got, one.want)
		}
	}
}

// requireServed checks that the store has read all the rows and answers calls by them.
func (f *folder) requireServed(what string, want rows) {
	f.t.Helper()
	ctx, s := f.t.Context(), f.store
	if s.ID() != storedID {
		f.t.Errorf("%s: the store's identity is %s, want %s", what, s.ID(), storedID)
	}
	if s.AdoptedGeneration() != 5 || s.persistedGeneration != 5 || s.SweptGeneration() != 4 {
		f.t.Errorf("%s: adopted %d (on disk %d), swept %d; want 5, 5, 4", what, s.AdoptedGeneration(),
			s.persistedGeneration, s.SweptGeneration())
	}
	if st := s.handleReadLedger(ctx, &readLedgerCall{To: RequestHeader{Store: storedID, Generation: 4},
		Program: "program-1"}).Status; st != statusOldPlacement {
		f.t.Errorf("%s: a call under the placement before ended in status %d", what, st)
	}
	served := map[entryID]entryRow{}
	programs := map[string]bool{}
	for id := range want.entries {
		programs[id.program] = true
	}
	for program := range programs {
		for _, e := range s.handleReadLedger(ctx, &readLedgerCall{To: f.head(), Program: program}).Ledger {
			served[entryID{program, e.Turn}] = entryRow{Tokens: e.Tokens, Settled: e.Settled}
		}
	}
	if !maps.Equal(served, want.entries) {
		f.t.Errorf("%s: the ledgers served are\n%v, want\n%v", what, served, want.entries)
	}
	if _, turns := s.Counts(); turns != len(want.turns) {
		f.t.Errorf("%s: %d turns, want %d", what, turns, len(want.turns))
	}
	retain := map[string]int{} // all turns of a program are retained for as long as the one with the longest time
	for id, row := range want.turns {
		retain[id.program] = max(retain[id.program], row.RetainSeconds)
	}
	for id, row := range want.turns {
		r := s.handleBodies(ctx, &bodiesCall{To: f.head(), Turns: []string{id.turn}})
		record := Record{Key: id.program, ID: id.turn, Previous: row.Previous, Root: row.Root,
			RetainSeconds: retain[id.program], Increment: []byte(want.bodies[id])}
		if len(r.Turns) != 1 || !reflect.DeepEqual(r.Turns[0], record) {
			f.t.Errorf("%s: turn %s is served as %+v, want %+v", what, id.turn, r.Turns, record)
		}
	}
	for turn, history := range map[entryID]string{
		{"program-1", "turn-2"}:     "input-1 output-1\ninput-2 output-2\n",
		{"program-2", "turn-based"}: "input-1 output-1\ninput-2 output-2\ninput-3 output-3\n",
		{"program-3", "turn-empty"}: "",
	} {
		r := s.handleHistory(ctx, &historyCall{To: f.head(), Key: turn.program, Turn: turn.turn})
		if !r.Found || r.Missing != "" || string(r.History) != history {
			f.t.Errorf("%s: history of %s is %+v, want %q", what, turn.turn, r, history)
		}
	}
}

// storedDigests are the digests by which the fixture's programs are compared with those of other replicas.
var storedDigests = []keyDigest{
	{Key: "program-2", TurnsDigest: -8647077482338865650, LedgerDigest: 2374201539769701554},
	{Key: "program-expired", TurnsDigest: 0, LedgerDigest: 3115061449597111805},
	{Key: longProgram, TurnsDigest: -4023501358511729009, LedgerDigest: 5812544841766116376},
	{Key: "program-3", TurnsDigest: -7039612756454321850, LedgerDigest: -1069315695037021485},
	{Key: "program-1", TurnsDigest: -5308528377006233588, LedgerDigest: -6050771306405996926},
}

// storedSums are the digests of the buckets, 8 bytes each.
const storedSums = "0000000000000000840a81cb9a29c37100000000000000000000000000000000000000000000000000000000000000002758fb6fb5b4eda100000000000000000000000000000000000000000000000000000000000000000000000000000000998903cf4a907d5f000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000062fdaf29e4b4f5c3000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000036e9cbd146852ca5"

// A folder that an earlier version of the code wrote is read completely, row by row, and the store continues from it.
func TestStoredFolderOfEarlierVersionIsServed(t *testing.T) {
	if fixture.Missing(t, storedFolder) {
		writeStoreFolder(t, storedFolder)
	}
	dir := filepath.Join(t.TempDir(), "store")
	if err := os.CopyFS(dir, os.DirFS(storedFolder)); err != nil {
		t.Fatal(err)
	}
	f := openFolder(t, dir)
	if id, fresh := f.db.Identity(); id != storedID || fresh {
		t.Errorf("identity %s, fresh %v; want %s", id, fresh, storedID)
	}
	f.requireRows("as it was", storedRows)
	if got := f.store.handleListKeys(t.Context(), &listKeysCall{To: f.head(),
		Requester: storedID}).Keys; !reflect.DeepEqual(got, storedDigests) {
		t.Errorf("digests are\n%#v, want\n%#v", got, storedDigests)
	}
	sums := f.store.handleDigest(t.Context(), &digestCall{To: f.head(), Requester: storedID}).Digests
	if got := hex.EncodeToString(sums); got != storedSums {
		t.Errorf("sums are\n%s, want\n%s", got, storedSums)
	}
	f.requireServed("as it was", storedRows)

	opened := f.begin("program-1", "turn-new", "turn-2", 700)
	if !opened.Found || !bytes.Equal(opened.History, []byte("input-1 output-1\ninput-2 output-2\n")) || len(opened.Ledger) != 5 {
		t.Errorf("a new turn is opened with %+v", opened)
	}
	settled := f.store.handleSettle(t.Context(), &settleCall{To: f.head(), Program: "program-1", Turn: "turn-open",
		UsedTokens: 88})
	f.status("settle", settled.Status)
	f.turn(Record{Key: "program-1", ID: "turn-new", Previous: "turn-2", RetainSeconds: 3606,
		Increment: []byte("input-5 output-5\n")}, 77)
	f.close()

	want := rows{maps.Clone(storedRows.entries), maps.Clone(storedRows.turns), maps.Clone(storedRows.bodies), storedRows.facts}
	want.entries[entryID{"program-1", "turn-open"}] = entryRow{Tokens: 88, Settled: true}
	want.entries[entryID{"program-1", "turn-new"}] = entryRow{Tokens: 77, Settled: true}
	want.turns[entryID{"program-1", "turn-new"}] = indexRow{Previous: "turn-2", RetainSeconds: 3606}
	want.bodies[entryID{"program-1", "turn-new"}] = "input-5 output-5\n"
	again := openFolder(t, dir)
	defer again.close()
	again.requireRows("opened again", want)
	again.requireServed("opened again", want)
	r := again.store.handleHistory(context.Background(), &historyCall{To: again.head(), Key: "program-1", Turn: "turn-new"})
	if string(r.History) != "input-1 output-1\ninput-2 output-2\ninput-5 output-5\n" {
		t.Errorf("history of the new turn is %+v", r)
	}
	var l budget.Ledger
	l.Merge(again.store.handleReadLedger(t.Context(), &readLedgerCall{To: again.head(), Program: "program-1"}).Ledger)
	if l.Sum() != 120+(big+7)+33+88+77 || l.Open() != 0 {
		t.Errorf("the ledger's sum is %d with %d open", l.Sum(), l.Open())
	}
}
