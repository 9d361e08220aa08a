package controlnode

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A contract simulation injects losses at the moment the contract permits them: a machine counts as lost
// while it is down, frozen or partitioned, for catch_up_s after it is back, and for as long after its start
// if it is new; one that is removed counts until its successor has had that time. As soon as fewer count than
// fault_tolerance permits, the next loss is injected. In each step the newest view must have a live majority
// and a live holder of all that was committed, and writes must be acknowledged.
var contractSimulations = flag.Int("contract", 16, "simulations of losses as soon as they are permitted")

// lossSlot is one of the losses that may be in progress: it is free again when nothing of it counts any more.
type lossSlot struct {
	machine     string        // that counts, empty for none
	until       time.Duration // the end of the fault
	countsUntil time.Duration // until then it counts, once the fault has ended
	end         func()        // ends the fault, nil once it has
	down        bool          // the fault keeps the machine down, and its end starts it
}

type contractSimulation struct {
	*simulation
	catchUp       time.Duration
	slots         []lossSlot
	addedMachines int
	lastAckAt     time.Duration
	ackedWrites   int
	checkedFrom   time.Duration // all were killed: no invariant of the living before it
	leaving       map[string]time.Duration
	replaced      map[string]bool // leave for good
	faultCounts   map[string]int
}

// maxWriteGap bounds how long no write may be acknowledged while no more are lost than the contract permits.
const maxWriteGap = 6 * time.Second

func newContractSimulation(t testing.TB, seed uint64, n, losses int, f plantedFaults) *contractSimulation {
	c := &contractSimulation{
		simulation:  newSimulationWith(t, seed, n, losses, drawnChainLength(seed, losses), f),
		catchUp:     4200 * time.Millisecond,
		slots:       make([]lossSlot, losses),
		leaving:     map[string]time.Duration{},
		replaced:    map[string]bool{},
		faultCounts: map[string]int{},
	}
	if losses > 1 {
		c.catchUp = 6 * time.Second
	}
	c.faultyMachine = "none" // no machine loses power by itself: this counts what is lost
	return c
}

func (c *contractSimulation) countsAsLost(addr string) bool {
	for _, s := range c.slots {
		if s.machine == addr {
			return true
		}
	}
	return false
}

// healthyMachines returns the machines at which a fault could be injected.
func (c *contractSimulation) healthyMachines() (all []string) {
	for _, a := range c.order {
		m := c.machines[a]
		if m.up && !m.frozen && !c.countsAsLost(a) && c.leaving[a] == 0 {
			all = append(all, a)
		}
	}
	return all
}

// runFaults injects a number of faults.
func (c *contractSimulation) runFaults(rounds int) {
	c.run(c.catchUp) // no loss is permitted before the members had their time
	c.lastAckAt = c.now
	for injected := 0; injected < rounds && c.failure == ""; {
		for i := range c.slots {
			if c.slots[i].machine == "" && c.failure == "" {
				c.injectFault(&c.slots[i])
				injected++
			}
		}
		c.advance()
	}
	for end := c.now + 2*c.catchUp + 8*time.Second; c.now < end && c.failure == ""; {
		c.advance()
	}
}

// advance moves time on, ends faults, and checks the invariant.
func (c *contractSimulation) advance() {
	c.step()
	if c.writes > c.ackedWrites {
		c.ackedWrites, c.lastAckAt = c.writes, c.now
	}
	for i := range c.slots {
		s := &c.slots[i]
		if s.machine == "" {
			continue
		}
		if s.end != nil && c.now >= s.until {
			s.countsUntil = c.now + c.catchUp
			s.end() // may say otherwise
			s.end = nil
		}
		if s.end == nil && c.now >= s.countsUntil {
			s.machine = ""
		}
	}
	for a, since := range c.leaving {
		m := c.machines[a]
		if m.up && (m.node.CanStop() || c.now-since > leaveTimeout || c.fault.stopsBeforeLeft) {
			c.logf("%s is stopped, it had left: %v", a, m.node.CanStop())
			c.stop(m)
			if c.replaced[a] {
				c.removeMachine(a)
			}
		}
	}
	c.checkInvariants()
}

// checkInvariants checks that, by the newest decided view, a majority of the voters is alive, and a member of the
// chain that has all that was committed.
func (c *contractSimulation) checkInvariants() {
	if c.now < c.checkedFrom || c.failure != "" {
		return
	}
	newest := c.newest
	liveVoters, hasLiveReplica := 0, false
	for _, a := range c.order {
		m := c.machines[a]
		if _, cut := c.partitioned[a]; !m.up || m.frozen || cut {
			continue
		}
		if newest.IsVoter(m.id) {
			liveVoters++
		}
		if i := newest.Position(m.id); i >= 0 && m.disk.State.ActivatedEpoch >= newest.Chain[i].JoinedEpoch {
			hasLiveReplica = true
		}
	}
	if liveVoters < newest.Majority() {
		c.failf("of %d voters of view %d only %d live", len(newest.Voters), newest.Epoch, liveVoters)
	}
	if !hasLiveReplica {
		c.failf("no member of view %d that has what was committed lives", newest.Epoch)
	}
	if c.now-c.lastAckAt > maxWriteGap {
		c.failf("no write was acknowledged for %v", maxWriteGap)
	}
}

// injectFault draws a machine and a fault.
func (c *contractSimulation) injectFault(s *lossSlot) {
	healthy := c.healthyMachines()
	if len(healthy) == 0 {
		return
	}
	a := healthy[c.rng.IntN(len(healthy))]
	if head := c.currentHead(); head != "" && c.rng.IntN(3) == 0 && slices.Contains(healthy, head) {
		a = head
	}
	m := c.machines[a]
	duration := time.Duration(50+c.rng.IntN(5000)) * time.Millisecond
	*s = lossSlot{machine: a, until: c.now + duration}
	kinds := []func(s *lossSlot, m *machine){
		c.kill, c.wipe, c.freeze, c.partition, c.restartGracefully, c.replace, c.replaceGracefully, c.killAll, c.addMachine,
	}
	if c.fault.keepsIDAfterDiskLoss { // found sooner where disks are lost again and again
		kinds = []func(s *lossSlot, m *machine){c.kill, c.wipe, c.killAll}
	}
	kinds[c.rng.IntN(len(kinds))](s, m)
}

func (c *contractSimulation) currentHead() string {
	for _, a := range c.order {
		if m := c.machines[a]; m.up && m.node.IsConfirmedHead() {
			return a
		}
	}
	return ""
}

func (c *contractSimulation) countFault(kind string) { c.faultCounts[kind]++ }

func (c *contractSimulation) kill(s *lossSlot, m *machine) {
	c.countFault("kill")
	c.logf("%s is killed", m.addr)
	c.stop(m)
	s.down = true
	s.end = func() { c.start(m); c.logf("%s starts", m.addr) }
}

func (c *contractSimulation) wipe(s *lossSlot, m *machine) {
	c.countFault("wipe")
	c.logf("%s loses its disk", m.addr)
	c.stop(m)
	m.disk = Durable{}
	if !c.fault.keepsIDAfterDiskLoss {
		m.id, m.incarnation = c.newID(), 0
	}
	s.down = true
	s.end = func() { c.start(m); c.logf("%s starts empty", m.addr) }
}

func (c *contractSimulation) freeze(s *lossSlot, m *machine) {
	c.countFault("freeze")
	c.logf("%s freezes", m.addr)
	m.frozen = true
	s.end = func() {
		if m.up {
			c.thaw(m)
		}
		c.logf("%s wakes", m.addr)
	}
}

func (c *contractSimulation) partition(s *lossSlot, m *machine) {
	c.countFault("cut")
	direction := c.rng.IntN(3)
	c.logf("%s is cut off, way %d", m.addr, direction)
	c.partitioned[m.addr] = direction
	s.end = func() { delete(c.partitioned, m.addr); c.logf("%s is joined again", m.addr) }
}

// restartGracefully stops a machine in order, and starts it again.
func (c *contractSimulation) restartGracefully(s *lossSlot, m *machine) {
	c.countFault("roll")
	c.logf("%s is stopped in order", m.addr)
	c.handleReady(m, m.node.StartLeaving(c.now))
	c.leaving[m.addr] = c.now
	s.down, s.until = true, max(s.until, c.now+leaveTimeout+200*time.Millisecond)
	s.end = func() {
		delete(c.leaving, m.addr)
		if m.up {
			c.stop(m)
		}
		c.start(m)
		c.logf("%s starts again", m.addr)
	}
}

func (c *contractSimulation) startNewMachine() *machine {
	c.addedMachines++
	addr := fmt.Sprintf("n%d", c.addedMachines)
	m := &machine{addr: addr, name: addr, id: c.newID()}
	c.machines[addr] = m
	c.order = append(c.order, addr)
	c.start(m)
	return m
}

func (c *contractSimulation) removeMachine(a string) {
	if m := c.machines[a]; m != nil && m.up {
		c.stop(m)
	}
	delete(c.leaving, a)
	c.order = slices.DeleteFunc(c.order, func(b string) bool { return a == b })
	delete(c.machines, a)
}

// replace removes a machine for good; an empty one comes a second later at another address.
func (c *contractSimulation) replace(s *lossSlot, m *machine) {
	c.countFault("replace")
	c.logf("%s is removed for good", m.addr)
	c.removeMachine(m.addr)
	s.until = c.now + time.Second
	s.end = func() { s.machine = c.startNewMachine().addr; c.logf("%s comes for %s", s.machine, m.addr) }
}

// replaceGracefully starts the new machine first; the old one is stopped in order a second later, or when the
// new one has had its time.
func (c *contractSimulation) replaceGracefully(s *lossSlot, m *machine) {
	c.countFault("replace planned")
	next := c.startNewMachine()
	began := c.now
	c.logf("%s comes to take over from %s", next.addr, m.addr)
	s.machine, s.until = next.addr, c.now+time.Second
	if c.rng.IntN(2) == 0 {
		s.until = c.now + c.catchUp // the next loss may come with the order to end
	}
	s.end = func() {
		c.logf("%s is stopped in order", m.addr)
		if m.up && c.machines[m.addr] == m {
			c.handleReady(m, m.node.StartLeaving(c.now))
			c.leaving[m.addr], c.replaced[m.addr] = c.now, true
		} else {
			c.removeMachine(m.addr)
		}
		s.countsUntil = began + c.catchUp // the old one counts until the new one has had its time
	}
}

// killAll ends all processes at one instant, whatever fault_tolerance permits. They come back within a
// second, with their disks.
func (c *contractSimulation) killAll(s *lossSlot, m *machine) {
	c.countFault("kill all")
	c.logf("all are killed")
	for _, a := range c.order {
		if one := c.machines[a]; one.up {
			c.stop(one)
			one.frozen = false
		}
	}
	for a := range c.replaced {
		c.removeMachine(a)
	}
	s.until = c.now + time.Duration(100+c.rng.IntN(900))*time.Millisecond
	c.checkedFrom = s.until + 3*time.Second
	c.lastAckAt, c.boundsFrom = c.checkedFrom, c.checkedFrom
	s.end = func() {
		for _, a := range c.order {
			if one := c.machines[a]; !one.up && !c.replaced[a] && c.leaving[a] == 0 && !c.willRestart(a, s) {
				c.start(one)
			}
		}
		c.logf("they start again")
	}
}

// willRestart reports whether another loss will start the machine again.
func (c *contractSimulation) willRestart(a string, but *lossSlot) bool {
	for i := range c.slots {
		if s := &c.slots[i]; s != but && s.machine == a && s.end != nil && s.down {
			return true
		}
	}
	return false
}

// addMachine adds a machine.
func (c *contractSimulation) addMachine(s *lossSlot, m *machine) {
	c.countFault("grow")
	next := c.startNewMachine()
	c.logf("%s is added", next.addr)
	s.machine, s.until = next.addr, c.now
	s.end = func() {}
}

func TestRandomLossesWithinContract(t *testing.T) {
	t.Parallel()
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	writes, faultCounts := 0, map[string]int{}
	for i := range *contractSimulations {
		c := newContractSimulationFromSeed(t, base+uint64(i), plantedFaults{})
		c.runFaults(12)
		if c.failure != "" {
			t.Fatalf("seed %d, %d machines, losses %d: %s\n%s", c.seed, c.initialMachines, c.faultTolerance, c.failure, c.trace())
		}
		writes += c.writes
		for kind, n := range c.faultCounts {
			faultCounts[kind] += n
		}
	}
	t.Logf("%d simulations, %d writes acknowledged, faults: %v", *contractSimulations, writes, faultCounts)
}

// Two views change within the time that followers have, and two of their sources do not answer.
func TestFollowersSurviveTwoViewChanges(t *testing.T) {
	t.Parallel()
	c := newContractSimulationFromSeed(t, 1796199225728843689, plantedFaults{})
	c.runFaults(12)
	if c.failure != "" {
		t.Errorf("%s\n%s", c.failure, c.trace())
	}
}

// Seeds in which a link of the chain lost its first update after a second without writes: the next was sent
// seconds later.
func TestUpdatesLostAfterIdleAreResentSoon(t *testing.T) {
	for seed, machines := range map[uint64]int{1796199634200714431: 5, 1796199634201552299: 4} {
		c := newSimulation(t, seed, machines, plantedFaults{})
		c.play(6)
		if c.failure != "" {
			t.Errorf("seed %d: %s\n%s", seed, c.failure, c.trace())
		}
	}
}

// newContractSimulationFromSeed draws the size of a simulation by its seed: losses of 1 and 2, 3 to 8 nodes.
func newContractSimulationFromSeed(t testing.TB, seed uint64, f plantedFaults) *contractSimulation {
	sizes := []struct{ n, losses int }{{3, 1}, {4, 1}, {5, 1}, {8, 1}, {5, 2}, {8, 2}}
	size := sizes[rand.New(rand.NewPCG(seed, 1)).IntN(len(sizes))]
	return newContractSimulation(t, seed, size.n, size.losses, f)
}

func TestSingleContractSeed(t *testing.T) {
	c := newContractSimulationFromSeed(t, *contractSeed, plantedFaults{})
	c.runFaults(12)
	if c.failure != "" {
		for _, a := range c.order {
			if m := c.machines[a]; m.up {
				n := m.node
				sent, ok := n.confirmedRoundSentAt()
				tail := n.peers[n.acceptor.View.Tail()]
				c.logf("%s(%s) frozen %v fresh %v epoch %d sealed %v known %v commit %d confirmed %v %v tail %v %+v",
					a, m.id, m.frozen, n.Fresh(), n.acceptor.View.Epoch, n.acceptor.HasPromised(), n.chain.CommitIsCurrent(), n.chain.State().Commit, sent, ok, n.acceptor.View.Tail(), tail)
			}
		}
		t.Fatalf("%s\n%s", c.failure, c.trace())
	}
}

var contractSeed = flag.Uint64("contract.seed", 1, "seed of the one simulation")

// Violations of the contract are found.
func TestContractCheckFindsPlantedFaults(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]plantedFaults{
		"a lost disk that comes back under its old id": {keepsIDAfterDiskLoss: true},
		"a member that leaves without a word":          {stopsBeforeLeft: true},
		"voters that are lost keep their votes":        {neverRemovesVoters: true},
		"an identity that is replaced keeps its vote":  {ignoresApplicants: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(200) {
				c := newContractSimulationFromSeed(t, seed+1, f)
				c.runFaults(12)
				if c.failure != "" {
					return
				}
			}
			t.Fatal("not found in 200 simulations")
		})
	}
}
