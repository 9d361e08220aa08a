package chain

import (
	"slices"
	"strings"
	"testing"
)

// TestPlantedFaultsOfTheChainAreFound shows that the model finds what it is for.
func TestPlantedFaultsOfTheChainAreFound(t *testing.T) {
	const courses = 300
	for name, x := range map[string]struct {
		f    modelFaults
		says string
	}{
		"a member tells that all it has is committed": {modelFaults{ack: func(_ *world, _ *Chain, a *Ack) { a.Commit = a.LastIndex }}, "has"},
		"a part of a transfer said to be all of it": {modelFaults{update: func(_ *world, from *Chain, u *Update) {
			u.Complete, u.Through = true, from.State().Commit
		}}, ", has "},
		"values altered on the way": {modelFaults{update: func(w *world, _ *Chain, u *Update) {
			if f := len(u.Fragments) - 1; f >= 0 && u.Fragments[f].ValueSize == int64(len(u.Fragments[f].Data)) && w.pick(20) == 0 {
				u.Fragments[f].Data = append(slices.Clone(u.Fragments[f].Data), 1)
				u.Fragments[f].ValueSize++
				u.Fragments[f].Checksum = sum(u.Fragments[f].Data)
			}
		}}, ""},
		"entries left out": {modelFaults{update: func(w *world, _ *Chain, u *Update) {
			if len(u.Fragments) > 1 && w.pick(4) == 0 {
				u.Fragments = u.Fragments[1:]
			}
		}}, ""},
		"nothing is sent again": {modelFaults{silent: true}, "settled"},
		"the window is not minded": {modelFaults{before: func(c *Chain) {
			for _, o := range c.learners {
				o.bytes = -windowSize
			}
			c.successor.bytes = -windowSize
		}}, "under way"},
		"what is not committed is kept at activation": {modelFaults{adopt: func(c *Chain) {
			c.state.Commit = c.state.LastIndex
		}}, ""},
		"an entry that is gone is gone on with": {modelFaults{update: func(_ *world, from *Chain, u *Update) {
			for _, o := range from.learners {
				if u.After.PartialBytes == 0 && o.told.PartialBytes > 0 && o.told.LastIndex == u.After.LastIndex {
					u.After = o.told
				}
			}
		}}, "settled"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(courses) {
				if err := course(newWorld(seed, x.f)); err != nil && strings.Contains(err.Error(), x.says) {
					t.Logf("found by seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not found in %d courses", courses)
		})
	}
}
