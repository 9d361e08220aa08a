package feed

import (
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/hosthealth"
	"larchrouter/internal/tier/turnstore"
	"larchrouter/internal/tier/usage"
)

// RPC methods of core nodes. Those of stores begin at 20. The numbers are part of the protocol.
const (
	PeerCall   rpc.Method = iota + 1 // a message between core nodes
	FollowCall                       // a poll by a follower of an earlier version
	PutConfigCall
	ReadConfigCall
	RegisterCall // a store's heartbeat
	RetireStoreCall
	StorePhaseCall
	StatusCall       // the status of a core node
	ChangesCall      // a poll, with deltas and references in the response
	ChunkCall        // a chunk of a large value
	HealthCall       // a front's report on hosts
	UsageCall        // a front's report on requests that hosts began
	LeaseReleaseCall // from the head of an epoch to that of the next
	ClockCall        // the wall clock of a core node
	TaskStatusCall   // the state of the singleton tasks, at the head
	StopStoreCall    // from a store that was told to stop
	FoundingCall     // how far a core node is from its founding
	FirstStartCall   // from a store that remembers the first start and has seen no founded core
)

// FollowRequest is the poll of a follower of an earlier version, which receives every value in full. Messages are encoded
// as their fields in order, without names: fields must not be added, dropped, moved or retyped.
type FollowRequest struct {
	Name           string // of the machine
	Class          string
	AppliedIndex   int64
	ActiveVersion  int64 // version of the configuration in its tables, 0 if there is none
	HostListTerm   int64 // of the host list in its tables, 0 if there is none
	HostListNumber int64
	WaitMs         int64 // how long the source may delay a response without changes
}

// FollowResponse is the response to FollowRequest.
type FollowResponse struct {
	Confirmed bool  // a majority has confirmed the source's epoch after the request arrived; otherwise only CoreAddrs is set
	Index     int64 // of the last committed entry
	Entries   []chain.Entry
	Hosts     []discovery.List  // the full host list, at most one
	Delta     []discovery.Delta // or the delta to the follower's list, at most one
	CoreAddrs []string          // addresses of the member core nodes
}

// ChangesRequest is a long poll for all changes after ReceivedIndex.
type ChangesRequest struct {
	Name           string // of the machine
	Class          string
	AppliedIndex   int64 // every entry up to it is applied
	ReceivedIndex  int64 // every entry up to it was received: above AppliedIndex while a large value is downloaded
	ActiveVersion  int64 // version of the configuration in its tables, 0 if there is none
	HostListTerm   int64 // of the host list in its tables, 0 if there is none
	HostListNumber int64
	WaitMs         int64       // how long the source may delay a response without changes
	BaseValues     []BaseValue // possible bases of deltas
}

// BaseValue identifies a value that a follower has for a key, against which the source may send a delta.
type BaseValue struct {
	Key    string
	Digest []byte
}

// ChangesResponse is the response to ChangesRequest. The newest entry of each key, if it is after ReceivedIndex, is in
// one of Entries, Patches and LargeValues.
type ChangesResponse struct {
	Confirmed   bool  // a majority has confirmed the source's epoch after the request arrived; otherwise only CoreAddrs counts
	Index       int64 // of the last committed entry
	Entries     []chain.Entry
	Patches     []Patch
	LargeValues []ValueRef
	Hosts       []discovery.List  // the full host list, at most one
	Delta       []discovery.Delta // or the delta to the follower's list, at most one
	CoreAddrs   []string          // addresses of the member core nodes
}

// Patch is an entry whose value is sent as a delta (package bodydelta) to the follower's base value.
type Patch struct {
	Index int64
	Key   string
	Delta []byte
}

// ValueRef is an entry whose value the follower has to download in chunks.
type ValueRef struct {
	Index  int64
	Key    string
	Size   int64
	Digest []byte
}

// ChunkRequest requests a chunk of a value; any core node may serve it.
type ChunkRequest struct {
	Name   string // of the machine
	Digest []byte
	Offset int64
	Length int64
}

// The values of Chunk.Status.
const (
	ChunkServed  = iota
	ChunkUnknown // the node does not have the value, or has evicted it
	ChunkBusy    // the node is at its limit of concurrent transfers: retry later or at another node
)

// Chunk is the response to ChunkRequest.
type Chunk struct {
	Status int
	Digest []byte // of the complete value
	Offset int64
	Data   []byte
	Final  bool // the value ends with this chunk
}

// Registration registers a store with the head. The store repeats it as a heartbeat.
type Registration struct {
	Store           turnstore.Store
	Generation      int64 // the newest placement generation that it adopted; it rejects requests under older ones
	SweptGeneration int64 // the generation under which it completed a sweep
	Full            bool  // its disk is almost full: it accepts no new turns
	Forwarded       bool  // set by a core node that is not the head, so that the message is not forwarded again
}

// StopStoreRequest asks whether a store that was told to stop may stop. The store repeats it until it may.
type StopStoreRequest struct {
	ID        string // of the store
	Forwarded bool   // as in Registration
}

// StopStoreResponse is the head's response to a StopStoreRequest.
type StopStoreResponse struct {
	MayStop bool
	Placed  bool // it is in the placement: it stays a replica while it is stopped
}

// HealthReport has a front's observations, since its last report, of hosts that fail or are on probation.
type HealthReport struct {
	Name         string // of the machine
	Observations []hosthealth.Observation
	Forwarded    bool // as in Registration
}

// LeaseRelease notifies the head of the next epoch that the sender, the head of Epoch, no longer acts under the lease on
// the singleton tasks; see package lease.
type LeaseRelease struct {
	Epoch      int64
	WaitMicros int64 // how long the sender itself still had to wait for the grants of earlier heads to expire
}

// ClockReading is the wall clock of a node.
type ClockReading struct {
	UnixMicros int64 // since 1970
}

// UsageReport has the counts of a front that the collector at the head has not acknowledged, as in usage.Report.
type UsageReport struct {
	Name        string // of the machine
	Incarnation int64
	Windows     []usage.Window
	Loads       []usage.ServiceLoad
	Forwarded   bool // as in Registration
}

// UsageReceipt is the response to UsageReport.
type UsageReceipt struct {
	Collector  string // that added the report; empty if the node is not the head and only returns the head's address
	HeadAddr   string // where to send reports; empty if the node knows no head
	TrueTimeMs int64  // the node's estimate of the true time, since the beginning of 1970; 0 if it has none
}

// PutConfigRequest is an operator's order to put a configuration.
type PutConfigRequest struct {
	IfMatch   int64 // the version that it replaces
	Body      []byte
	Forwarded bool // as in Registration
}

// OperatorResponse is the response to an operator: an HTTP status and a text, or a JSON body.
type OperatorResponse struct {
	Status   int
	Text     string
	Body     []byte
	Location string // with status 307: the URL at the node that can answer
}

// OperatorRequest is an operator's order to retire a store, or a query: for the phase of a store's retirement, the
// configuration or the state of the singleton tasks.
type OperatorRequest struct {
	Name      string // of the store
	Forwarded bool   // as in Registration
}

// Empty is an empty response.
type Empty struct{ Unused bool }

// ConfigEntry is the value under ConfigKey.
type ConfigEntry struct {
	Version       int64
	Body          []byte
	RecentDigests [][]byte // of the most recently applied configurations, including this one; see package orders
}

// RetireEntry is the value under a key with RetirePrefix.
type RetireEntry struct {
	ID string // identity of the store to retire
}

// StoreCountEntry is the value under StoreCountKey.
type StoreCountEntry struct {
	Initial int64 // see placement.InitialStores
}

// RetirePrefix is the prefix of the keys of orders to retire a store; see orders.RetireKey.
const RetirePrefix = "retire/"
