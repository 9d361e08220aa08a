package turnstore

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/budget"
)

// writeFixtures has tests write the fixtures under testdata that are missing. A fixture holds the bytes of a format as they
// were when it was first used: it is written once and never rewritten, least of all for a rename. Whoever changes a format on
// purpose adds a new fixture and keeps the old one.
var writeFixtures = flag.Bool("fixtures.write", false,
	"write the fixtures under testdata that are missing; those that are there stay as they are")

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
	if *writeFixtures {
		writeMissingFrames(t, path, slices.Concat(messages, boolMessages))
	}
	var full, alone []any
	for _, m := range messages {
		requireAllSet(t, m.key(), m.value)
		full = append(full, m.value)
	}
	for _, m := range boolMessages {
		alone = append(alone, m.value)
	}
	requireBoolsApart(t, full, alone)
	fixtures := readFrames(t, path)
	for _, m := range slices.Concat(messages, boolMessages) {
		old, known := fixtures[m.key()]
		delete(fixtures, m.key())
		if !known {
			t.Errorf("%s has no fixture in %s", m.key(), path)
			continue
		}
		got := reflect.New(reflect.TypeOf(m.value).Elem()).Interface()
		if err := rpc.Decode(old, got); err != nil {
			t.Errorf("%s: the old bytes: %v", m.key(), err)
		} else if !sameValue(got, m.value) {
			t.Errorf("%s: the old bytes mean %+v, want %+v", m.key(), got, m.value)
		}
		if now := rpc.Encode(m.value); !bytes.Equal(now, old) {
			t.Errorf("%s is encoded as\n%x, was\n%x", m.key(), now, old)
		}
	}
	for key := range fixtures {
		t.Errorf("no message is compared with the fixture %q", key)
	}
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

// readFrames reads lines of a message's key and its bytes in hexadecimal.
func readFrames(t *testing.T, path string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	frames := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		at := strings.LastIndexByte(line, ' ')
		if at < 0 {
			t.Fatalf("%s: line %q has no bytes", path, line)
		}
		b, err := hex.DecodeString(line[at+1:])
		if err != nil {
			t.Fatalf("%s: line %q: %v", path, line, err)
		}
		if frames[line[:at]] != nil {
			t.Fatalf("%s: %q is there twice", path, line[:at])
		}
		frames[line[:at]] = b
	}
	return frames
}

// writeMissingFrames adds the messages that a file of fixtures does not have.
func writeMissingFrames(t *testing.T, path string, all []message) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	known := readFrames(t, path)
	for _, m := range all {
		if known[m.key()] == nil {
			if _, err := fmt.Fprintf(f, "%s %x\n", m.key(), rpc.Encode(m.value)); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// requireAllSet makes sure that no field of a fixture is zero, and that no two numbers or strings of it are the same: else a
// field that was dropped, or two that were swapped, might not show.
func requireAllSet(t *testing.T, what string, value any) {
	t.Helper()
	seen := map[any]bool{}
	var look func(path string, v reflect.Value)
	look = func(path string, v reflect.Value) {
		switch v.Kind() {
		case reflect.Pointer:
			look(path, v.Elem())
			return
		case reflect.Struct:
			for i := range v.NumField() {
				look(path+"."+v.Type().Field(i).Name, v.Field(i))
			}
			return
		}
		var leaf any
		switch {
		case v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0:
			t.Errorf("%s: %s is not set", what, path)
			return
		case v.Kind() == reflect.Bool:
			return
		case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8:
			leaf = string(v.Bytes())
		case v.Kind() == reflect.Slice:
			for i := range v.Len() {
				look(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
			}
			return
		case v.CanInt():
			leaf = v.Int()
		default:
			leaf = v.String()
		}
		if seen[leaf] {
			t.Errorf("%s: %s has the value %v of another field", what, path, leaf)
		}
		seen[leaf] = true
	}
	look("", reflect.ValueOf(value))
}

// requireBoolsApart makes sure that two booleans of a struct that were swapped would show: wherever a struct has several,
// there is a message for each in which it alone is true.
func requireBoolsApart(t *testing.T, full, alone []any) {
	t.Helper()
	type field struct {
		of   reflect.Type
		name string
	}
	needed, found := map[field]bool{}, map[field]bool{}
	var look func(v reflect.Value, set map[field]bool, most int)
	look = func(v reflect.Value, set map[field]bool, most int) {
		switch {
		case v.Kind() == reflect.Pointer:
			look(v.Elem(), set, most)
		case v.Kind() == reflect.Slice:
			for i := range v.Len() {
				look(v.Index(i), set, most)
			}
		case v.Kind() == reflect.Struct:
			var bools []string
			count := 0
			for i := range v.NumField() {
				if f := v.Field(i); f.Kind() == reflect.Bool {
					count++
					if f.Bool() {
						bools = append(bools, v.Type().Field(i).Name)
					}
				} else {
					look(f, set, most)
				}
			}
			if count > 1 && len(bools) <= most {
				for _, name := range bools {
					set[field{v.Type(), name}] = true
				}
			}
		}
	}
	for _, v := range full {
		look(reflect.ValueOf(v), needed, math.MaxInt)
	}
	for _, v := range alone {
		look(reflect.ValueOf(v), found, 1)
	}
	for f := range needed {
		if !found[f] {
			t.Errorf("%v has several booleans: add a message in which %s alone is true", f.of, f.name)
		}
	}
}

// sameValue compares what was decoded with what is meant. Where nothing is meant, as in a message of one boolean, an empty
// slice is as good as none: their bytes are the same.
func sameValue(got, want any) bool {
	return reflect.DeepEqual(got, want) || reflect.DeepEqual(withoutEmpty(got), withoutEmpty(want))
}

// withoutEmpty clears the empty slices among the fields of the struct that v points to, and of those in it.
func withoutEmpty(v any) any {
	var look func(v reflect.Value)
	look = func(v reflect.Value) {
		switch {
		case v.Kind() == reflect.Struct:
			for i := range v.NumField() {
				look(v.Field(i))
			}
		case v.Kind() == reflect.Slice && v.Len() == 0:
			v.SetZero()
		}
	}
	look(reflect.ValueOf(v).Elem())
	return v
}
