package controlnode

import (
	"slices"
	"time"
)

type write struct {
	requestID int64
	index     int64
}

// Write asks for an entry at the head. It ends in a Done with the request ID.
func (n *Node) Write(now time.Duration, requestID int64, key string, value []byte) Output {
	return n.step(now, func() {
		if n.vote.HasPromised() && n.vote.View.Head() == n.set.Self.ID {
			n.done(Done{RequestID: requestID, Kind: Elsewhere})
			return
		}
		e, ok := n.chain.Append(key, value)
		if !ok {
			n.done(Done{RequestID: requestID, Kind: Elsewhere, To: n.HeadAddr()})
			return
		}
		n.out.Dirty = true
		n.chain.MarkDurable() // Done goes out after the sync that Dirty asks for
		n.writes = append(n.writes, write{requestID, e.Index})
	})
}

// settleWrites ends those that are committed.
func (n *Node) settleWrites() {
	commit := n.chain.State().Commit
	n.writes = slices.DeleteFunc(n.writes, func(w write) bool {
		if w.index <= commit {
			n.done(Done{RequestID: w.requestID, Kind: Committed, Index: w.index})
			return true
		}
		return false
	})
}

// replicate sends the successor what it lacks, and a learner.
func (n *Node) replicate() {
	if !n.vote.HasPromised() {
		for {
			to, u, some := n.chain.NextUpdate()
			if !some {
				break
			}
			n.send(n.addr(to), Message{Kind: update, Update: u})
		}
	}
	n.teachLearner()
}

// teachLearner sends one learner at a time what it lacks: several would share the link, and all would take long.
func (n *Node) teachLearner() {
	if n.learner != "" && !n.chain.LearnerIsBehind(n.learner) {
		n.learner = ""
	}
	if n.learner != "" && n.now-n.learnsAt > n.set.Timings.Suspect {
		n.chain.RemoveLearner(n.learner)
		n.learner = ""
	}
	if n.learner == "" {
		n.learner = n.nextLearner()
		n.learnsAt = n.now
	}
	for n.learner != "" {
		u, some := n.chain.NextLearnerUpdate(n.learner)
		if !some {
			return
		}
		n.send(n.addr(n.learner), Message{Kind: learn, Update: u})
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

func (n *Node) acknowledge() {
	if to, a, ok := n.chain.PredecessorAck(); ok {
		n.send(n.addr(to), Message{Kind: ack, Ack: a})
	}
}
