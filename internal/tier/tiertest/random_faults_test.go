package tiertest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/cloudapi"
	"larchrouter/internal/tier/controlnode"
)

var (
	randomRuns   = flag.Int("courses", 1, "runs of TestRandomFaults")
	randomFaults = flag.Int("faults", 2, "faults in each of them")
	randomSeed   = flag.Uint64("seed", 5, "of the first run")
)

// catchUpTime is the time for which a machine that was down counts as lost after it is back.
const catchUpTime = 4200 * time.Millisecond

// The faults of a machine.
const (
	killed     = "killed"
	frozen     = "frozen"
	terminated = "terminated"
	wiped      = "wiped"
)

// randomTest is a run with random faults: one machine at a time is down, and the operator acts in the meantime.
type randomTest struct {
	*testTier
	random  *rand.Rand
	version int64 // of the last configuration
}

// injectFault draws a machine and a fault, does something while the machine is down, and brings it back.
func (rt *randomTest) injectFault() {
	rt.t.Helper()
	m, fault := rt.drawFault()
	rt.t.Logf("%s is %s", m.Name, fault)
	rt.takeDown(m, fault)
	rt.operate()
	frozenFront := fault == frozen && m.Class == Front // programs at a frozen front wait for it
	if !frozenFront {
		rt.serve("with " + m.Name + " " + fault)
	}
	if !frozenFront && rt.random.IntN(2) == 0 { // longer than the time-out after which it counts as lost
		rt.serveFor(2*contactTimeout + 500*time.Millisecond)
	}
	rt.bringBack(m, fault)
	rt.awaitRecovery()
	rt.serveFor(catchUpTime)
}

func (rt *randomTest) drawFault() (m *Machine, fault string) {
	rt.t.Helper()
	class := []string{Store, Store, Core, Core, Front}[rt.random.IntN(5)]
	machines := rt.Class(class)
	m = machines[rt.random.IntN(len(machines))]
	if class == Core && rt.random.IntN(2) == 0 {
		m = rt.head()
	}
	fault = []string{killed, frozen, terminated, wiped}[rt.random.IntN(4)]
	if class == Front && fault == wiped { // it has no disk
		fault = killed
	}
	return m, fault
}

func (rt *randomTest) takeDown(m *Machine, fault string) {
	rt.t.Helper()
	switch fault {
	case frozen:
		must(rt.t, m.Signal(syscall.SIGSTOP))
	case terminated:
		if code, err := m.Terminate(); code != 0 || err != nil {
			rt.t.Errorf("%s, terminated, exits with %d, %v", m.Name, code, err)
		}
	default:
		m.Kill()
	}
}

func (rt *randomTest) bringBack(m *Machine, fault string) {
	rt.t.Helper()
	switch fault {
	case frozen:
		must(rt.t, m.Signal(syscall.SIGCONT))
		return
	case wiped:
		must(rt.t, m.Wipe())
	}
	must(rt.t, m.Start())
}

// awaitRecovery waits until all core nodes have a replica, all stores are placed, and all fronts ready.
func (rt *randomTest) awaitRecovery() {
	rt.t.Helper()
	must(rt.t, rt.AwaitReplicas(stepContext(rt.t)))
	must(rt.t, rt.AwaitStatus(stepContext(rt.t), "all machines are back", func(s *controlnode.Status) bool {
		return len(s.Stores) == len(rt.Class(Store)) && !s.PlacementJoint
	}))
	must(rt.t, rt.AwaitReady(stepContext(rt.t), rt.Class(Front)...))
}

func (rt *randomTest) serveFor(d time.Duration) {
	rt.t.Helper()
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		rt.servePrograms("in the time after")
	}
}

// operate draws what the operator does while a machine is down.
func (rt *randomTest) operate() {
	rt.t.Helper()
	switch rt.random.IntN(4) {
	case 0:
		rt.t.Log("the operator sends a configuration")
		must(rt.t, rt.Configure(stepContext(rt.t), rt.drawConfig()))
	case 1:
		rt.t.Log("two operators send configurations that replace the same version")
		rt.sendConflictingOrders()
	case 2:
		rt.t.Log("the operator sends an invalid configuration")
		c := rt.drawConfig()
		c.Routes[0].Service = "nobody"
		if err := rt.SendOrder(stepContext(rt.t), rt.newOrder(c, true)); !errors.Is(err, cloudapi.ErrRejected) {
			rt.t.Errorf("an invalid configuration: %v", err)
		}
	}
}

func (rt *randomTest) drawConfig() Config {
	services := []string{DraftService, ReviewService}
	rt.version += 1 + rt.random.Int64N(5)
	return NewConfig(rt.version, services[rt.random.IntN(2)], rt.random.IntN(2) == 0)
}

func (rt *randomTest) newOrder(c Config, invalid bool) Order {
	rt.t.Helper()
	return newOrder(rt.t, c, rt.EventLog.NewestAcknowledged(), invalid)
}

// sendConflictingOrders sends two orders that replace the same version at once, and expects just one to be acknowledged.
func (rt *randomTest) sendConflictingOrders() {
	rt.t.Helper()
	orders := []Order{rt.newOrder(rt.drawConfig(), false), rt.newOrder(rt.drawConfig(), false)}
	errs := make([]error, len(orders))
	ctx := stepContext(rt.t)
	var wg sync.WaitGroup
	for i, order := range orders {
		wg.Go(func() { errs[i] = rt.SendOrder(ctx, order) })
	}
	wg.Wait()
	acknowledged := 0
	for _, err := range errs {
		if err == nil {
			acknowledged++
		} else if !errors.Is(err, cloudapi.ErrRejected) {
			rt.t.Error(err)
		}
	}
	if acknowledged != 1 {
		rt.t.Errorf("%d of two conflicting orders were acknowledged: %v", acknowledged, errs)
	}
}

// failedByFront reports whether a program failed because a front that was killed or frozen lost the answer to a call that
// is not idempotent, so that it cannot be repeated.
func failedByFront(h *History, program string) bool {
	for _, a := range h.Attempts {
		if a.Program == program && a.Kind == NonIdempotent && a.Status == 0 {
			return true
		}
	}
	return false
}

// TestRandomFaults injects random faults. A seed gives the same faults again.
func TestRandomFaults(t *testing.T) {
	for i := range *randomRuns {
		seed := *randomSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rt := &randomTest{testTier: newFaultTestTier(t, 4, 4, 3), random: rand.New(rand.NewPCG(seed, 0)), version: 3}
			stopBackground := rt.startBackground()
			defer stopBackground()
			rt.serve("without faults")
			for range *randomFaults {
				rt.injectFault()
			}
			stopBackground()
			if rt.random.IntN(2) == 0 {
				t.Log("all processes are killed")
				for _, m := range rt.Machines {
					m.Kill()
				}
				for _, m := range rt.Machines {
					must(t, m.Start())
				}
				rt.awaitRecovery()
			}
			rt.continuePrograms("-again")
			h := rt.history()
			var violations []Violation
			for _, violation := range Check(h) {
				program, _, _ := strings.Cut(violation.Text, " ")
				if violation.Rule != "SERVED" || !failedByFront(h, program) {
					violations = append(violations, violation)
				}
			}
			rt.reportViolations(violations)
		})
	}
}
