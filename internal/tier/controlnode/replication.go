package controlnode

import (
	"slices"
	"time"
)

// replication is the replication state that package chain does not keep: the writes at this head that are not
// committed yet, and the learner (a member outside the chain) to which this node, as the tail, makes a bulk transfer.
//
// Invariants: pendingWrites is empty unless this node is the head; there is at most one bulk transfer to a learner at a
// time.
type replication struct {
	updateReceived     bool // the predecessor has sent an update in this epoch and incarnation
	pendingWrites      []pendingWrite
	bulkLearner        string        // the ID of the learner that receives a bulk transfer; empty if there is none
	bulkLearnerAckedAt time.Duration // when its last acknowledgement arrived
}

// pendingWrite is a write at this head whose entry is not committed yet.
type pendingWrite struct {
	requestID int64
	index     int64
}

// Write appends an entry at the head. It ends in a Completion with the request ID, which is Committed once every member
// of the chain has the entry on disk.
func (n *Node) Write(now time.Duration, requestID int64, key string, value []byte) Ready {
	return n.step(now, func() {
		if n.acceptor.HasPromised() && n.acceptor.View.Head() == n.settings.Self.ID {
			n.complete(Completion{RequestID: requestID, Outcome: NotOwner})
			return
		}
		e, ok := n.chain.Append(key, value)
		if !ok {
			n.complete(Completion{RequestID: requestID, Outcome: NotOwner, RedirectTo: n.HeadAddr()})
			return
		}
		n.ready.MustSync = true
		n.chain.MarkDurable() // MustSync: the entry is synced before the completion leaves the node
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

// replicate sends the successor and the learners the updates that they are missing.
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
	n.updateLearners()
}

// updateLearners sends learners the updates that they are missing. Learners that are nearly caught up, for example
// missing only the last committed entry, are sent it immediately. Bulk transfers are made to one learner at a time:
// several would share the link, and all would take long.
func (n *Node) updateLearners() {
	bulk := ""
	for _, id := range n.laggingLearners() {
		switch {
		case !n.recentlyHeard(n.peers[id]):
		case n.isNearlyCaughtUp(id):
			n.sendLearnerUpdates(id)
		case bulk == "":
			bulk = id
		}
	}
	n.chooseBulkLearner(bulk)
	if n.replication.bulkLearner != "" {
		n.sendLearnerUpdates(n.replication.bulkLearner)
	}
}

// chooseBulkLearner chooses the learner that receives a bulk transfer: the current one while it is behind and responds,
// then the candidate.
func (n *Node) chooseBulkLearner(candidate string) {
	r := &n.replication
	if r.bulkLearner != "" && !n.chain.LearnerIsBehind(r.bulkLearner) {
		r.bulkLearner = ""
	}
	if r.bulkLearner != "" && n.now-r.bulkLearnerAckedAt > n.settings.Timings.SuspectTimeout {
		n.chain.RemoveLearner(r.bulkLearner)
		r.bulkLearner = ""
	}
	if r.bulkLearner == "" {
		r.bulkLearner, r.bulkLearnerAckedAt = candidate, n.now
	}
}

// isNearlyCaughtUp reports whether the entries that a member outside the chain is missing are few enough to be sent
// quickly on a slow link.
func (n *Node) isNearlyCaughtUp(id string) bool {
	return n.chain.CommittedBytes(n.peers[id].chainAck.Commit) <= catchUpBytes
}

// sendLearnerUpdates sends a learner as many updates as its window allows.
func (n *Node) sendLearnerUpdates(id string) {
	for {
		u, ok := n.chain.NextLearnerUpdate(id)
		if !ok {
			return
		}
		n.send(n.addr(id), Message{Kind: msgLearnerUpdate, Update: u})
	}
}

// laggingLearners returns the sorted IDs of the learners that are missing committed entries.
func (n *Node) laggingLearners() (ids []string) {
	for id := range n.peers {
		if n.chain.LearnerIsBehind(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// sendChainAck sends this member's position in the chain to its predecessor.
func (n *Node) sendChainAck() {
	if to, ack, ok := n.chain.PredecessorAck(); ok {
		n.send(n.addr(to), Message{Kind: msgChainAck, Ack: ack})
	}
}
