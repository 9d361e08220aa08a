package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The model simulates three to seven machines with a core node each. Links lose, delay, duplicate and so reorder messages, and
// are cut in one direction or both. Machines freeze, are killed, lose their disks and shut down gracefully. Views are decided by
// single-decree Paxos with durable promises, and every node drives a Lease and calls a platform while it has a Grant. The
// simulation runs in true time; each node reads its own clock, which drifts. At the end of a run there are no faults: then the
// head must get the lease, and must be able to hand it over.
const (
	maxThreadDelay = time.Millisecond // until a thread of a resumed process runs; twice that for a sending thread

	faultPhase        = 20 * time.Second
	convergence       = 4 * time.Second      // after the faults, until the head no longer changes
	maxFaultFreeDelay = 4 * time.Millisecond // one-way, of a message without faults
	faultFreeRounds   = 4                    // without faults, a head holds the lease within this many rounds after its wait
	handoverDelays    = 8                    // a planned hand-over takes at most this many one-way delays and a round

	minElectionTimeout          = 400 * time.Millisecond
	maxFaultFreeElectionTimeout = 1200 * time.Millisecond
)

// faultClass is a set of kinds of faults. A run that violates an invariant is shrunk by leaving kinds out.
type faultClass uint

const (
	freezes faultClass = 1 << iota
	kills
	lostDisks
	leaves
	cuts
	losses
	slowLinks
	slowReleases
	slowCalls
	replacements
	drift
	allFaultClasses = 1<<iota - 1
)

var faultClassNames = []string{"freezes", "kills", "lost disks", "leaves", "cuts", "losses", "slow links", "slow releases", "slow calls",
	"replaced voters", "drift"}

// String returns the names of the kinds in the set.
func (c faultClass) String() string {
	var names []string
	for i, name := range faultClassNames {
		if c&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return fmt.Sprint(names)
}

// event is a scheduled function call. An event of a machine is delayed while the machine is frozen, and dropped once its
// incarnation has ended.
type event struct {
	at          time.Duration
	order       int
	machine     *node         // nil for an event of the simulation itself
	incarnation int           // of the machine; 0 for a message, which any incarnation receives
	clock       time.Duration // clock value that the machine read before it froze; 0 for none
	do          func()
}

// eventQueue is a heap of events by time.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

// Less orders events by time, and events of the same time by the order in which they were scheduled.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is one run of the model.
type simulation struct {
	rng     *rand.Rand
	classes faultClass
	planted plantedFault // fault that the run must detect; empty for none

	now       time.Duration
	faultFree bool
	queue     eventQueue
	events    int

	profile   profile
	params    Params
	tokenBase int64
	interval  time.Duration // between confirmation rounds, and observations
	linkDelay time.Duration // maximum one-way delay, apart from slow links
	// maxElectionTimeout bounds how long a node waits before it proposes another view.
	maxElectionTimeout time.Duration

	nodes        []*node
	cutUntil     map[[2]int]time.Duration // by sender and receiver
	platform     platform
	decided      map[int64]modelView
	checks       checks
	stats        stats
	violation    string
	violatedAt   time.Duration
	trace        []string // nil unless enabled
	traceEnabled bool
}

// stats counts events, to show that the runs cover the cases that they should.
type stats struct {
	views, calls, accepted, refused, releases, heldAfterRelease, slowCalls int
}

func (s *stats) add(o stats) {
	s.views += o.views
	s.calls += o.calls
	s.accepted += o.accepted
	s.refused += o.refused
	s.releases += o.releases
	s.heldAfterRelease += o.heldAfterRelease
	s.slowCalls += o.slowCalls
}

func newSimulation(seed uint64, classes faultClass, planted plantedFault, tracing bool) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 0)), classes: classes, planted: planted, traceEnabled: tracing,
		params:   Params{Term: testTerm, MaxDrift: DefaultMaxDrift},
		cutUntil: map[[2]int]time.Duration{}, decided: map[int64]modelView{},
	}
	sim.checks.init(sim)
	sim.tokenBase = int64(sim.rng.IntN(3)) * 1_000_000
	sim.interval = sim.oneOf(50*time.Millisecond, sim.between(50*time.Millisecond, 300*time.Millisecond))
	sim.linkDelay = sim.oneOf(time.Millisecond, sim.between(time.Millisecond, 20*time.Millisecond))
	sim.maxElectionTimeout = sim.oneOf(1200*time.Millisecond, 6*time.Second)
	sim.platform = newPlatform(sim.rng.IntN(3) > 0)
	machines := 3 + sim.rng.IntN(5)
	sim.profile = profile(sim.rng.IntN(int(profiles)))
	extremeClocks := sim.profile == takeovers || sim.rng.IntN(3) == 0
	for i := range machines {
		sim.nodes = append(sim.nodes, newNode(sim, i, extremeClocks))
	}
	first := modelView{epoch: 1}
	voters := 3
	if sim.rng.IntN(2) == 0 {
		voters += sim.rng.IntN(machines - 2)
	}
	for _, n := range sim.nodes[:voters] {
		first.voters = append(first.voters, n.id)
	}
	first.head = first.voters[sim.rng.IntN(len(first.voters))]
	sim.decided[1] = first
	for _, n := range sim.nodes {
		n.disk.view = first
		n.start()
	}
	sim.scheduleFaults()
	return sim
}

// between returns a random duration in a range.
func (sim *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)+1))
}

// oneOf returns one of two durations.
func (sim *simulation) oneOf(a, b time.Duration) time.Duration {
	if sim.rng.IntN(2) == 0 {
		return a
	}
	return b
}

// randomElectionTimeout returns how long a node waits before it proposes another view.
func (sim *simulation) randomElectionTimeout() time.Duration {
	if sim.faultFree {
		return sim.between(minElectionTimeout, maxFaultFreeElectionTimeout)
	}
	return sim.between(minElectionTimeout, sim.maxElectionTimeout)
}

// oneIn returns true with probability 1/n if faults of the class are enabled.
func (sim *simulation) oneIn(n int, class faultClass) bool {
	drawn := sim.rng.IntN(n) == 0 // always drawn, so that disabling a class does not shift the other draws of the run
	return drawn && !sim.faultFree && sim.classes&class != 0
}

// after schedules an event of the simulation itself.
func (sim *simulation) after(d time.Duration, do func()) { sim.schedule(d, nil, 0, do) }

func (sim *simulation) schedule(d time.Duration, machine *node, incarnation int, do func()) {
	sim.events++
	heap.Push(&sim.queue, &event{at: sim.now + d, order: sim.events, machine: machine, incarnation: incarnation, do: do})
}

// runUntil runs the events up to a time, or until a violation.
func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end && sim.violation == "" {
		e := heap.Pop(&sim.queue).(*event)
		sim.now = e.at
		switch n := e.machine; {
		case n == nil:
			e.do()
		case !n.up || e.incarnation != 0 && e.incarnation != n.incarnation:
			continue
		case sim.isFrozen(e):
			e.at = n.frozenUntil + sim.between(0, maxThreadDelay) // threads of the process resume in any order
			heap.Push(&sim.queue, e)
			continue
		default:
			n.readClock = e.clock
			e.do()
			n.readClock = 0
		}
		sim.checks.holders()
	}
	if sim.violation == "" {
		sim.now = end
	}
}

// isFrozen reports whether the machine of an event is frozen. The machine may freeze just after it has read the clock for the
// event.
func (sim *simulation) isFrozen(e *event) bool {
	n := e.machine
	if n.frozenUntil <= sim.now && e.clock == 0 && sim.oneIn(4000, freezes) {
		e.clock = n.clockNow()
		n.freeze(sim.between(time.Millisecond, 6*time.Second))
	}
	return n.frozenUntil > sim.now
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation, sim.violatedAt = fmt.Sprintf(format, args...), sim.now
		sim.logEvent("VIOLATION: %s", sim.violation)
	}
}

func (sim *simulation) logEvent(format string, args ...any) {
	if sim.traceEnabled {
		sim.trace = append(sim.trace, fmt.Sprintf("%12s ", sim.now)+fmt.Sprintf(format, args...))
	}
}

// send sends a message to a member, on the machine on which that member runs.
func (sim *simulation) send(from *node, to int, extraDelay time.Duration, m message) {
	m.from, m.to = from.id, to
	copies := 1
	if sim.oneIn(20, losses) {
		copies = 2
	}
	for range copies {
		delay := sim.between(10*time.Microsecond, min(sim.linkDelay, maxFaultFreeDelay))
		if !sim.faultFree {
			delay = sim.between(10*time.Microsecond, sim.linkDelay)
		}
		if sim.oneIn(25, slowLinks) {
			delay += sim.between(0, 2*time.Second)
		}
		target := sim.member(to)
		lost := sim.oneIn(20, losses)
		if target == nil || lost || sim.cutUntil[[2]int{from.machine, target.machine}] > sim.now {
			continue
		}
		sim.schedule(delay+extraDelay, target, 0, func() {
			if target.id == to {
				target.receive(m)
			}
		})
	}
}

// member returns the machine on which a member runs, or nil if the member's disk was lost.
func (sim *simulation) member(id int) *node {
	for _, n := range sim.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// newestView returns the newest decided view.
func (sim *simulation) newestView() modelView { return sim.decided[int64(len(sim.decided))] }

// runSimulation runs the model to its end or until a violation.
func runSimulation(seed uint64, classes faultClass, planted plantedFault, tracing bool) *simulation {
	sim := newSimulation(seed, classes, planted, tracing)
	sim.runUntil(faultPhase)
	if sim.violation == "" {
		sim.endFaults()
		sim.runUntil(sim.lastFreezeEnd() + convergence)
	}
	if sim.violation == "" {
		sim.checkLiveness()
	}
	return sim
}

// checkLiveness checks that without faults the head gets the lease, and that a planned hand-over transfers it.
func (sim *simulation) checkLiveness() {
	settled := sim.newestView()
	slowest := time.Duration(float64(sim.params.TakeoverWait()) / (1 - sim.params.MaxDrift))
	sim.runUntil(sim.now + slowest + faultFreeRounds*2*sim.interval)
	head := sim.member(settled.head)
	switch newest := sim.newestView(); {
	case sim.violation != "":
		return
	case newest.epoch != settled.epoch || head == nil:
		sim.fail("liveness: epoch %d followed epoch %d without faults", newest.epoch, settled.epoch)
		return
	case !head.holdsLease():
		sim.fail("liveness: head %s of epoch %d does not hold the lease, remaining wait %s", head, settled.epoch, head.lease.RemainingWait(head.clock()))
		return
	}
	head.leave()
	sim.runUntil(sim.now + handoverDelays*maxFaultFreeDelay + 2*sim.interval)
	newest := sim.newestView()
	if next := sim.member(newest.head); sim.violation == "" && (newest.epoch == settled.epoch || !next.holdsLease()) {
		sim.fail("liveness: head %s of epoch %d does not hold the lease after a planned hand-over of epoch %d, remaining wait %s", next,
			newest.epoch, settled.epoch, next.lease.RemainingWait(next.clock()))
	}
}
