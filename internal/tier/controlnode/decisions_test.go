package controlnode

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
)

func TestEveryDecisionKindHasHTTPStatus(t *testing.T) {
	for k := orders.Accept; k <= orders.Found; k++ {
		r := replyFor(orders.Decision{Kind: k, Reason: "reason", Body: []byte("{}")})
		switch {
		case k.IsRejection() && (r.Status < 400 || r.Status >= 500):
			t.Errorf("%v: %d, a refusal", k, r.Status)
		case k == orders.Unavailable && r.Status != http.StatusServiceUnavailable:
			t.Errorf("%v: %d", k, r.Status)
		case !k.IsRejection() && k != orders.Unavailable && r.Status != http.StatusOK:
			t.Errorf("%v: %d", k, r.Status)
		}
	}
}

func TestRepeatedOrderIsAcknowledgedAfterManyOthers(t *testing.T) {
	const versions = 80
	c := newCluster(t, 3)
	for v := 1; v <= versions; v++ {
		if got := c.put(v, v-1, v%3, (v+1)%3); got != http.StatusOK {
			t.Fatalf("version %d: %d", v, got)
		}
	}
	for v := 1; v <= versions; v++ {
		if got := c.put(v, v-1, v%3, (v+1)%3); got != http.StatusOK {
			t.Errorf("version %d again: %d", v, got)
		}
	}
	for i, one := range []struct{ on, version, want int }{
		{0, versions, http.StatusServiceUnavailable}, // this very configuration, on another version
		{1, 3, http.StatusServiceUnavailable},
		{versions, 3, http.StatusServiceUnavailable},
		{5, versions + 1, http.StatusPreconditionFailed},
	} {
		got, text := c.send(i%3, http.MethodPut, "/api/config", strconv.Itoa(one.on), config(one.version))
		if got != one.want || strings.Contains(text, "no majority") {
			t.Errorf("version %d on %d: %d %s", one.version, one.on, got, text)
		}
	}
	other := strings.Replace(string(config(3)), `"r"`, `"other"`, 1) // version 3 as nobody had it taken
	for match, want := range map[int]int{2: http.StatusPreconditionFailed, versions: http.StatusBadRequest} {
		if got, text := c.send(1, http.MethodPut, "/api/config", strconv.Itoa(match), []byte(other)); got != want {
			t.Errorf("another version 3 on %d: %d %s", match, got, text)
		}
	}
	if got := c.get(0); got != string(config(versions)) {
		t.Errorf("in force: %s", got)
	}
}

func TestFeedExcludesOrders(t *testing.T) {
	c := newCluster(t, 3)
	for v := 1; v <= 3; v++ {
		if got := c.put(v, v-1, 0, 1, 2); got != http.StatusOK {
			t.Fatalf("version %d: %d", v, got)
		}
	}
	calls := &rpc.Clients{}
	defer calls.Close()
	settings := c.settings(0, false)
	to := calls.To(settings.PeerAddr(c.control(0), process.CorePort))
	var a feed.FollowResponse
	c.until("a node has all that is committed", func() bool {
		ctx, done := context.WithTimeout(context.Background(), 2*time.Second)
		defer done()
		a = feed.FollowResponse{}
		err := to.Call(ctx, feed.FollowCall, &feed.FollowRequest{Name: "front-1", Class: "front", WaitMs: 500}, &a)
		return err == nil && a.Confirmed && a.Index >= 6 // each version is a record and a configuration
	})
	if len(a.Entries) != 1 || a.Entries[0].Key != feed.ConfigKey {
		t.Fatalf("a follower is sent %v", a.Entries)
	}
}

func TestNodeWithoutMajorityRejectsNothing(t *testing.T) {
	c := newCluster(t, 3)
	for v := 1; v <= 2; v++ {
		if got := c.put(v, v-1, 0, 1, 2); got != http.StatusOK {
			t.Fatalf("version %d: %d", v, got)
		}
	}
	c.crashNode[1]()
	c.crashNode[2]()
	for name, one := range map[string]struct {
		method, path, match string
		body                []byte
	}{
		"on a version that is past":   {http.MethodPut, "/api/config", "1", config(9)},
		"a version not above":         {http.MethodPut, "/api/config", "2", config(2)},
		"taken before":                {http.MethodPut, "/api/config", "0", config(1)},
		"cut short":                   {http.MethodPut, "/api/config", "2", config(9)[:60]},
		"the next":                    {http.MethodPut, "/api/config", "2", config(9)},
		"read":                        {http.MethodGet, "/api/config", "", nil},
		"an unknown store":            {http.MethodPost, "/api/retire/nobody", "", []byte(`{"within_s":10}`)},
		"the phase of an unknown one": {http.MethodGet, "/api/retire/nobody", "", nil},
	} {
		began := time.Now()
		if got, text := c.send(0, one.method, one.path, one.match, one.body); got != http.StatusServiceUnavailable {
			t.Errorf("%s: %d %s", name, got, text)
		}
		t.Logf("%s: %v", name, time.Since(began).Round(time.Millisecond))
	}
}

// TestAbandonedRequestsAreDropped asks a head without a majority: what is written there has no end as long as its epoch
// lasts.
func TestAbandonedRequestsAreDropped(t *testing.T) {
	settings := &cluster{t: t, basePort: findFreeBasePort(t), n: 3, dirs: []string{t.TempDir()}}
	core, err := Open(settings.settings(0, true), process.NewLogger(io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running, callers sync.WaitGroup
	running.Go(func() {
		if err := core.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	defer running.Wait()
	defer cancel()
	var begun atomic.Int64 // the loop may begin one whose caller has just given up
	for i := range 20 {
		callers.Go(func() {
			short, done := context.WithTimeout(ctx, 50*time.Millisecond)
			defer done()
			if _, completed := core.submit(short, nodeFunc(func(requestID int64) Ready {
				begun.Add(1)
				return core.node.Write(core.now(), requestID, "key", fmt.Append(nil, i))
			})); completed {
				t.Error("a write without a majority was done")
			}
		})
	}
	callers.Wait()
	if begun.Load() == 0 {
		t.Fatal("the loop has taken none of the orders")
	}
	left := -1
	for end := time.Now().Add(10 * time.Second); left != 0 && time.Now().Before(end); {
		core.onLoop(func() { left = len(core.pendingRequests) })
	}
	if left != 0 {
		t.Fatalf("of %d abandoned requests %d are still pending", begun.Load(), left)
	}
}
