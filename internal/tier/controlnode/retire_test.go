package controlnode

import (
	"net/http"
	"strings"
	"testing"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
	"larchrouter/internal/tier/turnstore"
)

// A store loses its disk during its retirement, and returns under another ID: the retirement continues and completes.
func TestRetireContinuesForStoreThatLostItsDisk(t *testing.T) {
	c := newCluster(t, 3)
	registeredStores, sweptGeneration := []turnstore.Store{}, int64(0)
	for _, name := range []string{"a", "b", "c", "d"} {
		registeredStores = append(registeredStores, turnstore.Store{ID: name, Name: name, Addr: name + ":1"})
	}
	state := func() *orders.State {
		for _, one := range registeredStores {
			_, _ = c.cores[1].handleRegister(t.Context(), &feed.Registration{Store: one, Generation: sweptGeneration, SweptGeneration: sweptGeneration})
		}
		s := &orders.State{}
		c.cores[0].onLoop(func() {
			if known, err := orders.ReadState(c.cores[0].node.Chain().Committed(0), 1); err == nil {
				s = known
			}
		})
		return s
	}
	joint := func() bool { s := state(); return s.Placement != nil && len(s.Placement.New) == 3 }
	c.until("all stores are placed", func() bool { s := state(); return s.Placement != nil && len(s.Placement.Old) == 4 })
	if got, text := c.send(0, http.MethodPost, "/api/retire/d", "", []byte(`{"within_s":60}`)); got != http.StatusOK {
		t.Fatalf("%d %s", got, text)
	}
	c.until("the placement change is in progress; it cannot complete, as no store has swept", joint)
	registeredStores[3].ID = "d2"
	c.until("the retirement is recorded for the new ID", func() bool { return state().Retired()["d2"] })
	if !joint() {
		t.Errorf("the placement change completed without sweeps: %+v", state().Placement)
	}
	sweptGeneration = state().Placement.Generation
	c.until("the retirement is complete", func() bool {
		state()
		got, text := c.send(2, http.MethodGet, "/api/retire/d", "", nil)
		return got == http.StatusOK && strings.Contains(text, "complete")
	})
	c.until("the head has recorded the departure", func() (seen bool) {
		c.cores[0].onLoop(func() { _, seen = c.cores[0].placementRole.departures["d"] })
		return seen
	})
	if p := state().Placement; len(p.New) > 0 || len(p.Old) != 3 {
		t.Errorf("the placement is %+v, want three stores and no change in progress", p)
	}
}
