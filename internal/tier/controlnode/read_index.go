package controlnode

import (
	"slices"
	"time"
)

// readIndex confirms that the view of this node is the newest one, for answers that are not the commit of a
// write (as ReadIndex in Raft). Nothing that a node answers may rest on a view that another has replaced, and
// a node that was partitioned or frozen does not know that it was. So it asks: a confirmation round is a number
// that is sent to all voters, with each heartbeat and when a request waits; a voter echoes the newest number
// that has come, as long as it is in the same epoch and has not promised to the next. Once a majority has
// echoed a round, no later view had been decided when that round was sent.
//
// Invariants: a waiter is completed by a round that was started after it came, in the epoch in which it came.
// No clock of another node is used, and this node's own only orders its own events.
type readIndex struct {
	rounds          confirmationRounds
	requestedRound  int64 // a round with this number or a higher one is wanted
	roundAtAdoption int64 // the newest when the view was adopted
	waiters         []waiter
}

// waiter is a request that waits for a round that starts after it.
type waiter struct {
	requestID int64
	atTail    bool // a read at the tail; otherwise a request at the head
	round     int64
	epoch     int64
	index     int64 // has to be committed
	startedAt time.Duration
}

// Confirm ends in a Completion with the request ID: Committed once a majority of the voters has confirmed, in
// a round started after this call, that this head's epoch is the newest, and the index is committed. The
// head's state up to that index is then no older than anything that was acknowledged before the call.
func (n *Node) Confirm(now time.Duration, requestID, index int64) Ready {
	return n.step(now, func() {
		switch {
		case !n.IsActiveHead():
			n.complete(Completion{RequestID: requestID, Outcome: NotOwner, RedirectTo: n.HeadAddr()})
		default:
			n.addWaiter(waiter{requestID: requestID, index: index})
		}
	})
}

// ReadIndex ends in a Completion with the request ID whose Index is committed and not older than anything
// that was acknowledged before the call.
func (n *Node) ReadIndex(now time.Duration, requestID int64) Ready {
	return n.step(now, func() {
		if n.acceptor.View.Tail() != n.settings.Self.ID || !n.chain.IsActive() || n.acceptor.HasPromised() {
			n.complete(Completion{RequestID: requestID, Outcome: NotOwner, RedirectTo: n.addr(n.acceptor.View.Tail())})
			return
		}
		n.addWaiter(waiter{requestID: requestID, atTail: true, index: n.chain.State().Commit})
	})
}

// RequestConfirmation asks for a round now, for a caller that polls ConfirmedSince.
func (n *Node) RequestConfirmation(now time.Duration) Ready {
	return n.step(now, func() {
		if (n.chain.IsActive() || n.isVotingLearner()) && !n.acceptor.HasPromised() {
			n.readIndex.requestedRound = max(n.readIndex.requestedRound, n.readIndex.rounds.number+1)
		}
	})
}

// ConfirmedSince reports whether what this node has committed is no older than anything that was acknowledged
// before the given time: in a round sent at that time or later a majority has confirmed the epoch, the tail
// has reported its commit index, and this node has everything up to it. A learner has committed entries only, so that it may answer
// by the same rule as a member of the chain.
func (n *Node) ConfirmedSince(since time.Duration) bool {
	if n.acceptor.HasPromised() || !n.chain.CommitIsCurrent() && !n.isVotingLearner() {
		return false
	}
	if sent, ok := n.confirmedRoundSentAt(); !ok || sent < since {
		return false
	}
	tail := n.acceptor.View.Tail()
	if tail == n.settings.Self.ID {
		return true
	}
	p := n.peers[tail]
	if p == nil || !p.commitReported || n.chain.State().Commit < p.reportedCommit {
		return false
	}
	sent, ok := n.readIndex.rounds.timeSent(p.confirmedRound)
	return ok && sent >= since
}

// isVotingLearner reports whether this node is a voter outside the chain, which the tail keeps up to date.
func (n *Node) isVotingLearner() bool {
	return n.acceptor.View.IsVoter(n.settings.Self.ID) && n.chain.IsLearner()
}

// addWaiter has a request wait for the next round.
func (n *Node) addWaiter(w waiter) {
	w.round, w.epoch, w.startedAt = n.readIndex.rounds.number+1, n.acceptor.View.Epoch, n.now
	n.readIndex.waiters = append(n.readIndex.waiters, w)
	n.readIndex.requestedRound = max(n.readIndex.requestedRound, w.round)
}

// completeWaiters completes the waiters whose round was confirmed, and those for which it cannot be any
// more.
func (n *Node) completeWaiters() {
	if len(n.readIndex.waiters) == 0 {
		return
	}
	round := n.majorityRound()
	soleVoter := n.acceptor.View.Majority() == 1
	commit := n.chain.State().Commit
	n.readIndex.waiters = slices.DeleteFunc(n.readIndex.waiters, func(w waiter) bool {
		owner := n.acceptor.View.Head()
		if w.atTail {
			owner = n.acceptor.View.Tail()
		}
		switch {
		case w.epoch != n.acceptor.View.Epoch || n.acceptor.HasPromised() || owner != n.settings.Self.ID ||
			n.now-w.startedAt > 2*n.settings.Timings.SuspectTimeout:
			n.complete(Completion{RequestID: w.requestID, Outcome: OutcomeUnknown})
		case (round >= w.round || soleVoter) && w.index <= commit:
			n.complete(Completion{RequestID: w.requestID, Outcome: Committed, Index: w.index})
		default:
			return false
		}
		return true
	})
}
