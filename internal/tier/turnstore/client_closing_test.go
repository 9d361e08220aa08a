package turnstore

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/internal/process"
)

// A long turn holds its memory until the call to a stalled store has ended: another one waits that long to be closed. A short turn does
// not wait, and at the end nothing is held.
func TestClosingWaitsForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stores := []Store{{ID: "a", Name: "a", Addr: "a"}, {ID: "b", Name: "b", Addr: "b"}, {ID: "c", Name: "c", Addr: "c"}}
		p := &Placement{Generation: 1, ReplicationFactor: 3, DurableReplicas: 2, FaultTolerance: 1, Old: stores}
		c := newClient(func() *Placement { return p }, &scriptedStores{stalled: "b"}, "zone", process.NewLogger(io.Discard))
		c.SetLimits(ClientLimits{Closing: 1 << 20})
		closeTurn := func(program string, size int) time.Duration {
			began := time.Now()
			turn := &Turn{Key: program, ID: program, Input: make([]byte, size), RetainSeconds: 60}
			if err := c.Close(t.Context(), turn); err != nil {
				t.Errorf("%s: %v", program, err)
			}
			return time.Since(began)
		}
		if took := closeTurn("first", 500<<10); took != 0 {
			t.Errorf("the first turn took %v", took)
		}
		if took := closeTurn("short", freeClosingBytes); took != 0 {
			t.Errorf("a short turn took %v", took)
		}
		if took := closeTurn("second", 500<<10); took != closeTimeout {
			t.Errorf("the second turn took %v, want the time-out of the stalled call, %v", took, closeTimeout)
		}
		time.Sleep(closeTimeout)
		synctest.Wait()
		if !c.closing.semaphore.TryAcquire(1 << 20) {
			t.Error("memory is still held")
		}
		c.Shutdown(t.Context())
	})
}
