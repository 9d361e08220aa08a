package placement

import "testing"

// fault names a fault that is planted into the model; empty for none.
type injectedBug string

const (
	jointPhaseSkipped         injectedBug = "the joint phase is skipped"
	changeEndsUnswept         injectedBug = "stable before the added stores have swept"
	retiringRemovedWhileJoint injectedBug = "a retiring store may be removed while joint"
	wipedStoreKeepsIdentity   injectedBug = "a wiped store keeps its identity"
	sweepMissesAny            injectedBug = "a sweep is complete however many stores it missed"
	pullBeforeAdoption        injectedBug = "a store answers a sweep before it has adopted the generation"
	initialGenerationOne      injectedBug = "the placement of a new control state begins at generation 1"
	anyUnresponsiveUnswept    injectedBug = "any number of unresponsive stores may be unswept"
	slowDelivery              injectedBug = "placements are delivered slowly, which violates nothing"
	lateReplacement           injectedBug = "a failed store is replaced only after twice contact"
	retirementNotExtended     injectedBug = "a store that lost its disk while it was being retired needs a new order"
	noTakeoverGrace           injectedBug = "inherited observations count before the head has listened"
)

// withoutFault returns the conditions of a planted fault without the fault: a violation under them, too, does not show it.
func baselineOf(planted injectedBug) injectedBug {
	if planted == pullBeforeAdoption {
		return slowDelivery
	}
	return ""
}

func TestModelDetectsInjectedBugs(t *testing.T) {
	for _, fault := range []injectedBug{
		jointPhaseSkipped, changeEndsUnswept, retiringRemovedWhileJoint, wipedStoreKeepsIdentity, sweepMissesAny, pullBeforeAdoption,
		initialGenerationOne, anyUnresponsiveUnswept, lateReplacement, noTakeoverGrace, retirementNotExtended,
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*maxSchedulesPerBug) {
				if sim := runSchedule(1+seed, fault); sim.violation != "" && runSchedule(1+seed, baselineOf(fault)).violation == "" {
					t.Logf("found by schedule %d: %s", 1+seed, sim.violation)
					return
				}
			}
			t.Errorf("not found by %d schedules", *maxSchedulesPerBug)
		})
	}
}
