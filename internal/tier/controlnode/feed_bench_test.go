package controlnode

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/bodydelta"
	"larchrouter/internal/tier/feed"
)

// pollingFollower is a follower that polls and keeps only the state that its next poll has to report.
type pollingFollower struct {
	q    feed.ChangesRequest
	call func(q *feed.ChangesRequest) ([]byte, error) // returns the encoded response
}

type pollCounters struct{ polls, requestBytes, bytes, patches, complete, failed atomic.Int64 }

func (h *pollingFollower) poll(n *pollCounters) {
	b, err := h.call(&h.q)
	a := new(feed.ChangesResponse)
	if err != nil || rpc.Decode(b, a) != nil || !a.Confirmed {
		n.failed.Add(1)
		return
	}
	n.polls.Add(1)
	n.requestBytes.Store(int64(len(rpc.Encode(&h.q))))
	n.bytes.Add(int64(len(b)))
	h.q.ReceivedIndex, h.q.AppliedIndex = a.Index, a.Index
	for _, p := range a.Patches {
		n.patches.Add(1)
		size := len(bodydelta.Digest{})
		h.q.BaseValues = []feed.BaseValue{{Key: feed.ConfigKey, Digest: p.Delta[1+size : 1+2*size]}}
	}
	for _, ref := range a.LargeValues {
		n.complete.Add(1)
		h.q.BaseValues = []feed.BaseValue{{Key: feed.ConfigKey, Digest: ref.Digest}}
	}
}

func ownCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// config1MB returns a configuration of 5,400 routes, one of which depends on the version.
func config1MB(version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"config_version":%d,"service_table":[{"name":"s"},{"name":"other"}],"route_table":[`, version)
	for i := range 5400 {
		if i > 0 {
			b.WriteByte(',')
		}
		target := "s"
		if i == 2700+version%10 {
			target = "other"
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host_name":"h%d.example","path_prefix":"/v1/%d/","route_kind":"idempotent","deadline_ms":30000,`+
			`"target_ms":9000,"max_attempts":3,"gap_aim_ms":0,"rank":0,"target_service":"%s"}`, i, i%680, i, target)
	}
	b.WriteString(`]}`)
	return []byte(b.String())
}

// pollFunc returns the function by which a follower polls node 0: over a socket, or directly.
func (c *cluster) pollFunc(ctx context.Context, sockets bool, wg *sync.WaitGroup) func(q *feed.ChangesRequest) ([]byte, error) {
	if !sockets {
		return func(q *feed.ChangesRequest) ([]byte, error) {
			a, err := c.cores[0].handleChanges(ctx, q)
			if err != nil {
				return nil, err
			}
			return rpc.Encode(a), nil
		}
	}
	client := rpc.NewClient(c.peerAddr(0))
	wg.Go(func() { <-ctx.Done(); client.Close() })
	return func(q *feed.ChangesRequest) ([]byte, error) {
		one, done := context.WithTimeout(ctx, 2*time.Second)
		defer done()
		a := new(feed.ChangesResponse)
		err := client.Call(one, feed.ChangesCall, q, a)
		return rpc.Encode(a), err
	}
}

// BenchmarkFollowers has 340 followers poll one of three core nodes in this process, once by direct calls and once over
// sockets, both idle and while versions of 1 MB that change one route are put in sequence. The CPU time is that of the
// whole process, including the followers and all three nodes.
func BenchmarkFollowers(b *testing.B) {
	for _, sockets := range []bool{false, true} {
		b.Run(fmt.Sprintf("sockets=%v", sockets), func(b *testing.B) {
			b.StopTimer()
			benchFollowers(b, sockets)
		})
	}
}

func benchFollowers(b *testing.B, sockets bool) {
	const followers, idleTime = 340, 3 * time.Second
	c := newCluster(b, 3)
	version := 1
	c.putConfigBody(0, config1MB(version))
	idle := ownCPUTime()
	time.Sleep(idleTime)
	idle = ownCPUTime() - idle

	n := new(pollCounters)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range followers {
		h := &pollingFollower{q: feed.ChangesRequest{Name: fmt.Sprint("front-", i), Class: "front", WaitMs: 500}, call: c.pollFunc(ctx, sockets, &wg)}
		wg.Go(func() {
			for ctx.Err() == nil {
				h.poll(n)
			}
		})
	}
	time.Sleep(time.Second) // until all followers poll
	before, polls, bytes := ownCPUTime(), n.polls.Load(), n.bytes.Load()
	time.Sleep(idleTime)
	cpuAtRest := ownCPUTime() - before - idle
	polls, bytes = n.polls.Load()-polls, n.bytes.Load()-bytes
	b.ReportMetric(float64(cpuAtRest.Microseconds())/float64(polls), "us/poll")
	b.ReportMetric(float64(bytes)/float64(polls), "B/poll")
	b.ReportMetric(float64(n.requestBytes.Load()), "B/request")
	b.ReportMetric(float64(polls)/idleTime.Seconds()/followers, "polls/s/follower")

	b.StartTimer()
	before, bytes = ownCPUTime(), n.bytes.Load()
	start := time.Now()
	patches := n.patches.Load()
	for range b.N {
		c.putConfigBody(version, config1MB(version+1))
		version++
		c.until("all followers have the version", func() bool {
			time.Sleep(time.Millisecond)
			return n.patches.Load()-patches >= int64((version-1)*followers)
		})
	}
	took := time.Since(start)
	b.StopTimer()
	spent := ownCPUTime() - before - idle*took/idleTime
	b.ReportMetric(float64(spent.Microseconds())/1000/float64(b.N), "ms-processor/version")
	b.ReportMetric(float64(took.Microseconds())/1000/float64(b.N), "ms/version")
	b.ReportMetric(float64(n.bytes.Load()-bytes)/float64(b.N)/followers, "B/version/follower")
	b.ReportMetric(float64(n.failed.Load()), "failed")
	stop()
	wg.Wait()
}
