package controlnode

import (
	"slices"
	"strings"
)

// send adds a message to the Ready of this step, and sets its sender and, unless it is set already, its epoch. A message
// to this node itself or to an unknown address is dropped.
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

// sendToVoters sends a message to all other voters of the view.
func (n *Node) sendToVoters(m Message) {
	for _, v := range n.acceptor.View.Voters {
		if v.ID != n.settings.Self.ID {
			n.send(n.addr(v.ID), m)
		}
	}
}

// sendToAll sends a message to the voters, to all other peers that were heard from recently, and, while this node is not
// a voter itself, to the seeds.
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

// sendHeartbeat starts a confirmation round and sends it together with this node's state.
func (n *Node) sendHeartbeat() {
	m := Message{
		Kind:              msgHeartbeat,
		ActivatedEpoch:    n.chain.State().ActivatedEpoch,
		Leaving:           n.leaving,
		Ack:               n.chain.CurrentAck(),
		ConfirmationRound: n.readIndex.rounds.start(n.now),
	}
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

// sendDecidedView sends the newest view to the sender of a message, unless the message is of a later epoch.
func (n *Node) sendDecidedView(m Message) {
	if n.acceptor.View.Epoch > 0 && m.Epoch <= n.acceptor.View.Epoch {
		n.send(m.From.Addr, Message{Kind: msgDecide, View: n.acceptor.View})
	}
}
