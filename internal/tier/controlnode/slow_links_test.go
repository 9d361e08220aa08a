package controlnode

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestViewIsDecidedOnSlowLinks checks that the other nodes replace a lost head over slow links. Deciding a view takes four
// sequential messages with a sync before each. If these take longer than the first time-out of a proposal, later
// proposals must get more time.
func TestViewIsDecidedOnSlowLinks(t *testing.T) {
	for _, latency := range []time.Duration{0, 100 * time.Millisecond, 160 * time.Millisecond, 220 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			c := newSimulation(t, 1, 3, injectedBugs{})
			c.rng = rand.New(rand.NewPCG(1, 1))
			c.noRandomFaults = true
			c.run(3 * time.Second)
			c.latency = latency
			c.run(3 * time.Second)
			oldEpoch := c.newest.Epoch
			lost := c.newest.Head()
			for _, a := range c.addrs {
				if c.machines[a].id == lost {
					c.stop(c.machines[a])
				}
			}
			c.run(10 * time.Second)
			if c.newest.Epoch == oldEpoch || c.newest.Position(lost) >= 0 {
				t.Errorf("10 s after the head was lost the view is %v", c.newest)
			}
			if c.failure != "" {
				t.Error(c.failure)
			}
		})
	}
}
