package lease

import (
	"strings"
	"testing"
	"time"
)

// plantedFault is a fault planted into the model to check that the model detects it; empty for none.
type plantedFault string

const (
	termFromReply         plantedFault = "the term starts at the reply to the round"
	noTakeoverWait        plantedFault = "a new head does not wait for earlier grants"
	noDriftAllowance      plantedFault = "the wait of a new head does not allow for clock drift"
	noFencingToken        plantedFault = "calls carry no fencing token"
	tokenFromMemory       plantedFault = "tokens are counted in memory only"
	releaseWithoutWait    plantedFault = "a release does not include the remaining wait of its sender"
	releaseOfAnyEpoch     plantedFault = "a release of any epoch is accepted"
	leaseReturnedAtOnce   plantedFault = "a node that lost the lease regains it without a wait"
	noWaitAfterStart      plantedFault = "a restarted node does not wait"
	promiseIgnored        plantedFault = "a head stays active after its promise to the next epoch"
	adoptionIgnored       plantedFault = "a head stays active after it has adopted a view with another head"
	echoAfterPromise      plantedFault = "a voter echoes rounds after its promise"
	echoOtherEpoch        plantedFault = "echoes of another epoch are counted"
	releaseBeforeAdoption plantedFault = "a release that arrives before the view is dropped"
	staleCallsIgnored     plantedFault = "calls that end after the lease was lost are ignored"
	releaseDuringCalls    plantedFault = "a release does not wait for calls in flight"
)

// underFault returns the parameters with a planted fault applied.
func (p Params) underFault(planted plantedFault) Params {
	if planted == noDriftAllowance {
		p.MaxDrift = 0
	}
	return p
}

// observeUnderFault passes an observation to the lease, with the planted fault applied.
func (n *node) observeUnderFault(now time.Duration, o Observation) (release Release, ok bool) {
	l := n.lease
	if n.sim.planted == adoptionIgnored && l.tenure != nil && !o.IsHead {
		ok = o.Epoch > l.epoch
		release = Release{Epoch: l.epoch}
		l.epoch = o.Epoch // the tenure and its grant stay
		return release, ok
	}
	before := l.tenure
	release, ok = l.Observe(now, o)
	switch n.sim.planted {
	case noTakeoverWait:
		if l.tenure != before && l.tenure != nil {
			l.HandleRelease(now, Release{Epoch: l.tenure.firstEpoch - 1})
		}
	case releaseWithoutWait:
		release.Wait = 0
	case leaseReturnedAtOnce:
		l.hadEarlierTenure = false
	case releaseDuringCalls:
		if unsent := l.unsent; unsent != nil {
			l.unsent = nil
			return Release{Epoch: unsent.epoch, Wait: max(0, unsent.mayActFrom-now)}, true
		}
	}
	return release, ok
}

// TestModelFindsPlantedFaults checks that the model detects each planted fault by the invariant that it violates. Only liveness is
// checked at the end of a run; the other faults need just its first part.
func TestModelFindsPlantedFaults(t *testing.T) {
	for planted, violation := range map[plantedFault]string{
		termFromReply:         "two holders",
		noTakeoverWait:        "two holders",
		noDriftAllowance:      "two holders",
		noFencingToken:        "A, B, A",
		tokenFromMemory:       "token",
		releaseWithoutWait:    "two holders",
		releaseOfAnyEpoch:     "two holders",
		leaseReturnedAtOnce:   "A, B, A",
		noWaitAfterStart:      "A, B, A",
		promiseIgnored:        "two holders",
		adoptionIgnored:       "two holders",
		echoAfterPromise:      "two holders",
		staleCallsIgnored:     "A, B, A",
		releaseDuringCalls:    "early release",
		echoOtherEpoch:        "two holders",
		releaseBeforeAdoption: "liveness",
	} {
		t.Run(string(planted), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*maxPlantedRuns) {
				sim := newSimulation(1+seed, allFaultClasses, planted, false)
				if sim.runUntil(faultPhase + convergence); violation == "liveness" {
					sim = runSimulation(1+seed, allFaultClasses, planted, false)
				}
				if strings.Contains(sim.violation, violation) {
					t.Logf("found with seed %d at %s: %s", 1+seed, sim.violatedAt, sim.violation)
					return
				}
			}
			t.Errorf("not found in %d runs", *maxPlantedRuns)
		})
	}
}
