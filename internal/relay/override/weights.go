package override

import (
	"slices"
	"time"
)

// SetRemoved says which relays are gone for good.
func (t *Gossiper) SetRemoved(lost []int) { t.removed = lost }

func (t *Gossiper) weight(i int) int {
	switch {
	case slices.Contains(t.removed, i):
		return 0
	case t.settings.Weights == nil:
		return 1
	}
	return t.settings.Weights[i]
}

// listedWeight is the sum of the weights in this relay's list, without those that are gone.
func (t *Gossiper) listedWeight() (n int) {
	for i := range t.peers {
		n += t.weight(i)
	}
	return n
}

// TotalWeight is into how many parts limits are divided: the largest sum of weights that a relay says of its list, of those that were
// heard of late, or that those have together by what each says of itself. While lists differ, as they do while relays are
// restarted with a new one, who goes by that takes no more than is its own.
func (t *Gossiper) TotalWeight(now time.Duration) int {
	listed := t.listedWeight()
	most, sum, believed := listed, 0, max(MaxTotalWeight, 4*listed)
	for i := range t.peers {
		p, w := &t.peers[i], t.weight(i)
		if i != t.settings.Self && p.receivedAt >= 0 && now-p.receivedAt < weightTTL && !slices.Contains(t.removed, i) {
			most, w = max(most, min(p.totalWeight, believed)), max(0, min(p.weight, MaxWeight))
		}
		sum += w
	}
	return max(1, most, min(sum, believed))
}

// The bounds of what is believed of another relay's list, which bound the harm that a wrong one can do.
const (
	MaxTotalWeight = 64 // relays, or parts if a list has less than a quarter of them
	MaxWeight      = 100
)
