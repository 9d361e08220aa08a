package controlnode

import (
	"time"

	"larchrouter/internal/tier/placement"
)

// handoverFor is how long what a head has told counts: until another has taken over. What is older is of a head before that.
const handoverFor = 2 * time.Second

// handover is what passes from the head to the one after it about the placement of stores. It is soft state: what is lost
// costs the one after it time.
type handover struct {
	own   []placement.Observations // that this node tells as the head, at most one
	told  placement.Observations   // the newest that it was told
	from  string                   // the id of the node that told it
	life  int64
	round int64 // of the heartbeat that it came with
	at    time.Duration
}

// SetHandover has this node tell the others, with its heartbeats as the head, what it has measured of the stores.
func (n *Node) SetHandover(h placement.Observations) { n.handover.own = []placement.Observations{h} }

// Handover is what the head has told last, empty where that is too long ago.
func (n *Node) Handover() placement.Observations {
	if n.now-n.handover.at > handoverFor {
		return placement.Observations{}
	}
	return n.handover.told
}

// takeHandover keeps what a heartbeat of the head of this node's view tells. Heartbeats may come out of order.
func (n *Node) takeHandover(m Message) {
	h := &n.handover
	late := m.From.ID == h.from && m.Life == h.life && m.Round <= h.round
	if len(m.Handover) != 1 || m.Epoch != n.vote.View.Epoch || m.From.ID != n.vote.View.Head() || late {
		return
	}
	h.told, h.from, h.life, h.round, h.at = m.Handover[0], m.From.ID, m.Life, m.Round, n.now
}
