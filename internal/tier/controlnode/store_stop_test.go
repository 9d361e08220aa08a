package controlnode

import (
	"fmt"
	"testing"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
	"larchrouter/internal/tier/turnstore"
)

// stopCluster is a cluster with stores that register through a core node that is not the head.
type stopCluster struct {
	*cluster
	names []string
}

// register registers all stores, which have completed the sweep of the current placement, and returns that placement.
func (c *stopCluster) register(t *testing.T) *turnstore.Placement {
	t.Helper()
	var current *turnstore.Placement
	c.cores[0].onLoop(func() {
		if state, err := orders.ReadState(c.cores[0].node.Chain().Committed(0), 1); err == nil {
			current = state.Placement
		}
	})
	for _, name := range c.names {
		registration := &feed.Registration{Store: turnstore.Store{ID: name, Name: name, Addr: name + ":1"}}
		if current != nil {
			registration.Generation, registration.SweptGeneration = current.Generation, current.Generation
		}
		_, _ = c.cores[1].handleRegister(t.Context(), registration)
	}
	return current
}

// awaitPlaced waits until the placement is stable, with a number of stores.
func (c *stopCluster) awaitPlaced(t *testing.T, stores int) {
	t.Helper()
	c.until(fmt.Sprintf("%d stores are placed", stores), func() bool {
		p := c.register(t)
		return p != nil && len(p.Old) == stores && len(p.New) == 0
	})
}

// requestStop asks through a core node that is not the head.
func (c *stopCluster) requestStop(t *testing.T, name string) feed.StopStoreResponse {
	t.Helper()
	response, err := c.cores[1].handleStopStore(t.Context(), &feed.StopStoreRequest{ID: name})
	if err != nil {
		t.Fatal(err)
	}
	return *response
}

// TestStoppingStoreLeavesPlacement guards against stores that may end while the placement lists them and their successors: the head
// has them leave first, permits one restart at a time, and the number of stores by which it decides is in the control state.
func TestStoppingStoreLeavesPlacement(t *testing.T) {
	c := &stopCluster{newCluster(t, 3), []string{"a", "b", "c", "d"}}
	c.awaitPlaced(t, 4)
	c.until("the number of stores is in the control state of another node", func() bool {
		count := feed.StoreCountEntry{}
		c.cores[1].onLoop(func() {
			for _, entry := range c.cores[1].node.Chain().Committed(0) {
				if entry.Key == feed.StoreCountKey {
					_ = rpc.Decode(entry.Value, &count)
				}
			}
		})
		return count.Initial == 4
	})
	c.names = append(c.names, "e")
	c.awaitPlaced(t, 5)
	if got := c.requestStop(t, "a"); got.MayStop {
		t.Fatalf("a store may stop before it has left: %+v", got)
	}
	c.until("it may stop, as it has left", func() bool {
		c.register(t)
		got := c.requestStop(t, "a")
		return got.MayStop && !got.Placed
	})
	c.names = c.names[1:]
	c.awaitPlaced(t, 4)
	if got := c.requestStop(t, "b"); !got.MayStop || !got.Placed {
		t.Errorf("a store that may be restarted gets %+v", got)
	}
	if got := c.requestStop(t, "c"); got.MayStop {
		t.Errorf("a second store may stop at the same time: %+v", got)
	}
	c.awaitPlaced(t, 4)
}
