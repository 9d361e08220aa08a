package controlnode

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// contractSimulations simulate losses that occur as soon as the fault-tolerance contract permits them. A machine counts
// as lost while it is down, frozen or partitioned, for catch_up_s after its return, and for catch_up_s after its first
// start if it is new; a removed machine counts until its successor has had that time. As soon as fewer machines count
// as lost than fault_tolerance permits, the next loss is injected. In each step the newest view must have a live
// majority and a live replica of all committed entries, and writes must be acknowledged.
var contractSimulations = flag.Int("contract", 16, "simulations of losses that occur as soon as the contract permits them")

// lossSlot is one of the losses that may be in progress. It is free again once its machine no longer counts as lost.
type lossSlot struct {
	machine     string        // address of the machine that counts as lost, empty for none
	until       time.Duration // the end of the fault
	countsUntil time.Duration // the machine counts as lost until then, once the fault has ended
	end         func()        // ends the fault, nil once that is done
	down        bool          // the fault keeps the machine down, and end starts it
}

// contractSimulation is one of the contractSimulations: it injects the losses and checks the invariants.
type contractSimulation struct {
	*simulation
	catchUp       time.Duration // catch_up_s
	slots         []lossSlot
	addedMachines int
	lastAckAt     time.Duration
	ackedWrites   int
	checkedFrom   time.Duration            // no invariants are checked before, after all machines were killed
	leaving       map[string]time.Duration // by address, when the graceful shutdown began
	replaced      map[string]bool          // machines that leave for good
	faultCounts   map[string]int
}

// maxWriteGap is the longest time without an acknowledged write while no more machines are lost than the contract
// permits.
const maxWriteGap = 6 * time.Second

func newContractSimulation(t testing.TB, seed uint64, n, losses int, f injectedBugs) *contractSimulation {
	c := &contractSimulation{
		simulation:  newSimulationWith(t, seed, n, losses, chainLengthForSeed(seed, losses), f),
		catchUp:     4200 * time.Millisecond,
		slots:       make([]lossSlot, losses),
		leaving:     map[string]time.Duration{},
		replaced:    map[string]bool{},
		faultCounts: map[string]int{},
	}
	if losses > 1 {
		c.catchUp = 6 * time.Second
	}
	c.faultyMachine = "none" // the base simulation injects no power losses: this one counts the lost machines
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

// healthyMachines returns the machines that a fault may be injected into.
func (c *contractSimulation) healthyMachines() (all []string) {
	for _, a := range c.addrs {
		m := c.machines[a]
		if m.up && !m.frozen && !c.countsAsLost(a) && c.leaving[a] == 0 {
			all = append(all, a)
		}
	}
	return all
}

// runFaults injects a number of faults.
func (c *contractSimulation) runFaults(rounds int) {
	c.run(c.catchUp) // no loss is permitted before the members have had catch_up_s
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

// advance advances the time, ends faults, and checks the invariants.
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
			s.end() // may set another countsUntil
			s.end = nil
		}
		if s.end == nil && c.now >= s.countsUntil {
			s.machine = ""
		}
	}
	for a, since := range c.leaving {
		m := c.machines[a]
		if m.up && (m.node.CanStop() || c.now-since > leaveTimeout(gracePeriod) || c.bugs.stopsBeforeLeft) {
			c.logf("%s is stopped, it has left the view: %v", a, m.node.CanStop())
			c.stop(m)
			if c.replaced[a] {
				c.removeMachine(a)
			}
		}
	}
	c.checkInvariants()
}

// checkInvariants checks that a majority of the voters of the newest decided view is alive, and a chain member that has
// all committed entries.
func (c *contractSimulation) checkInvariants() {
	if c.now < c.checkedFrom || c.failure != "" {
		return
	}
	newest := c.newest
	liveVoters, hasLiveReplica := 0, false
	for _, a := range c.addrs {
		m := c.machines[a]
		if _, cut := c.partitioned[a]; !m.up || m.frozen || cut {
			continue
		}
		if newest.IsVoter(m.id) {
			liveVoters++
		}
		if i := newest.Position(m.id); i >= 0 && m.disk.state.State.ActivatedEpoch >= newest.Chain[i].JoinedEpoch {
			hasLiveReplica = true
		}
	}
	if liveVoters < newest.Majority() {
		c.failf("of %d voters of view %d only %d are alive", len(newest.Voters), newest.Epoch, liveVoters)
	}
	if !hasLiveReplica {
		c.failf("no chain member of view %d that has all committed entries is alive", newest.Epoch)
	}
	if c.now-c.lastAckAt > maxWriteGap {
		c.failf("no write was acknowledged for %v", maxWriteGap)
	}
}

// injectFault injects a random fault into a random machine.
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
	if c.bugs.keepsIDAfterDiskLoss { // repeated disk losses find this planted bug sooner
		kinds = []func(s *lossSlot, m *machine){c.kill, c.wipe, c.killAll}
	}
	kinds[c.rng.IntN(len(kinds))](s, m)
}

func (c *contractSimulation) currentHead() string {
	for _, a := range c.addrs {
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
	m.disk = simulatedDisk{}
	if !c.bugs.keepsIDAfterDiskLoss {
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
			c.unfreeze(m)
		}
		c.logf("%s resumes", m.addr)
	}
}

func (c *contractSimulation) partition(s *lossSlot, m *machine) {
	c.countFault("cut")
	direction := c.rng.IntN(3)
	c.logf("%s is partitioned, direction %d", m.addr, direction)
	c.partitioned[m.addr] = direction
	s.end = func() { delete(c.partitioned, m.addr); c.logf("the partition of %s heals", m.addr) }
}

// restartGracefully shuts a machine down gracefully, and starts it again.
func (c *contractSimulation) restartGracefully(s *lossSlot, m *machine) {
	c.countFault("roll")
	c.logf("%s shuts down gracefully", m.addr)
	c.handleReady(m, m.node.StartLeaving(c.now))
	c.leaving[m.addr] = c.now
	s.down, s.until = true, max(s.until, c.now+leaveTimeout(gracePeriod)+200*time.Millisecond)
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
	c.addrs = append(c.addrs, addr)
	c.start(m)
	return m
}

func (c *contractSimulation) removeMachine(a string) {
	if m := c.machines[a]; m != nil && m.up {
		c.stop(m)
	}
	delete(c.leaving, a)
	c.addrs = slices.DeleteFunc(c.addrs, func(b string) bool { return a == b })
	delete(c.machines, a)
}

// replace removes a machine for good; an empty one starts a second later at another address.
func (c *contractSimulation) replace(s *lossSlot, m *machine) {
	c.countFault("replace")
	c.logf("%s is removed for good", m.addr)
	c.removeMachine(m.addr)
	s.until = c.now + time.Second
	s.end = func() {
		s.machine = c.startNewMachine().addr
		c.logf("%s starts as replacement of %s", s.machine, m.addr)
	}
}

// replaceGracefully starts the new machine first; the old one shuts down gracefully a second later, or once the new one
// has had catch_up_s.
func (c *contractSimulation) replaceGracefully(s *lossSlot, m *machine) {
	c.countFault("replace gracefully")
	next := c.startNewMachine()
	began := c.now
	c.logf("%s starts to replace %s", next.addr, m.addr)
	s.machine, s.until = next.addr, c.now+time.Second
	if c.rng.IntN(2) == 0 {
		s.until = c.now + c.catchUp // the next loss may coincide with the shutdown
	}
	s.end = func() {
		c.logf("%s shuts down gracefully", m.addr)
		if m.up && c.machines[m.addr] == m {
			c.handleReady(m, m.node.StartLeaving(c.now))
			c.leaving[m.addr], c.replaced[m.addr] = c.now, true
		} else {
			c.removeMachine(m.addr)
		}
		s.countsUntil = began + c.catchUp // the old one counts as lost until the new one has had catch_up_s
	}
}

// killAll kills all machines at the same instant, whatever fault_tolerance permits. They restart within a second, with
// their disks.
func (c *contractSimulation) killAll(s *lossSlot, m *machine) {
	c.countFault("kill all")
	c.logf("all machines are killed")
	for _, a := range c.addrs {
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
	c.lastAckAt, c.lagCheckedFrom = c.checkedFrom, c.checkedFrom
	s.end = func() {
		for _, a := range c.addrs {
			if one := c.machines[a]; !one.up && !c.replaced[a] && c.leaving[a] == 0 && !c.willRestart(a, s) {
				c.start(one)
			}
		}
		c.logf("all machines start again")
	}
}

// willRestart reports whether another loss will start the machine again.
func (c *contractSimulation) willRestart(a string, except *lossSlot) bool {
	for i := range c.slots {
		if s := &c.slots[i]; s != except && s.machine == a && s.end != nil && s.down {
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
		c := newContractSimulationFromSeed(t, base+uint64(i), injectedBugs{})
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

// Two view changes occur within the followers' time to catch up, and two of their sources do not answer.
func TestFollowersSurviveTwoViewChanges(t *testing.T) {
	t.Parallel()
	c := newContractSimulationFromSeed(t, 1796199225728843689, injectedBugs{})
	c.runFaults(12)
	if c.failure != "" {
		t.Errorf("%s\n%s", c.failure, c.trace())
	}
}

// Guards against a core that is left without a majority: a voter is told to end while two others are lost, and ends before the
// others have agreed on a view without it.
func TestLeavingVoterWaitsForViewDespiteLosses(t *testing.T) {
	t.Parallel()
	c := newContractSimulationFromSeed(t, 1796393615800047109, injectedBugs{})
	c.runFaults(12)
	if c.failure != "" {
		t.Errorf("%s\n%s", c.failure, c.trace())
	}
}

// An update that was lost after a second without writes was resent only seconds later. In these seeds a chain link
// loses such an update.
func TestUpdatesLostAfterIdleAreResentSoon(t *testing.T) {
	for seed, machines := range map[uint64]int{1796199634200714431: 5, 1796199634201552299: 4} {
		c := newSimulation(t, seed, machines, injectedBugs{})
		c.runRandomFaults(6)
		if c.failure != "" {
			t.Errorf("seed %d: %s\n%s", seed, c.failure, c.trace())
		}
	}
}

// newContractSimulationFromSeed returns a simulation whose size depends on its seed: 3 to 8 nodes, a fault tolerance of
// 1 or 2.
func newContractSimulationFromSeed(t testing.TB, seed uint64, f injectedBugs) *contractSimulation {
	sizes := []struct{ n, losses int }{{3, 1}, {4, 1}, {5, 1}, {8, 1}, {5, 2}, {8, 2}}
	size := sizes[rand.New(rand.NewPCG(seed, 1)).IntN(len(sizes))]
	return newContractSimulation(t, seed, size.n, size.losses, f)
}

// TestSingleContractSeed runs the simulation of the seed that the flag contract.seed selects.
func TestSingleContractSeed(t *testing.T) {
	c := newContractSimulationFromSeed(t, *contractSeed, injectedBugs{})
	c.runFaults(12)
	if c.failure != "" {
		for _, a := range c.addrs {
			if m := c.machines[a]; m.up {
				n := m.node
				sent, ok := n.confirmedRoundSentAt()
				tail := n.peers[n.acceptor.View.Tail()]
				c.logf("%s(%s) frozen %v fresh %v epoch %d promised %v commit current %v commit %d confirmed %v %v tail %v %+v",
					a, m.id, m.frozen, n.Fresh(), n.acceptor.View.Epoch, n.acceptor.HasPromised(), n.chain.CommitIsCurrent(), n.chain.State().Commit, sent, ok, n.acceptor.View.Tail(), tail)
			}
		}
		t.Fatalf("%s\n%s", c.failure, c.trace())
	}
}

var contractSeed = flag.Uint64("contract.seed", 1, "seed of the simulation of TestSingleContractSeed")

// The simulation finds planted violations of the contract.
func TestContractCheckFindsPlantedFaults(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]injectedBugs{
		"a node that keeps its ID after a disk loss":   {keepsIDAfterDiskLoss: true},
		"a member that stops without leaving the view": {stopsBeforeLeft: true},
		"lost voters keep their votes":                 {neverRemovesVoters: true},
		"a replaced identity keeps its vote":           {ignoresApplicants: true},
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
			t.Fatal("the planted fault was not found in 200 simulations")
		})
	}
}
