package controlnode

import (
	"time"
)

// Leave says that this node is about to stop: its duties go to a successor at once.
func (n *Node) Leave(now time.Duration) Output {
	return n.step(now, func() {
		n.leaving = true
		n.sendHeartbeat()
		n.tryAt = 0
		n.propose()
	})
}

// Left tells whether the node may stop: it has no place in the chain any more and no vote that others would miss, or too
// few others are there for a chain without it, so that waiting is of no use.
func (n *Node) Left() bool {
	v := &n.vote.View
	if v.Position(n.set.Self.ID) < 0 && (!v.IsVoter(n.set.Self.ID) || len(v.Voters) <= 2*n.set.Losses+1) {
		return true
	}
	c := n.conditions()
	staying := 0
	for id := range c.Alive {
		if id != n.set.Self.ID && !c.Leaving[id] {
			staying++
		}
	}
	return staying <= n.set.Losses || !n.majorityAlive(c)
}
