package override

import (
	"slices"
	"time"
)

// SetRemoved sets which relays are removed for good.
func (g *Gossiper) SetRemoved(removed []int) { g.removed = removed }

// weight returns the weight of a relay; 0 if it is removed.
func (g *Gossiper) weight(relay int) int {
	switch {
	case slices.Contains(g.removed, relay):
		return 0
	case g.settings.Weights == nil:
		return 1
	}
	return g.settings.Weights[relay]
}

// listedWeight returns the sum of the weights in this relay's list, without removed relays.
func (g *Gossiper) listedWeight() (n int) {
	for i := range g.peers {
		n += g.weight(i)
	}
	return n
}

// TotalWeight returns into how many shares limits are divided: the largest sum of weights that a recently received
// relay reports for its list, or that those relays have together by what each reports of itself. While
// lists differ, as they do while relays are restarted with a new one, a relay that divides by it uses no more
// than its own share.
func (g *Gossiper) TotalWeight(now time.Duration) int {
	listed := g.listedWeight()
	largest, sum, limit := listed, 0, max(MaxTotalWeight, 4*listed)
	for i := range g.peers {
		p, weight := &g.peers[i], g.weight(i)
		if i != g.settings.Self && p.receivedAt >= 0 && now-p.receivedAt < weightTTL && !slices.Contains(g.removed, i) {
			largest, weight = max(largest, min(p.totalWeight, limit)), max(0, min(p.weight, MaxWeight))
		}
		sum += weight
	}
	return max(1, largest, min(sum, limit))
}

// Bounds of what is accepted of another relay's list, which bound the harm of a wrong one.
const (
	MaxTotalWeight = 64  // accepted from other lists, unless four times the own one is more
	MaxWeight      = 100 // of one relay
)
