package controlnode

import (
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/view"
)

// Durable is the state of a node that must be on disk before the messages and completions of the same Ready leave the
// node.
type Durable struct {
	Acceptor view.Acceptor
	State    chain.State
}

// Ready is what the caller must do after a step, in this order: if MustSync, write Node.Durable to disk and sync it;
// then send the Messages and report the Completed requests. Several Readies may be merged and synced once, as long as
// nothing from any of them leaves the node before that sync.
type Ready struct {
	MustSync  bool // Durable has changed
	Messages  []Envelope
	Completed []Completion
}

// Completion is the result of a write or a read that was requested from the node.
type Completion struct {
	RequestID  int64
	Outcome    Outcome
	Index      int64  // with Committed
	RedirectTo string // with NotOwner: the address of the node to ask, empty if unknown
}

// Outcome is how a write or a read ended.
type Outcome int

// The outcomes. Committed: the entry of the write, or the index that the request depends on, is committed. NotOwner:
// this node cannot handle the request and has not applied it; operators get the same answer as for OutcomeUnknown,
// since an earlier attempt of the same order may have been applied. OutcomeUnknown proves nothing: the write may be in
// effect, now or later.
const (
	Committed Outcome = iota
	NotOwner
	OutcomeUnknown
)
