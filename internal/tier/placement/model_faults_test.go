package placement

import "testing"

// fault names a fault that is planted into the model; empty for none.
type fault string

const (
	jointPhaseSkipped         fault = "the joint phase is skipped"
	changeEndsUnswept         fault = "stable before the added stores have swept"
	retiringRemovedWhileJoint fault = "a retiring store may be removed while joint"
	wipedStoreKeepsIdentity   fault = "a wiped store keeps its identity"
	sweepMissesAny            fault = "a sweep is complete however many stores it missed"
	pullBeforeAdoption        fault = "a store answers a sweep before it has adopted the generation"
	initialGenerationOne      fault = "the placement of a new control state begins at generation 1"
	anyUnresponsiveUnswept    fault = "any number of unresponsive stores may be unswept"
	slowDelivery              fault = "placements are delivered slowly, which violates nothing"
	lateReplacement           fault = "a failed store is replaced only after twice contact"
	retirementNotExtended     fault = "a store that lost its disk while it was being retired needs a new order"
	noTakeoverGrace           fault = "inherited observations count before the head has listened"
)

// withoutFault returns the conditions of a planted fault without the fault: a violation under them, too, does not show it.
func withoutFault(planted fault) fault {
	if planted == pullBeforeAdoption {
		return slowDelivery
	}
	return ""
}

func TestModelFindsPlantedFaults(t *testing.T) {
	for _, fault := range []fault{
		jointPhaseSkipped, changeEndsUnswept, retiringRemovedWhileJoint, wipedStoreKeepsIdentity, sweepMissesAny, pullBeforeAdoption,
		initialGenerationOne, anyUnresponsiveUnswept, lateReplacement, noTakeoverGrace, retirementNotExtended,
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*faultSchedules) {
				if sim := runSchedule(1+seed, fault); sim.violation != "" && runSchedule(1+seed, withoutFault(fault)).violation == "" {
					t.Logf("found by schedule %d: %s", 1+seed, sim.violation)
					return
				}
			}
			t.Errorf("not found by %d schedules", *faultSchedules)
		})
	}
}
