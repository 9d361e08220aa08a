package controlnode

import (
	"slices"
	"testing"
	"time"
)

// Guards against a core that is left without a majority: a voter that leaves decides the view without it, and stops before any
// other node knows that this view is decided; the next loss then takes the majority of the old view.
func TestLeavingVoterStopsOnceOthersHaveView(t *testing.T) {
	for seed := range uint64(20) {
		c := newSimulationWith(t, seed, 4, 1, ChainLength(1), injectedBugs{})
		c.noRandomFaults = true
		c.run(1500 * time.Millisecond)
		leaving, lost := c.machines["m0"], c.machines["m1"]
		c.handleReady(leaving, leaving.node.StartLeaving(c.now))
		for end := c.now + leaveTimeout(gracePeriod); !leaving.node.CanStop(); {
			if c.step(); c.now > end {
				t.Fatalf("seed %d: the node may not stop\n%s", seed, c.trace())
			}
		}
		c.stop(leaving)
		c.stop(lost)
		c.queue = slices.DeleteFunc(c.queue, func(p packet) bool { return p.from == leaving.addr || p.from == lost.addr })
		writes := c.writes
		c.run(5 * time.Second)
		if c.failure != "" || c.writes == writes {
			t.Fatalf("seed %d: failure %q, %d writes after the loss\n%s", seed, c.failure, c.writes-writes, c.trace())
		}
	}
}
