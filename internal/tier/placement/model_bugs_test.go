package placement

import "testing"

// injectedBug names a bug that is injected into the model; empty for none.
type injectedBug string

const (
	jointPhaseSkipped         injectedBug = "the joint phase is skipped"
	changeEndsUnswept         injectedBug = "a change ends before the added stores have completed their sweep"
	retiringRemovedWhileJoint injectedBug = "a retiring store may be removed while joint"
	wipedStoreKeepsIdentity   injectedBug = "a wiped store keeps its identity"
	sweepMissesAny            injectedBug = "a sweep is complete regardless of how many stores it missed"
	pullBeforeAdoption        injectedBug = "a store answers a sweep before it has adopted the generation"
	initialGenerationOne      injectedBug = "the placement of a new control state starts at generation 1"
	anyUnresponsiveUnswept    injectedBug = "a change ends with any number of unresponsive stores unswept"
	slowDelivery              injectedBug = "placements are delivered slowly, which is allowed"
	lateReplacement           injectedBug = "a failed store is replaced only after RemovalTimeout"
	retirementNotExtended     injectedBug = "a store that loses its disk while it is being retired needs a new order"
	stopsAtOnce               injectedBug = "a store that is told to stop ends at once"
	nominalForgotten          injectedBug = "a new head takes the present number of stores for the nominal one"
	noTakeoverGrace           injectedBug = "a new head uses inherited observations without a grace period"
)

// baselineOf returns the conditions under which a bug is tested without the bug itself. A schedule that violates an invariant
// under them, too, does not detect the bug.
func baselineOf(bug injectedBug) injectedBug {
	if bug == pullBeforeAdoption {
		return slowDelivery
	}
	return ""
}

func TestModelDetectsInjectedBugs(t *testing.T) {
	for _, bug := range []injectedBug{
		jointPhaseSkipped, changeEndsUnswept, retiringRemovedWhileJoint, wipedStoreKeepsIdentity, sweepMissesAny, pullBeforeAdoption,
		initialGenerationOne, anyUnresponsiveUnswept, lateReplacement, noTakeoverGrace, retirementNotExtended,
		stopsAtOnce, nominalForgotten,
	} {
		t.Run(string(bug), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*maxSchedulesPerBug) {
				if sim := runSchedule(1+seed, bug); sim.violation != "" && runSchedule(1+seed, baselineOf(bug)).violation == "" {
					t.Logf("detected by schedule %d: %s", 1+seed, sim.violation)
					return
				}
			}
			t.Errorf("not detected by %d schedules", *maxSchedulesPerBug)
		})
	}
}
