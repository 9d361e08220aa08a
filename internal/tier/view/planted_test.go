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
		"completeness check skipped": {plantedFaults{mutatePromises: func(all []Promise) []Promise {
			for i := range all {
				all[i].ActivatedEpoch = math.MaxInt64
			}
			return all
		}}, "lacks committed entries"},
		"accepted view ignored": {plantedFaults{mutatePromises: func(all []Promise) []Promise {
			for i := range all {
				all[i].Accepted = View{}
			}
			return all
		}}, "two views decided"},
		"highest ballot ignored": {plantedFaults{mutatePromises: func(all []Promise) []Promise {
			for i := range all {
				if round := all[i].AcceptedAt.Number; round > 0 {
					all[i].AcceptedAt = Ballot{math.MaxInt64 - round, all[i].AcceptedAt.Proposer}
				}
			}
			return all
		}}, "two views decided"},
		"two voters admitted at once": {plantedFaults{mutateView: func(now *View, next View, c Conditions) View {
			if i := len(c.Applicants) - 1; i > 0 && difference(next.Voters, now.Voters) == 1 && !next.IsVoter(c.Applicants[i].ID) {
				next.Voters = append(slices.Clip(next.Voters), c.Applicants[i])
			}
			return next
		}}, "more than one"},
		"majority of promises not required": {plantedFaults{mutatePromises: func(all []Promise) []Promise {
			return append(all, Promise{From: Member{ID: "nobody"}}, Promise{From: Member{ID: "nobody"}})
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
					t.Logf("found by seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not found by %d schedules", schedules)
		})
	}
}
