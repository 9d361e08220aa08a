package controlnode

import (
	"slices"
	"time"
)

// readIndex confirms that this node's view is the newest one, for all answers except the commit of a write (like
// ReadIndex in Raft). No answer may be based on a view that has been replaced, and a node that was partitioned or frozen
// does not know about newer views. It therefore asks the voters: a confirmation round is a number that is sent to all
// voters, with each heartbeat and when a request waits. A voter echoes the newest number that it has received; the echo
// counts if the voter is in the same epoch and has made no promise for the next one. Once a majority has echoed a round,
// no later view had been decided when that round was sent.
//
// Invariants: a waiter is completed by a round that was started after the request arrived, in the same epoch. The clocks
// of other nodes are not used, and this node's clock only orders its own events.
type readIndex struct {
	rounds          confirmationRounds
	requestedRound  int64 // a round with this number or a higher one is requested
	roundAtAdoption int64 // the newest round when the view was adopted
	waiters         []waiter
}

// waiter is a request that waits for a round that starts after the request arrived.
type waiter struct {
	requestID int64
	atTail    bool // a read at the tail; otherwise a request at the head
	round     int64
	epoch     int64
	index     int64 // must be committed
	startedAt time.Duration
}

// Confirm ends in a Completion with the request ID. It is Committed once the index is committed and a majority of the
// voters has confirmed, in a round started after this call, that the epoch of this head is the newest. The head's state
// up to that index then includes everything that was acknowledged before the call.
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

// ReadIndex ends in a Completion with the request ID. Its Index is committed, and no lower than any index that was
// acknowledged before the call.
func (n *Node) ReadIndex(now time.Duration, requestID int64) Ready {
	return n.step(now, func() {
		if n.acceptor.View.Tail() != n.settings.Self.ID || !n.chain.IsActive() || n.acceptor.HasPromised() {
			n.complete(Completion{RequestID: requestID, Outcome: NotOwner, RedirectTo: n.addr(n.acceptor.View.Tail())})
			return
		}
		n.addWaiter(waiter{requestID: requestID, atTail: true, index: n.chain.State().Commit})
	})
}

// RequestConfirmation requests a confirmation round now, for a caller that polls ConfirmedSince.
func (n *Node) RequestConfirmation(now time.Duration) Ready {
	return n.step(now, func() {
		if (n.chain.IsActive() || n.isVotingLearner()) && !n.acceptor.HasPromised() {
			n.readIndex.requestedRound = max(n.readIndex.requestedRound, n.readIndex.rounds.number+1)
		}
	})
}

// ConfirmedSince reports whether the committed state of this node includes everything that was acknowledged before the
// given time: in a round sent at that time or later, a majority has confirmed the epoch and the tail has reported its
// commit index, and this node has everything up to that index. A learner has only committed entries, so it may answer
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

// addWaiter makes a request wait for the next round.
func (n *Node) addWaiter(w waiter) {
	w.round, w.epoch, w.startedAt = n.readIndex.rounds.number+1, n.acceptor.View.Epoch, n.now
	n.readIndex.waiters = append(n.readIndex.waiters, w)
	n.readIndex.requestedRound = max(n.readIndex.requestedRound, w.round)
}

// completeWaiters completes the waiters whose round is confirmed, and those whose round can no longer be confirmed in
// time.
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
