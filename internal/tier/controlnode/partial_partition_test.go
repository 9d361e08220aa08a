package controlnode

import (
	"testing"
	"time"
)

// partialPartitionDuration is how long one link is blocked in one direction.
const partialPartitionDuration = 4 * time.Second

// runPartialPartitions repeatedly blocks one link among eight core nodes in one direction. It returns the number of view
// changes and of voters that were removed.
func runPartialPartitions(t *testing.T, chainLength, cuts int, involved func(from, to int) bool) (views int64, lostVotes int) {
	t.Helper()
	c := newSimulationWith(t, 1, 8, 1, chainLength, injectedBugs{})
	c.noRandomFaults = true
	c.run(3 * time.Second)
	before := c.newest.Epoch
	for range cuts {
		from, to := c.rng.IntN(8), c.rng.IntN(8)
		for from == to || !involved(from, to) {
			from, to = c.rng.IntN(8), c.rng.IntN(8)
		}
		c.blockedLinks[[2]string{c.addrs[from], c.addrs[to]}] = true
		c.run(partialPartitionDuration)
		lostVotes += 8 - len(c.newest.Voters)
		c.blockedLinks = map[[2]string]bool{}
		c.run(6 * time.Second)
		if c.failure != "" {
			t.Fatalf("%s\n%s", c.failure, c.trace())
		}
	}
	return c.newest.Epoch - before, lostVotes
}

// A link that is blocked in one direction does not remove a voter, as another voter still hears the member, and it causes
// view changes only if both of its ends are members of the chain.
func TestPartialPartitionCostsNoVotes(t *testing.T) {
	t.Parallel()
	const cuts = 40
	outside := func(from, to int) bool { return from >= 3 || to >= 3 } // the first three are the chain
	for _, test := range []struct {
		name        string
		chainLength int
		involved    func(from, to int) bool
		maxViews    int64
	}{
		{"all voters in the chain, any link", 0, func(int, int) bool { return true }, 4 * cuts},
		{"short chain, any link", ChainLength(1), func(int, int) bool { return true }, cuts},
		{"short chain, a link to or from a learner", ChainLength(1), outside, 0},
	} {
		views, lostVotes := runPartialPartitions(t, test.chainLength, cuts, test.involved)
		t.Logf("%s: %d view changes for %d blocked links, %d voters removed", test.name, views, cuts, lostVotes)
		if views > test.maxViews || lostVotes > 0 {
			t.Errorf("%s: %d view changes for %d blocked links, %d voters removed", test.name, views, cuts, lostVotes)
		}
	}
}
