package controlnode

import (
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/view"
)

// Kinds of messages between core nodes; the values are part of the wire format.
const (
	msgHeartbeat = iota
	msgPrepare
	msgPromise
	msgAccept
	msgAccepted
	msgDecide        // a decided view
	msgChainUpdate   // from a member of the chain to its successor
	msgChainAck      // the answer to msgChainUpdate
	msgConfirm       // requests an echo of a confirmation round
	msgConfirmed     // the answer to msgConfirm
	msgHostList      // from the head to the voters
	msgLearnerUpdate // from the tail to a member outside the chain
	msgLearnerAck    // the answer to msgLearnerUpdate
)

// Message is a message between core nodes. Kind determines which fields are used. On the wire the fields are written in
// this order and without names, and the kinds as numbers: fields and kinds may be renamed, but not moved, retyped, added
// or removed.
type Message struct {
	Kind              int
	From              view.Member
	Incarnation       int64 // of the sender
	Epoch             int64 // of the sender's view; for msgPrepare to msgAccepted, the epoch to be decided
	Promised          bool  // the sender has promised to the epoch after its view
	Leaving           bool  // the sender is about to stop
	ConfirmationRound int64 // of the sender; with msgHeartbeat and msgConfirm
	Echoes            []Echo
	Ballot            view.Ballot
	AcceptedBallot    view.Ballot // with msgPromise: of the view that the sender has accepted
	View              view.View   // proposed, accepted or decided, depending on Kind; Epoch is 0 if there is none
	ActivatedEpoch    int64       // of the sender's chain.State
	Update            chain.Update
	Ack               chain.Ack         // the sender's position in the chain
	Hosts             []discovery.List  // at most one
	Delta             []discovery.Delta // at most one
	HostListTerm      int64             // of the sender's host list
	HostListNumber    int64
	Handover          []placement.Observations // with a heartbeat of the head, at most one
}

// Echo returns to a node, identified by its ID and incarnation, the number of the newest of its confirmation rounds that
// has arrived. The order of the fields is part of the wire format.
type Echo struct {
	ID                string
	Incarnation       int64
	ConfirmationRound int64
}

// Envelope is a message with its destination.
type Envelope struct {
	To string // address
	Message
}
