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
	msgHeartbeat = iota
	msgPrepare
	msgPromise
	msgAccept
	msgAccepted
	msgDecide
	msgChainUpdate // from a member of the chain to its successor
	msgChainAck    // the successor's answer
	msgConfirm
	msgConfirmed
	msgHostList
	msgLearnerUpdate // from the tail to a member outside the chain
	msgLearnerAck    // its answer
)

// Message passes between control nodes. Which fields count depends on Kind.
type Message struct {
	Kind              int
	From              view.Member
	Incarnation       int64 // how often the sender was started with its disk
	Epoch             int64 // of the sender's view; for prepare to accepted the one to be decided
	Promised          bool  // the sender has promised to the epoch after its view
	Leaving           bool  // the sender is about to stop
	ConfirmationRound int64 // of confirmation, by the sender of heartbeat and confirm
	Echoes            []Echo
	Ballot            view.Ballot
	AcceptedAt        view.Ballot
	View              view.View // Epoch 0 for none
	ActivatedEpoch    int64
	Update            chain.Update
	Ack               chain.Ack         // the sender's part of the chain
	Hosts             []discovery.List  // at most one
	Delta             []discovery.Delta // at most one
	HostListTerm      int64             // of the sender's list of hosts
	HostListNumber    int64
	Handover          []placement.Observations // with a heartbeat of the head, at most one
}

// Echo tells a node, in one of its lives, the newest round of confirmation that has come from it.
type Echo struct {
	ID                string
	Incarnation       int64
	ConfirmationRound int64
}

// Envelope is a message with where it goes.
type Envelope struct {
	To string // address
	Message
}

func (n *Node) send(to string, m Message) {
	if to == "" || to == n.settings.Self.Addr {
		return
	}
	m.From, m.Incarnation, m.Promised = n.settings.Self, n.settings.Incarnation, n.acceptor.HasPromised()
	if m.Epoch == 0 {
		m.Epoch = n.acceptor.View.Epoch
	}
	n.ready.Messages = append(n.ready.Messages, Envelope{To: to, Message: m})
}

func (n *Node) sendToVoters(m Message) {
	for _, v := range n.acceptor.View.Voters {
		if v.ID != n.settings.Self.ID {
			n.send(n.addr(v.ID), m)
		}
	}
}

// sendHeartbeat tells all how this node is, with a round of confirmation.
func (n *Node) sendHeartbeat() {
	m := Message{Kind: msgHeartbeat, ActivatedEpoch: n.chain.State().ActivatedEpoch, Leaving: n.leaving, Ack: n.chain.CurrentAck(), ConfirmationRound: n.readIndex.rounds.start(n.now)}
	if n.hosts.list != nil {
		m.HostListTerm, m.HostListNumber = n.hosts.list.Term, n.hosts.list.Number
	}
	if n.IsConfirmedHead() {
		m.Handover = n.handover.outgoing
	}
	for id, p := range n.peers {
		if n.recentlyHeard(p) {
			m.Echoes = append(m.Echoes, Echo{ID: id, Incarnation: p.incarnation, ConfirmationRound: p.latestRound})
		}
	}
	slices.SortFunc(m.Echoes, func(a, b Echo) int { return strings.Compare(a.ID, b.ID) })
	n.sendToAll(m)
}

func (n *Node) recentlyHeard(p *peer) bool {
	return p.heardFrom && n.now-p.lastHeard < 3*n.settings.Timings.HeartbeatInterval
}

// sendToAll sends to the voters, to members without a vote that were heard lately, and to the seeds while this node has no
// vote itself.
func (n *Node) sendToAll(m Message) {
	var addresses []string
	for _, v := range n.acceptor.View.Voters {
		addresses = append(addresses, n.addr(v.ID))
	}
	for _, p := range n.peers {
		if n.recentlyHeard(p) {
			addresses = append(addresses, p.member.Addr)
		}
	}
	if !n.acceptor.View.IsVoter(n.settings.Self.ID) {
		addresses = append(addresses, n.settings.Seeds...)
	}
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		n.send(address, m)
	}
}

// sendDecidedView sends the newest view to one that does not have it.
func (n *Node) sendDecidedView(m Message) {
	if n.acceptor.View.Epoch > 0 && m.Epoch <= n.acceptor.View.Epoch {
		n.send(m.From.Addr, Message{Kind: msgDecide, View: n.acceptor.View})
	}
}
