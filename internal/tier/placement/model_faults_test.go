package placement

import "testing"

// fault names a defect that is planted into the model; empty for none.
type fault string

const (
	jointPhaseSkipped         fault = "the joint step is skipped"
	changeEndsUnswept         fault = "stable before the newcomers have swept"
	retiringRemovedWhileJoint fault = "a leaver may go while joint"
	wipedStoreKeepsIdentity   fault = "a wiped store counts as the copy that it was"
	sweepMissesAny            fault = "a sweep is done however many stores it missed"
	pullBeforeAdoption        fault = "a store answers a sweep before it has adopted the gen"
	initialGenerationOne      fault = "a placement founded anew begins at gen 1"
	anyUnresponsiveUnswept    fault = "any number of silent stores may be unswept"
	slowDelivery              fault = "placements are heard late, which may take long, and loses nothing"
	lateReplacement           fault = "a silent store is replaced only after twice contact"
	retirementNotExtended     fault = "a store that lost its disk while it was emptied needs a new order"
	noTakeoverGrace           fault = "silence that another head has measured counts before this one has listened"
)

// withoutFault gives the world of a planted fault without it: what breaks there as well does not show the fault.
func withoutFault(f fault) fault {
	if f == pullBeforeAdoption {
		return slowDelivery
	}
	return ""
}

func TestModelFindsPlantedFaults(t *testing.T) {
	for _, fault := range []fault{jointPhaseSkipped, changeEndsUnswept, retiringRemovedWhileJoint, wipedStoreKeepsIdentity, sweepMissesAny, pullBeforeAdoption, initialGenerationOne, anyUnresponsiveUnswept, lateReplacement, noTakeoverGrace, retirementNotExtended} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*faultSchedules) {
				if sim := runSchedule(1+seed, fault); sim.violation != "" && runSchedule(1+seed, withoutFault(fault)).violation == "" {
					t.Logf("found by course %d: %s", 1+seed, sim.violation)
					return
				}
			}
			t.Errorf("not found by %d courses", *faultSchedules)
		})
	}
}
