package controlnode

import (
	"larchrouter/internal/tier/view"
)

// majorityAlive reports whether a majority of the voters is alive.
func (n *Node) majorityAlive(cond view.Conditions) bool {
	alive := 0
	for _, m := range n.acceptor.View.Voters {
		if cond.Alive[m.ID] {
			alive++
		}
	}
	return alive >= n.acceptor.View.Majority()
}

// wantsViewChange reports whether the view should change.
func (n *Node) wantsViewChange(cond view.Conditions) bool {
	v := &n.acceptor.View
	if n.acceptor.HasPromised() && n.now-n.election.promisedAt > 2*n.settings.Timings.HeartbeatInterval {
		return true // an earlier proposal was started and not finished
	}
	return n.wantsRemovalFromChain(cond) || n.wantsChainExtension(cond) ||
		view.CanReplace(v, cond) || view.CanAdmit(v, cond) || n.wantsVoterRemoval(cond)
}

// wantsRemovalFromChain reports whether a member should be removed from the chain.
func (n *Node) wantsRemovalFromChain(cond view.Conditions) bool {
	outside := n.acceptor.View.Position(n.settings.Self.ID) < 0
	for _, l := range n.acceptor.View.Chain {
		if outside && n.heardByAnotherVoter(l.ID) {
			continue // only the link to this node has failed, and the chain does not use it
		}
		p := n.peers[l.ID]
		if p != nil && !p.heardFrom && n.now-p.lastHeard < n.settings.Timings.StartTimeout && l.ID != n.settings.Self.ID {
			continue // if all nodes start at the same time, a member that was not heard from yet may still be starting
		}
		if !cond.Alive[l.ID] || (cond.Leaving[l.ID] || cond.Unstable[l.ID]) && n.canShortenChain(cond) {
			return true
		}
	}
	return false
}

// canShortenChain reports whether enough members of the chain have its complete state, not counting members that leave
// or are unstable.
func (n *Node) canShortenChain(cond view.Conditions) bool {
	staying := 0
	for _, l := range n.acceptor.View.Chain {
		active := l.ID == n.settings.Self.ID && n.chain.IsActive()
		if p := n.peers[l.ID]; p != nil && p.chainAck.Active && p.chainAck.Epoch == n.acceptor.View.Epoch {
			active = true
		}
		if active && cond.Alive[l.ID] && !cond.Leaving[l.ID] && !cond.Unstable[l.ID] {
			staying++
		}
	}
	return staying > n.settings.FaultTolerance
}

// wantsChainExtension reports whether a voter should be added to the chain.
func (n *Node) wantsChainExtension(cond view.Conditions) bool {
	v := &n.acceptor.View
	if cond.ChainIsFull(v.Chain) {
		return false
	}
	for _, m := range v.Voters {
		if v.Position(m.ID) < 0 && cond.Alive[m.ID] && !cond.Leaving[m.ID] &&
			(cond.CaughtUp[m.ID] && !cond.Unstable[m.ID] || len(v.Chain) <= n.settings.FaultTolerance) {
			return true
		}
	}
	return false
}

// wantsVoterRemoval reports whether a voter should lose its vote.
func (n *Node) wantsVoterRemoval(cond view.Conditions) bool {
	id := view.RemovableVoter(&n.acceptor.View, cond)
	return id != "" && (n.acceptor.View.Position(id) < 0 || n.canShortenChain(cond))
}

// proposalRank returns this node's rank, from 0, among the nodes that may propose: members of the chain come first.
func (n *Node) proposalRank(cond view.Conditions) int {
	rank := 0
	for _, l := range n.acceptor.View.Chain {
		if l.ID == n.settings.Self.ID {
			return rank
		}
		if cond.Alive[l.ID] && !cond.Leaving[l.ID] {
			rank++
		}
	}
	for _, m := range n.acceptor.View.Voters {
		if m.ID == n.settings.Self.ID {
			return rank
		}
		if n.acceptor.View.Position(m.ID) < 0 && cond.Alive[m.ID] {
			rank++
		}
	}
	return rank
}
