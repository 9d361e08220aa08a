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
			t.Errorf("%v: status %d for a rejection", k, r.Status)
		case k == orders.Unavailable && r.Status != http.StatusServiceUnavailable:
			t.Errorf("%v: status %d", k, r.Status)
		case !k.IsRejection() && k != orders.Unavailable && r.Status != http.StatusOK:
			t.Errorf("%v: status %d", k, r.Status)
		}
	}
}

func TestRepeatedOrderIsAcknowledgedAfterManyOthers(t *testing.T) {
	const versions = 80
	c := newCluster(t, 3)
	for v := 1; v <= versions; v++ {
		if got := c.put(v, v-1, v%3, (v+1)%3); got != http.StatusOK {
			t.Fatalf("put of version %d: status %d", v, got)
		}
	}
	for v := 1; v <= versions; v++ {
		if got := c.put(v, v-1, v%3, (v+1)%3); got != http.StatusOK {
			t.Errorf("repeated put of version %d: status %d", v, got)
		}
	}
	for i, one := range []struct{ baseVersion, version, want int }{
		{0, versions, http.StatusServiceUnavailable}, // the current configuration, with another base version
		{1, 3, http.StatusServiceUnavailable},
		{versions, 3, http.StatusServiceUnavailable},
		{5, versions + 1, http.StatusPreconditionFailed},
	} {
		got, text := c.send(i%3, http.MethodPut, "/api/config", strconv.Itoa(one.baseVersion), config(one.version))
		if got != one.want || strings.Contains(text, "no majority") {
			t.Errorf("version %d based on %d: status %d %s", one.version, one.baseVersion, got, text)
		}
	}
	other := strings.Replace(string(config(3)), `"r"`, `"other"`, 1) // a version 3 that was never accepted
	for match, want := range map[int]int{2: http.StatusPreconditionFailed, versions: http.StatusBadRequest} {
		if got, text := c.send(1, http.MethodPut, "/api/config", strconv.Itoa(match), []byte(other)); got != want {
			t.Errorf("another version 3 based on %d: status %d %s", match, got, text)
		}
	}
	if got := c.get(0); got != string(config(versions)) {
		t.Errorf("unexpected current configuration: %s", got)
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
	c.until("a node has all committed entries", func() bool {
		ctx, done := context.WithTimeout(context.Background(), 2*time.Second)
		defer done()
		a = feed.FollowResponse{}
		err := to.Call(ctx, feed.FollowCall, &feed.FollowRequest{Name: "front-1", Class: "front", WaitMs: 500}, &a)
		return err == nil && a.Confirmed && a.Index >= 6 // each version appends two entries: the order and the configuration
	})
	if len(a.Entries) != 1 || a.Entries[0].Key != feed.ConfigKey {
		t.Fatalf("a follower was sent %v, want only the configuration", a.Entries)
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
		"superseded base version":        {http.MethodPut, "/api/config", "1", config(9)},
		"version not above the current":  {http.MethodPut, "/api/config", "2", config(2)},
		"repeated order":                 {http.MethodPut, "/api/config", "0", config(1)},
		"truncated body":                 {http.MethodPut, "/api/config", "2", config(9)[:60]},
		"valid order":                    {http.MethodPut, "/api/config", "2", config(9)},
		"read":                           {http.MethodGet, "/api/config", "", nil},
		"retirement of an unknown store": {http.MethodPost, "/api/retire/nobody", "", []byte(`{"within_s":10}`)},
		"phase of an unknown store":      {http.MethodGet, "/api/retire/nobody", "", nil},
	} {
		began := time.Now()
		if got, text := c.send(0, one.method, one.path, one.match, one.body); got != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d %s", name, got, text)
		}
		t.Logf("%s: %v", name, time.Since(began).Round(time.Millisecond))
	}
}

// Requests that their callers have abandoned are removed from the pending ones. At a head without a majority they would
// otherwise stay there, as their writes do not complete while its epoch lasts.
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
	var begun atomic.Int64 // the loop may start a request whose caller has just abandoned it
	for i := range 20 {
		callers.Go(func() {
			short, done := context.WithTimeout(ctx, 50*time.Millisecond)
			defer done()
			if _, completed := core.submit(short, nodeFunc(func(requestID int64) Ready {
				begun.Add(1)
				return core.node.Write(core.now(), requestID, "key", fmt.Append(nil, i))
			})); completed {
				t.Error("a write without a majority was completed")
			}
		})
	}
	callers.Wait()
	if begun.Load() == 0 {
		t.Fatal("the event loop has started none of the requests")
	}
	left := -1
	for end := time.Now().Add(10 * time.Second); left != 0 && time.Now().Before(end); {
		core.onLoop(func() { left = len(core.pendingRequests) })
	}
	if left != 0 {
		t.Fatalf("of %d abandoned requests %d are still pending", begun.Load(), left)
	}
}
