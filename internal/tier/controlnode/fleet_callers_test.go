package controlnode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
)

// sentRequest is a call of which every byte is in the socket of a node, whether that can read it yet or not.
type sentRequest struct {
	name  string
	conn  net.Conn
	order observedPut // body "" for a call that is no change
}

// sendRequest puts a call into the socket of a node's control address.
func (f *fleet) sendRequest(i int, name, method, path string, on int64, body string) *sentRequest {
	f.t.Helper()
	conn, err := net.DialTimeout("tcp4", f.control(i), time.Second)
	if err != nil {
		f.t.Fatal(err)
	}
	c := &sentRequest{name: name, conn: conn, order: observedPut{node: i, on: on, version: versionOf(body), body: body}}
	c.order.began = f.hist.now()
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: core\r\nConnection: close\r\nIf-Match: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, on, len(body), body)
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// awaitResponse waits for the answer and notes it; status 0 is none.
func (c *sentRequest) awaitResponse(h *history, limit time.Duration) (status int, text string) {
	defer c.conn.Close()
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	if c.order.body != "" {
		c.order.status, c.order.text, c.order.ended = resp.StatusCode, string(b), h.now()
		h.order(c.order)
	}
	return resp.StatusCode, string(b)
}

// sendEachRequestKind writes one call of each kind to a node: the newest change again, one on the newest version, one on a version
// that is past, a reading, an order about a store, and a reading of that.
func (f *fleet) sendEachRequestKind(i, tag int) []*sentRequest {
	f.t.Helper()
	newest, body := f.hist.newest()
	on := int64(0)
	f.hist.mu.Lock()
	for _, o := range f.hist.orders {
		if o.body == body {
			on = o.on
		}
	}
	f.hist.mu.Unlock()
	return []*sentRequest{
		f.sendRequest(i, "the newest change again", http.MethodPut, "/api/config", on, body),
		f.sendRequest(i, "a change on the newest version", http.MethodPut, "/api/config", newest, variant(newest+1, 3+tag%4)),
		f.sendRequest(i, "a change on a version that is past", http.MethodPut, "/api/config", 0, variant(newest+2, 50+tag)),
		f.sendRequest(i, "a reading", http.MethodGet, "/api/config", 0, ""),
		f.sendRequest(i, "an order to empty a store", http.MethodPost, "/api/retire/nobody", 0, ""),
		f.sendRequest(i, "a reading of how far a store is", http.MethodGet, "/api/retire/nobody", 0, ""),
	}
}

// requireOutcomeUnknown waits for the answers of a node that no majority can have confirmed anything to: each
// comes within a caller's second and proves nothing.
func (f *fleet) requireOutcomeUnknown(calls []*sentRequest, since time.Time) {
	f.t.Helper()
	var all sync.WaitGroup
	for _, c := range calls {
		all.Go(func() {
			status, text := c.awaitResponse(f.hist, 2*maxResponseTime)
			took := time.Since(since)
			if status != http.StatusServiceUnavailable && status != http.StatusTemporaryRedirect {
				f.t.Errorf("node %d cannot know, and answers %s with %d %s after %v", c.order.node, c.name, status, text, took)
			} else if took > maxResponseTime {
				f.t.Errorf("node %d answers %s after %v, limit %v", c.order.node, c.name, took, maxResponseTime)
			}
		})
	}
	all.Wait()
}

// requireOutcomeUnknownWhilePartitioned calls a partitioned node, wave after wave over more than the time in which it could take
// itself for fresh, and polls its feed as well: an answer of that must not be old.
func (f *fleet) requireOutcomeUnknownWhilePartitioned(i int) {
	f.t.Helper()
	const waves, apart = 8, 110 * time.Millisecond
	next := time.NewTicker(apart)
	defer next.Stop()
	var all sync.WaitGroup
	for wave := range waves {
		calls, since := f.sendEachRequestKind(i, wave), time.Now()
		all.Go(func() { f.requireOutcomeUnknown(calls, since) })
		all.Go(func() { f.readFeed(i) })
		<-next.C
	}
	all.Wait()
}

// startOperators has callers read and change at any node until stop is called.
func (f *fleet) startOperators(seed uint64, nodes ...int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for op := range 2 {
		all.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(op)))
			next := time.NewTicker(retryPause)
			defer next.Stop()
			for round := 0; ctx.Err() == nil; {
				<-next.C
				status, on := f.read(nodes[r.IntN(len(nodes))])
				f.readFeed(nodes[r.IntN(len(nodes))])
				if status != http.StatusOK {
					continue
				}
				round++
				body := variant(on+1+int64(r.IntN(2)), 1000+round*2+op) // one number for two changes, at times
				if r.IntN(4) == 0 {
					body = variant(on+1, 0) // the very same change as the other's, at times
				}
				for range 3 { // again as it was, to any node, while the answer is not clear
					if got := f.put(nodes[r.IntN(len(nodes))], on, body); got == http.StatusOK || got >= 400 && got < 500 {
						break
					}
				}
			}
		})
	}
	return func() { cancel(); all.Wait() }
}

// startFollower runs a follower whose first source is a node, and notes what it acts on; it reaches all nodes directly. Its
// seeds are the three that all are told of, or that first node alone.
func (f *fleet) startFollower(first int, alone bool) (startFollower *feed.Follower, stop func()) {
	f.t.Helper()
	seeds := []int{0, 1, 2}
	if alone {
		seeds = []int{first}
	}
	return f.startFollowerWithClients(&rpc.Clients{}, first, seeds...)
}

// startFollowerWithClients runs a follower that calls nodes by some clients, which it closes.
func (f *fleet) startFollowerWithClients(calls *rpc.Clients, first int, seeds ...int) (follower *feed.Follower, stop func()) {
	f.t.Helper()
	s, err := process.Parse([]byte(f.settings(first, false)))
	if err != nil {
		f.t.Fatal(err)
	}
	s.MachineClass = "front"
	s.Seeds = nil
	for _, i := range seeds {
		s.Seeds = append(s.Seeds, f.control(i))
	}
	for again := 0; again < 100 && (follower == nil || follower.Core() != f.peer(first)); again++ {
		s.NodeName = fmt.Sprintf("front-%d", again)
		follower = feed.NewFollower(s, calls, process.NewLogger(io.Discard))
	}
	ctx, cancel := context.WithCancel(context.Background())
	began := f.hist.now()
	var all sync.WaitGroup
	all.Go(func() { follower.Run(ctx) })
	all.Go(func() {
		last := int64(0)
		for {
			changed := follower.Changed()
			if now := follower.Tables().Config; now != nil && now.Version != last {
				last = now.Version
				f.hist.act(observedActivation{f.hist.now(), fmt.Sprintf("%s of %v", s.NodeName, began), began, last})
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	})
	return follower, func() { cancel(); calls.Close(); all.Wait() }
}

// awaitNewestActive waits until a follower acts on the newest version.
func (f *fleet) awaitNewestActive(follower *feed.Follower) {
	f.t.Helper()
	newest, _ := f.hist.newest()
	f.until(fmt.Sprintf("the follower acts on version %d", newest), func() bool {
		now := follower.Tables().Config
		return now != nil && now.Version >= newest
	})
}

// newLoggedSeed returns a seed and logs it.
func newLoggedSeed(t *testing.T) (seed uint64, r *rand.Rand) {
	seed = uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	return seed, rand.New(rand.NewPCG(seed, 7))
}
