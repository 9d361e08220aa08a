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

// scriptedStores is a transport whose stores respond at once, except for a stalled one, which never does.
type scriptedStores struct {
	stalled string       // address
	calls   atomic.Int64 // to the stalled store
}

func (n *scriptedStores) Call(ctx context.Context, addr string, m rpc.Method, _, answer any) error {
	if addr == n.stalled {
		n.calls.Add(1)
		<-ctx.Done()
		return rpc.ErrLost
	}
	if r, ok := answer.(*openReply); ok {
		r.Authoritative = true
	}
	return nil
}

func (n *scriptedStores) Notify(context.Context, string, rpc.Method, any) error { return nil }

// However many turns run, the calls to a stalled store leave capacity for those to the others.
func TestCallsToStalledStoreAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stores := []Store{{ID: "a", Name: "a", Addr: "a"}, {ID: "b", Name: "b", Addr: "b"}, {ID: "c", Name: "c", Addr: "c"}}
		p := &Placement{Generation: 1, ReplicationFactor: 3, DurableReplicas: 2, FaultTolerance: 1, Old: stores}
		network := &scriptedStores{stalled: "b"}
		c := newClient(func() *Placement { return p }, network, "zone", process.NewLogger(io.Discard))
		const turns = 2 * maxBackground // within the time-out of a call to the stalled store
		var failed atomic.Int64
		var group sync.WaitGroup
		for i := range turns {
			program := fmt.Sprint("p", i)
			o, err := c.Open(t.Context(), OpenRequest{Program: program, Turn: program, MaxTokens: 1, Budget: 100})
			if err != nil {
				failed.Add(1)
				continue
			}
			group.Go(func() {
				if c.Close(t.Context(), o.Record(nil, nil, 1, time.Minute)) != nil {
					failed.Add(1)
				}
			})
			if i%64 == 0 {
				synctest.Wait()
			}
		}
		group.Wait()
		if n := failed.Load(); n > 0 {
			t.Errorf("%d of %d turns failed because one store is stalled", n, turns)
		}
		if n := network.calls.Load(); n == 0 || n > maxCallsPerStore {
			t.Errorf("%d calls to the stalled store", n)
		}
		c.Shutdown(t.Context())
		if len(c.inFlight) > 0 {
			t.Errorf("calls still counted as in flight: %v", c.inFlight)
		}
	})
}
