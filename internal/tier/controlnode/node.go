// Package controlnode is a node of the control plane: it joins the agreement on views (package view) with the chain of the
// control state (package chain), and carries both out. Node is pure; Core drives it.
package controlnode

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/view"
)

// peer is what a node knows of another. What it has heard of it is fenced by the life in which the other said it.
type peer struct {
	member         view.Member
	incarnation    int64 // the newest that was heard
	lastHeard      time.Duration
	heardFrom      bool
	lastHeardUs    time.Duration // when what it is known to have heard of this node was sent, or when it was met
	echoedInView   bool          // it has echoed a round that this node sent since it adopted its view
	leaving        bool
	epoch          int64
	chainAck       chain.Ack // its part of the chain, with its last heartbeat
	heardPeers     []string  // whom it hears, sorted
	hostListTerm   int64     // of its list of hosts
	hostListNumber int64
	latestRound    int64 // the newest of its rounds that has come
	confirmedRound int64 // the newest of this node's rounds that it has confirmed in this epoch

	commitReported bool // it has told, in this epoch, what is committed
	reportedCommit int64
}

// Node is a control node's decisions. It is not safe for concurrent use.
type Node struct {
	settings        NodeSettings
	now             time.Duration // of the newest event; never goes back
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

	ready Ready // collects what the current step asks for; empty between steps
}

type election struct {
	ballotNumber      int64         // the highest that this node has used or seen
	proposal          *proposal     // in progress; nil for none
	failedProposals   int           // in this epoch; each gives the next one more time
	nextProposalAt    time.Duration // no proposal before it
	changeWantedSince time.Duration // 0 while the view suits
	promisedAt        time.Duration // when this node promised to the epoch after its view
}

type replication struct {
	updateReceived bool // the predecessor has sent an update in this epoch and incarnation
	pendingWrites  []pendingWrite
	learner        string        // the id of the one that the tail brings up to date, empty for none
	learnerAckedAt time.Duration // when it answered last
}

type readIndex struct {
	rounds          confirmationRounds
	requestedRound  int64 // a round with this number or a higher one is wanted
	roundAtAdoption int64 // the newest when the view was adopted
	waiters         []waiter
}

type hostList struct {
	list *discovery.List // the newest; nil for none
}

// NewNode makes a node from what its disk has. A founding one has a View of epoch 1 there.
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

// Founding is what a founding seed begins with: the seeds are the voters of epoch 1, by address.
func Founding(seeds []view.Member) Durable {
	v := view.View{Epoch: 1, Voters: slices.Clone(seeds)}
	slices.SortFunc(v.Voters, func(a, b view.Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range v.Voters {
		v.Chain = append(v.Chain, view.ChainMember{ID: m.ID, JoinedEpoch: 1})
	}
	return Durable{Acceptor: view.Acceptor{View: v}, State: chain.State{ActivatedEpoch: 1}}
}

// View is the newest decided view that the node knows.
func (n *Node) View() view.View { return n.acceptor.View }

// Chain is the node's part of the chain, to be read only.
func (n *Node) Chain() *chain.Chain { return n.chain }

// IsConfirmedHead tells whether this node holds the duties: it leads, and a majority has confirmed that lately.
func (n *Node) IsConfirmedHead() bool {
	return n.IsActiveHead() && n.ConfirmationAge() < n.settings.Timings.SuspectTimeout
}

// IsActiveHead tells whether orders are decided at this node: it is the head of its view's chain, takes part, and has not promised
// to the next view. It may have been replaced without knowing: what is decided is told after Confirm or a commit.
func (n *Node) IsActiveHead() bool {
	return n.acceptor.View.Head() == n.settings.Self.ID && n.chain.IsActive() && !n.acceptor.HasPromised()
}

// HeadAddr is the address of the head, empty where none is known.
func (n *Node) HeadAddr() string { return n.addr(n.acceptor.View.Head()) }

func (n *Node) addr(id string) string {
	if p := n.peers[id]; p != nil && p.heardFrom {
		return p.member.Addr
	}
	if m, ok := n.acceptor.View.Member(id); ok {
		return m.Addr
	}
	return ""
}

// ConfirmationAge is how long ago the newest round was sent that a majority of the voters has confirmed.
func (n *Node) ConfirmationAge() time.Duration {
	if sent, ok := n.confirmedRoundSentAt(); ok {
		return n.now - sent
	}
	return time.Hour
}

// Fresh tells whether followers may rely on this node: it has all that was committed a moment ago. It is a hint; what
// a follower is answered takes ConfirmedSince.
func (n *Node) Fresh() bool { return n.ConfirmedSince(n.now - n.settings.Timings.SuspectTimeout) }

func (n *Node) ensurePeer(m view.Member) *peer {
	p := n.peers[m.ID]
	if p == nil {
		p = &peer{member: m, lastHeard: n.now, lastHeardUs: n.now}
		n.peers[m.ID] = p
	}
	return p
}

// step brackets one event; what it asks for comes back.
func (n *Node) step(now time.Duration, event func()) Ready {
	n.advanceClock(now)
	known := n.chain.CommitIsCurrent()
	event()
	if !known && n.chain.CommitIsCurrent() { // followers wait for this node
		n.readIndex.requestedRound = n.readIndex.rounds.number + 1
	}
	n.completeCommittedWrites()
	n.startRequestedRound()
	n.completeWaiters()
	n.replicate()
	out := n.ready
	n.ready = Ready{}
	return out
}

// advanceClock moves on. After a pause of its own (it was frozen, or got no processor) what it has not heard meanwhile is no
// sign of others' health. It is none of its own health either: that takes a round of confirmation.
func (n *Node) advanceClock(now time.Duration) {
	if gap := now - n.now; gap > n.settings.Timings.MaxPause {
		for _, p := range n.peers {
			p.lastHeard += gap
			p.lastHeardUs += gap
		}
		n.election.proposal = nil
		n.election.nextProposalAt = now + n.settings.Timings.SuspectTimeout/2
	}
	n.now = max(n.now, now)
}

// Tick is to be called several times in Timings.Beat.
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

func (n *Node) complete(d Completion) { n.ready.Completed = append(n.ready.Completed, d) }

// resend repeats what is under way: its messages, or the answers to them, may be lost.
func (n *Node) resend() {
	n.chain.Resend()
	if !n.chain.IsActive() || !n.replication.updateReceived {
		n.sendChainAck() // the predecessor has to know where this member is
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
