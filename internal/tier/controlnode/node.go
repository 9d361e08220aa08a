package controlnode

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/founding"
	"larchrouter/internal/tier/view"
)

// Node is the state machine of a core node. It does no I/O and reads no clock: each exported method that takes the time
// handles one event and returns a Ready that says what the caller must persist, send and complete. It is not safe for
// concurrent use.
//
// Its state is split by concern: acceptor (promises and the newest decided view), chain (the replicated entries), peers,
// election (this node's proposals for the next view), replication (pending writes and bulk transfer to a learner),
// readIndex (confirmation rounds), hosts and handover (soft state). Only acceptor and chain survive a restart.
type Node struct {
	settings        NodeSettings
	now             time.Duration // of the newest event; never decreases
	nextHeartbeatAt time.Duration
	nextResendAt    time.Duration
	leaving         bool // StartLeaving was called

	acceptor      view.Acceptor // durable
	chain         *chain.Chain  // its state is durable
	peers         map[string]*peer
	recentCommits commitHistory

	election    election
	replication replication
	readIndex   readIndex
	hosts       hostList
	handover    handover

	ready Ready // collects the results of the current step; empty between steps
}

// NewNode returns a node with the state that was loaded from its disk. The state of a seed that bootstraps the cluster
// has a View of epoch 1, see BootstrapState.
func NewNode(s NodeSettings, d Durable, now time.Duration) *Node {
	n := &Node{settings: s, acceptor: d.Acceptor, chain: chain.New(s.Self.ID, d.State), peers: map[string]*peer{}, now: now}
	n.election.ballotNumber = d.Acceptor.Promised.Number
	n.election.promisedAt = now
	if n.acceptor.View.Epoch > 0 {
		if n.chain.Adopt(n.acceptor.View) {
			n.ready.MustSync = true
		}
	}
	for _, m := range n.acceptor.View.Voters {
		n.ensurePeer(m)
	}
	return n
}

// BootstrapState returns the durable state with which a seed starts when it bootstraps the cluster: the seeds, sorted by
// ID, are the voters and the chain of epoch 1.
func BootstrapState(seeds []view.Member) Durable {
	v := view.View{Epoch: 1, Voters: slices.Clone(seeds)}
	slices.SortFunc(v.Voters, func(a, b view.Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range v.Voters {
		v.Chain = append(v.Chain, view.ChainMember{ID: m.ID, JoinedEpoch: 1})
	}
	return Durable{Acceptor: view.Acceptor{View: v}, State: chain.State{ActivatedEpoch: 1}}
}

// View returns the newest decided view that this node knows.
func (n *Node) View() view.View { return n.acceptor.View }

// Chain returns the node's replica of the chain. Callers must not modify it.
func (n *Node) Chain() *chain.Chain { return n.chain }

// Durable returns the state that must be on disk.
func (n *Node) Durable() Durable { return Durable{Acceptor: n.acceptor, State: *n.chain.State()} }

// IsConfirmedHead reports whether this node has the singleton roles (planning the placement, polling the platform): it
// is the active head, and a majority has confirmed that in a round sent within the last SuspectTimeout. This is only a
// hint; all writes of the roles are fenced by the epoch.
func (n *Node) IsConfirmedHead() bool {
	return n.IsActiveHead() && n.ConfirmationAge() < n.settings.Timings.SuspectTimeout
}

// IsActiveHead reports whether orders are decided at this node: it is the head of the chain in its view, is active in
// the chain, and has made no promise for the next epoch. It may have been replaced without knowing it, so a decision is
// reported to a caller only after Confirm or a commit. In epoch 1 a majority of the seeds must have confirmed it: a founder that is
// alone stores no entries, see package founding.
func (n *Node) IsActiveHead() bool {
	if n.acceptor.View.Head() != n.settings.Self.ID || !n.chain.IsActive() || n.acceptor.HasPromised() {
		return false
	}
	_, confirmed := n.confirmedRoundSentAt()
	return confirmed || n.acceptor.View.Epoch > 1
}

// FoundingPhase returns how far this node is from its founding.
func (n *Node) FoundingPhase() founding.Phase {
	state := n.chain.State()
	switch stored := state.LastIndex > 0 || len(state.Entries) > 0; {
	case stored || n.acceptor.HasPromised() || n.acceptor.View.Epoch > 1:
		return founding.Founded
	case n.acceptor.View.IsVoter(n.settings.Self.ID):
		return founding.Founder
	default: // it may know epoch 1 from a founder
		return founding.Empty
	}
}

// HeadAddr returns the address of the head, empty if no head is known.
func (n *Node) HeadAddr() string { return n.addr(n.acceptor.View.Head()) }

// ConfirmationAge returns how long ago the newest round that a majority of the voters has confirmed was sent, or an hour
// if there is none.
func (n *Node) ConfirmationAge() time.Duration {
	if sent, ok := n.confirmedRoundSentAt(); ok {
		return n.now - sent
	}
	return time.Hour
}

// Fresh reports whether followers may rely on this node: at some time within the last SuspectTimeout it had all
// committed entries. This is only a hint; an answer to a follower requires ConfirmedSince.
func (n *Node) Fresh() bool { return n.ConfirmedSince(n.now - n.settings.Timings.SuspectTimeout) }

// step handles one event and returns the resulting Ready. The order is part of the contract: the event, completed
// writes, a requested confirmation round, completed waiters, and finally the updates to the successor and the learners.
func (n *Node) step(now time.Duration, event func()) Ready {
	n.advanceClock(now)
	known := n.chain.CommitIsCurrent()
	event()
	if !known && n.chain.CommitIsCurrent() { // the node can serve followers again once a round is confirmed
		n.readIndex.requestedRound = n.readIndex.rounds.number + 1
	}
	n.completeCommittedWrites()
	n.startRequestedRound()
	n.completeWaiters()
	n.replicate()
	ready := n.ready
	n.ready = Ready{}
	return ready
}

// advanceClock sets the time. After this node itself has paused for more than MaxPause (frozen, or not scheduled on a
// CPU), the messages missing from that time are no evidence of failures of other nodes, so the deadlines move by the
// gap. A pause is no evidence about this node's own role either: that takes a confirmation round.
func (n *Node) advanceClock(now time.Duration) {
	if gap := now - n.now; gap > n.settings.Timings.MaxPause {
		for _, p := range n.peers {
			p.lastHeard += gap
			p.echoedRoundSentAt += gap
		}
		n.election.proposal = nil
		n.election.nextProposalAt = now + n.settings.Timings.SuspectTimeout/2
	}
	n.now = max(n.now, now)
}

// Tick handles the passing of time. Call it several times per Timings.HeartbeatInterval.
func (n *Node) Tick(now time.Duration) Ready {
	return n.step(now, func() {
		if n.now >= n.nextHeartbeatAt {
			n.nextHeartbeatAt = n.now + n.settings.Timings.HeartbeatInterval
			n.recentCommits.record(n.now, n.chain.State().Commit)
			n.sendHeartbeat()
		}
		if n.now >= n.nextResendAt {
			n.nextResendAt = n.now + n.settings.Timings.ResendInterval
			n.resend()
		}
		n.maybePropose()
	})
}

// complete adds the result of a write or a read to the Ready of this step.
func (n *Node) complete(c Completion) { n.ready.Completed = append(n.ready.Completed, c) }

// resend resends messages that are not answered yet: they, or the answers to them, may have been lost.
func (n *Node) resend() {
	n.chain.Resend()
	if !n.chain.IsActive() || !n.replication.updateReceived {
		n.sendChainAck() // the predecessor needs this member's position
	}
	if p := n.election.proposal; p != nil {
		if p.view.Epoch > 0 {
			n.sendToVoters(Message{Kind: msgAccept, Epoch: p.epoch, Ballot: p.ballot, View: p.view})
		} else {
			n.sendToVoters(Message{Kind: msgPrepare, Epoch: p.epoch, Ballot: p.ballot})
		}
	}
	if len(n.readIndex.waiters) > 0 {
		n.readIndex.requestedRound = n.readIndex.rounds.number + 1
	}
}

// StartLeaving starts a graceful shutdown: the node announces that it is about to stop, and another takes over its place
// in the chain and its roles immediately.
func (n *Node) StartLeaving(now time.Duration) Ready {
	return n.step(now, func() {
		n.leaving = true
		n.sendHeartbeat()
		n.election.nextProposalAt = 0
		n.maybePropose()
	})
}

// CanStop reports whether the node may stop: it has left the view, or too few other nodes are alive for a chain without
// it, so that waiting would not help.
func (n *Node) CanStop() bool {
	return n.LeftView() || n.OthersStaying() <= n.settings.FaultTolerance || !n.majorityAlive(n.conditions())
}

// LeftView reports whether the node is no longer in the chain, and is not a voter or there are too few voters to remove
// it, and the others go on without it: they may not be able to decide a view that only this node knows to be decided.
func (n *Node) LeftView() bool {
	v := &n.acceptor.View
	self := n.settings.Self.ID
	removed := !v.IsVoter(self) || len(v.Voters) <= 2*n.settings.FaultTolerance+1
	return v.Position(self) < 0 && removed && n.othersInView() > n.settings.FaultTolerance
}

// othersInView returns the number of other voters that are known to have adopted the view. Each of them passes it on.
func (n *Node) othersInView() (count int) {
	v := &n.acceptor.View
	for _, m := range v.Voters {
		if p := n.peers[m.ID]; p != nil && m.ID != n.settings.Self.ID && p.epoch >= v.Epoch {
			count++
		}
	}
	return count
}

// OthersStaying returns the number of other nodes that are alive and do not leave.
func (n *Node) OthersStaying() (staying int) {
	cond := n.conditions()
	for id := range cond.Alive {
		if id != n.settings.Self.ID && !cond.Leaving[id] {
			staying++
		}
	}
	return staying
}
