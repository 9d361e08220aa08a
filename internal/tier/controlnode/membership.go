package controlnode

import "larchrouter/internal/tier/view"

func (n *Node) majorityAlive(c view.Conditions) bool {
	alive := 0
	for _, m := range n.acceptor.View.Voters {
		if c.Alive[m.ID] {
			alive++
		}
	}
	return alive >= n.acceptor.View.Majority()
}

// wantsChange tells whether the view should change.
func (n *Node) wantsChange(c view.Conditions) bool {
	v := &n.acceptor.View
	if n.acceptor.HasPromised() && n.now-n.election.promisedAt > 2*n.settings.Timings.HeartbeatInterval {
		return true // somebody began one and did not end it
	}
	return n.wantsRemovalFromChain(c) || n.wantsChainExtension(c) || view.CanReplace(v, c) || view.CanAdmit(v, c) || n.wantsVoterRemoval(c)
}

// wantsRemovalFromChain tells whether a member should go out of the chain.
func (n *Node) wantsRemovalFromChain(c view.Conditions) bool {
	for _, l := range n.acceptor.View.Chain {
		if p := n.peers[l.ID]; p != nil && !p.heardFrom && n.now-p.lastHeard < n.settings.Timings.SuspectTimeout && l.ID != n.settings.Self.ID {
			continue // where all have just started, one that was not heard yet is no wonder
		}
		if !c.Alive[l.ID] || c.Leaving[l.ID] && n.canShortenChain(c) {
			return true
		}
	}
	return false
}

// canShortenChain tells whether enough members of the chain have its whole state without those that leave.
func (n *Node) canShortenChain(c view.Conditions) bool {
	staying := 0
	for _, l := range n.acceptor.View.Chain {
		active := l.ID == n.settings.Self.ID && n.chain.IsActive()
		if p := n.peers[l.ID]; p != nil && p.chainAck.Active && p.chainAck.Epoch == n.acceptor.View.Epoch {
			active = true
		}
		if active && c.Alive[l.ID] && !c.Leaving[l.ID] {
			staying++
		}
	}
	return staying > n.settings.FaultTolerance
}

// wantsChainExtension tells whether a voter should come into the chain.
func (n *Node) wantsChainExtension(c view.Conditions) bool {
	v := &n.acceptor.View
	for _, m := range v.Voters {
		if v.Position(m.ID) < 0 && c.Alive[m.ID] && !c.Leaving[m.ID] && (c.CaughtUp[m.ID] || len(v.Chain) <= n.settings.FaultTolerance) {
			return true
		}
	}
	return false
}

// wantsVoterRemoval tells whether a voter should lose its vote.
func (n *Node) wantsVoterRemoval(c view.Conditions) bool {
	id := view.RemovableVoter(&n.acceptor.View, c)
	return id != "" && (n.acceptor.View.Position(id) < 0 || n.canShortenChain(c))
}

// proposalRank is this node's turn among those that could propose: members of the chain first.
func (n *Node) proposalRank(c view.Conditions) int {
	rank := 0
	for _, l := range n.acceptor.View.Chain {
		if l.ID == n.settings.Self.ID {
			return rank
		}
		if c.Alive[l.ID] && !c.Leaving[l.ID] {
			rank++
		}
	}
	for _, m := range n.acceptor.View.Voters {
		if m.ID == n.settings.Self.ID {
			return rank
		}
		if n.acceptor.View.Position(m.ID) < 0 && c.Alive[m.ID] {
			rank++
		}
	}
	return rank
}
