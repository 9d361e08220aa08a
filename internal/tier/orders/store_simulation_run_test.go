package orders

import (
	"strings"
	"testing"
	"time"
)

// storeBug is a bug that is injected into the decisions about stores or into the caller. The simulation must detect each.
type storeBug struct {
	keyByName        bool // the key of an order has only the name, so that the next order for the name overwrites it
	stalePhase       bool // the phase ignores that another store may have the name now
	committedOnly    bool // orders are decided on committed entries only
	forgetRetired    bool // a retired store is reported as not found
	skipConfirmation bool // replies don't wait for confirmation of the epoch
	ignoreDependency bool // replies don't wait for the commit of DependsOn
	dropOnDiskLoss   bool // an order does not extend to the store's new identity after it lost its disk
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
			t.Errorf("%d answers of kind %v in %d simulations: too few for a meaningful test", total[k], k, simulationsToRun())
		}
	}
}

func TestStoreSimulationDetectsInjectedBugs(t *testing.T) {
	t.Parallel()
	for name, bug := range map[string]storeBug{
		"order stored by name only":                 {keyByName: true},
		"complete while another store has the name": {stalePhase: true},
		"decided on committed entries only":         {committedOnly: true},
		"retired store not found":                   {forgetRetired: true},
		"replies without confirmation of the epoch": {skipConfirmation: true},
		"replies before the commit of DependsOn":    {ignoreDependency: true},
		"order dropped with its store's disk":       {dropOnDiskLoss: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(600) {
				c := newStoreSimulation(seed+1, bug)
				if c.run(); c.failure != "" {
					t.Logf("seed %d: %s", seed+1, c.failure)
					return
				}
			}
			t.Fatal("not detected by 600 simulations")
		})
	}
}
