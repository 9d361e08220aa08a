package turnstore

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
)

// scriptedStores is a network in which some stores answer at once and one, while it is stalled, not at all.
type scriptedStores struct {
	stalled string
	asked   atomic.Int64 // calls that reached the stalled store
}

func (n *scriptedStores) Call(ctx context.Context, addr string, m rpc.Method, _, answer any) error {
	if addr == n.stalled {
		n.asked.Add(1)
		<-ctx.Done()
		return rpc.ErrLost
	}
	if r, ok := answer.(*openReply); ok {
		r.Valid = true
	}
	return nil
}

func (n *scriptedStores) Notify(context.Context, string, rpc.Method, any) error { return nil }

// Calls that wait for a store that stands still leave room for those to the others, however many turns go on meanwhile.
func TestStalledStoreTakesNoRoomFromTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stores := []Store{{ID: "a", Name: "a", Addr: "a"}, {ID: "b", Name: "b", Addr: "b"}, {ID: "c", Name: "c", Addr: "c"}}
		p := &Placement{Generation: 1, ReplicationFactor: 3, DurableReplicas: 2, FaultTolerance: 1, Old: stores}
		network := &scriptedStores{stalled: "b"}
		c := newClient(func() *Placement { return p }, network, "zone", process.NewLogger(io.Discard))
		const turns = 2 * laterMost // within the time that a call to the stalled store takes
		var refused atomic.Int64
		var group sync.WaitGroup
		for i := range turns {
			program := fmt.Sprint("p", i)
			o, err := c.Open(t.Context(), OpenRequest{Program: program, Turn: program, MaxTokens: 1, Budget: 100})
			if err != nil {
				refused.Add(1)
				continue
			}
			group.Go(func() {
				if c.Close(t.Context(), o.Record(nil, nil, 1, time.Minute)) != nil {
					refused.Add(1)
				}
			})
			if i%64 == 0 {
				synctest.Wait()
			}
		}
		group.Wait()
		if n := refused.Load(); n > 0 {
			t.Errorf("%d of %d turns are refused for the sake of one store that stands still", n, turns)
		}
		if n := network.asked.Load(); n == 0 || n > storeMost {
			t.Errorf("%d calls wait for the stalled store", n)
		}
		c.Shutdown(t.Context())
		if len(c.calling) > 0 {
			t.Errorf("places of calls that were not given back: %v", c.calling)
		}
	})
}
