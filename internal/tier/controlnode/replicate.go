package controlnode

import (
	"slices"
	"time"
)

type pendingWrite struct {
	requestID int64
	index     int64
}

// Write asks for an entry at the head. It ends in a Done with the request ID.
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
		n.chain.MarkDurable() // Done goes out after the sync that Dirty asks for
		n.replication.pendingWrites = append(n.replication.pendingWrites, pendingWrite{requestID, e.Index})
	})
}

// completeCommittedWrites ends those that are committed.
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

// replicate sends the successor what it lacks, and a learner.
func (n *Node) replicate() {
	if !n.acceptor.HasPromised() {
		for {
			to, u, some := n.chain.NextUpdate()
			if !some {
				break
			}
			n.send(n.addr(to), Message{Kind: msgChainUpdate, Update: u})
		}
	}
	n.updateLearner()
}

// updateLearner sends one learner at a time what it lacks: several would share the link, and all would take long.
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
		u, some := n.chain.NextLearnerUpdate(n.replication.learner)
		if !some {
			return
		}
		n.send(n.addr(n.replication.learner), Message{Kind: msgLearnerUpdate, Update: u})
	}
}

func (n *Node) nextLearner() string {
	next := ""
	for id := range n.peers {
		if n.chain.LearnerIsBehind(id) && (next == "" || id < next) {
			next = id
		}
	}
	return next
}

func (n *Node) sendChainAck() {
	if to, a, ok := n.chain.PredecessorAck(); ok {
		n.send(n.addr(to), Message{Kind: msgChainAck, Ack: a})
	}
}
