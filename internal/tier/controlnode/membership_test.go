package controlnode

import (
	"testing"
	"time"

	"larchrouter/internal/tier/chain"
)

// A member that returns just after a large change was committed does not count as caught up until it has received that
// change: if it joined the chain earlier, all writes would wait while the change crosses a slow link. A small change
// may still be in flight.
func TestMemberLackingLargeChangeIsNotCaughtUp(t *testing.T) {
	for name, one := range map[string]struct {
		size int
		want bool
	}{
		"a small change": {100, true},
		"a large change": {catchUpBytes + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSimulation(t, 1, 3, injectedBugs{})
			c.noRandomFaults = true
			c.run(time.Second)
			head, away := c.machines["m0"].node, c.machines["m2"]
			c.stop(away)
			c.run(2 * time.Second)
			before := head.chain.State().Commit
			c.handleReady(c.machines["m0"], head.Write(c.now, 1<<40, "large", make([]byte, one.size)))
			const soon = catchUpLag / 2 // chunks that arrive out of order are resent
			for end := c.now + soon; head.chain.State().Commit <= before; c.step() {
				if c.now > end {
					t.Fatal("the change is not committed")
				}
			}
			head.peers[away.id].chainAck = chain.Ack{Commit: before}
			if got := head.caughtUp(head.peers[away.id]); got != one.want {
				t.Errorf("caught up is %v, want %v", got, one.want)
			}
		})
	}
}
