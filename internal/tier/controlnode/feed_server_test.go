package controlnode

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/bodydelta"
	"larchrouter/internal/tier/chain"
	"larchrouter/internal/tier/feed"
)

// largeConfig returns a configuration of 150 KB.
func largeConfig(version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"config_version":%d,"service_table":[{"name":"s"}],"route_table":[`, version)
	for i := range 800 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host_name":"host-%[1]d.one-of-many.example","path_prefix":"/path-%[1]d/","route_kind":"idempotent",`+
			`"deadline_ms":%d,"target_service":"s"}`, i, 1000+i)
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}

func (c *cluster) putConfigBody(on int, body []byte) {
	c.t.Helper()
	c.until("a large configuration is acknowledged", func() bool {
		status, text := c.send(on%c.n, http.MethodPut, "/api/config", strconv.Itoa(on), body)
		if status >= 400 && status < 500 {
			c.t.Fatalf("%d %s", status, text)
		}
		return status == http.StatusOK
	})
}

// pollUntilConfirmed polls a core node until it returns a confirmed response.
func (c *cluster) pollUntilConfirmed(calls *rpc.Clients, node int, q *feed.ChangesRequest) *feed.ChangesResponse {
	c.t.Helper()
	var a *feed.ChangesResponse
	c.until("a confirmed response", func() bool {
		ctx, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		a = new(feed.ChangesResponse)
		return calls.To(c.peerAddr(node)).Call(ctx, feed.ChangesCall, q, a) == nil && a.Confirmed
	})
	return a
}

func (c *cluster) peerAddr(node int) string {
	return c.settings(0, false).PeerAddr(c.ip(node), process.CorePort)
}

func TestLargeConfigurationsAreSentInChunksAndDeltas(t *testing.T) {
	c := newCluster(t, 3)
	f, stop := c.follow("front-1")
	defer stop()
	c.putConfigBody(0, largeConfig(3))
	c.awaitActiveVersion(f, 3)

	calls := &rpc.Clients{}
	defer calls.Close()
	q := &feed.ChangesRequest{Name: "by hand", WaitMs: 500}
	a := c.pollUntilConfirmed(calls, 0, q)
	if len(a.LargeValues) != 1 || len(rpc.Encode(a)) > 1000 {
		t.Fatalf("%d values by digest in a response of %d bytes", len(a.LargeValues), len(rpc.Encode(a)))
	}
	value := c.fetchChunks(calls, a.LargeValues[0])

	c.putConfigBody(3, largeConfig(9))
	c.awaitActiveVersion(f, 9)
	q.ReceivedIndex = a.LargeValues[0].Index
	q.BaseValues = []feed.BaseValue{{Key: feed.ConfigKey, Digest: a.LargeValues[0].Digest}}
	b := c.pollUntilConfirmed(calls, 0, q)
	if len(b.Patches) != 1 || len(b.Patches[0].Delta) > 500 {
		t.Fatalf("%d values as deltas, %d by digest, %d complete", len(b.Patches), len(b.LargeValues), len(b.Entries))
	}
	next, err := bodydelta.Apply(value, b.Patches[0].Delta, rpc.MaxFrame)
	var e feed.ConfigEntry
	if err != nil || rpc.Decode(next, &e) != nil || string(e.Body) != string(largeConfig(9)) {
		t.Fatalf("version 9 by its delta: %v, %d bytes", err, len(e.Body))
	}
}

// fetchChunks fetches the chunks of a value from the nodes in turn.
func (c *cluster) fetchChunks(calls *rpc.Clients, ref feed.ValueRef) (value []byte) {
	c.t.Helper()
	node := 0
	c.until("all chunks are fetched", func() bool {
		ctx, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		p := new(feed.Chunk)
		node++
		q := &feed.ChunkRequest{Name: "by hand", Digest: ref.Digest, Offset: int64(len(value)), Length: 50_000}
		if calls.To(c.peerAddr(node%c.n)).Call(ctx, feed.ChunkCall, q, p) == nil && p.Status == feed.ChunkServed {
			value = append(value, p.Data...)
		}
		return int64(len(value)) == ref.Size
	})
	if digest := bodydelta.DigestOf(value); string(digest[:]) != string(ref.Digest) {
		c.t.Fatal("the chunks do not have the announced digest")
	}
	return value
}

// A follower of an earlier release polls by FollowCall and gets every value complete.
func TestFollowerOfEarlierReleaseIsServed(t *testing.T) {
	c := newCluster(t, 3)
	c.putConfigBody(0, largeConfig(3))
	calls := &rpc.Clients{}
	defer calls.Close()
	var a *feed.FollowResponse
	c.until("a confirmed response", func() bool {
		ctx, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		a = new(feed.FollowResponse)
		err := calls.To(c.peerAddr(1)).Call(ctx, feed.FollowCall, &feed.FollowRequest{Name: "old", WaitMs: 500}, a)
		return err == nil && a.Confirmed && a.Index > 0
	})
	var e feed.ConfigEntry
	if len(a.Entries) == 0 || rpc.Decode(a.Entries[0].Value, &e) != nil || e.Version != 3 {
		t.Fatalf("%d entries, version %d", len(a.Entries), e.Version)
	}
}

func TestConcurrentChunkTransfersAreLimited(t *testing.T) {
	var s feedServer
	value := rpc.Encode(&feed.ConfigEntry{Version: 3, Body: largeConfig(3)})
	digest := bodydelta.DigestOf(value)
	entry := []chain.Entry{{Index: 1, Key: feed.ConfigKey, Value: value}}
	q := func(i int) *feed.ChunkRequest {
		return &feed.ChunkRequest{Name: fmt.Sprint(i), Digest: digest[:], Length: 1 << 20}
	}
	served, busy := 0, 0
	for i := range 20 {
		switch p := s.serveChunk(q(i), entry, 0); p.Status {
		case feed.ChunkServed:
			served++
			if len(p.Data) != 64<<10 {
				t.Errorf("a chunk of %d bytes", len(p.Data))
			}
		case feed.ChunkBusy:
			busy++
		}
	}
	if served != 8 || busy != 12 {
		t.Errorf("%d followers got a chunk and %d had to wait, want 8 and 12", served, busy)
	}
	if p := s.serveChunk(&feed.ChunkRequest{Name: "x", Digest: make([]byte, 32)}, entry, 0); p.Status != feed.ChunkUnknown {
		t.Errorf("an unknown value: status %d", p.Status)
	}
}

// A node that was frozen answers the polls that arrive as it resumes before it receives what was committed meanwhile.
// Whatever its clock shows, a response must not be confirmed before a majority has confirmed the node after the poll
// arrived.
func TestFrozenNodeDoesNotServeStaleFeed(t *testing.T) {
	c := newCluster(t, 3)
	if got := c.put(3, 0, 0, 1, 2); got != http.StatusOK {
		t.Fatal(got)
	}
	f, stop := c.follow("front-1")
	defer stop()
	c.awaitActiveVersion(f, 3)
	frozen := c.cores[2]
	before := int64(0)
	c.until("the node has the version", func() bool {
		frozen.onLoop(func() { before = frozen.node.Chain().State().Commit })
		return before >= f.Tables().Index
	})
	release, woke := make(chan struct{}), make(chan feedSnapshot, 1)
	go frozen.onLoop(func() {
		<-release
		now := frozen.now()
		frozen.mergeReady(frozen.node.Tick(now)) // its clock advances before its sockets are read
		woke <- frozen.snapshotFeed(&feed.ChangesRequest{Name: "front-2"}, now, true)
	})
	if got := c.put(9, 3, 0, 1); got != http.StatusOK {
		t.Fatal(got)
	}
	close(release)
	m := <-woke
	if m.index != before {
		t.Fatalf("the node has index %d, want %d: it was not frozen", m.index, before)
	}
	if m.confirmed {
		t.Error("a poll that arrived as the node resumed got a confirmed response with the state from before the freeze")
	}
	calls := &rpc.Clients{}
	defer calls.Close()
	if a := c.pollUntilConfirmed(calls, 2, &feed.ChangesRequest{Name: "front-2", WaitMs: 500}); a.Index <= before {
		t.Errorf("a confirmed response at index %d, version 9 is above %d", a.Index, before)
	}
}

// A response needs a confirmation round that starts after its poll arrived; a round that ended before is not enough,
// even if the node considers itself up to date. The node starts the round at once, without waiting for the next
// heartbeats.
func TestPollWaitsForConfirmationRound(t *testing.T) {
	c := newCluster(t, 3)
	if got := c.put(3, 0, 0, 1, 2); got != http.StatusOK {
		t.Fatal(got)
	}
	q := &feed.ChangesRequest{Name: "front-1"}
	for i, core := range c.cores {
		var arrival time.Duration
		var m feedSnapshot
		c.until("a node that was confirmed recently", func() bool {
			core.onLoop(func() {
				arrival = core.now()
				m = core.snapshotFeed(q, arrival, true)
			})
			return m.recent && m.index > 0
		})
		if m.confirmed || m.ready == nil {
			t.Fatalf("node %d: a poll was confirmed on arrival", i)
		}
		c.until("a round that started after the poll", func() bool {
			core.onLoop(func() { m = core.snapshotFeed(q, arrival, true) })
			if !m.confirmed {
				<-m.ready // closed when the poll has ended at the latest
			}
			return m.confirmed
		})
		if len(m.entries) == 0 {
			t.Errorf("node %d: no entries after the round", i)
		}
	}
}
