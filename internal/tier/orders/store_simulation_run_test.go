package orders

import (
	"strings"
	"testing"
	"time"
)

// storeFault is a planted fault in the decisions about stores, or in the caller's duties. The simulation must find each.
type storeBug struct {
	keyByName        bool // the key of an order has the name only, so that the next order of the name replaces it
	stalePhase       bool // the phase is that of the order, whichever store has the name now
	committedOnly    bool // orders are decided by committed entries only
	forgetRetired    bool // a retired store is not found
	skipConfirmation bool // replies don't wait for the epoch's confirmation
	ignoreDependency bool // replies don't wait for the commit of DependsOn
	dropOnDiskLoss   bool // an order is dropped if its store loses its disk
}

func TestRandomStoreSimulationsKeepAnswersConsistent(t *testing.T) {
	t.Parallel()
	base := uint64(time.Now().UnixNano())
	t.Logf("seeds from %d", base)
	total := map[Kind]int{}
	for i := range simulationsToRun() {
		c := newStoreSimulation(base+uint64(i), storeBug{})
		if c.run(); c.failure != "" {
			t.Fatalf("seed %d: %s\n%s", base+uint64(i), c.failure, strings.Join(c.events, "\n"))
		}
		for k, n := range c.answers {
			total[k] += n
		}
	}
	t.Logf("%d simulations, answers: %v", simulationsToRun(), total)
	for _, k := range []Kind{Accept, InProgress, Retired, Conflict, NotFound, Serving, Complete} {
		if total[k] < simulationsToRun()/4 {
			t.Errorf("%d answers of kind %v in %d simulations: too few to show anything", total[k], k, simulationsToRun())
		}
	}
}

func TestStoreSimulationDetectsInjectedBugs(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]storeBug{
		"order kept by name only":                   {keyByName: true},
		"complete while another store has the name": {stalePhase: true},
		"decided by committed entries only":         {committedOnly: true},
		"retired store not found":                   {forgetRetired: true},
		"replies without confirmation of the epoch": {skipConfirmation: true},
		"replies before the commit of DependsOn":    {ignoreDependency: true},
		"order dropped with its store's disk":       {dropOnDiskLoss: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(600) {
				c := newStoreSimulation(seed+1, f)
				if c.run(); c.failure != "" {
					t.Logf("seed %d: %s", seed+1, c.failure)
					return
				}
			}
			t.Fatal("not found in 600 simulations")
		})
	}
}
