package controlnode

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// injectedBugs are bugs that the simulation adds to nodes and followers; its checks must detect each of them.
type injectedBugs struct {
	skipsSync                bool // the changes of a step reach the disk only with the next step
	sendsBeforeSync          bool // messages are sent before the sync
	keepsIDAfterDiskLoss     bool // a machine whose disk was lost returns with its old ID
	losesVotes               bool // promises and acceptances are not on disk
	readsWithoutConfirmation bool // reads are answered without asking a majority
	losesEntries             bool // the entries are not on disk, all other state is
	breaksPromises           bool // a voter forgets its promises
	readsUncommitted         bool // the head answers reads from uncommitted entries
	followerRegresses        bool // a follower that changes its source accepts any index, even a lower one
	servesStaleFeed          bool // a partitioned or lagging node tells followers that it is fresh
	acknowledgesEarly        bool // a write is acknowledged as soon as the head has it
	stopsBeforeLeft          bool // a member that shuts down gracefully does not wait until it has left
	neverRemovesVoters       bool // voters that do not answer are never removed
	ignoresApplicants        bool // a member that is not a voter never becomes one
	keepsReplacedRows        bool // entries that replace others at the same indexes are not on disk, until the node is activated in an epoch
	learnersAnswerAlone      bool // a learner answers followers without asking a majority
}

// runRandomFaults injects faults of single machines and some that affect all, with time to catch up in between.
func (c *simulation) runRandomFaults(rounds int) {
	c.run(800 * time.Millisecond)
	for range rounds {
		if c.failure != "" {
			return
		}
		c.injectRandomFault()
		c.restartAll()
		c.faultyMachine = ""
		c.checkProgress()
	}
}

// injectRandomFault draws a machine, a duration and a fault, and runs the fault.
func (c *simulation) injectRandomFault() {
	a := c.addrs[c.rng.IntN(len(c.addrs))]
	if c.faultyMachine != "" {
		a = c.faultyMachine
	}
	m := c.machines[a]
	c.faultyMachine = a
	span := time.Duration(100+c.rng.IntN(3500)) * time.Millisecond
	kind := c.rng.IntN(15)
	if c.bugs.losesVotes {
		kind = 12 // lost votes only matter if all restart repeatedly: otherwise other voters still have theirs
	}
	switch kind {
	case 0, 1:
		c.logf("%s is killed", a)
		if m.up {
			c.stop(m)
		}
		c.run(span)
	case 2:
		c.logf("%s loses its disk", a)
		if m.up {
			c.stop(m)
		}
		c.loseDisk(m)
		c.run(span)
	case 3:
		c.logf("%s freezes", a)
		m.frozen = true
		c.run(span)
		c.unfreeze(m)
		c.logf("%s resumes", a)
	case 4, 5, 6:
		c.injectPartition(a, span)
	case 7:
		c.injectPowerLoss(m)
	case 9, 10, 11:
		c.injectCrashLoop(m, span)
	case 12, 13:
		c.injectRandomCrashes(span)
	case 8:
		c.injectGracefulStop(m, span)
	case 14:
		c.injectHeadCrash(span)
	}
}

// loseDisk empties the disk of a machine that is down.
func (c *simulation) loseDisk(m *machine) {
	m.disk = simulatedDisk{}
	if !c.bugs.keepsIDAfterDiskLoss {
		m.id = c.newID()
	}
}

// injectPartition blocks the links of a machine in both directions, inbound or outbound.
func (c *simulation) injectPartition(a string, span time.Duration) {
	direction := c.rng.IntN(3) // 0 both, 1 inbound, 2 outbound
	c.logf("%s is partitioned, direction %d", a, direction)
	for _, b := range c.addrs {
		if b != a && direction != 1 {
			c.blockedLinks[[2]string{a, b}] = true
		}
		if b != a && direction != 2 {
			c.blockedLinks[[2]string{b, a}] = true
		}
	}
	c.run(span)
	c.blockedLinks = map[[2]string]bool{}
}

// injectPowerLoss stops all machines at the same time; one may lose its disk.
func (c *simulation) injectPowerLoss(m *machine) {
	c.logf("all lose power")
	c.lagCheckedFrom = c.now + 2*maxFollowerLag
	for _, b := range c.addrs {
		if c.machines[b].up {
			c.stop(c.machines[b])
		}
	}
	if c.rng.IntN(2) == 0 {
		c.logf("%s loses its disk", m.addr)
		c.loseDisk(m)
	}
}

// injectCrashLoop restarts one machine repeatedly; some of its links are blocked at random.
func (c *simulation) injectCrashLoop(m *machine, span time.Duration) {
	a := m.addr
	c.logf("%s is in a crash loop, with random partial partitions", a)
	for end := c.now + span; c.now < end && c.failure == ""; {
		if m.up {
			c.stop(m)
		}
		c.run(time.Duration(c.rng.IntN(40)) * 5 * time.Millisecond)
		if !m.up {
			c.start(m)
		}
		c.blockedLinks = map[[2]string]bool{}
		if b := c.addrs[c.rng.IntN(len(c.addrs))]; b != a && c.rng.IntN(2) == 0 {
			c.blockedLinks[[2]string{b, a}] = c.rng.IntN(2) == 0
			c.blockedLinks[[2]string{a, b}] = true
		}
		c.run(time.Duration(c.rng.IntN(200)) * 5 * time.Millisecond)
	}
	c.blockedLinks = map[[2]string]bool{}
}

// injectRandomCrashes crashes and restarts all machines repeatedly and independently; messages with decided views may be
// lost.
func (c *simulation) injectRandomCrashes(span time.Duration) {
	c.dropsDecisions = c.rng.IntN(2) == 0
	c.logf("all machines crash and restart independently; decided views are lost: %v", c.dropsDecisions)
	c.lagCheckedFrom = time.Hour
	steps := 60 * (1 + 3*c.rng.IntN(2)) // mean number of steps between crashes: 0.3 or 1.2 s
	if c.bugs.losesVotes {
		steps = 240
	}
	for end := c.now + span; c.now < end && c.failure == ""; {
		for _, b := range c.addrs {
			m := c.machines[b]
			switch {
			case m.up && c.rng.IntN(steps) == 0:
				c.stop(m)
			case !m.up && c.rng.IntN(20) == 0:
				c.start(m)
			}
		}
		c.step()
	}
	c.dropsDecisions = false
	c.lagCheckedFrom = c.now + 2*maxFollowerLag
}

// injectHeadCrash kills the head while entries are on its disk alone, and restarts it a few times: it may be outside the
// chain when it returns, and receive others at the same indexes.
func (c *simulation) injectHeadCrash(span time.Duration) {
	for _, a := range c.addrs {
		head := c.machines[a]
		if !head.up || !head.node.IsConfirmedHead() {
			continue
		}
		c.faultyMachine = a
		c.logf("the head %s is killed with entries that reached no other node", a)
		c.isolate(a)
		for range 1 + c.rng.IntN(3) {
			if head.up {
				c.write(head)
			}
		}
		if head.up {
			c.stop(head)
		}
		c.blockedLinks = map[[2]string]bool{}
		c.run(span)
		for range 1 + c.rng.IntN(3) {
			if !head.up {
				c.start(head)
			}
			c.run(time.Duration(c.rng.IntN(300)) * 5 * time.Millisecond)
			if head.up {
				c.stop(head)
			}
		}
		return
	}
}

// isolate blocks the links from a machine to all others, and drops what it has sent.
func (c *simulation) isolate(a string) {
	for _, b := range c.addrs {
		c.blockedLinks[[2]string{a, b}] = true
	}
	c.queue = slices.DeleteFunc(c.queue, func(p packet) bool { return p.from == a })
}

// injectGracefulStop shuts a machine down gracefully.
func (c *simulation) injectGracefulStop(m *machine, span time.Duration) {
	c.logf("%s shuts down gracefully", m.addr)
	if m.up {
		c.handleReady(m, m.node.StartLeaving(c.now))
		c.run(300 * time.Millisecond)
		if m.up {
			c.stop(m)
		}
	}
	c.run(span)
}

// restartAll starts all machines, and gives them time to catch up. Meanwhile a machine may lose power before a sync.
func (c *simulation) restartAll() {
	for down := true; down; {
		down = false
		for _, b := range c.addrs {
			if m := c.machines[b]; !m.up {
				c.start(m)
			}
		}
		c.run(4200 * time.Millisecond)
		for _, b := range c.addrs {
			down = down || !c.machines[b].up
		}
	}
}

func TestNoAcknowledgedWriteIsLostUnderRandomFaults(t *testing.T) {
	t.Parallel()
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	writes, reads := 0, 0
	for i := range *simulations {
		c := newSimulation(t, base+uint64(i), 3+i%3, injectedBugs{})
		c.runRandomFaults(6)
		if c.failure != "" {
			t.Fatalf("seed %d, %d machines: %s\n%s", c.seed, len(c.addrs), c.failure, c.trace())
		}
		writes, reads = writes+c.writes, reads+c.reads
	}
	t.Logf("%d simulations: %d writes and %d reads acknowledged", *simulations, writes, reads)
	if writes < *simulations || reads < *simulations {
		t.Fatalf("only %d writes and %d reads were acknowledged in %d simulations, too few for a conclusion", writes, reads, *simulations)
	}
}

func TestSimulationDetectsInjectedBugs(t *testing.T) {
	t.Parallel()
	wants := map[string]string{"follower accepts any source's index": "follower regresses"} // others may be detected in several ways
	for name, f := range map[string]injectedBugs{
		"skipped sync":                               {skipsSync: true},
		"messages before the sync":                   {sendsBeforeSync: true},
		"machine keeps its ID after losing its disk": {keepsIDAfterDiskLoss: true},
		"votes not on disk":                          {losesVotes: true},
		"read from an old tail":                      {readsWithoutConfirmation: true},
		"entries not on disk":                        {losesEntries: true},
		"acknowledged by the head alone":             {acknowledgesEarly: true},
		"broken promise":                             {breaksPromises: true},
		"read of uncommitted entries":                {readsUncommitted: true},
		"follower accepts any source's index":        {followerRegresses: true, servesStaleFeed: true},
		"stale feed from a partitioned source":       {servesStaleFeed: true},
		"stale feed from a partitioned learner":      {learnersAnswerAlone: true},
		"replaced entries of a learner on disk":      {keepsReplacedRows: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(600) {
				c := newSimulation(t, seed+1, 3+int(seed%3), f)
				c.runRandomFaults(8)
				if strings.Contains(c.failure, wants[name]) && c.failure != "" {
					return
				}
			}
			t.Fatal("not detected in 600 simulations")
		})
	}
}
