package turnstore

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/budget"
)

// The calls that a store takes.
const (
	MethodOpen       rpc.Method = 20 + iota // reserve, and look for the previous turn
	MethodClose                             // keep a turn and settle its entry
	MethodSettle                            // settle an entry
	MethodReadLedger                        // read a ledger
	MethodHistory                           // read the history of a turn
	MethodFindTurn                          // look for a turn under all keys
	MethodDigest                            // sums over buckets of keys
	MethodListKeys                          // digests of keys, by pages
	MethodStates                            // ledgers and turns of some keys
	MethodBodies                            // records of some turns
	MethodRepair                            // notice: a key is not whole there
)

// The kinds of errors of a store's answer and of a client's operation.
var (
	// ErrBudget: the turn does not fit into what is left of its program's budget.
	ErrBudget = errors.New("budget is spent")
	// ErrNoTurn: the previous turn does not exist, which enough stores have said to be sure.
	ErrNoTurn = errors.New("no such turn")
	// ErrUnavailable: too few stores answered to know.
	ErrUnavailable = errors.New("too few stores answered")
	// ErrWrongStore: a store of another identity answers at that address.
	ErrWrongStore = errors.New("store has another identity")
	// ErrOldPlacement: the store has adopted a newer placement than the caller's.
	ErrOldPlacement = errors.New("placement is older than the store's")
	// ErrPlacementBehind: the store has not adopted the caller's placement yet.
	ErrPlacementBehind = errors.New("store has not adopted the placement yet")
	// ErrFull: the store's disk or memory bound has no room.
	ErrFull = errors.New("store is full: give it more disk, or add stores")
	// ErrBusy: too many writes wait for the store's disk.
	ErrBusy = errors.New("store waits for its disk: look at the disk where it goes on")
)

const (
	statusOK = iota
	statusWrongStore
	statusOldPlacement
	statusBehind
	statusFull
	statusFailed
	statusBusy
)

func statusError(status int) error {
	switch status {
	case statusOK:
		return nil
	case statusWrongStore:
		return ErrWrongStore
	case statusOldPlacement:
		return ErrOldPlacement
	case statusBehind:
		return ErrPlacementBehind
	case statusFull:
		return ErrFull
	case statusBusy:
		return ErrBusy
	default:
		return errors.Newf("store failed with status %d: its log names the cause", status)
	}
}

// Turn is a turn that ended whole, as the front hands it over.
type Turn struct {
	Key           string // its program
	ID            string
	Previous      string
	Base          []byte // the whole history before it, where Previous is another key's turn
	Input         []byte
	Output        []byte // the data of each event, each followed by a line feed
	UsedTokens    int    // tokens handed out
	RetainSeconds int    // seconds
	CacheHost     string // the host that ran it, and has its prompt in its cache
	ContextTokens int    // tokens of its prompt and what it generated
}

// Record is a turn as stores keep it: what it adds to the history is all that is ever read of it.
type Record struct {
	Key           string
	ID            string
	Previous      string
	Root          bool // the piece is the whole history: first turn, or one with the base in it
	RetainSeconds int
	Increment     []byte
	CacheHost     string
	ContextTokens int
}

func (t *Turn) record() Record {
	piece := make([]byte, 0, len(t.Base)+len(t.Input)+len(t.Output))
	piece = append(append(append(piece, t.Base...), t.Input...), t.Output...)
	return Record{Key: t.Key, ID: t.ID, Previous: t.Previous, Root: t.Previous == "" || t.Base != nil, RetainSeconds: t.RetainSeconds, Increment: piece, CacheHost: t.CacheHost, ContextTokens: t.ContextTokens}
}

// indexRow is what the index needs of a turn, in a table of its own so that a start reads no bodies.
type indexRow struct {
	Previous string
	Root     bool
	Retain   int
}

// entryRow is an entry of a ledger on disk.
type entryRow struct {
	Tokens  int
	Settled bool
}

// rowKey orders rows by program; splitKey undoes it.
func rowKey(program, turn string) []byte {
	b := make([]byte, 0, 2+len(program)+len(turn))
	b = binary.AppendUvarint(b, uint64(len(program)))
	return append(append(b, program...), turn...)
}

func splitKey(b []byte) (program, turn string, err error) {
	n, w := binary.Uvarint(b)
	if w <= 0 || n > uint64(len(b)-w) {
		return "", "", errors.Newf("row key %x is of no known shape", b)
	}
	return string(b[w : w+int(n)]), string(b[w+int(n):]), nil
}

// RequestHeader names the store that a call is meant for and the placement that it goes by.
type RequestHeader struct {
	Store      string
	Generation int64
}

type openCall struct {
	To       RequestHeader
	Program  string
	Turn     string
	Previous string
	Need     int
	History  bool // wanted with the answer
}

type openReply struct {
	Status  int
	Ledger  []budget.Entry
	Valid   bool // it may say that there is no such turn
	Known   bool
	History []byte
	Got     bool   // History was read
	Missing string // a turn of the chain that this store lacks: History begins after it
	LeftMs  int    // how long the store keeps the turn at least
	Home    string // of the previous turn, as far as this store remembers: it is not kept on disk
	Context int
}

type closeCall struct {
	To   RequestHeader
	Turn Record
	Used int
}

type settleCall struct {
	To      RequestHeader
	Program string
	Turn    string
	Used    int
}

type plainReply struct {
	Status int
}

type peekCall struct {
	To      RequestHeader
	Program string
}

type peekReply struct {
	Status int
	Ledger []budget.Entry
}

type historyCall struct {
	To   RequestHeader
	Key  string
	Turn string
}

type historyReply struct {
	Status  int
	Valid   bool
	Known   bool
	History []byte
	Missing string
	LeftMs  int
}

type findCall struct {
	To   RequestHeader
	Turn string
}

type findReply struct {
	Status int
	Valid  bool
	Known  bool
	Key    string
}

type digestCall struct {
	To    RequestHeader
	Asker string // identity of the store that asks
}

type digestReply struct {
	Status int
	Sums   []byte // one of 8 bytes for each bucket
}

type keysCall struct {
	To      RequestHeader
	Asker   string
	Sweep   bool  // all that the asker should hold; else only what both should
	Buckets []int // empty: all
	Bucket  int   // the page begins in this bucket
	After   string
}

type keyDigest struct {
	Key     string
	Turns   int64
	Ledger  int64
	StaysMs int // the turns stay for so long for sure
}

type keysReply struct {
	Status int
	Keys   []keyDigest
	More   bool
	Bucket int
	After  string
}

type statesCall struct {
	To   RequestHeader
	Keys []string
}

type keyState struct {
	Key     string
	LeftMs  int
	StaysMs int // as LeftMs, 0 where that is a guess
	Ledger  []budget.Entry
	Turns   []string
}

type statesReply struct {
	Status int
	States []keyState // of the first keys that were asked for
}

type bodiesCall struct {
	To    RequestHeader
	Turns []string
}

type bodiesReply struct {
	Status int
	Done   int // how many of the turns that were asked for are dealt with
	Turns  []Record
}

type repairNotice struct {
	To  RequestHeader
	Key string
}
