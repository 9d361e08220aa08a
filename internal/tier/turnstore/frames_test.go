package turnstore

import (
	"fmt"
	"io"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/rpc/rpctest"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/budget"
)

const (
	request = "request"
	reply   = "reply"
)

// big is beyond 32 bits, so that a field that is made narrower does not pass.
const big = 1 << 40

// message is one body of a frame: its method's number, a name for people, which way it goes, and the value that its bytes mean.
type message struct {
	method rpc.Method
	name   string
	side   string
	value  any // pointer to a struct
}

func (m message) key() string { return fmt.Sprintf("%d %s %s", m.method, m.name, m.side) }

// messages are all that stores and their clients send each other. Numbers are literals on purpose: they are on the wire.
var messages = []message{
	{20, "open", request, &openCall{To: RequestHeader{Store: "store", Generation: big + 1}, Program: "program",
		Turn: "turn", Previous: "previous", MaxTokens: big + 2, WantHistory: true}},
	{20, "open", reply, &openReply{Status: big + 1, Ledger: []budget.Entry{{Turn: "turn", Tokens: big + 2,
		Settled: true}}, Authoritative: true, Found: true,
		History: []byte("history"), HasHistory: true, Missing: "missing", RemainingMs: big + 3,
		CacheHost: "home", ContextTokens: big + 4}},
	{21, "close", request, &closeCall{To: RequestHeader{Store: "store", Generation: big + 1},
		Turn: Record{Key: "key", ID: "id", Previous: "previous", Root: true, RetainSeconds: big + 2,
			Increment: []byte("piece"), CacheHost: "home", ContextTokens: big + 3}, UsedTokens: big + 4}},
	{21, "close", reply, &statusReply{Status: big + 1}},
	{22, "settle", request, &settleCall{To: RequestHeader{Store: "store", Generation: big + 1}, Program: "program",
		Turn: "turn", UsedTokens: big + 2}},
	{22, "settle", reply, &statusReply{Status: big + 1}},
	{23, "peek", request, &readLedgerCall{To: RequestHeader{Store: "store", Generation: big + 1}, Program: "program"}},
	{23, "peek", reply, &readLedgerReply{Status: big + 1, Ledger: []budget.Entry{{Turn: "turn", Tokens: big + 2, Settled: true}}}},
	{24, "history", request, &historyCall{To: RequestHeader{Store: "store", Generation: big + 1}, Key: "key", Turn: "turn"}},
	{24, "history", reply, &historyReply{Status: big + 1, Authoritative: true, Found: true,
		History: []byte("history"), Missing: "missing", RemainingMs: big + 2}},
	{25, "find", request, &findTurnCall{To: RequestHeader{Store: "store", Generation: big + 1}, Turn: "turn"}},
	{25, "find", reply, &findTurnReply{Status: big + 1, Authoritative: true, Found: true, Key: "key"}},
	{26, "digest", request, &digestCall{To: RequestHeader{Store: "store", Generation: big + 1}, Requester: "asker"}},
	{26, "digest", reply, &digestReply{Status: big + 1, Digests: []byte("8 bytes.")}},
	{27, "keys", request, &listKeysCall{To: RequestHeader{Store: "store", Generation: big + 1}, Requester: "asker",
		Sweep: true, Buckets: []int{big + 2, big + 3}, Bucket: big + 4, After: "after"}},
	{27, "keys", reply, &listKeysReply{Status: big + 1, Keys: []keyDigest{{Key: "key", TurnsDigest: big + 2,
		LedgerDigest: big + 3, ConfirmedMs: big + 4}}, More: true, Bucket: big + 5, After: "after"}},
	{28, "states", request, &statesCall{To: RequestHeader{Store: "store", Generation: big + 1}, Keys: []string{"key-1", "key-2"}}},
	{28, "states", reply, &statesReply{Status: big + 1, States: []keyState{{Key: "key", RemainingMs: big + 2, ConfirmedMs: big + 3,
		Ledger: []budget.Entry{{Turn: "turn", Tokens: big + 4, Settled: true}}, Turns: []string{"turn-1", "turn-2"}}}}},
	{29, "bodies", request, &bodiesCall{To: RequestHeader{Store: "store", Generation: big + 1},
		Turns: []string{"turn-1", "turn-2"}}},
	{29, "bodies", reply, &bodiesReply{Status: big + 1, Processed: big + 2,
		Turns: []Record{{Key: "key", ID: "id", Previous: "previous", Root: true, RetainSeconds: big + 3,
			Increment: []byte("piece"), CacheHost: "home", ContextTokens: big + 4}}}},
	{30, "repair", request, &repairNotice{To: RequestHeader{Store: "store", Generation: big + 1}, Key: "key"}},
	{30, "repair", reply, &statusReply{Status: big + 1}},
}

// boolMessages distinguish the booleans of one struct, each of which is true in messages.
var boolMessages = []message{
	{20, "open, valid", reply, &openReply{Authoritative: true}},
	{20, "open, known", reply, &openReply{Found: true}},
	{20, "open, got", reply, &openReply{HasHistory: true}},
	{24, "history, valid", reply, &historyReply{Authoritative: true}},
	{24, "history, known", reply, &historyReply{Found: true}},
	{25, "find, valid", reply, &findTurnReply{Authoritative: true}},
	{25, "find, known", reply, &findTurnReply{Found: true}},
}

// The bytes of each message are those of the code before it was renamed: Avro has fields in their order and without names, so
// that a field that was moved, added, dropped or given another type shows here and nowhere else.
func TestFramesKeepTheirBytes(t *testing.T) {
	path := filepath.Join("testdata", "frames.txt")
	var full, single []any
	for _, m := range messages {
		rpctest.RequireAllSet(t, m.key(), m.value)
		full = append(full, m.value)
	}
	for _, m := range boolMessages {
		single = append(single, m.value)
	}
	rpctest.RequireBoolsDistinguished(t, full, single)
	fixtures := rpctest.Open(t, path)
	for _, m := range slices.Concat(messages, boolMessages) {
		fixtures.Compare(t, m.key(), m.value)
	}
	fixtures.RequireAllCompared(t)
}

// Each method that a store serves has fixtures, and takes and gives the types that they are of.
func TestEachMethodHasFixtures(t *testing.T) {
	db, err := sqlitelog.Open(t.TempDir(), "store.db", 0, StoreTables...)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	s, err := NewServer(ServerOptions{DB: db, Placement: func() *Placement { return nil }, Calls: &rpc.Clients{},
		Log: process.NewLogger(io.Discard)})
	if err != nil {
		t.Fatal(err)
	}
	find := func(method rpc.Method, side string) any {
		for _, m := range messages {
			if m.method == method && m.side == side {
				return m.value
			}
		}
		t.Errorf("method %d has no %s among the fixtures", method, side)
		return nil
	}
	handlers := s.Handlers()
	for method, handle := range handlers {
		call, want := find(method, request), find(method, reply)
		if call == nil || want == nil {
			continue
		}
		got, err := handle(t.Context(), rpc.Encode(call))
		if err != nil {
			t.Errorf("method %d: %v", method, err)
		} else if reflect.TypeOf(got) != reflect.TypeOf(want) {
			t.Errorf("method %d answers with %T, the fixture is of %T", method, got, want)
		}
	}
	for _, m := range messages {
		if handlers[m.method] == nil {
			t.Errorf("nothing serves %s", m.key())
		}
	}
}

// The numbers of methods and statuses are on the wire.
func TestNumbersOnTheWire(t *testing.T) {
	methods := []rpc.Method{MethodOpen, MethodClose, MethodSettle, MethodReadLedger, MethodHistory, MethodFindTurn,
		MethodDigest, MethodListKeys, MethodStates, MethodBodies, MethodRepair}
	if want := []rpc.Method{20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30}; !reflect.DeepEqual(methods, want) {
		t.Errorf("methods are %v, want %v", methods, want)
	}
	statuses := []int{statusOK, statusWrongStore, statusOldPlacement, statusBehind, statusFull, statusFailed, statusBusy}
	if want := []int{0, 1, 2, 3, 4, 5, 6}; !reflect.DeepEqual(statuses, want) {
		t.Errorf("statuses are %v, want %v", statuses, want)
	}
	if bucketCount != 32 {
		t.Errorf("%d buckets: both sides of a digest must have as many", bucketCount)
	}
}
