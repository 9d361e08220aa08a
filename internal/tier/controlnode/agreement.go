package controlnode

import (
	"time"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/view"
)

type proposal struct {
	epoch    int64
	ballot   view.Ballot
	began    time.Duration
	promises map[string]view.Promise
	view     view.View // once chosen
	accepts  map[string]bool
}

// propose begins a new view if one is wanted, this node's turn has come, and a majority is alive.
func (n *Node) propose() {
	if p := n.trying; p != nil {
		switch {
		case p.epoch != n.vote.View.Epoch+1 || n.now-p.began > n.proposalTime():
			n.trying = nil
			n.patience++
			n.tryAt = n.now + n.set.Timings.Beat
		case p.view.Epoch == 0:
			n.choose()
		}
		return
	}
	v := &n.vote.View
	if v.Epoch == 0 || !v.IsVoter(n.set.Self.ID) || n.now < n.tryAt {
		return
	}
	c := n.conditions()
	if !n.majorityAlive(c) || !n.wantsChange(c) {
		n.changeAt = 0
		return
	}
	if n.changeAt == 0 {
		n.changeAt = max(n.now, 1)
	}
	if n.now-n.changeAt < time.Duration(n.rank(c))*2*n.set.Timings.Beat { // those with an earlier turn go first
		return
	}
	n.prepareNext()
}

// Bounds of the time in which a proposal has to be decided. It takes four messages one after the other and a sync before
// each, which may take long where the processor or the disk is slow: the time doubles with each proposal that failed.
const (
	proposalBeats = 3 // heartbeats, for the first proposal of an epoch
	mostPatience  = 3 // doublings
)

// proposalTime is how long a proposal may take now.
func (n *Node) proposalTime() time.Duration {
	return proposalBeats * n.set.Timings.Beat << min(n.patience, mostPatience)
}

// prepareNext asks the voters for their promises.
func (n *Node) prepareNext() {
	v := &n.vote.View
	n.round++
	b := view.Ballot{Number: n.round, Proposer: n.set.Self.ID}
	fresh := !n.vote.HasPromised()
	if !n.vote.Prepare(v.Epoch+1, b) {
		return
	}
	if fresh {
		n.sealedAt = n.now
	}
	n.out.Dirty = true
	n.trying = &proposal{epoch: v.Epoch + 1, ballot: b, began: n.now, promises: map[string]view.Promise{
		n.set.Self.ID: {From: n.set.Self, AcceptedAt: n.vote.AcceptedAt, Accepted: n.vote.Accepted, ActivatedEpoch: n.chain.State().ActivatedEpoch}}}
	n.sendToVoters(Message{Kind: prepare, Epoch: v.Epoch + 1, Ballot: b})
	n.choose()
}

func (n *Node) takePrepare(m Message) {
	if n.vote.View.Epoch == 0 {
		return // it votes on nothing before it knows a view
	}
	fresh := !n.vote.HasPromised()
	if !n.vote.Prepare(m.Epoch, m.Ballot) {
		n.round = max(n.round, n.vote.Promised.Number)
		n.teach(m)
		return
	}
	if fresh {
		n.sealedAt = n.now
	}
	if n.trying != nil && n.trying.ballot.Less(m.Ballot) {
		n.trying = nil
		n.patience++
	}
	n.tryAt = max(n.tryAt, n.now+n.proposalTime()-proposalBeats*n.set.Timings.Beat) // for the other one to end it
	n.round = max(n.round, m.Ballot.Number)
	n.out.Dirty = true
	n.send(m.From.Addr, Message{Kind: promise, Epoch: m.Epoch, Ballot: m.Ballot, AcceptedAt: n.vote.AcceptedAt, View: n.vote.Accepted, Activated: n.chain.State().ActivatedEpoch})
}

func (n *Node) takePromise(m Message) {
	p := n.trying
	if p == nil || m.Epoch != p.epoch || m.Ballot != p.ballot || p.view.Epoch > 0 || !n.vote.View.IsVoter(m.From.ID) {
		return
	}
	p.promises[m.From.ID] = view.Promise{From: m.From, AcceptedAt: m.AcceptedAt, Accepted: m.View, ActivatedEpoch: m.Activated}
	n.choose()
}

// choose proposes once all that are alive have promised, or a majority has and the others take long.
func (n *Node) choose() {
	p := n.trying
	c := n.conditions()
	for _, v := range n.vote.View.Voters {
		if _, has := p.promises[v.ID]; !has && c.Alive[v.ID] && n.now-p.began < n.set.Timings.Beat {
			return
		}
	}
	var promises []view.Promise
	for _, v := range n.vote.View.Voters {
		if one, has := p.promises[v.ID]; has {
			promises = append(promises, one)
		}
	}
	next, ok := view.ChooseView(&n.vote.View, promises, c)
	if !ok || !n.vote.Accept(p.ballot, next) {
		return
	}
	n.out.Dirty = true
	p.view, p.accepts = next, map[string]bool{n.set.Self.ID: true}
	n.sendToVoters(Message{Kind: accept, Epoch: p.epoch, Ballot: p.ballot, View: next})
	n.decided()
}

func (n *Node) takeAccept(m Message) {
	if !n.vote.Accept(m.Ballot, m.View) {
		n.teach(m)
		return
	}
	n.out.Dirty = true
	n.send(m.From.Addr, Message{Kind: accepted, Epoch: m.Epoch, Ballot: m.Ballot})
}

func (n *Node) takeAccepted(m Message) {
	if p := n.trying; p != nil && p.view.Epoch > 0 && m.Epoch == p.epoch && m.Ballot == p.ballot && n.vote.View.IsVoter(m.From.ID) {
		p.accepts[m.From.ID] = true
		n.decided()
	}
}

func (n *Node) decided() {
	p := n.trying
	if len(p.accepts) < n.vote.View.Majority() {
		return
	}
	before := n.vote.View
	v := p.view
	n.adopt(v)
	for _, m := range before.Voters { // those that left the list hear of it as well
		if m.ID != n.set.Self.ID {
			n.send(n.addr(m.ID), Message{Kind: decide, View: v})
		}
	}
	for _, m := range v.Voters {
		if !before.IsVoter(m.ID) {
			n.send(m.Addr, Message{Kind: decide, View: v})
		}
	}
}

func (n *Node) adopt(v view.View) {
	if !n.vote.Adopt(v) {
		return
	}
	n.out.Dirty = true
	n.trying, n.changeAt, n.patience = nil, 0, 0
	n.chain.Adopt(v)
	n.learner, n.updated = "", false
	for _, m := range v.Voters {
		n.meet(m)
	}
	for id, p := range n.peers {
		p.confirmed, p.confirmedKnown, p.confirmedCommit = 0, false, 0 // nothing was confirmed in this epoch yet
		p.answered = false                                             // whoever was left out has to be heard of anew
		if !v.IsVoter(id) && n.now-p.heard > 10*n.set.Timings.Gone {
			delete(n.peers, id)
		}
	}
	if v.Head() != n.set.Self.ID {
		for _, w := range n.writes {
			n.done(Done{RequestID: w.requestID, Kind: Unclear})
		}
		n.writes = nil
		n.handover.own = nil
	}
	n.adoptedRound, n.roundWanted = n.rounds.number, n.rounds.number+1
	n.acknowledge() // the predecessor has to know where this member is
	if next := v.Successor(n.set.Self.ID); next != "" {
		n.send(n.addr(next), Message{Kind: update, Update: chain.Update{Epoch: v.Epoch}}) // it answers where it is, if it adopted first
	}
}
