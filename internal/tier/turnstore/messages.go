package turnstore

import (
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/budget"
)

// The RPC methods of a store.
const (
	MethodOpen       rpc.Method = 20 + iota // reserve tokens, and look for the previous turn
	MethodClose                             // store a turn and settle its entry
	MethodSettle                            // settle an entry
	MethodReadLedger                        // read the ledger of a program
	MethodHistory                           // read the history of a turn
	MethodFindTurn                          // look for a turn of any program
	MethodDigest                            // read the digests of all buckets
	MethodListKeys                          // read the digests of programs, page by page
	MethodStates                            // read the ledgers and turn IDs of programs
	MethodBodies                            // read the records of turns
	MethodRepair                            // notice, not acknowledged: the store lacks turns of a program
)

// RequestHeader is the target of a call: the store that it is meant for, and the generation of the placement that the
// caller acts under.
type RequestHeader struct {
	Store      string
	Generation int64
}

// The messages below are encoded by rpc.Encode, without field names: the order and the types of the fields are the
// protocol. In every reply, Status comes first; the other fields are set only if it is statusOK.

type openCall struct {
	To          RequestHeader
	Program     string
	Turn        string
	Previous    string
	MaxTokens   int
	WantHistory bool // return the history of Previous as well
}

type openReply struct {
	Status        int
	Ledger        []budget.Entry
	Authoritative bool // if Found is false, the store was not to have the turn: it counts towards its absence
	Found         bool
	History       []byte
	HasHistory    bool   // History was read
	Missing       string // turn of the chain that this store lacks: History begins after it; empty: History is complete
	RemainingMs   int    // for which the store retains the turn at least
	CacheHost     string // of the previous turn, as far as this store remembers: it is not persisted
	ContextTokens int
}

type closeCall struct {
	To         RequestHeader
	Turn       Record
	UsedTokens int
}

type settleCall struct {
	To         RequestHeader
	Program    string
	Turn       string
	UsedTokens int
}

type statusReply struct {
	Status int
}

type readLedgerCall struct {
	To      RequestHeader
	Program string
}

type readLedgerReply struct {
	Status int
	Ledger []budget.Entry
}

type historyCall struct {
	To   RequestHeader
	Key  string
	Turn string
}

type historyReply struct {
	Status        int
	Authoritative bool
	Found         bool
	History       []byte
	Missing       string // as in openReply
	RemainingMs   int
}

type findTurnCall struct {
	To   RequestHeader
	Turn string
}

type findTurnReply struct {
	Status        int
	Authoritative bool
	Found         bool
	Key           string // program of the turn
}

type digestCall struct {
	To        RequestHeader
	Requester string // ID of the calling store
}

type digestReply struct {
	Status  int
	Digests []byte // 8 bytes, big endian, for each bucket
}

type listKeysCall struct {
	To        RequestHeader
	Requester string
	Sweep     bool  // all programs that have the requester as a replica; else those that have both stores
	Buckets   []int // restricts the programs; empty: all buckets
	Bucket    int   // bucket of After
	After     string
}

// keyDigest is the digests of one program.
type keyDigest struct {
	Key          string
	TurnsDigest  int64
	LedgerDigest int64
	ConfirmedMs  int // for which its turns are retained for certain
}

type listKeysReply struct {
	Status int
	Keys   []keyDigest
	More   bool   // there is a next page, after the position of Bucket and After
	Bucket int    // of the last key
	After  string // the last key
}

type statesCall struct {
	To   RequestHeader
	Keys []string
}

// keyState is the ledger and the turns of one program.
type keyState struct {
	Key         string
	RemainingMs int // for which its turns are retained at least
	ConfirmedMs int // as RemainingMs, 0 where that is an estimate
	Ledger      []budget.Entry
	Turns       []string
}

type statesReply struct {
	Status int
	States []keyState // of the first of the requested keys, at least one
}

type bodiesCall struct {
	To    RequestHeader
	Turns []string
}

type bodiesReply struct {
	Status    int
	Processed int      // how many of the requested turns, from the first on, this reply covers
	Turns     []Record // of those, as far as the store has them
}

type repairNotice struct {
	To  RequestHeader
	Key string
}
