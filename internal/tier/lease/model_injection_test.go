package lease

import (
	"flag"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	randomRuns     = flag.Int("courses", 300, "random runs of the model")
	maxPlantedRuns = flag.Int("fault-courses", 2000, "maximum number of runs to find a planted fault")
	firstSeed      = flag.Uint64("seed", 1, "seed of the first run")
)

// profile is the kind of scenario that a run emphasizes.
type profile int

const (
	mixed     profile = iota // faults at any time
	takeovers                // faults when a view is proposed and decided; clocks drift by MaxDrift
	handovers                // several view changes in quick succession, with faults of releases and calls
	profiles
)

// scheduleFaults schedules the faults and view changes of a run.
func (sim *simulation) scheduleFaults() {
	quickChanges := 0
	for at := sim.between(0, 6*time.Second); at < faultPhase; quickChanges-- {
		sim.after(at, sim.changeView)
		switch {
		case quickChanges > 0:
			at += sim.between(10*time.Millisecond, time.Second)
		case sim.profile == takeovers:
			at += sim.between(3500*time.Millisecond, 6*time.Second)
		default:
			at += sim.between(time.Second, 8*time.Second)
			quickChanges = sim.rng.IntN(4)
		}
	}
	for at := sim.between(0, 8*time.Second); at < faultPhase && sim.profile == mixed; at += sim.between(0, 4*time.Second) {
		sim.after(at, sim.injectFault)
	}
}

// randomNode returns a random machine, that of the newest head at least half of the time.
func (sim *simulation) randomNode() *node {
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	if head := sim.member(sim.newestView().head); head != nil && sim.rng.IntN(2) == 0 {
		n = head
	}
	return n
}

// changeView makes a voter propose another view. In the takeovers profile it is not the head: a head that proposes has promised,
// and so is no longer active.
func (sim *simulation) changeView() {
	v := sim.newestView()
	n := sim.member(v.voters[sim.rng.IntN(len(v.voters))])
	if n == nil || !n.up || sim.faultFree || sim.profile == takeovers && n.id == v.head {
		return
	}
	sim.schedule(0, n, n.incarnation, n.propose)
}

// injectFault injects a fault of a random kind.
func (sim *simulation) injectFault() {
	n, other := sim.randomNode(), sim.randomNode()
	duration := sim.between(time.Millisecond, 6*time.Second)
	kind := faultClass(1) << sim.rng.IntN(5)
	oneWay := sim.rng.IntN(2) == 0
	if sim.classes&kind == 0 || !n.up {
		return
	}
	switch kind {
	case freezes:
		n.freeze(duration)
	case kills:
		n.kill()
		sim.after(duration, n.restart)
	case lostDisks:
		if sim.mayLoseDisk(n) {
			n.loseDisk()
			sim.after(duration, n.restart)
		}
	case leaves:
		sim.schedule(0, n, n.incarnation, n.leave)
		incarnation := n.incarnation
		sim.after(duration/6, func() {
			if n.incarnation == incarnation && n.up {
				n.kill()
				sim.after(duration/20, n.restart)
			}
		})
	case cuts:
		sim.cut(n, other, oneWay)
	}
}

// cut cuts the link between two nodes, or all links of n if other is n, each for its own random time.
func (sim *simulation) cut(n, other *node, oneWay bool) {
	for _, peer := range sim.nodes {
		if peer == n || other != n && peer != other {
			continue
		}
		until := sim.now + sim.oneOf(sim.between(time.Millisecond, time.Second), sim.between(time.Millisecond, 6*time.Second))
		sim.cutUntil[[2]int{n.machine, peer.machine}] = until
		if !oneWay {
			sim.cutUntil[[2]int{peer.machine, n.machine}] = until
		}
		sim.logEvent("link from %s to %s cut until %s, one way %v", n, peer, until, oneWay)
	}
}

// injectProposalFaults cuts links of a proposer, so that some voters do not promise. The link to the head is cut most often:
// without a promise the head stays active.
func (sim *simulation) injectProposalFaults(proposer *node) {
	if sim.profile == handovers {
		return
	}
	for _, id := range proposer.disk.view.voters {
		voter := sim.member(id)
		cut := sim.oneIn(3, cuts) || id == proposer.disk.view.head && sim.oneIn(3, cuts)
		if cut && voter != nil && voter != proposer {
			sim.cut(proposer, voter, true)
		}
	}
}

// injectDecisionFaults injects faults when a view is decided, before any message about it is sent: it may cut the links of the
// proposer or of the former head, and freeze the former head at once or shortly after.
func (sim *simulation) injectDecisionFaults(proposer, formerHead *node) {
	if sim.profile == handovers {
		return
	}
	n := proposer
	if sim.rng.IntN(2) == 0 && formerHead != nil {
		n = formerHead
	}
	oneWay := sim.rng.IntN(2) == 0
	if sim.oneIn(2, cuts) {
		sim.cut(n, n, oneWay)
	}
	after, duration := sim.oneOf(0, sim.between(0, time.Second)), sim.between(3*time.Second, 6*time.Second)
	if sim.oneIn(2, freezes) && formerHead != nil {
		sim.after(after, func() {
			if !sim.faultFree {
				formerHead.freeze(duration)
			}
		})
	}
}

// injectReleaseFaults kills the sender of a release and soon changes the view again, so that the sender may regain the lease.
func (sim *simulation) injectReleaseFaults(sender *node) {
	down, next := sim.between(time.Millisecond, 200*time.Millisecond), sim.between(time.Millisecond, time.Second)
	if sim.profile != takeovers && sim.oneIn(3, kills) {
		sim.after(0, sender.kill)
		sim.after(down, sender.restart)
		sim.after(down+next, sim.changeView)
	}
}

// restart starts a machine that is down.
func (n *node) restart() {
	if !n.up {
		n.start()
	}
}

// loseDisk kills a machine, which then restarts with an empty disk as another member. Steps of 10 keep member ids unique, as there
// are at most seven machines.
func (n *node) loseDisk() {
	n.kill()
	n.id += 10
	n.disk = durableState{}
	n.sim.logEvent("%s lost its disk", n)
}

// mayLoseDisk reports whether the loss of this disk too is tolerated in every view that a voter of the newest view still has or has
// accepted.
func (sim *simulation) mayLoseDisk(n *node) bool {
	newest := sim.newestView()
	oldest := newest.epoch
	for _, id := range newest.voters {
		if voter := sim.member(id); voter != nil && voter != n {
			oldest = min(oldest, max(1, voter.disk.view.epoch))
		}
	}
	for epoch := oldest; epoch <= newest.epoch; epoch++ {
		if !sim.toleratesLoss(sim.decided[epoch], n) {
			return false
		}
	}
	for _, voter := range sim.nodes {
		if accepted := voter.disk.accepted; accepted.epoch > newest.epoch && !sim.toleratesLoss(accepted, n) {
			return false
		}
	}
	return true
}

// toleratesLoss reports whether a majority of the voters of a view remains if a machine loses its disk.
func (sim *simulation) toleratesLoss(v modelView, n *node) bool {
	lost := 0
	for _, id := range v.voters {
		if voter := sim.member(id); voter == nil || voter == n || voter.disk.view.epoch == 0 {
			lost++
		}
	}
	return lost <= (len(v.voters)-1)/2
}

// endFaults ends all faults.
func (sim *simulation) endFaults() {
	sim.faultFree = true
	clear(sim.cutUntil)
	sim.logEvent("end of faults")
	for _, n := range sim.nodes {
		if n.up && n.leaving {
			n.kill()
		}
		n.restart()
		n.electionTimeout = sim.randomElectionTimeout()
	}
}

// lastFreezeEnd returns when the last frozen machine resumes.
func (sim *simulation) lastFreezeEnd() time.Duration {
	last := sim.now
	for _, n := range sim.nodes {
		last = max(last, n.frozenUntil)
	}
	return last
}

// shrink drops each kind of fault without which the run still violates an invariant, and returns the remaining kinds.
func shrink(seed uint64, planted plantedFault) faultClass {
	classes := faultClass(allFaultClasses)
	for class := faultClass(1); class < allFaultClasses; class <<= 1 {
		if runSimulation(seed, classes&^class, planted, false).violation != "" {
			classes &^= class
		}
	}
	return classes
}

// reportViolation reports a violation, and the trace of the run shrunk to the fewest kinds of faults.
func reportViolation(t *testing.T, seed uint64, sim *simulation) {
	t.Helper()
	classes := shrink(seed, "")
	shrunk := runSimulation(seed, classes, "", true)
	t.Errorf("run with seed %d at %s: %s\nshrunk to %s: %s\n%s", seed, sim.violatedAt, sim.violation, classes, shrunk.violation,
		strings.Join(shrunk.trace, "\n"))
}

// TestInvariantsHoldUnderRandomFaults checks the invariants in random runs of the model.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	var next, failed atomic.Int64
	var mu sync.Mutex
	var total stats
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := next.Add(1); i <= int64(*randomRuns); i = next.Add(1) {
				seed := *firstSeed + uint64(i) - 1
				sim := runSimulation(seed, allFaultClasses, "", false)
				if sim.violation != "" && failed.Add(1) <= 3 {
					reportViolation(t, seed, sim)
				}
				mu.Lock()
				total.add(sim.stats)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	t.Logf("%d runs, %d with a violation: %+v", *randomRuns, failed.Load(), total)
	if total.views == 0 || total.accepted == 0 || total.refused == 0 || total.heldAfterRelease == 0 || total.slowCalls == 0 {
		t.Errorf("the runs do not cover every case: %+v", total)
	}
}
