package controlnode

import (
	"time"

	"larchrouter/internal/tier/placement"
)

// handoverMaxAge is how long received observations are valid, which is long enough for a successor to take over. Older
// ones are from an earlier head.
const handoverMaxAge = 2 * time.Second

// handover passes a head's observations of the stores to its successor, with the head's heartbeats. It is soft state: if
// it is lost, the successor needs time to observe the stores itself. Invariants: only observations from the head of this
// node's view are accepted, only its newest heartbeat counts, and outgoing is empty on a node that is no longer the head.
type handover struct {
	outgoing          []placement.Observations // what this node sends as the head, at most one
	received          placement.Observations   // the newest received observations
	senderID          string
	senderIncarnation int64
	heartbeatRound    int64 // the confirmation round of the heartbeat that carried them
	receivedAt        time.Duration
}

// SetHandover sets the observations that this node sends with its heartbeats while it is the head.
func (n *Node) SetHandover(observations placement.Observations) {
	n.handover.outgoing = []placement.Observations{observations}
}

// Handover returns the observations that the head sent last, or none if they are older than handoverMaxAge.
func (n *Node) Handover() placement.Observations {
	if n.now-n.handover.receivedAt > handoverMaxAge {
		return placement.Observations{}
	}
	return n.handover.received
}

// handleHandover stores the observations in a heartbeat from the head of this node's view. Heartbeats may arrive out of
// order.
func (n *Node) handleHandover(m Message) {
	h := &n.handover
	outdated := m.From.ID == h.senderID && m.Incarnation == h.senderIncarnation && m.ConfirmationRound <= h.heartbeatRound
	if len(m.Handover) != 1 || m.Epoch != n.acceptor.View.Epoch || m.From.ID != n.acceptor.View.Head() || outdated {
		return
	}
	h.received, h.receivedAt = m.Handover[0], n.now
	h.senderID, h.senderIncarnation, h.heartbeatRound = m.From.ID, m.Incarnation, m.ConfirmationRound
}
