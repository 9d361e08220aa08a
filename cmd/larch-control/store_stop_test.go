package main

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/turnstore"
)

// fakeCore is a core node that answers requests to stop, and what a store's follower knows of it.
type fakeCore struct {
	addr      string
	placement *turnstore.Placement
	requests  atomic.Int64
}

func (c *fakeCore) Placement() *turnstore.Placement { return c.placement }
func (c *fakeCore) Core() string                    { return c.addr }

// newFakeCore serves the responses, one after the other and then the last one again; without responses it does not know the call.
func newFakeCore(t *testing.T, responses ...feed.StopStoreResponse) *fakeCore {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core := &fakeCore{addr: listener.Addr().String(), placement: new(turnstore.Placement)}
	handlers := map[rpc.Method]rpc.Handler{}
	if len(responses) > 0 {
		handlers[feed.StopStoreCall] = func(context.Context, []byte) (any, error) {
			n := min(int(core.requests.Add(1)), len(responses))
			return &responses[n-1], nil
		}
	}
	server := rpc.NewServer(handlers)
	done := make(chan struct{})
	go func() { server.Serve(listener); close(done) }()
	t.Cleanup(func() { server.Close(); <-done })
	return core
}

// A store that was told to stop ends once the core permits it, and at the latest after its timeout.
func TestStoreWaitsForPermissionToStop(t *testing.T) {
	const timeout = 600 * time.Millisecond
	denied := feed.StopStoreResponse{Placed: true}
	placed := feed.StopStoreResponse{MayStop: true, Placed: true}
	unplaced := feed.StopStoreResponse{MayStop: true}
	unreachable := newFakeCore(t, placed)
	unreachable.addr = "127.0.0.1:1"
	starting := newFakeCore(t, denied)
	starting.placement = nil
	for _, test := range []struct {
		name          string
		core          *fakeCore
		min, max      time.Duration
		requests      int64
		wantsUnplaced bool
	}{
		{"permitted at once", newFakeCore(t, placed), 0, 250 * time.Millisecond, 1, false},
		{"permitted at the third request", newFakeCore(t, denied, denied, placed), 2 * stopRequestInterval, timeout, 3, false},
		{"it has left the placement", newFakeCore(t, denied, unplaced), stopLinger, timeout, 2, true},
		{"the core does not know the call", newFakeCore(t), 0, 250 * time.Millisecond, 0, false},
		{"the core cannot be reached", unreachable, timeout, 2 * timeout, 0, false},
		{"never permitted", newFakeCore(t, denied), timeout, 2 * timeout, 0, false},
		{"no placement yet", starting, timeout, 2 * timeout, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			calls := &rpc.Clients{}
			defer calls.Close()
			left := false
			leaver := &leaver{core: test.core, calls: calls, id: "id", log: slog.New(slog.DiscardHandler), unplaced: func() { left = true }}
			told := make(chan struct{})
			permitted := leaver.awaitPermission(t.Context(), told, timeout)
			select {
			case <-permitted:
				t.Fatal("it ends before it was told to stop")
			case <-time.After(20 * time.Millisecond):
			}
			began := time.Now()
			close(told)
			<-permitted
			if took := time.Since(began); took < test.min || took > test.max {
				t.Errorf("it ends after %v, want %v to %v", took, test.min, test.max)
			}
			if got := test.core.requests.Load(); test.requests > 0 && got != test.requests {
				t.Errorf("it asks %d times, want %d", got, test.requests)
			}
			if left != test.wantsUnplaced {
				t.Errorf("it stops registering: %v, want %v", left, test.wantsUnplaced)
			}
		})
	}
}

// A store that has not reached the core waits for joinTimeout only; one whose disk fails does not wait at all.
func TestStoreWithoutCoreStopsSoon(t *testing.T) {
	core := newFakeCore(t, feed.StopStoreResponse{Placed: true})
	core.placement = nil
	calls := &rpc.Clients{}
	defer calls.Close()
	leaver := &leaver{core: core, calls: calls, id: "id", log: slog.New(slog.DiscardHandler), unplaced: func() {}}
	told := make(chan struct{})
	close(told)
	began := time.Now()
	<-leaver.awaitPermission(t.Context(), told, time.Minute)
	if took := time.Since(began); took < joinTimeout || took > 5*joinTimeout {
		t.Errorf("without a placement it ends after %v, want about %v", took, joinTimeout)
	}
	failed, fail := context.WithCancel(t.Context())
	fail()
	<-leaver.awaitPermission(failed, make(chan struct{}), time.Minute)
}

// The grace period leaves time to close the store, also a short one.
func TestStopTimeoutIsWithinGracePeriod(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		8 * time.Second: 7 * time.Second, 2 * time.Second: time.Second, time.Second: 500 * time.Millisecond, 0: 0,
	} {
		if got := stopTimeout(grace); got != want {
			t.Errorf("of %v a store waits for %v, want %v", grace, got, want)
		}
	}
}
