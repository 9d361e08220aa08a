package tiertest

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	"larchrouter/internal/tier/controlnode"
	"larchrouter/internal/tier/turnstore"
)

const (
	replacementPrograms = 40 // of which some have any two of five stores among their three replicas
	replacementTries    = 6
)

// TestPlannedReplacementsKeepMajorities guards against stores that end at SIGTERM while the placement lists them: after two
// planned replacements, or one and a permitted loss, turns had no majority and were answered 503 for good.
func TestPlannedReplacementsKeepMajorities(t *testing.T) {
	tt := startTestTier(t, Options{Cores: 3, Stores: 5, SpareStores: 3, Fronts: 1})
	stores := tt.Class(Store)
	programs := &conversations{tt, make([]string, replacementPrograms)}
	programs.continueAll("first")

	must(t, stores[5].Start())
	must(t, stores[6].Start())
	tt.awaitPlacement(7)
	tt.terminateAll(stores[0], stores[1])
	tt.requireNotPlaced(stores[0], stores[1])
	stores[2].Kill() // permitted: the two do not count as lost
	programs.continueAll("after-two")
	must(t, stores[2].Start())
	tt.awaitPlacement(5)

	must(t, stores[7].Start())
	tt.awaitPlacement(6)
	tt.terminateAll(stores[3]) // a restart, with the successor of another store there
	must(t, stores[3].Start())
	tt.awaitPlacement(6)
	head := tt.head()
	head.Kill()
	tt.terminateAll(stores[4])
	must(t, head.Start())
	tt.requireNotPlaced(stores[4])
	stores[2].Kill()
	programs.continueAll("after-three")
	must(t, stores[2].Start())
	tt.awaitPlacement(5)
}

// TestRestartsOfStoresDoNotChangePlacement guards against stores that leave the placement, and come back to it, in each restart.
func TestRestartsOfStoresDoNotChangePlacement(t *testing.T) {
	tt := newTestTier(t, 3, 4, 1)
	_, generation := tt.awaitPlaced("store-1")
	for _, store := range tt.Class(Store) {
		tt.terminateAll(store)
		must(t, store.Start())
		tt.awaitUnresponsive(0)
	}
	if _, now := tt.awaitPlaced("store-1"); now != generation {
		t.Errorf("restarts of all stores, one after the other, changed the placement from generation %d to %d", generation, now)
	}
}

// terminateAll stops machines by SIGTERM, all at once, and expects each to end within its grace period with code 0.
func (tt *testTier) terminateAll(machines ...*Machine) {
	tt.t.Helper()
	var wg sync.WaitGroup
	for _, m := range machines {
		wg.Go(func() {
			if code, err := m.Terminate(); code != 0 || err != nil {
				tt.t.Errorf("%s ended with code %d, %v", m.Name, code, err)
			}
		})
	}
	wg.Wait()
}

// requireNotPlaced expects that the placement does not list machines that have just ended.
func (tt *testTier) requireNotPlaced(machines ...*Machine) {
	tt.t.Helper()
	var listed []turnstore.Store
	must(tt.t, tt.AwaitStatus(stepContext(tt.t), "a core node has the placement", func(s *controlnode.Status) bool {
		listed = s.Stores
		return len(listed) > 0
	}))
	for _, m := range machines {
		if slices.ContainsFunc(listed, func(store turnstore.Store) bool { return store.Name == m.Name }) {
			tt.t.Errorf("%s has ended while the placement lists it: %v", m.Name, listed)
		}
	}
}

// awaitUnresponsive waits until the head knows of this number of unresponsive stores.
func (tt *testTier) awaitUnresponsive(count int) {
	tt.t.Helper()
	must(tt.t, tt.AwaitStatus(stepContext(tt.t), fmt.Sprintf("%d stores are unresponsive", count), func(s *controlnode.Status) bool {
		return len(s.UnresponsiveStores) == count && s.Node == s.Head
	}))
}

// conversations are programs of one conversation each, all of which continue at the same time.
type conversations struct {
	*testTier
	lastTurns []string // by program; empty before the first turn
}

// continueAll sends the next turn of each program, in several tries, and expects each to be served.
func (c *conversations) continueAll(when string) {
	c.t.Helper()
	var wg sync.WaitGroup
	for i := range c.lastTurns {
		wg.Go(func() {
			attempt := c.tryTurn(fmt.Sprintf("conversation-%d", i), when, c.lastTurns[i])
			if c.lastTurns[i] = attempt.ID; attempt.Status != http.StatusOK || !attempt.Complete {
				c.t.Errorf("%s, program %d gets status %d in %d tries", when, i, attempt.Status, replacementTries)
			}
		})
	}
	wg.Wait()
}

// tryTurn sends a turn until it is served, and returns the last attempt.
func (c *conversations) tryTurn(program, when, previous string) (attempt Attempt) {
	for try := 0; try < replacementTries && attempt.Status != http.StatusOK; try++ {
		attempt = c.client.Try(c.t.Context(), c.Class(Front)[0], requestTimeout, Attempt{
			ID: fmt.Sprintf("%s-%s-%d", program, when, try), Program: program, Session: program + "-s1", Method: http.MethodPost,
			Path: TurnPath + "1", Kind: Streaming, Input: []byte(when), Previous: previous, Budget: 400, MaxTokens: 12})
	}
	return attempt
}
