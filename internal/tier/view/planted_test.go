package view

import (
	"math"
	"slices"
	"strings"
	"testing"
)

// TestModelFindsPlantedFaults checks that the model detects each planted fault by the rule that it violates.
func TestModelFindsPlantedFaults(t *testing.T) {
	const schedules = 3000
	for name, test := range map[string]struct {
		faults    plantedFaults
		violation string
	}{
		"completeness check skipped": {plantedFaults{mutatePromises: func(promises []Promise) []Promise {
			for i := range promises {
				promises[i].ActivatedEpoch = math.MaxInt64
			}
			return promises
		}}, "lacks committed entries"},
		"accepted view ignored": {plantedFaults{mutatePromises: func(promises []Promise) []Promise {
			for i := range promises {
				promises[i].Accepted = View{}
			}
			return promises
		}}, "two views decided"},
		"highest ballot ignored": {plantedFaults{mutatePromises: func(promises []Promise) []Promise {
			for i := range promises {
				if number := promises[i].AcceptedBallot.Number; number > 0 {
					promises[i].AcceptedBallot = Ballot{math.MaxInt64 - number, promises[i].AcceptedBallot.Proposer}
				}
			}
			return promises
		}}, "two views decided"},
		"two voters admitted at once": {plantedFaults{mutateView: func(current *View, next View, conditions Conditions) View {
			if i := len(conditions.Applicants) - 1; i > 0 && difference(next.Voters, current.Voters) == 1 &&
				!next.IsVoter(conditions.Applicants[i].ID) {
				next.Voters = append(slices.Clip(next.Voters), conditions.Applicants[i])
			}
			return next
		}}, "more than one"},
		"majority of promises not required": {plantedFaults{mutatePromises: func(promises []Promise) []Promise {
			return append(promises, Promise{From: Member{ID: "nobody"}}, Promise{From: Member{ID: "nobody"}})
		}}, "two views decided"},
		"promise lost": {plantedFaults{dropPromise: true}, "two views decided"},
		"new member counted as complete": {plantedFaults{mutateView: func(_ *View, next View, _ Conditions) View {
			next.Chain = slices.Clone(next.Chain)
			for i := range next.Chain {
				next.Chain[i].JoinedEpoch = 1
			}
			return next
		}}, "lacks committed entries"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(schedules) {
				if err := runSchedule(newSeededSimulation(seed, test.faults)); err != nil && strings.Contains(err.Error(), test.violation) {
					t.Logf("found with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not found in %d schedules", schedules)
		})
	}
}
