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

var schedulesToRun = flag.Int("courses", 400, "random schedules of the model")
var maxSchedulesPerBug = flag.Int("fault-courses", 2000, "schedules to find a planted fault in, at most")
var firstSeed = flag.Uint64("seed", 1, "of the first schedule")

// siteSizes are the sizes of the sites, and some in between.
var clusterSizes = []struct {
	stores, faultTolerance int
	contact, catchUp       time.Duration
}{
	{3, 1, 3 * time.Second, 4100 * time.Millisecond},
	{4, 1, 3 * time.Second, 4100 * time.Millisecond},
	{5, 1, 3 * time.Second, 4200 * time.Millisecond},
	{5, 2, 4 * time.Second, 6 * time.Second},
	{6, 2, 4 * time.Second, 6 * time.Second},
	{9, 2, 4 * time.Second, 6 * time.Second},
}

// faultInjector injects losses, orders and changes of the head. The next loss comes as soon as the contract permits it,
// or a little later.
type faultInjector struct {
	*simulation
	rng                *rand.Rand
	pending            []plannedAction // due later
	nextLoss           time.Duration
	nextOrder          time.Duration
	nextHeadChange     time.Duration
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
		injector.nextHeadChange = injector.now + injector.duration(injector.catchUpTime, 25*time.Second) // losing a head is a loss as well
		injector.changeHead()
	}
	if injector.now >= injector.nextOrder {
		injector.nextOrder = injector.now + injector.duration(time.Second, 15*time.Second)
		injector.submitOrder()
	}
	if injector.now >= injector.nextLoss && injector.countLost() < injector.faultTolerance {
		if injector.nextLoss = injector.now + step; !injector.lossesWithoutPause {
			injector.nextLoss += injector.duration(0, 6*time.Second)
		}
		injector.injectLoss()
	}
}

// randomUpHost returns a machine that is up and not lost, or nil.
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

// retiringHost returns a machine that is up and being retired, or nil.
func (injector *faultInjector) retiringHost() *host {
	for _, h := range injector.hosts {
		if h.retired && h.isUp() && h.lostUntil <= injector.now {
			return h
		}
	}
	return nil
}

// recovered: a machine counts as lost for a while after its return.
func (injector *faultInjector) markRecovering(h *host) {
	h.lostUntil = injector.now + injector.catchUpTime
}

// restart starts a machine, unless it was retired and removed while it was down.
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
		injector.logEvent("%s frozen for %v", host.name, away)
		host.paused = true
		injector.schedule(away, func() {
			if !host.removed {
				injector.logEvent("%s resumes", host.name)
				host.paused = false
				injector.markRecovering(host)
			}
		})
	case 2, 3:
		injector.logEvent("%s wiped, back in %v", host.name, away/4)
		injector.stop(host)
		injector.wipe(host)
		injector.schedule(away/4, func() { injector.restart(host) })
	case 4:
		name := ""
		if injector.rng.IntN(2) == 0 {
			name = host.name
		}
		injector.logEvent("%s removed for good", host.name)
		injector.remove(host)
		injector.schedule(time.Second, func() {
			host.lostUntil = 0
			injector.markRecovering(injector.add(name))
		})
	}
}

// submitOrder submits an operator's order: a further store, or the retirement of one.
func (injector *faultInjector) submitOrder() {
	if injector.rng.IntN(2) == 0 && len(injector.hosts) < 14 {
		injector.logEvent("store added")
		injector.add("")
		return
	}
	host := injector.randomUpHost()
	if host == nil || injector.currentPlacement == nil || injector.retired[host.id] ||
		!containsStore(injector.currentPlacement.Stores(), host.id) ||
		!CanRetire(injector.currentPlacement, injector.retired, injector.faultTolerance) {
		return
	}
	injector.retired[host.id], host.retired = true, true
	injector.logEvent("%s to be retired", host.name)
	injector.removeOnceRetired(host)
}

// removeOnceRetired removes a machine as soon as its retirement is complete, which is no loss. One that loses its disk
// meanwhile is retired all the same.
func (injector *faultInjector) removeOnceRetired(host *host) {
	injector.schedule(step, func() {
		if host.removed || injector.currentPlacement == nil { // new control state: the order was lost with the core's disks
			return
		}
		early := injector.bug == retiringRemovedWhileJoint && !containsStore(injector.currentPlacement.New, host.id)
		if !isRetired(injector.currentPlacement, host.name) && !early {
			injector.removeOnceRetired(host)
			return
		}
		injector.logEvent("%s is retired and removed", host.name)
		injector.remove(host)
		host.lostUntil = 0
	})
}

// isRetired reports whether a retirement is complete, as in package orders: no store of the name is in the placement.
func isRetired(p *turnstore.Placement, name string) bool {
	return !slices.ContainsFunc(p.Stores(), func(s turnstore.Store) bool { return s.Name == name })
}

// runSchedule runs one random schedule.
func runSchedule(seed uint64, fault injectedBug) *simulation {
	rng := rand.New(rand.NewPCG(seed, 5))
	size := clusterSizes[rng.IntN(len(clusterSizes))]
	maxPull := []time.Duration{50 * time.Millisecond, 200 * time.Millisecond}[rng.IntN(2)]
	sim := newSimulation(seed, fault, size.stores, size.faultTolerance, size.contact, size.catchUp, maxPull)
	sim.logEvent("%d stores, fault tolerance %d, seed %d", size.stores, size.faultTolerance, seed)
	sim.run(6*time.Second, nil)
	injector := &faultInjector{simulation: sim, rng: rng, lossesWithoutPause: rng.IntN(2) == 0,
		nextHeadChange: sim.duration(6*time.Second, 30*time.Second), nextOrder: sim.duration(6*time.Second, 20*time.Second)}
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
	changes, acked, failed := 0, 0, 0
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
		"%d writes acknowledged; longest without a majority %v",
		*schedulesToRun, *firstSeed, failed, changes, longestJoint, acked, longestNoMajority)
	if changes < 2**schedulesToRun || acked < 20**schedulesToRun {
		t.Error("too little progress")
	}
}
