package controlnode

import (
	"time"

	"larchrouter/internal/tier/placement"
)

// handoverMaxAge is how long what a head has told counts: until another has taken over. What is older is of a head before that.
const handoverMaxAge = 2 * time.Second

// handover is what passes from the head to the one after it about the placement of stores. It is soft state: what is lost
// costs the one after it time.
type handover struct {
	outgoing          []placement.Observations // that this node tells as the head, at most one
	received          placement.Observations   // the newest that it was told
	senderID          string                   // the id of the node that told it
	senderIncarnation int64
	heartbeatRound    int64 // of the heartbeat that it came with
	receivedAt        time.Duration
}

// SetHandover has this node tell the others, with its heartbeats as the head, what it has measured of the stores.
func (n *Node) SetHandover(h placement.Observations) {
	n.handover.outgoing = []placement.Observations{h}
}

// Handover is what the head has told last, empty where that is too long ago.
func (n *Node) Handover() placement.Observations {
	if n.now-n.handover.receivedAt > handoverMaxAge {
		return placement.Observations{}
	}
	return n.handover.received
}

// handleHandover keeps what a heartbeat of the head of this node's view tells. Heartbeats may come out of order.
func (n *Node) handleHandover(m Message) {
	h := &n.handover
	late := m.From.ID == h.senderID && m.Incarnation == h.senderIncarnation && m.ConfirmationRound <= h.heartbeatRound
	if len(m.Handover) != 1 || m.Epoch != n.acceptor.View.Epoch || m.From.ID != n.acceptor.View.Head() || late {
		return
	}
	h.received, h.senderID, h.senderIncarnation, h.heartbeatRound, h.receivedAt = m.Handover[0], m.From.ID, m.Incarnation, m.ConfirmationRound, n.now
}
