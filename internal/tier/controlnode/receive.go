package controlnode

import (
	"time"

	"larchrouter/internal/tier/discovery"
)

// Receive handles a message from another node.
func (n *Node) Receive(now time.Duration, m Message) Ready {
	return n.step(now, func() {
		if m.From.ID == n.settings.Self.ID || m.From.ID == "" {
			return
		}
		if p := n.recordMessage(m); p != nil {
			n.dispatch(p, m)
		}
	})
}

// dispatch handles a message by its kind.
func (n *Node) dispatch(p *peer, m Message) {
	switch m.Kind {
	case msgHeartbeat:
		n.handleHeartbeat(p, m)
	case msgPrepare:
		n.handlePrepare(m)
	case msgPromise:
		n.handlePromise(m)
	case msgAccept:
		n.handleAccept(m)
	case msgAccepted:
		n.handleAccepted(m)
	case msgDecide:
		n.adopt(m.View)
	case msgChainUpdate:
		n.handleChainUpdate(m)
	case msgChainAck:
		n.handleChainAck(m)
	case msgLearnerUpdate:
		if n.chain.HandleLearnerUpdate(m.Update) {
			n.ready.MustSync = true
		}
		n.send(m.From.Addr, Message{Kind: msgLearnerAck, Ack: n.chain.CurrentAck()})
	case msgLearnerAck:
		n.handleLearnerAck(p, m)
	case msgConfirm:
		p.epoch = max(p.epoch, m.Epoch)
		p.latestRound = max(p.latestRound, m.ConfirmationRound)
		echo := Echo{ID: m.From.ID, Incarnation: m.Incarnation, ConfirmationRound: m.ConfirmationRound}
		n.send(m.From.Addr, Message{Kind: msgConfirmed, Echoes: []Echo{echo}, Ack: n.chain.CurrentAck()})
	case msgConfirmed:
		p.epoch = max(p.epoch, m.Epoch)
		for _, e := range m.Echoes {
			n.handleEcho(p, m, e)
		}
	case msgHostList:
		n.handleHostList(m)
	}
}

// handleHeartbeat records the state that a peer reports: its echoes, its position in the chain, its observations of the
// stores and the version of its host list. A peer with an older view is sent the newest one, and a voter with an older
// host list is sent that of the head.
func (n *Node) handleHeartbeat(p *peer, m Message) {
	for _, e := range m.Echoes {
		n.handleEcho(p, m, e)
	}
	p.heardPeers = p.heardPeers[:0]
	for _, e := range m.Echoes {
		p.heardPeers = append(p.heardPeers, e.ID)
	}
	n.handleHandover(m)
	p.latestRound = max(p.latestRound, m.ConfirmationRound)
	p.leaving, p.epoch, p.chainAck, p.hostListTerm, p.hostListNumber = m.Leaving, m.Epoch, m.Ack, m.HostListTerm, m.HostListNumber
	if m.Epoch < n.acceptor.View.Epoch {
		n.sendDecidedView(m)
	}
	n.handleLearnerAck(p, m)
	n.handleChainAck(m)
	behind := m.HostListTerm < n.hostListTerm() ||
		m.HostListTerm == n.hostListTerm() && n.hosts.list != nil && m.HostListNumber < n.hosts.list.Number
	if n.hosts.list != nil && behind && n.acceptor.View.IsVoter(m.From.ID) && n.acceptor.View.Head() == n.settings.Self.ID {
		n.send(m.From.Addr, Message{Kind: msgHostList, Hosts: []discovery.List{*n.hosts.list}})
	}
}

// handleChainUpdate applies entries from the predecessor and acknowledges them. The acknowledgement leaves the node after
// the sync that MustSync requests.
func (n *Node) handleChainUpdate(m Message) {
	if n.acceptor.HasPromised() {
		return
	}
	if m.Update.Epoch < n.acceptor.View.Epoch {
		n.sendDecidedView(Message{Epoch: m.Update.Epoch, From: m.From})
		return
	}
	changed, ok := n.chain.HandleUpdate(m.From.ID, m.Update)
	if !ok {
		return
	}
	n.replication.updateReceived = true
	n.ready.MustSync = n.ready.MustSync || changed
	n.chain.MarkDurable()
	n.sendChainAck()
}

// handleChainAck records the position of the successor.
func (n *Node) handleChainAck(m Message) {
	if n.chain.HandleAck(m.From.ID, m.Incarnation, m.Ack) {
		n.sendChainAck() // pass the commit index on to the predecessor
	}
}

// handleLearnerAck records the position of a member outside the chain.
func (n *Node) handleLearnerAck(p *peer, m Message) {
	p.chainAck = m.Ack
	n.chain.HandleLearnerAck(m.From.ID, m.Incarnation, m.Ack)
	if m.From.ID == n.replication.bulkLearner {
		n.replication.bulkLearnerAckedAt = n.now
	}
}
