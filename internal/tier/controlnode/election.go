package controlnode

import (
	"time"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/view"
)

// election is the state of this node as a proposer of the next view, and when it may propose. Each view is decided
// with single-decree Paxos by the voters of the previous view (package view). The acceptor, Node.acceptor, is durable;
// this state is not.
//
// Invariants: each ballot of this node is used once, as ballotNumber only increases and the node's own promise is
// synced before the ballot is sent; a proposal is for the epoch after the current view, and is dropped when that view
// changes.
type election struct {
	ballotNumber      int64         // the highest that this node has used or seen
	proposal          *proposal     // in progress; nil if there is none
	failedProposals   int           // in this epoch; each one increases the time-out of the next
	nextProposalAt    time.Duration // the earliest time of the next proposal
	changeWantedSince time.Duration // 0 while no view change is wanted
	promisedAt        time.Duration // when this node made its first promise for the epoch after its view
}

// proposal is a ballot of this node. It collects promises until a view can be chosen, and then acceptances.
type proposal struct {
	epoch     int64
	ballot    view.Ballot
	startedAt time.Duration
	promises  map[string]view.Promise
	view      view.View // Epoch is 0 until the view is chosen
	accepts   map[string]bool
}

// maybePropose advances the proposal in progress. If there is none, it starts one if a view change is wanted, it is
// this node's turn, and a majority is alive.
func (n *Node) maybePropose() {
	if p := n.election.proposal; p != nil {
		switch {
		case p.epoch != n.acceptor.View.Epoch+1 || n.now-p.startedAt > n.proposalTimeout():
			n.election.proposal = nil
			n.election.failedProposals++
			n.election.nextProposalAt = n.now + n.settings.Timings.HeartbeatInterval
		case p.view.Epoch == 0:
			n.chooseView()
		}
		return
	}
	v := &n.acceptor.View
	if v.Epoch == 0 || !v.IsVoter(n.settings.Self.ID) || n.now < n.election.nextProposalAt {
		return
	}
	cond := n.conditions()
	if !n.majorityAlive(cond) || !n.wantsViewChange(cond) {
		n.election.changeWantedSince = 0
		return
	}
	if n.election.changeWantedSince == 0 {
		n.election.changeWantedSince = max(n.now, 1)
	}
	turn := time.Duration(n.proposalRank(cond)) * 2 * n.settings.Timings.HeartbeatInterval
	if n.now-n.election.changeWantedSince < turn { // nodes with a lower rank propose first
		return
	}
	n.startProposal()
}

// Time-out of a proposal. A decision takes four messages in sequence with a sync before each, which may take long on a
// slow processor or disk, so the time-out doubles with each failed proposal.
const (
	proposalHeartbeats  = 3 // heartbeat intervals, for the first proposal of an epoch
	maxTimeoutDoublings = 3
)

// proposalTimeout returns the time-out of a proposal, given the failed proposals so far in this epoch.
func (n *Node) proposalTimeout() time.Duration {
	return proposalHeartbeats * n.settings.Timings.HeartbeatInterval << min(n.election.failedProposals, maxTimeoutDoublings)
}

// startProposal starts a new ballot and asks the voters for their promises.
func (n *Node) startProposal() {
	v := &n.acceptor.View
	n.election.ballotNumber++
	ballot := view.Ballot{Number: n.election.ballotNumber, Proposer: n.settings.Self.ID}
	firstPromise := !n.acceptor.HasPromised()
	if !n.acceptor.Prepare(v.Epoch+1, ballot) {
		return
	}
	if firstPromise {
		n.election.promisedAt = n.now
	}
	n.ready.MustSync = true
	n.election.proposal = &proposal{epoch: v.Epoch + 1, ballot: ballot, startedAt: n.now, promises: map[string]view.Promise{
		n.settings.Self.ID: {
			From:           n.settings.Self,
			AcceptedBallot: n.acceptor.AcceptedBallot,
			Accepted:       n.acceptor.Accepted,
			ActivatedEpoch: n.chain.State().ActivatedEpoch,
		}}}
	n.sendToVoters(Message{Kind: msgPrepare, Epoch: v.Epoch + 1, Ballot: ballot})
	n.chooseView()
}

// handlePrepare answers a prepare with a promise, or with the newest decided view if the sender does not have it.
func (n *Node) handlePrepare(m Message) {
	if n.acceptor.View.Epoch == 0 {
		return // a node does not vote before it knows a view
	}
	firstPromise := !n.acceptor.HasPromised()
	if !n.acceptor.Prepare(m.Epoch, m.Ballot) {
		n.election.ballotNumber = max(n.election.ballotNumber, n.acceptor.Promised.Number)
		n.sendDecidedView(m)
		return
	}
	if firstPromise {
		n.election.promisedAt = n.now
	}
	if n.election.proposal != nil && n.election.proposal.ballot.Less(m.Ballot) {
		n.election.proposal = nil
		n.election.failedProposals++
	}
	extra := n.proposalTimeout() - proposalHeartbeats*n.settings.Timings.HeartbeatInterval
	n.election.nextProposalAt = max(n.election.nextProposalAt, n.now+extra) // time for the other proposer to finish
	n.election.ballotNumber = max(n.election.ballotNumber, m.Ballot.Number)
	n.ready.MustSync = true
	n.send(m.From.Addr, Message{
		Kind:           msgPromise,
		Epoch:          m.Epoch,
		Ballot:         m.Ballot,
		AcceptedBallot: n.acceptor.AcceptedBallot,
		View:           n.acceptor.Accepted,
		ActivatedEpoch: n.chain.State().ActivatedEpoch,
	})
}

// handlePromise adds a promise to the proposal in progress.
func (n *Node) handlePromise(m Message) {
	p := n.election.proposal
	if p == nil || m.Epoch != p.epoch || m.Ballot != p.ballot || p.view.Epoch > 0 || !n.acceptor.View.IsVoter(m.From.ID) {
		return
	}
	p.promises[m.From.ID] = view.Promise{From: m.From, AcceptedBallot: m.AcceptedBallot, Accepted: m.View, ActivatedEpoch: m.ActivatedEpoch}
	n.chooseView()
}

// chooseView proposes a view once all voters that are alive have promised, or once a majority has promised and the
// others have taken longer than a heartbeat interval.
func (n *Node) chooseView() {
	p := n.election.proposal
	cond := n.conditions()
	for _, v := range n.acceptor.View.Voters {
		if _, has := p.promises[v.ID]; !has && cond.Alive[v.ID] && n.now-p.startedAt < n.settings.Timings.HeartbeatInterval {
			return
		}
	}
	var promises []view.Promise
	for _, v := range n.acceptor.View.Voters {
		if promised, has := p.promises[v.ID]; has {
			promises = append(promises, promised)
		}
	}
	next, ok := view.ChooseView(&n.acceptor.View, promises, cond)
	if !ok || !n.acceptor.Accept(p.ballot, next) {
		return
	}
	n.ready.MustSync = true
	p.view, p.accepts = next, map[string]bool{n.settings.Self.ID: true}
	n.sendToVoters(Message{Kind: msgAccept, Epoch: p.epoch, Ballot: p.ballot, View: next})
	n.adoptIfAccepted()
}

// handleAccept accepts a proposed view, unless this node has promised a higher ballot.
func (n *Node) handleAccept(m Message) {
	if !n.acceptor.Accept(m.Ballot, m.View) {
		n.sendDecidedView(m)
		return
	}
	n.ready.MustSync = true
	n.send(m.From.Addr, Message{Kind: msgAccepted, Epoch: m.Epoch, Ballot: m.Ballot})
}

// handleAccepted adds an acceptance to the proposal in progress.
func (n *Node) handleAccepted(m Message) {
	p := n.election.proposal
	if p != nil && p.view.Epoch > 0 && m.Epoch == p.epoch && m.Ballot == p.ballot && n.acceptor.View.IsVoter(m.From.ID) {
		p.accepts[m.From.ID] = true
		n.adoptIfAccepted()
	}
}

// adoptIfAccepted adopts the proposed view once a majority has accepted it, and sends it to the voters of the previous
// and of the new view.
func (n *Node) adoptIfAccepted() {
	p := n.election.proposal
	if len(p.accepts) < n.acceptor.View.Majority() {
		return
	}
	before := n.acceptor.View
	v := p.view
	n.adopt(v)
	for _, m := range before.Voters { // removed voters are notified as well
		if m.ID != n.settings.Self.ID {
			n.send(n.addr(m.ID), Message{Kind: msgDecide, View: v})
		}
	}
	for _, m := range v.Voters {
		if !before.IsVoter(m.ID) {
			n.send(m.Addr, Message{Kind: msgDecide, View: v})
		}
	}
}

// adopt makes a decided view the current view of this node, if it is newer. It resets the state that belongs to one
// epoch: the proposal, the confirmations and the bulk learner. A node that is no longer the head completes its pending
// writes with OutcomeUnknown.
func (n *Node) adopt(v view.View) {
	if !n.acceptor.Adopt(v) {
		return
	}
	n.ready.MustSync = true
	n.election.proposal, n.election.changeWantedSince, n.election.failedProposals = nil, 0, 0
	n.chain.Adopt(v)
	n.replication.bulkLearner, n.replication.updateReceived = "", false
	for _, m := range v.Voters {
		n.ensurePeer(m)
	}
	for id, p := range n.peers {
		p.confirmedRound, p.commitReported, p.reportedCommit = 0, false, 0 // nothing is confirmed in the new epoch yet
		p.echoedInView = false                                             // a removed member must echo a round again
		if !v.IsVoter(id) && n.now-p.lastHeard > 10*n.settings.Timings.FailureTimeout {
			delete(n.peers, id)
		}
	}
	if v.Head() != n.settings.Self.ID {
		for _, w := range n.replication.pendingWrites {
			n.complete(Completion{RequestID: w.requestID, Outcome: OutcomeUnknown})
		}
		n.replication.pendingWrites = nil
		n.handover.outgoing = nil
	}
	n.readIndex.roundAtAdoption, n.readIndex.requestedRound = n.readIndex.rounds.number, n.readIndex.rounds.number+1
	n.sendChainAck() // the predecessor needs this member's position
	if next := v.Successor(n.settings.Self.ID); next != "" {
		// A successor that adopted the view before this node answers with its position.
		n.send(n.addr(next), Message{Kind: msgChainUpdate, Update: chain.Update{Epoch: v.Epoch}})
	}
}
