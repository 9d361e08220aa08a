package controlnode

import (
	"slices"
	"strings"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/placement"
	"larchrouter/internal/tier/view"
)

// Kinds of messages between control nodes.
const (
	heartbeat = iota
	prepare
	promise
	accept
	accepted
	decide
	update // from a member of the chain to its successor
	ack    // the successor's answer
	confirm
	confirmed
	hostList
	learn   // from the tail to a member outside the chain
	learned // its answer
)

// Message passes between control nodes. Which fields count depends on Kind.
type Message struct {
	Kind       int
	From       view.Member
	Life       int64 // how often the sender was started with its disk
	Epoch      int64 // of the sender's view; for prepare to accepted the one to be decided
	Sealed     bool  // the sender has promised to the epoch after its view
	Leaving    bool  // the sender is about to stop
	Round      int64 // of confirmation, by the sender of heartbeat and confirm
	Echoes     []Echo
	Ballot     view.Ballot
	AcceptedAt view.Ballot
	View       view.View // Epoch 0 for none
	Activated  int64
	Update     chain.Update
	Ack        chain.Ack         // the sender's part of the chain
	Hosts      []discovery.List  // at most one
	Delta      []discovery.Delta // at most one
	Term       int64             // of the sender's list of hosts
	Number     int64
	Handover   []placement.Observations // with a heartbeat of the head, at most one
}

// Echo tells a node, in one of its lives, the newest round of confirmation that has come from it.
type Echo struct {
	ID    string
	Life  int64
	Round int64
}

// Envelope is a message with where it goes.
type Envelope struct {
	To string // address
	Message
}

func (n *Node) send(to string, m Message) {
	if to == "" || to == n.set.Self.Addr {
		return
	}
	m.From, m.Life, m.Sealed = n.set.Self, n.set.Life, n.vote.HasPromised()
	if m.Epoch == 0 {
		m.Epoch = n.vote.View.Epoch
	}
	n.out.Send = append(n.out.Send, Envelope{To: to, Message: m})
}

func (n *Node) sendToVoters(m Message) {
	for _, v := range n.vote.View.Voters {
		if v.ID != n.set.Self.ID {
			n.send(n.addr(v.ID), m)
		}
	}
}

// sendHeartbeat tells all how this node is, with a round of confirmation.
func (n *Node) sendHeartbeat() {
	m := Message{Kind: heartbeat, Activated: n.chain.State().ActivatedEpoch, Leaving: n.leaving, Ack: n.chain.CurrentAck(), Round: n.rounds.begin(n.now)}
	if n.hosts != nil {
		m.Term, m.Number = n.hosts.Term, n.hosts.Number
	}
	if n.Head() {
		m.Handover = n.handover.own
	}
	for id, p := range n.peers {
		if n.heardLately(p) {
			m.Echoes = append(m.Echoes, Echo{ID: id, Life: p.life, Round: p.round})
		}
	}
	slices.SortFunc(m.Echoes, func(a, b Echo) int { return strings.Compare(a.ID, b.ID) })
	n.sendToAll(m)
}

func (n *Node) heardLately(p *peer) bool { return p.ever && n.now-p.heard < 3*n.set.Timings.Beat }

// sendToAll sends to the voters, to members without a vote that were heard lately, and to the seeds while this node has no
// vote itself.
func (n *Node) sendToAll(m Message) {
	var addresses []string
	for _, v := range n.vote.View.Voters {
		addresses = append(addresses, n.addr(v.ID))
	}
	for _, p := range n.peers {
		if n.heardLately(p) {
			addresses = append(addresses, p.member.Addr)
		}
	}
	if !n.vote.View.IsVoter(n.set.Self.ID) {
		addresses = append(addresses, n.set.Seeds...)
	}
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		n.send(address, m)
	}
}

// teach sends the newest view to one that does not have it.
func (n *Node) teach(m Message) {
	if n.vote.View.Epoch > 0 && m.Epoch <= n.vote.View.Epoch {
		n.send(m.From.Addr, Message{Kind: decide, View: n.vote.View})
	}
}
