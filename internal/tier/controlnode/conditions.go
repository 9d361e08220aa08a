package controlnode

import (
	"slices"
	"time"

	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/view"
)

// conditions returns this node's observations of the members, on which it bases a proposal for the next view.
func (n *Node) conditions() view.Conditions {
	cond := view.Conditions{
		Alive:          map[string]bool{n.settings.Self.ID: true},
		CaughtUp:       map[string]bool{},
		Failed:         map[string]bool{},
		Suspected:      map[string]bool{},
		Leaving:        map[string]bool{},
		Unstable:       map[string]bool{},
		FaultTolerance: n.settings.FaultTolerance,
		ChainLength:    n.settings.ChainLength,
	}
	if n.leaving {
		cond.Leaving[n.settings.Self.ID] = true
	}
	ids := make([]string, 0, len(n.peers))
	for id := range n.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	cond.CaughtUp[n.settings.Self.ID] = true
	reachesMajority := n.reachesMajority()
	for _, id := range ids {
		if id != n.settings.Self.ID {
			n.addPeerConditions(&cond, id, reachesMajority)
		}
	}
	return cond
}

// addPeerConditions adds one peer to the conditions.
func (n *Node) addPeerConditions(cond *view.Conditions, id string, reachesMajority bool) {
	peer := n.peers[id]
	elapsed := n.now - peer.lastHeard
	voter := n.acceptor.View.IsVoter(id)
	unreachable := reachesMajority && !n.hasEchoedRecently(peer) // a one-way partition
	alive := peer.heardFrom && elapsed < n.settings.Timings.SuspectTimeout && !unreachable
	if alive && (voter || n.isApplicant(peer)) {
		cond.Alive[id] = true
		cond.CaughtUp[id] = n.caughtUp(peer) && n.heardByChainMembers(id) && peer.echoedInView
		if peer.chainAck.Commit > n.chain.State().Commit {
			cond.CaughtUp[n.settings.Self.ID] = false
		}
		cond.Leaving[id] = peer.leaving
		cond.Unstable[id] = n.isUnstable(peer)
		if !voter && !peer.leaving {
			cond.Applicants = append(cond.Applicants, peer.member)
		}
	}
	if !voter {
		return
	}
	failed := elapsed > n.settings.Timings.FailureTimeout || peer.leaving && elapsed > n.settings.Timings.SuspectTimeout
	cond.Failed[id] = failed && !n.heardByAnotherVoter(id)
	cond.Suspected[id] = !alive && peer.heardFrom && !cond.Failed[id]
}

// reachesMajority reports whether messages from this node reach a majority of the voters: if not, the fault is at this
// node rather than at its peers.
func (n *Node) reachesMajority() bool {
	count := 0
	for _, m := range n.acceptor.View.Voters {
		if p := n.peers[m.ID]; m.ID == n.settings.Self.ID || p != nil && n.hasEchoedRecently(p) {
			count++
		}
	}
	return count >= n.acceptor.View.Majority()
}

// heardByAnotherVoter reports whether another voter that this node hears from has recently heard from a member. Then
// only the link between this node and the member has failed, not the member. A voter is not removed on the observation
// of a single node.
func (n *Node) heardByAnotherVoter(id string) bool {
	for _, m := range n.acceptor.View.Voters {
		p := n.peers[m.ID]
		if m.ID == id || m.ID == n.settings.Self.ID || p == nil || !n.recentlyHeard(p) {
			continue
		}
		if _, heard := slices.BinarySearch(p.heardPeers, id); heard {
			return true
		}
	}
	return false
}

// isApplicant reports whether a member that is not a voter may become one: it has echoed a round of this node's current
// incarnation in the current view, so a delayed message from a lost machine does not count, and no member with another
// ID has been heard from its address more recently.
func (n *Node) isApplicant(p *peer) bool {
	if !p.echoedInView || !n.hasEchoedRecently(p) {
		return false
	}
	for id, other := range n.peers {
		if id != p.member.ID && other.member.Addr == p.member.Addr && other.heardFrom && other.lastHeard > p.lastHeard {
			return false
		}
	}
	return true
}

// heardByChainMembers reports whether messages from a member reach all members of the chain that this node hears from.
// A member that some of them do not hear from would be removed by them as soon as others have added it.
func (n *Node) heardByChainMembers(id string) bool {
	for _, l := range n.acceptor.View.Chain {
		p := n.peers[l.ID]
		if l.ID == id || l.ID == n.settings.Self.ID || p == nil || !n.recentlyHeard(p) {
			continue
		}
		if _, heard := slices.BinarySearch(p.heardPeers, id); !heard {
			return false
		}
	}
	return true
}

// How far a member outside the chain may be behind and still count as caught up: entries committed less than catchUpLag
// ago may be in flight, but not more than catchUpBytes, which would take long on a slow link.
const (
	catchUpLag   = 600 * time.Millisecond
	catchUpBytes = 4 * chain.ChunkSize
)

// caughtUp reports whether a member outside the chain is so close to the commit index that the chain would not have to
// wait for it.
func (n *Node) caughtUp(p *peer) bool {
	return p.chainAck.Commit >= n.recentCommits.at(n.now-catchUpLag) && n.chain.CommittedBytes(p.chainAck.Commit) <= catchUpBytes
}
