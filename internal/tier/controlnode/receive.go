package controlnode

import (
	"time"

	"larchrouter/internal/tier/discovery"
)

// Receive takes a message of another node.
func (n *Node) Receive(now time.Duration, m Message) Output {
	return n.step(now, func() {
		if m.From.ID == n.set.Self.ID || m.From.ID == "" {
			return
		}
		if p := n.hear(m); p != nil {
			n.take(p, m)
		}
	})
}

// hear notes that a peer was heard; nil if the message is of an earlier life of its.
func (n *Node) hear(m Message) *peer {
	p := n.meet(m.From)
	if m.Life < p.life {
		return nil
	}
	if m.Life > p.life {
		*p = peer{member: m.From, life: m.Life, hearsMe: n.now, epoch: p.epoch, leaving: false}
	}
	p.member, p.heard, p.ever = m.From, n.now, true
	return p
}

func (n *Node) take(p *peer, m Message) {
	switch m.Kind {
	case heartbeat:
		n.takeHeartbeat(p, m)
	case prepare:
		n.takePrepare(m)
	case promise:
		n.takePromise(m)
	case accept:
		n.takeAccept(m)
	case accepted:
		n.takeAccepted(m)
	case decide:
		n.adopt(m.View)
	case update:
		n.takeUpdate(m)
	case ack:
		n.takeAck(m)
	case learn:
		if n.chain.HandleLearnerUpdate(m.Update) {
			n.out.Dirty = true
		}
		n.send(m.From.Addr, Message{Kind: learned, Ack: n.chain.CurrentAck()})
	case learned:
		n.takeLearned(p, m)
	case confirm:
		p.round = max(p.round, m.Round)
		n.send(m.From.Addr, Message{Kind: confirmed, Echoes: []Echo{{ID: m.From.ID, Life: m.Life, Round: m.Round}}, Ack: n.chain.CurrentAck()})
	case confirmed:
		for _, e := range m.Echoes {
			n.takeConfirmed(p, m, e)
		}
	case hostList:
		n.takeHostList(m)
	}
}

func (n *Node) takeHeartbeat(p *peer, m Message) {
	for _, e := range m.Echoes {
		n.takeConfirmed(p, m, e)
	}
	p.hearing = p.hearing[:0]
	for _, e := range m.Echoes {
		p.hearing = append(p.hearing, e.ID)
	}
	n.takeHandover(m)
	p.round = max(p.round, m.Round)
	p.leaving, p.epoch, p.ack, p.term, p.number = m.Leaving, m.Epoch, m.Ack, m.Term, m.Number
	if m.Epoch < n.vote.View.Epoch {
		n.teach(m)
	}
	n.takeLearned(p, m)
	n.takeAck(m)
	behind := m.Term < n.listTerm() || m.Term == n.listTerm() && n.hosts != nil && m.Number < n.hosts.Number
	if n.hosts != nil && behind && n.vote.View.IsVoter(m.From.ID) && n.vote.View.Head() == n.set.Self.ID {
		n.send(m.From.Addr, Message{Kind: hostList, Hosts: []discovery.List{*n.hosts}})
	}
}

func (n *Node) takeAck(m Message) {
	if n.chain.HandleAck(m.From.ID, m.Life, m.Ack) {
		n.acknowledge() // what is committed is told upstream
	}
}

func (n *Node) takeLearned(p *peer, m Message) {
	p.ack = m.Ack
	n.chain.HandleLearnerAck(m.From.ID, m.Life, m.Ack)
	if m.From.ID == n.learner {
		n.learnsAt = n.now
	}
}

func (n *Node) takeUpdate(m Message) {
	if n.vote.HasPromised() {
		return
	}
	if m.Update.Epoch < n.vote.View.Epoch {
		n.teach(Message{Epoch: m.Update.Epoch, From: m.From})
		return
	}
	changed, ok := n.chain.HandleUpdate(m.From.ID, m.Update)
	if !ok {
		return
	}
	n.updated = true
	n.out.Dirty = n.out.Dirty || changed
	n.chain.MarkDurable()
	n.acknowledge()
}
