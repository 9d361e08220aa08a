package placement

import (
	"flag"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/tier/turnstore"
)

var schedulesToRun = flag.Int("courses", 400, "number of random schedules of the model")
var maxSchedulesPerBug = flag.Int("fault-courses", 2000, "maximum number of schedules to detect an injected bug")
var firstSeed = flag.Uint64("seed", 1, "seed of the first schedule")

// clusterSizes are the sizes of the supported deployments, and some in between.
var clusterSizes = []struct {
	stores, faultTolerance      int
	contactTimeout, catchUpTime time.Duration
}{
	{3, 1, 3 * time.Second, 4100 * time.Millisecond},
	{4, 1, 3 * time.Second, 4100 * time.Millisecond},
	{5, 1, 3 * time.Second, 4200 * time.Millisecond},
	{5, 2, 4 * time.Second, 6 * time.Second},
	{6, 2, 4 * time.Second, 6 * time.Second},
	{9, 2, 4 * time.Second, 6 * time.Second},
}

// faultInjector injects losses of machines, operators' orders and changes of the head. The next loss comes as soon as the
// contract permits it (at most faultTolerance machines count as lost at a time), or a little later.
type faultInjector struct {
	*simulation
	rng                *rand.Rand
	pending            []plannedAction // actions to run when they are due
	nextLoss           time.Duration
	nextOrder          time.Duration
	nextHeadChange     time.Duration
	nextPlannedWork    time.Duration // planned replacements and restarts
	lossesWithoutPause bool
}

type plannedAction struct {
	at  time.Duration
	run func()
}

func (injector *faultInjector) schedule(after time.Duration, do func()) {
	injector.pending = append(injector.pending, plannedAction{injector.now + after, do})
}

func (injector *faultInjector) step() {
	for i := 0; i < len(injector.pending); i++ {
		if action := injector.pending[i]; action.at <= injector.now {
			injector.pending = append(injector.pending[:i], injector.pending[i+1:]...)
			i--
			action.run()
		}
	}
	if injector.now >= injector.nextHeadChange {
		// A change of the head counts as a loss, so the next change comes catchUpTime later at the earliest.
		injector.nextHeadChange = injector.now + injector.duration(injector.catchUpTime, 25*time.Second)
		injector.changeHead()
	}
	if injector.now >= injector.nextOrder {
		injector.nextOrder = injector.now + injector.duration(time.Second, 15*time.Second)
		injector.submitOrder()
	}
	if injector.now >= injector.nextPlannedWork {
		injector.nextPlannedWork = injector.now + injector.duration(time.Second, 12*time.Second)
		injector.beginPlannedWork()
	}
	if injector.now >= injector.nextLoss && injector.countLost() < injector.faultTolerance {
		if injector.nextLoss = injector.now + step; !injector.lossesWithoutPause {
			injector.nextLoss += injector.duration(0, 6*time.Second)
		}
		injector.injectLoss()
	}
}

// randomUpHost returns a random machine that is up and does not count as lost, or nil.
func (injector *faultInjector) randomUpHost() *host {
	var all []*host
	for _, h := range injector.hosts {
		if h.isUp() && h.lostUntil <= injector.now {
			all = append(all, h)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[injector.rng.IntN(len(all))]
}

// retiringHost returns a machine that is up, is being retired and does not count as lost, or nil.
func (injector *faultInjector) retiringHost() *host {
	for _, h := range injector.hosts {
		if h.retired && h.isUp() && h.lostUntil <= injector.now {
			return h
		}
	}
	return nil
}

// markRecovering lets a machine count as lost for catchUpTime after its return.
func (injector *faultInjector) markRecovering(h *host) {
	h.lostUntil = injector.now + injector.catchUpTime
}

// restart starts a machine again, unless it was retired and removed while it was down.
func (injector *faultInjector) restart(h *host) {
	if !h.removed {
		injector.start(h)
		injector.markRecovering(h)
	}
}

func (injector *faultInjector) injectLoss() {
	host := injector.randomUpHost()
	if host == nil {
		return
	}
	if retiring := injector.retiringHost(); retiring != nil && injector.lossTargetRand.IntN(2) == 0 {
		host = retiring
	}
	away := injector.duration(100*time.Millisecond, 4*time.Second)
	if injector.rng.IntN(4) == 0 {
		away = injector.duration(4*time.Second, 15*time.Second)
	}
	host.lostUntil = never
	switch injector.rng.IntN(5) {
	case 0:
		injector.logEvent("%s killed for %v", host.name, away)
		injector.stop(host)
		injector.schedule(away, func() { injector.restart(host) })
	case 1:
		injector.logEvent("%s paused for %v", host.name, away)
		host.paused = true
		injector.schedule(away, func() {
			if !host.removed {
				injector.logEvent("%s resumes", host.name)
				host.paused = false
				injector.markRecovering(host)
			}
		})
	case 2, 3:
		injector.logEvent("%s loses its disk, returns in %v", host.name, away/4)
		injector.stop(host)
		injector.wipe(host)
		injector.schedule(away/4, func() { injector.restart(host) })
	case 4:
		name := ""
		if injector.rng.IntN(2) == 0 {
			name = host.name
		}
		injector.logEvent("%s removed permanently", host.name)
		injector.remove(host)
		injector.schedule(time.Second, func() {
			host.lostUntil = 0
			injector.markRecovering(injector.add(name))
		})
	}
}

// submitOrder submits an operator's order: to add a store or to retire one.
func (injector *faultInjector) submitOrder() {
	if injector.rng.IntN(2) == 0 && len(injector.hosts) < 14 {
		injector.logEvent("store added")
		injector.add("")
		return
	}
	host := injector.randomUpHost()
	if host == nil || injector.currentPlacement == nil || injector.retired[host.id] ||
		!turnstore.ContainsStore(injector.currentPlacement.Stores(), host.id) ||
		!CanRetire(injector.currentPlacement, injector.retired, injector.faultTolerance) || injector.stayingHosts(host) <= 2*injector.faultTolerance || injector.sharesName(host) {
		return
	}
	injector.retired[host.id], host.retired = true, true
	injector.logEvent("retirement of %s ordered", host.name)
	injector.removeOnceRetired(host)
}

// sharesName reports whether another machine has the name of the given one, as its predecessor or successor: orders name machines.
func (injector *faultInjector) sharesName(host *host) bool {
	for _, other := range injector.hosts {
		if other != host && !other.removed && other.name == host.name {
			return true
		}
	}
	return false
}

// stayingHosts returns how many machines other than the given one are neither gone nor about to be taken away.
func (injector *faultInjector) stayingHosts(besides *host) (staying int) {
	for _, h := range injector.hosts {
		if h != besides && !h.removed && !h.retired && !h.isReplaced {
			staying++
		}
	}
	return staying
}

// removeOnceRetired removes a machine as soon as its retirement is complete, which does not count as a loss. A machine that loses
// its disk meanwhile is retired nevertheless.
func (injector *faultInjector) removeOnceRetired(host *host) {
	injector.schedule(step, func() {
		if host.removed || injector.currentPlacement == nil { // the order was lost with the core nodes' disks
			return
		}
		early := injector.bug == retiringRemovedWhileJoint && !turnstore.ContainsStore(injector.currentPlacement.New, host.id)
		if !isRetired(injector.currentPlacement, host.name) && !early {
			injector.removeOnceRetired(host)
			return
		}
		injector.logEvent("%s is retired and removed", host.name)
		injector.remove(host)
		host.lostUntil = 0
	})
}

// isRetired reports whether a retirement is complete by the rule of package orders: no store of the name is in the placement.
func isRetired(p *turnstore.Placement, name string) bool {
	return !slices.ContainsFunc(p.Stores(), func(s turnstore.Store) bool { return s.Name == name })
}

// runSchedule runs the random schedule of a seed.
func runSchedule(seed uint64, bug injectedBug) *simulation {
	rng := rand.New(rand.NewPCG(seed, 5))
	size := clusterSizes[rng.IntN(len(clusterSizes))]
	maxPull := []time.Duration{50 * time.Millisecond, 200 * time.Millisecond}[rng.IntN(2)]
	sim := newSimulation(seed, bug, size.stores, size.faultTolerance, size.contactTimeout, size.catchUpTime, maxPull)
	sim.logEvent("%d stores, fault tolerance %d, seed %d", size.stores, size.faultTolerance, seed)
	sim.run(6*time.Second, nil)
	injector := &faultInjector{simulation: sim, rng: rng, lossesWithoutPause: rng.IntN(2) == 0,
		nextHeadChange: sim.duration(6*time.Second, 30*time.Second), nextOrder: sim.duration(6*time.Second, 20*time.Second),
		nextPlannedWork: sim.duration(6*time.Second, 15*time.Second)}
	if rng.IntN(3) == 0 {
		injector.nextPlannedWork = never
	}
	if rng.IntN(3) == 0 {
		injector.nextHeadChange = never
	}
	end := 26*time.Second + sim.duration(0, 15*time.Second)
	sim.run(end, injector.step)
	sim.checkConvergence(injector)
	return sim
}

func TestRandomSchedulesKeepInvariants(t *testing.T) {
	var mu sync.Mutex
	var longestJoint, longestNoMajority time.Duration
	changes, acked, failed, stops, forcedStops := 0, 0, 0, 0, 0
	var longestStop time.Duration
	seeds := make(chan uint64)
	go func() {
		for i := range *schedulesToRun {
			seeds <- *firstSeed + uint64(i)
		}
		close(seeds)
	}()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			for seed := range seeds {
				sim := runSchedule(seed, "")
				mu.Lock()
				if sim.violation != "" {
					if failed++; failed <= 3 {
						t.Errorf("%s\n%s", sim.violation, sim.timeline())
					}
				}
				longestJoint, longestNoMajority = max(longestJoint, sim.longestJoint), max(longestNoMajority, sim.longestNoMajority)
				changes += sim.changes
				stops, forcedStops, longestStop = stops+sim.stops, forcedStops+sim.forcedStops, max(longestStop, sim.longestStop)
				for _, write := range sim.writes {
					if write.acked {
						acked++
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.Logf("%d schedules from seed %d, %d violations: %d joint phases, the longest %v; "+
		"%d writes acknowledged; longest time without a majority %v",
		*schedulesToRun, *firstSeed, failed, changes, longestJoint, acked, longestNoMajority)
	t.Logf("%d planned stops, the longest %v; %d could not wait any longer", stops, longestStop, forcedStops)
	if changes < 2**schedulesToRun || acked < 20**schedulesToRun {
		t.Error("too few joint phases or acknowledged writes for a meaningful test")
	}
}

// TestTwoLossesWhileStoresAreAdded guards against programs without a majority after two stores were lost at once, stores were added a
// moment later and the head was replaced: the change that removes the two must end by the time at which the next loss is permitted.
func TestTwoLossesWhileStoresAreAdded(t *testing.T) {
	const seed = 8513
	if sim := runSchedule(seed, ""); sim.violation != "" {
		t.Errorf("%s\n%s", sim.violation, sim.timeline())
	}
}
