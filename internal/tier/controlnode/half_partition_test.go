package controlnode

import (
	"flag"
	"testing"
	"time"
)

// halvesSimulations is the number of simulations of TestNoAcknowledgedWriteIsLostUnderHalfPartitions.
var halvesSimulations = flag.Int("halves", 12, "number of simulations of partitions into halves with machine losses")

// injectHalfPartition partitions the core nodes into two halves; followers and operators reach both. Meanwhile machines
// crash and restart in either half, more of them than the fault tolerance, and one may lose its disk. The partition may
// heal in the middle of a view change.
func (c *simulation) injectHalfPartition(span time.Duration) {
	inFirst := map[string]bool{}
	for _, i := range c.rng.Perm(len(c.addrs))[:len(c.addrs)/2] {
		inFirst[c.addrs[i]] = true
	}
	c.logf("partitioned into halves, %v in the first", inFirst)
	c.lagCheckedFrom = time.Hour // the service may be unavailable
	for _, a := range c.addrs {
		for _, b := range c.addrs {
			if inFirst[a] != inFirst[b] {
				c.blockedLinks[[2]string{a, b}] = true
			}
		}
	}
	disk := c.rng.IntN(3) == 0 // whether one disk is lost
	for end := c.now + span; c.now < end && c.failure == ""; {
		m := c.machines[c.addrs[c.rng.IntN(len(c.addrs))]]
		switch {
		case m.up && c.rng.IntN(3) == 0:
			c.logf("%s crashes in its half", m.addr)
			c.stop(m)
			if disk {
				disk = false
				c.logf("%s loses its disk", m.addr)
				c.loseDisk(m)
			}
		case !m.up:
			c.start(m)
		}
		c.run(time.Duration(c.rng.IntN(100)) * 5 * time.Millisecond)
	}
	c.logf("the partition heals")
	c.blockedLinks = map[[2]string]bool{}
}

// runHalfPartitionSimulation alternates partitions into halves with power losses of all machines, in which one may lose
// its disk.
func runHalfPartitionSimulation(t testing.TB, seed uint64, fault injectedBugs) *simulation {
	c := newSimulation(t, seed, 4+2*int(seed%3), fault)
	c.faultyMachine = "none" // no single machine loses power at random: all losses are injected here
	c.run(3 * time.Second)
	for round := 0; round < 5 && c.failure == ""; round++ {
		c.injectHalfPartition(time.Duration(100+c.rng.IntN(4000)) * time.Millisecond)
		c.restartAll()
		if c.rng.IntN(2) == 0 {
			c.injectPowerLoss(c.machines[c.addrs[c.rng.IntN(len(c.addrs))]])
			c.restartAll()
		}
		c.lagCheckedFrom = c.now + 2*maxFollowerLag
		c.checkProgress()
	}
	return c
}

// An even number of core nodes is partitioned into equal halves, while more are lost than the fault tolerance allows: no
// index is acknowledged twice, nothing acknowledged is lost, and no half returns a stale state.
func TestNoAcknowledgedWriteIsLostUnderHalfPartitions(t *testing.T) {
	t.Parallel()
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	writes, reads := 0, 0
	for i := range *halvesSimulations {
		c := runHalfPartitionSimulation(t, base+uint64(i), injectedBugs{})
		if c.failure != "" {
			t.Fatalf("seed %d, %d machines: %s\n%s", c.seed, len(c.addrs), c.failure, c.trace())
		}
		writes, reads = writes+c.writes, reads+c.reads
	}
	t.Logf("%d simulations: %d writes and %d reads acknowledged", *halvesSimulations, writes, reads)
	if writes < *halvesSimulations || reads < *halvesSimulations {
		t.Fatalf("only %d writes and %d reads were acknowledged, too few for a conclusion", writes, reads)
	}
}

func TestHalfPartitionSimulationDetectsInjectedBugs(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]injectedBugs{
		"read from an old tail":                      {readsWithoutConfirmation: true},
		"acknowledged by the head alone":             {acknowledgesEarly: true},
		"machine keeps its ID after losing its disk": {keepsIDAfterDiskLoss: true},
		"entries not on disk":                        {losesEntries: true},
		"stale feed from a partitioned source":       {servesStaleFeed: true, followerRegresses: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				if c := runHalfPartitionSimulation(t, seed+1, fault); c.failure != "" {
					return
				}
			}
			t.Fatal("not detected in 400 simulations")
		})
	}
}
