package controlnode

import "larchrouter/internal/tier/view"

func (n *Node) majorityAlive(c view.Conditions) bool {
	alive := 0
	for _, m := range n.vote.View.Voters {
		if c.Alive[m.ID] {
			alive++
		}
	}
	return alive >= n.vote.View.Majority()
}

// wantsChange tells whether the view should change.
func (n *Node) wantsChange(c view.Conditions) bool {
	v := &n.vote.View
	if n.vote.HasPromised() && n.now-n.sealedAt > 2*n.set.Timings.Beat {
		return true // somebody began one and did not end it
	}
	return n.chainTooLong(c) || n.chainTooShort(c) || view.CanReplace(v, c) || view.CanAdmit(v, c) || n.voterTooMany(c)
}

// chainTooLong tells whether a member should go out of the chain.
func (n *Node) chainTooLong(c view.Conditions) bool {
	for _, l := range n.vote.View.Chain {
		if p := n.peers[l.ID]; p != nil && !p.ever && n.now-p.heard < n.set.Timings.Suspect && l.ID != n.set.Self.ID {
			continue // where all have just started, one that was not heard yet is no wonder
		}
		if !c.Alive[l.ID] || c.Leaving[l.ID] && n.canSpare(c) {
			return true
		}
	}
	return false
}

// canSpare tells whether enough members of the chain have its whole state without those that leave.
func (n *Node) canSpare(c view.Conditions) bool {
	staying := 0
	for _, l := range n.vote.View.Chain {
		active := l.ID == n.set.Self.ID && n.chain.IsActive()
		if p := n.peers[l.ID]; p != nil && p.ack.Active && p.ack.Epoch == n.vote.View.Epoch {
			active = true
		}
		if active && c.Alive[l.ID] && !c.Leaving[l.ID] {
			staying++
		}
	}
	return staying > n.set.Losses
}

// chainTooShort tells whether a voter should come into the chain.
func (n *Node) chainTooShort(c view.Conditions) bool {
	v := &n.vote.View
	for _, m := range v.Voters {
		if v.Position(m.ID) < 0 && c.Alive[m.ID] && !c.Leaving[m.ID] && (c.CaughtUp[m.ID] || len(v.Chain) <= n.set.Losses) {
			return true
		}
	}
	return false
}

// voterTooMany tells whether a voter should lose its vote.
func (n *Node) voterTooMany(c view.Conditions) bool {
	id := view.RemovableVoter(&n.vote.View, c)
	return id != "" && (n.vote.View.Position(id) < 0 || n.canSpare(c))
}

// rank is this node's turn among those that could propose: members of the chain first.
func (n *Node) rank(c view.Conditions) int {
	rank := 0
	for _, l := range n.vote.View.Chain {
		if l.ID == n.set.Self.ID {
			return rank
		}
		if c.Alive[l.ID] && !c.Leaving[l.ID] {
			rank++
		}
	}
	for _, m := range n.vote.View.Voters {
		if m.ID == n.set.Self.ID {
			return rank
		}
		if n.vote.View.Position(m.ID) < 0 && c.Alive[m.ID] {
			rank++
		}
	}
	return rank
}
