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
	member    view.Member
	life      int64 // the newest that was heard
	heard     time.Duration
	ever      bool
	hearsMe   time.Duration // when what it is known to have heard of this node was sent, or when it was met
	answered  bool          // it has echoed a round that this node sent since it adopted its view
	leaving   bool
	epoch     int64
	ack       chain.Ack // its part of the chain, with its last heartbeat
	hearing   []string  // whom it hears, sorted
	term      int64     // of its list of hosts
	number    int64
	round     int64 // the newest of its rounds that has come
	confirmed int64 // the newest of this node's rounds that it has confirmed in this epoch

	confirmedKnown  bool // it has told, in this epoch, what is committed
	confirmedCommit int64
}

// Node is a control node's decisions. It is not safe for concurrent use.
type Node struct {
	set      NodeSettings
	vote     view.Acceptor
	chain    *chain.Chain
	peers    map[string]*peer // by id
	now      time.Duration
	beatAt   time.Duration
	resendAt time.Duration
	tryAt    time.Duration // no proposal before it
	changeAt time.Duration // since when another view is wanted, 0 for not
	sealedAt time.Duration
	round    int64 // of ballots
	trying   *proposal
	patience int // how often proposals of this epoch have failed: those that follow are given more time
	commits  commitHistory
	updated  bool          // the predecessor has sent something in this epoch and life
	learner  string        // the one that the tail brings up to date, empty for none
	learnsAt time.Duration // when it answered last

	rounds       rounds // of confirmation
	roundWanted  int64  // somebody waits for this one
	adoptedRound int64  // the newest when the view was adopted
	waiters      []waiter
	writes       []write

	leaving  bool
	hosts    *discovery.List
	handover handover
	out      Output
}

// NewNode makes a node from what its disk has. A founding one has a View of epoch 1 there.
func NewNode(s NodeSettings, d Durable, now time.Duration) *Node {
	n := &Node{set: s, vote: d.Acceptor, chain: chain.New(s.Self.ID, d.State), peers: map[string]*peer{}, now: now}
	n.round = d.Acceptor.Promised.Number
	n.sealedAt = now
	if n.vote.View.Epoch > 0 {
		if n.chain.Adopt(n.vote.View) {
			n.out.Dirty = true
		}
	}
	for _, m := range n.vote.View.Voters {
		n.meet(m)
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
func (n *Node) View() view.View { return n.vote.View }

// Chain is the node's part of the chain, to be read only.
func (n *Node) Chain() *chain.Chain { return n.chain }

// Head tells whether this node holds the duties: it leads, and a majority has confirmed that lately.
func (n *Node) Head() bool {
	return n.Leads() && n.Age() < n.set.Timings.Suspect
}

// Leads tells whether orders are decided at this node: it is the head of its view's chain, takes part, and has not promised
// to the next view. It may have been replaced without knowing: what is decided is told after Confirm or a commit.
func (n *Node) Leads() bool {
	return n.vote.View.Head() == n.set.Self.ID && n.chain.IsActive() && !n.vote.HasPromised()
}

// HeadAddr is the address of the head, empty where none is known.
func (n *Node) HeadAddr() string { return n.addr(n.vote.View.Head()) }

func (n *Node) addr(id string) string {
	if p := n.peers[id]; p != nil && p.ever {
		return p.member.Addr
	}
	if m, ok := n.vote.View.Member(id); ok {
		return m.Addr
	}
	return ""
}

// Age is how long ago the newest round was sent that a majority of the voters has confirmed.
func (n *Node) Age() time.Duration {
	if sent, ok := n.confirmedAt(); ok {
		return n.now - sent
	}
	return time.Hour
}

// Fresh tells whether followers may rely on this node: it has all that was committed a moment ago. It is a hint; what
// a follower is answered takes ConfirmedSince.
func (n *Node) Fresh() bool { return n.ConfirmedSince(n.now - n.set.Timings.Suspect) }

func (n *Node) meet(m view.Member) *peer {
	p := n.peers[m.ID]
	if p == nil {
		p = &peer{member: m, heard: n.now, hearsMe: n.now}
		n.peers[m.ID] = p
	}
	return p
}

// step brackets one event; what it asks for comes back.
func (n *Node) step(now time.Duration, event func()) Output {
	n.clock(now)
	known := n.chain.CommitIsCurrent()
	event()
	if !known && n.chain.CommitIsCurrent() { // followers wait for this node
		n.roundWanted = n.rounds.number + 1
	}
	n.settleWrites()
	n.demand()
	n.settleWaiters()
	n.replicate()
	out := n.out
	n.out = Output{}
	return out
}

// clock moves on. After a pause of its own (it was frozen, or got no processor) what it has not heard meanwhile is no
// sign of others' health. It is none of its own health either: that takes a round of confirmation.
func (n *Node) clock(now time.Duration) {
	if gap := now - n.now; gap > n.set.Timings.Stall {
		for _, p := range n.peers {
			p.heard += gap
			p.hearsMe += gap
		}
		n.trying = nil
		n.tryAt = now + n.set.Timings.Suspect/2
	}
	n.now = max(n.now, now)
}

// Tick is to be called several times in Timings.Beat.
func (n *Node) Tick(now time.Duration) Output {
	return n.step(now, func() {
		if n.now >= n.beatAt {
			n.beatAt = n.now + n.set.Timings.Beat
			n.commits.add(n.now, n.chain.State().Commit)
			n.sendHeartbeat()
		}
		if n.now >= n.resendAt {
			n.resendAt = n.now + n.set.Timings.Resend
			n.resend()
		}
		n.propose()
	})
}

func (n *Node) done(d Done) { n.out.Done = append(n.out.Done, d) }

// resend repeats what is under way: its messages, or the answers to them, may be lost.
func (n *Node) resend() {
	n.chain.Resend()
	if !n.chain.IsActive() || !n.updated {
		n.acknowledge() // the predecessor has to know where this member is
	}
	if p := n.trying; p != nil {
		if p.view.Epoch > 0 {
			n.sendToVoters(Message{Kind: accept, Epoch: p.epoch, Ballot: p.ballot, View: p.view})
		} else {
			n.sendToVoters(Message{Kind: prepare, Epoch: p.epoch, Ballot: p.ballot})
		}
	}
	if len(n.waiters) > 0 {
		n.roundWanted = n.rounds.number + 1
	}
}
