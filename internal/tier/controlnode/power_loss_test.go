package controlnode

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// startSpread is the period within which machines start whose power returns at the same time.
const startSpread = 300 * time.Millisecond

// All machines lose power, and those that return start within startSpread. If all return, the first node serves followers
// within two ticks of the last start; if one does not return, within StartTimeout and a view change. The first write is
// acknowledged at most 150 ms after these limits.
func TestTimeToServeAfterPowerLoss(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{3, 4, 5, 8} {
		for _, missing := range []int{-1, 0, 1, 2} { // the machine that does not return: none, head, middle member, tail
			name := fmt.Sprintf("%d nodes, missing machine %d", nodes, missing)
			var served, written []time.Duration
			for seed := uint64(1); seed <= 20; seed++ {
				s, w := timeToServe(t, seed, nodes, missing)
				served, written = append(served, s), append(written, w)
			}
			slices.Sort(served)
			slices.Sort(written)
			t.Logf("%s: followers are served after %v (median; maximum %v), writes after %v (median; maximum %v)", name,
				served[10], served[19], written[10], written[19])
			limit := 100 * time.Millisecond // two ticks
			if missing >= 0 {
				limit = DefaultTimings().StartTimeout + 150*time.Millisecond // time for a view change
			}
			if served[19] > limit || written[19] > limit+150*time.Millisecond {
				t.Errorf("%s: followers are served after %v, writes are acknowledged after %v", name, served[19], written[19])
			}
		}
	}
}

// timeToServe returns how long after the last start of a machine the first node is fresh for followers, and the first
// write is acknowledged.
func timeToServe(t *testing.T, seed uint64, nodes, missing int) (served, written time.Duration) {
	t.Helper()
	c := newSimulationWith(t, seed, nodes, 1, ChainLength(1), injectedBugs{})
	c.noRandomFaults = true
	c.run(1500 * time.Millisecond)
	for _, a := range c.addrs {
		c.stop(c.machines[a])
	}
	c.run(time.Second)
	offsets := make([]time.Duration, nodes)
	for i := range offsets {
		offsets[i] = time.Duration(c.rng.Int64N(int64(startSpread)))
	}
	began := c.now
	for end := began + startSpread; c.now <= end; c.step() {
		for i, a := range c.addrs {
			if m := c.machines[a]; i != missing && !m.up && c.now-began >= offsets[i] {
				c.start(m)
			}
		}
	}
	lastStart := c.now
	for writes := c.writes; served == 0 || written == 0; c.step() {
		if c.now-lastStart > 5*time.Second {
			t.Fatalf("seed %d: no service 5 s after the machines have started\n%s", seed, c.trace())
		}
		for _, a := range c.addrs {
			m := c.machines[a]
			if served == 0 && m.up && m.node.Fresh() {
				served = max(c.now-lastStart, time.Millisecond)
			}
			if m.up && m.node.IsActiveHead() && c.now%(20*time.Millisecond) == 0 {
				c.write(m)
			}
		}
		if written == 0 && c.writes > writes {
			written = max(c.now-lastStart, time.Millisecond)
		}
	}
	return served, written
}
