package controlnode

import (
	"time"
)

// StartLeaving says that this node is about to stop: its duties go to a successor at once.
func (n *Node) StartLeaving(now time.Duration) Ready {
	return n.step(now, func() {
		n.leaving = true
		n.sendHeartbeat()
		n.election.nextProposalAt = 0
		n.maybePropose()
	})
}

// CanStop tells whether the node may stop: it has no place in the chain any more and no vote that others would miss, or too
// few others are there for a chain without it, so that waiting is of no use.
func (n *Node) CanStop() bool {
	v := &n.acceptor.View
	if v.Position(n.settings.Self.ID) < 0 && (!v.IsVoter(n.settings.Self.ID) || len(v.Voters) <= 2*n.settings.FaultTolerance+1) {
		return true
	}
	c := n.conditions()
	staying := 0
	for id := range c.Alive {
		if id != n.settings.Self.ID && !c.Leaving[id] {
			staying++
		}
	}
	return staying <= n.settings.FaultTolerance || !n.majorityAlive(c)
}
