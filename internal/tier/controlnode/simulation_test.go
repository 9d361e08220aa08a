package controlnode

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/view"
)

// simulations is the number of simulations of TestNoAcknowledgedWriteIsLostUnderRandomFaults. A simulation runs core nodes
// in virtual time, without sleeping: machines crash, lose power or disks, freeze, are partitioned (also one way) and
// replaced, while an operator writes and reads through any of them.
var simulations = flag.Int("courses", 100, "number of simulations with random faults")

type machine struct {
	addr         string
	name         string
	node         *Node
	disk         simulatedDisk
	id           string
	incarnation  int64
	up           bool
	frozen       bool
	unsynced     *Durable  // with the bug skipsSync: the state that is not on disk yet
	checkedEpoch *int64    // the epoch of the view that was last compared with other nodes
	inbox        []Message // messages that arrived while the machine was frozen
}

// packet is a message in flight.
type packet struct {
	at   time.Duration // when it arrives
	to   string
	from string
	m    Message
	seq  int
}

type simulation struct {
	t               testing.TB
	seed            uint64
	rng             *rand.Rand
	now             time.Duration
	machines        map[string]*machine
	addrs           []string
	queue           []packet
	seq             int
	blockedLinks    map[[2]string]bool // from, to
	partitioned     map[string]int     // machines partitioned from all others: 0 both ways, 1 inbound, 2 outbound
	bugs            injectedBugs
	log             []string
	ids             int
	views           map[int64]string // the decided view of each epoch, as text
	noRandomFaults  bool             // no messages are lost or delayed by more than 6 ms at random, and no machine loses power
	latency         time.Duration    // of each message, in addition to a random delay
	dropsDecisions  bool             // messages with a decided view are lost
	faultyMachine   string           // the one machine that may be faulty now, until all have caught up; empty for none
	faultTolerance  int
	chainLength     int       // of NodeSettings
	initialMachines int       // machines at the start
	newest          view.View // the newest decided view

	requestID      int64
	pending        map[int64]request
	ackedIndex     int64            // the highest acknowledged index
	values         map[int64]string // the acknowledged values by index
	followers      []*follower
	recentAcks     []acknowledgement // not older than maxFollowerLag: followers may not have them yet
	lagCheckedFrom time.Duration     // the lag of followers is not checked before this time
	reads          int
	writes         int
	failure        string
}

type request struct {
	write bool
	value string
	at    int64  // the acknowledged index when a read was sent
	by    string // the address of the machine that handles the request
}

func newSimulation(t testing.TB, seed uint64, n int, f injectedBugs) *simulation {
	return newSimulationWith(t, seed, n, 1, chainLengthForSeed(seed, 1), f)
}

// chainLengthForSeed returns the chain length for a seed: in a third of the simulations all voters are in the chain.
func chainLengthForSeed(seed uint64, losses int) int {
	if seed%3 == 0 {
		return 0
	}
	return ChainLength(losses)
}

func newSimulationWith(t testing.TB, seed uint64, n, losses, chainLength int, f injectedBugs) *simulation {
	c := &simulation{
		initialMachines: n,
		t:               t,
		seed:            seed,
		rng:             rand.New(rand.NewPCG(seed, 7)),
		machines:        map[string]*machine{},
		blockedLinks:    map[[2]string]bool{},
		partitioned:     map[string]int{},
		bugs:            f,
		pending:         map[int64]request{},
		values:          map[int64]string{},
		views:           map[int64]string{},
		faultTolerance:  losses,
		chainLength:     chainLength,
	}
	var seeds []view.Member
	for i := range n {
		addr := fmt.Sprintf("m%d", i)
		c.machines[addr] = &machine{addr: addr, name: addr}
		c.addrs = append(c.addrs, addr)
		if i < 3 {
			seeds = append(seeds, view.Member{ID: "seed-" + addr, Addr: addr})
		}
	}
	for i, addr := range c.addrs {
		m := c.machines[addr]
		if i < 3 {
			m.id = "seed-" + addr
			m.disk.save(BootstrapState(seeds), injectedBugs{})
		} else {
			m.id = c.newID()
		}
		c.start(m)
	}
	for i := range 4 {
		c.followers = append(c.followers, &follower{source: i})
	}
	return c
}

func (c *simulation) newID() string { c.ids++; return fmt.Sprintf("id%d", c.ids) }

func (c *simulation) logf(format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf("%8.3f ", c.now.Seconds())+fmt.Sprintf(format, args...))
}

func (c *simulation) failf(format string, args ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, args...)
		c.logf("FAIL %s", c.failure)
	}
}

func (c *simulation) start(m *machine) {
	m.up, m.frozen, m.unsynced, m.checkedEpoch, m.inbox = true, false, nil, nil, nil
	m.incarnation++
	d := m.disk.open()
	var seeds []string
	for _, a := range c.addrs {
		if len(seeds) < 3 && (m.incarnation > 1 || a != m.addr || len(c.addrs) <= c.initialMachines) {
			seeds = append(seeds, a)
		}
	}
	m.node = NewNode(NodeSettings{
		Self:           view.Member{ID: m.id, Name: m.name, Addr: m.addr},
		Incarnation:    m.incarnation,
		Seeds:          seeds,
		FaultTolerance: c.faultTolerance,
		ChainLength:    c.chainLength,
		Timings:        c.timings(),
	}, d, c.now)
}

func (c *simulation) timings() Timings {
	t := DefaultTimings()
	if c.bugs.neverRemovesVoters {
		t.FailureTimeout = time.Hour
	}
	return t
}

func (c *simulation) stop(m *machine) {
	m.up, m.node = false, nil
	for requestID, r := range c.pending {
		if r.by == m.addr {
			delete(c.pending, requestID)
		}
	}
}

// unfreeze resumes a frozen machine: it first receives the messages that waited for it.
func (c *simulation) unfreeze(m *machine) {
	m.frozen = false
	in := m.inbox
	m.inbox = nil
	for _, one := range in {
		if m.up {
			c.handleReady(m, m.node.Receive(c.now, one))
		}
	}
}

func (c *simulation) save(m *machine, d Durable) {
	d.State.Entries = slices.Clone(d.State.Entries)
	if c.bugs.losesVotes {
		d.Acceptor.Promised, d.Acceptor.AcceptedBallot, d.Acceptor.Accepted = view.Ballot{}, view.Ballot{}, view.View{}
	}
	if c.bugs.losesEntries {
		d.State.Entries, d.State.LastIndex, d.State.Commit = nil, 0, 0
	}
	if c.bugs.skipsSync {
		if m.unsynced != nil {
			m.disk.save(*m.unsynced, c.bugs)
		}
		m.unsynced = &d
		return
	}
	m.disk.save(d, c.bugs)
}

// handleReady handles a Ready as Server does. The machine may lose power between the change and the sync.
func (c *simulation) handleReady(m *machine, o Ready) {
	if o.MustSync {
		mayFail := c.faultyMachine == "" || c.faultyMachine == m.addr // only one machine fails at a time
		if !c.noRandomFaults && c.rng.IntN(400) == 0 && mayFail && !c.bugs.sendsBeforeSync {
			c.faultyMachine = m.addr
			c.logf("%s loses power before its sync", m.addr)
			c.stop(m)
			return
		}
		if c.bugs.sendsBeforeSync && c.rng.IntN(60) == 0 && mayFail {
			c.faultyMachine = m.addr
			c.deliver(m, o)
			c.logf("%s loses power before its sync", m.addr)
			c.stop(m)
			return
		}
		c.save(m, m.node.Durable())
	}
	if c.bugs == (injectedBugs{}) { // the effects of bugs on callers must be detected
		c.checkDisk(m)
	}
	c.checkAgreement(m)
	if c.bugs.breaksPromises {
		m.node.acceptor.Promised = view.Ballot{}
	}
	c.deliver(m, o)
}

func (c *simulation) deliver(m *machine, o Ready) {
	for _, e := range o.Messages {
		if !c.noRandomFaults && c.rng.IntN(50) == 0 || c.dropsDecisions && e.Kind == msgDecide {
			continue // lost
		}
		if to := c.machines[e.To]; c.bugs.ignoresApplicants && to != nil && !c.newest.IsVoter(m.id) && e.Kind == msgHeartbeat {
			continue
		}
		c.seq++
		delay := time.Duration(1+c.rng.IntN(6)) * time.Millisecond
		if !c.noRandomFaults && c.rng.IntN(100) == 0 {
			delay *= 60
		}
		c.queue = append(c.queue, packet{at: c.now + c.latency + delay, to: e.To, from: m.addr, m: e.Message, seq: c.seq})
	}
	for _, d := range o.Completed {
		r, ok := c.pending[d.RequestID]
		if !ok {
			continue
		}
		delete(c.pending, d.RequestID)
		if d.Outcome != Committed {
			continue
		}
		if r.write {
			c.acknowledge(d.Index, r.value)
			continue
		}
		c.reads++
		if d.Index < r.at {
			c.failf("a read at %s returned index %d, but %d was acknowledged before", m.addr, d.Index, r.at)
		}
		c.checkCommitted(m, d.Index)
	}
}

func (c *simulation) write(m *machine) {
	c.requestID++
	value := fmt.Sprintf("v%d", c.requestID)
	c.pending[c.requestID] = request{write: true, value: value, by: m.addr}
	o := m.node.Write(c.now, c.requestID, "config", []byte(value))
	if c.bugs.acknowledgesEarly && o.MustSync {
		if r, ok := c.pending[c.requestID]; ok {
			delete(c.pending, c.requestID)
			c.acknowledge(m.node.Chain().State().LastIndex, r.value)
		}
	}
	c.handleReady(m, o)
}

func (c *simulation) read(m *machine) {
	c.requestID++
	if v := m.node.View(); c.bugs.readsWithoutConfirmation && v.Tail() == m.id && m.node.Chain().IsActive() {
		c.pending[c.requestID] = request{at: c.ackedIndex, by: m.addr}
		c.deliver(m, Ready{Completed: []Completion{{RequestID: c.requestID, Outcome: Committed, Index: m.node.Chain().State().Commit}}})
		return
	}
	if e, ok := m.node.Chain().LastEntry("config"); c.bugs.readsUncommitted && ok && m.node.IsConfirmedHead() {
		c.acknowledge(e.Index, string(e.Value))
		return
	}
	c.pending[c.requestID] = request{at: c.ackedIndex, by: m.addr}
	c.handleReady(m, m.node.ReadIndex(c.now, c.requestID))
}

func (c *simulation) connected(from, to string) bool {
	out, cutFrom := c.partitioned[from]
	in, cutTo := c.partitioned[to]
	return !c.blockedLinks[[2]string{from, to}] && !(cutFrom && out != 1) && !(cutTo && in != 2)
}

// step advances time by 5 ms: nodes receive messages that have arrived and tick, operators write and read, and followers
// poll.
func (c *simulation) step() {
	c.now += 5 * time.Millisecond
	slices.SortStableFunc(c.queue, func(a, b packet) int { return int(a.at - b.at) })
	for len(c.queue) > 0 && c.queue[0].at <= c.now {
		p := c.queue[0]
		c.queue = c.queue[1:]
		m := c.machines[p.to]
		if m == nil || !m.up || !c.connected(p.from, p.to) {
			continue
		}
		if m.frozen {
			m.inbox = append(m.inbox, p.m)
			continue
		}
		c.handleReady(m, m.node.Receive(c.now, p.m))
	}
	for _, a := range c.addrs {
		m := c.machines[a]
		if m == nil || !m.up || m.frozen {
			continue
		}
		if c.now%(50*time.Millisecond) == 0 {
			c.handleReady(m, m.node.Tick(c.now))
		}
		if m.up && c.rng.IntN(30) == 0 {
			c.write(m)
		}
		if m.up && c.rng.IntN(30) == 0 {
			c.read(m)
		}
		if m.up && m.node.Fresh() {
			c.checkCommitted(m, 0)
		}
	}
	for _, f := range c.followers {
		c.pollSource(f)
	}
	c.checkFollowerLag()
}

func (c *simulation) run(d time.Duration) {
	for end := c.now + d; c.now < end && c.failure == ""; {
		c.step()
	}
}

func (c *simulation) trace() string { return strings.Join(c.log, "\n") }
