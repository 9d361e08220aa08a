package controlnode

import (
	"slices"
	"testing"
	"time"

	"larchrouter/internal/tier/view"
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

// Guards against a lease that the next head waits for until its term ends: the node that leaves stops with the batch in which it
// adopts the view of the next head, and never sends the release.
func TestLeavingHolderSendsReleaseBeforeItStops(t *testing.T) {
	n := openNetwork(t, t.TempDir(), func(core *Server) Durable { return core.node.Durable() })
	defer n.close()
	n.core.settings.Platform.Duties = []string{"scale"}
	last := storedMembers[2]
	n.start(view.Member{ID: "seed-" + last.Addr, Name: last.Name, Addr: last.Addr}, n.core.node.Durable())
	n.until("the chain is complete", n.allCaughtUp)
	n.core.updateLease()
	n.handleReady(n.core.node.StartLeaving(n.now))
	n.until("the node has left the view", n.core.node.LeftView)
	query := &canStopQuery{}
	query.handle(n.core)
	if query.canStop {
		t.Error("the node may stop before its lease has observed the view")
	}
	n.core.updateLease()
	if query.handle(n.core); query.canStop {
		t.Error("the node may stop before its release is acknowledged")
	}
	(&releaseDoneRequest{}).handle(n.core)
	if query.handle(n.core); !query.canStop {
		t.Error("the node may not stop after its release is acknowledged")
	}
}
