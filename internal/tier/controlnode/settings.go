package controlnode

import (
	"time"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/view"
)

// Timings of a node.
type Timings struct {
	HeartbeatInterval time.Duration // between heartbeats
	SuspectTimeout    time.Duration // silence after which a member is taken out of the chain
	FailureTimeout    time.Duration // silence after which a voter may be taken off the list
	ResendInterval    time.Duration
	MaxPause          time.Duration // a pause of one's own after which silence of others is no evidence
}

// DefaultTimings suit links of some milliseconds and syncs of some more.
func DefaultTimings() Timings {
	return Timings{HeartbeatInterval: 200 * time.Millisecond, SuspectTimeout: 750 * time.Millisecond, FailureTimeout: 2 * time.Second, ResendInterval: 150 * time.Millisecond, MaxPause: 400 * time.Millisecond}
}

// Durable is what a node has on disk.
type Durable struct {
	Acceptor view.Acceptor
	State    chain.State
}

// NodeSettings make a Node.
type NodeSettings struct {
	Self           view.Member
	Incarnation    int64    // how often this node was started with its disk, this start included
	Seeds          []string // addresses, for a node that knows no view
	FaultTolerance int
	Timings        Timings
}

// Completion is the end of a write or a read that was asked of the node.
type Completion struct {
	RequestID  int64
	Outcome    Outcome
	Index      int64
	RedirectTo string // with Elsewhere: the address of the node to ask, empty where none is known
}

// Outcome of a write or a read.
type Outcome int

// The outcomes. OutcomeUnknown proves nothing: the write may be in force, now or later.
const (
	Committed Outcome = iota
	NotHere
	OutcomeUnknown
)

// Ready is what a step asks for, in this order: Save on disk if Dirty, then Send and Done.
type Ready struct {
	MustSync  bool // Durable has changed
	Messages  []Envelope
	Completed []Completion
}

// Durable is what has to be on disk.
func (n *Node) Durable() Durable { return Durable{Acceptor: n.acceptor, State: *n.chain.State()} }
