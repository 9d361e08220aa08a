package controlnode

import (
	"slices"
	"time"
)

// replication is the state of transfers along the chain that package chain does not have: the writes of this
// head that are not committed yet, and the learner that this node, as the tail, brings up to date outside the
// chain.
//
// Invariants: pendingWrites is empty unless this node is the head; at most one learner at a time.
type replication struct {
	updateReceived bool // the predecessor has sent an update in this epoch and incarnation
	pendingWrites  []pendingWrite
	learner        string        // the id of the one that the tail brings up to date, empty for none
	learnerAckedAt time.Duration // when it answered last
}

// pendingWrite is a write at this head whose entry is not committed yet.
type pendingWrite struct {
	requestID int64
	index     int64
}

// Write appends an entry at the head. It ends in a Completion with the request ID: Committed once every
// member of the chain has the entry on disk.
func (n *Node) Write(now time.Duration, requestID int64, key string, value []byte) Ready {
	return n.step(now, func() {
		if n.acceptor.HasPromised() && n.acceptor.View.Head() == n.settings.Self.ID {
			n.complete(Completion{RequestID: requestID, Outcome: NotHere})
			return
		}
		e, ok := n.chain.Append(key, value)
		if !ok {
			n.complete(Completion{RequestID: requestID, Outcome: NotHere, RedirectTo: n.HeadAddr()})
			return
		}
		n.ready.MustSync = true
		n.chain.MarkDurable() // the completion leaves after the sync that MustSync asks for
		n.replication.pendingWrites = append(n.replication.pendingWrites, pendingWrite{requestID, e.Index})
	})
}

// completeCommittedWrites completes the writes whose entries are committed.
func (n *Node) completeCommittedWrites() {
	commit := n.chain.State().Commit
	n.replication.pendingWrites = slices.DeleteFunc(n.replication.pendingWrites, func(w pendingWrite) bool {
		if w.index <= commit {
			n.complete(Completion{RequestID: w.requestID, Outcome: Committed, Index: w.index})
			return true
		}
		return false
	})
}

// replicate sends the successor, and a learner, the updates that they lack.
func (n *Node) replicate() {
	if !n.acceptor.HasPromised() {
		for {
			to, u, ok := n.chain.NextUpdate()
			if !ok {
				break
			}
			n.send(n.addr(to), Message{Kind: msgChainUpdate, Update: u})
		}
	}
	n.updateLearner()
}

// updateLearner sends one learner at a time the updates that it lacks: several would share the link, and all
// would take long.
func (n *Node) updateLearner() {
	if n.replication.learner != "" && !n.chain.LearnerIsBehind(n.replication.learner) {
		n.replication.learner = ""
	}
	if n.replication.learner != "" && n.now-n.replication.learnerAckedAt > n.settings.Timings.SuspectTimeout {
		n.chain.RemoveLearner(n.replication.learner)
		n.replication.learner = ""
	}
	if n.replication.learner == "" {
		n.replication.learner = n.nextLearner()
		n.replication.learnerAckedAt = n.now
	}
	for n.replication.learner != "" {
		u, ok := n.chain.NextLearnerUpdate(n.replication.learner)
		if !ok {
			return
		}
		n.send(n.addr(n.replication.learner), Message{Kind: msgLearnerUpdate, Update: u})
	}
}

// nextLearner returns the lowest id of the learners that are behind, empty for none.
func (n *Node) nextLearner() string {
	next := ""
	for id := range n.peers {
		if n.chain.LearnerIsBehind(id) && (next == "" || id < next) {
			next = id
		}
	}
	return next
}

// sendChainAck sends this member's position in the chain to its predecessor.
func (n *Node) sendChainAck() {
	if to, ack, ok := n.chain.PredecessorAck(); ok {
		n.send(n.addr(to), Message{Kind: msgChainAck, Ack: ack})
	}
}
