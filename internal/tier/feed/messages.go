package feed

import (
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/turnstore"
)

// Calls that a core node answers. Stores have theirs from 20 on.
const (
	PeerCall rpc.Method = iota + 1 // a notice between core nodes
	FollowCall
	PutCall
	ReadCall
	RegisterCall
	RetireCall
	PhaseCall
	StatusCall
	ChangesCall // what FollowCall was, with differences and pieces
	ChunkCall
)

// FollowRequest asks for what is new after an index; it waits for that for a bounded time. It is that of followers of an
// earlier version, which get every value whole: Avro reads fields by their order, so that neither type may change.
type FollowRequest struct {
	Name           string // of the machine
	Class          string
	AppliedIndex   int64
	ActiveVersion  int64 // version of the configuration that the follower acts on
	HostListTerm   int64 // of the list of hosts that it has
	HostListNumber int64
	WaitMs         int64
}

// FollowResponse is the feed.
type FollowResponse struct {
	Confirmed bool // the source hears a majority and has all that it knows to be committed
	Index     int64
	Entries   []chain.Entry
	Hosts     []discovery.List  // the whole list, at most one
	Delta     []discovery.Delta // or what differs from the one that the follower has
	CoreAddrs []string          // addresses of core nodes
}

// ChangesRequest asks for what is new after an index; the source waits for that for a bounded time.
type ChangesRequest struct {
	Name           string // of the machine
	Class          string
	AppliedIndex   int64 // up to it the follower acts on all entries
	ReceivedIndex  int64 // up to it it was told of all entries: Index, or more while a large value is being fetched
	ActiveVersion  int64 // version of the configuration that it acts on
	HostListTerm   int64 // of the list of hosts that it has
	HostListNumber int64
	WaitMs         int64
	BaseValues     []BaseValue // what a difference may build on
}

// BaseValue names the value that a follower has under a key.
type BaseValue struct {
	Key    string
	Digest []byte
}

// ChangesResponse is the feed: each entry after Told is in one of Entries, Patches and Large.
type ChangesResponse struct {
	Confirmed   bool // a majority has confirmed after the request came that this is all that is committed
	Index       int64
	Entries     []chain.Entry
	Patches     []Patch
	LargeValues []ValueRef
	Hosts       []discovery.List  // the whole list, at most one
	Delta       []discovery.Delta // or what differs from the one that the follower has
	CoreAddrs   []string          // addresses of core nodes
}

// Patch is an entry whose value is given as a delta (bodydelta) against the one that the follower holds.
type Patch struct {
	Index int64
	Key   string
	Delta []byte
}

// ValueRef is an entry whose value is to be fetched in pieces.
type ValueRef struct {
	Index  int64
	Key    string
	Size   int64
	Digest []byte
}

// ChunkRequest asks for a part of a value; any core node that has it may be asked.
type ChunkRequest struct {
	Name   string // of the machine
	Digest []byte
	Offset int64
	Length int64
}

// The states of a Piece.
const (
	ChunkServed  = iota
	ChunkUnknown // the node does not have the value, or has it no more
	ChunkBusy    // the node serves as many transfers as it may: ask again later, or another
)

// Chunk is a part of a value.
type Chunk struct {
	Status int
	Digest []byte // of the whole value
	Offset int64
	Data   []byte
	Final  bool // the value ends with it
}

// Registration is what a store tells of itself, again and again.
type Registration struct {
	Store           turnstore.Store
	Generation      int64 // the newest that it has adopted: it refuses what comes under an older one
	SweptGeneration int64 // the gen under which it has swept all others
	Full            bool  // its disk has little room: it opens no turns
	// Forwarded by a core node that is not the head: it is passed on once.
	Forwarded bool
}

// PutRequest is a configuration that an operator sends. IfMatch is the version on which it builds.
type PutRequest struct {
	IfMatch   int64
	Body      []byte
	Forwarded bool
}

// Reply is what an operator is answered: a status of HTTP and a text, or a body of JSON.
type Reply struct {
	Status   int
	Text     string
	Body     []byte
	Location string // of the node that answers instead, with status 307
}

// OrderRequest names a store that is to be emptied, or whose emptying is asked after.
type OrderRequest struct {
	Name      string
	Forwarded bool
}

// Empty is an empty answer.
type Empty struct{ Unused bool }

// ConfigEntry is the value under ConfigKey.
type ConfigEntry struct {
	Version       int64
	Body          []byte
	RecentDigests [][]byte // digests of the versions taken last, this one included
}

// RetireEntry is the value under RetirePrefix + name.
type RetireEntry struct {
	ID string // of the store that is emptied
}

// RetirePrefix begins the keys of stores that are to be emptied.
const RetirePrefix = "retire/"
