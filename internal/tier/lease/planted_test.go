package lease

import (
	"strings"
	"testing"
	"time"
)

// fault names a fault that is planted into the model; empty for none.
type plantedFault string

const (
	termFromReply         plantedFault = "the term counts from the reply to the round"
	noTakeoverWait        plantedFault = "a new head does not wait"
	noDriftAllowance      plantedFault = "the wait of a new head does not allow for drift"
	noFencingToken        plantedFault = "calls carry no token"
	tokenFromMemory       plantedFault = "tokens are counted in memory"
	releaseWithoutWait    plantedFault = "a release does not pass on what its sender waits for"
	releaseOfAnyEpoch     plantedFault = "a release of any epoch counts"
	leaseReturnedAtOnce   plantedFault = "a node that lost the lease gets it back at once"
	noWaitAfterStart      plantedFault = "a started node does not wait on its own account"
	promiseIgnored        plantedFault = "a head goes on after its promise to the next epoch"
	adoptionIgnored       plantedFault = "a head goes on after it has adopted another head"
	echoAfterPromise      plantedFault = "a voter echoes after its promise"
	echoOtherEpoch        plantedFault = "echoes of another epoch count"
	releaseBeforeAdoption plantedFault = "a release that comes before the view is lost"
	staleCallsIgnored     plantedFault = "calls that end after the lease was lost do not count"
	releaseDuringCalls    plantedFault = "a release does not wait for calls in flight"
)

// underFault returns the parameters of a lease under a planted fault.
func (p Params) underFault(planted plantedFault) Params {
	if planted == noDriftAllowance {
		p.MaxDrift = 0
	}
	return p
}

// observeUnderFault gives an observation to the lease, changed as the planted fault asks for.
func (n *node) observeUnderFault(now time.Duration, o Observation) (release Release, ok bool) {
	l := n.lease
	if n.sim.planted == adoptionIgnored && l.tenure != nil && !o.IsHead {
		ok = o.Epoch > l.epoch
		release = Release{Epoch: l.epoch}
		l.epoch = o.Epoch // the headship and its grant stay
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

// TestModelFindsPlantedFaults checks that the model finds each planted fault, by the invariant that it violates. Only a violation of
// liveness needs a course's end.
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
					t.Logf("found by course %d at %s: %s", 1+seed, sim.violatedAt, sim.violation)
					return
				}
			}
			t.Errorf("not found by %d courses", *maxPlantedRuns)
		})
	}
}
