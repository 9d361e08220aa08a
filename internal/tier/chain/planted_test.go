package chain

import (
	"slices"
	"strings"
	"testing"
)

// TestModelFindsPlantedFaults checks that the model detects each planted fault by the rule that it violates.
func TestModelFindsPlantedFaults(t *testing.T) {
	const schedules = 300
	for name, test := range map[string]struct {
		faults    plantedFaults
		violation string
	}{
		"all entries acknowledged as committed": {plantedFaults{mutateAck: func(_ *simulation, _ *Chain, a *Ack) {
			a.Commit = a.LastIndex
		}}, "has"},
		"partial transfer marked complete": {plantedFaults{mutateUpdate: func(_ *simulation, from *Chain, u *Update) {
			u.Complete, u.Through = true, from.State().Commit
		}}, ", has "},
		"values altered in transit": {plantedFaults{mutateUpdate: func(sim *simulation, _ *Chain, u *Update) {
			if f := len(u.Fragments) - 1; f >= 0 && u.Fragments[f].ValueSize == int64(len(u.Fragments[f].Data)) && sim.draw(20) == 0 {
				u.Fragments[f].Data = append(slices.Clone(u.Fragments[f].Data), 1)
				u.Fragments[f].ValueSize++
				u.Fragments[f].Checksum = checksum(u.Fragments[f].Data)
			}
		}}, ""},
		"entries omitted": {plantedFaults{mutateUpdate: func(sim *simulation, _ *Chain, u *Update) {
			if len(u.Fragments) > 1 && sim.draw(4) == 0 {
				u.Fragments = u.Fragments[1:]
			}
		}}, ""},
		"nothing retransmitted": {plantedFaults{noResend: true}, "not converged"},
		"window ignored": {plantedFaults{beforeSend: func(c *Chain) {
			for _, stream := range c.learners {
				stream.inFlightBytes = -windowSize
			}
			c.successor.inFlightBytes = -windowSize
		}}, "in flight"},
		"uncommitted entries kept at activation": {plantedFaults{afterAdopt: func(c *Chain) {
			c.state.Commit = c.state.LastIndex
		}}, ""},
		"unavailable entry continued": {plantedFaults{mutateUpdate: func(_ *simulation, from *Chain, u *Update) {
			for _, stream := range from.learners {
				if u.After.PartialBytes == 0 && stream.acknowledged.PartialBytes > 0 && stream.acknowledged.LastIndex == u.After.LastIndex {
					u.After = stream.acknowledged
				}
			}
		}}, "not converged"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(schedules) {
				if err := runSchedule(newSimulation(seed, test.faults)); err != nil && strings.Contains(err.Error(), test.violation) {
					t.Logf("found with seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not found in %d schedules", schedules)
		})
	}
}
