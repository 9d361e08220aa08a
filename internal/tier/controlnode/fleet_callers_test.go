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

// sentRequest is an HTTP request that is completely written to a connection to a node, even if the node cannot read it
// yet.
type sentRequest struct {
	name  string
	conn  net.Conn
	order observedPut // its body is empty unless the request is a PUT
}

// sendRequest writes a request to a new connection to a node's control address.
func (f *fleet) sendRequest(i int, name, method, path string, on int64, body string) *sentRequest {
	f.t.Helper()
	conn, err := net.DialTimeout("tcp4", f.control(i), time.Second)
	if err != nil {
		f.t.Fatal(err)
	}
	c := &sentRequest{name: name, conn: conn, order: observedPut{node: i, baseVersion: on, version: versionOf(body), body: body}}
	c.order.began = f.hist.now()
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: core\r\nConnection: close\r\nIf-Match: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, on, len(body), body)
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// awaitResponse waits for the response and records it in the history; status 0 means no response.
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
		h.addPut(c.order)
	}
	return resp.StatusCode, string(b)
}

// sendEachRequestKind sends one request of each kind to a node: a retry of the newest change, a change on the newest
// version, a change on an outdated version, a read, a retirement of a store, and a read of its phase.
func (f *fleet) sendEachRequestKind(i, tag int) []*sentRequest {
	f.t.Helper()
	newest, body := f.hist.newestAcknowledged()
	on := int64(0)
	f.hist.mu.Lock()
	for _, o := range f.hist.puts {
		if o.body == body {
			on = o.baseVersion
		}
	}
	f.hist.mu.Unlock()
	return []*sentRequest{
		f.sendRequest(i, "a retry of the newest change", http.MethodPut, "/api/config", on, body),
		f.sendRequest(i, "a change on the newest version", http.MethodPut, "/api/config", newest, variant(newest+1, 3+tag%4)),
		f.sendRequest(i, "a change on an outdated version", http.MethodPut, "/api/config", 0, variant(newest+2, 50+tag)),
		f.sendRequest(i, "a read", http.MethodGet, "/api/config", 0, ""),
		f.sendRequest(i, "a retirement of a store", http.MethodPost, "/api/retire/nobody", 0, ""),
		f.sendRequest(i, "a read of a retirement's phase", http.MethodGet, "/api/retire/nobody", 0, ""),
	}
}

// requireOutcomeUnknown waits for the responses of a node that no majority can confirm: each must arrive within
// maxResponseTime and must not decide the request.
func (f *fleet) requireOutcomeUnknown(calls []*sentRequest, since time.Time) {
	f.t.Helper()
	var all sync.WaitGroup
	for _, c := range calls {
		all.Go(func() {
			status, text := c.awaitResponse(f.hist, 2*maxResponseTime)
			took := time.Since(since)
			if status != http.StatusServiceUnavailable && status != http.StatusTemporaryRedirect {
				f.t.Errorf("node %d, which no majority confirms, answers %s with %d %s after %v", c.order.node, c.name, status, text, took)
			} else if took > maxResponseTime {
				f.t.Errorf("node %d answers %s after %v, limit %v", c.order.node, c.name, took, maxResponseTime)
			}
		})
	}
	all.Wait()
}

// requireOutcomeUnknownWhilePartitioned sends requests to a partitioned node in waves, for longer than the node may
// consider itself up to date, and polls its feed as well, which must not return stale data.
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

// startOperators runs callers that read and change the configuration at random nodes until stop is called.
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
				body := variant(on+1+int64(r.IntN(2)), 1000+round*2+op) // at times two changes have the same version
				if r.IntN(4) == 0 {
					body = variant(on+1, 0) // at times both callers send the same change
				}
				for range 3 { // retry at a random node while the outcome is unknown
					if got := f.put(nodes[r.IntN(len(nodes))], on, body); got == http.StatusOK || got >= 400 && got < 500 {
						break
					}
				}
			}
		})
	}
	return func() { cancel(); all.Wait() }
}

// startFollower runs a follower whose first source is a given node, and records the versions that it uses. It reaches
// all nodes directly. Its seeds are the three seeds of the fleet, or only the first source if alone is set.
func (f *fleet) startFollower(first int, alone bool) (follower *feed.Follower, stop func()) {
	f.t.Helper()
	seeds := []int{0, 1, 2}
	if alone {
		seeds = []int{first}
	}
	return f.startFollowerWithClients(&rpc.Clients{}, first, seeds...)
}

// startFollowerWithClients runs a follower that uses the given clients; stop closes them.
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
				f.hist.addActivation(observedActivation{f.hist.now(), fmt.Sprintf("%s of %v", s.NodeName, began), began, last})
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

// awaitNewestActive waits until a follower uses the newest version.
func (f *fleet) awaitNewestActive(follower *feed.Follower) {
	f.t.Helper()
	newest, _ := f.hist.newestAcknowledged()
	f.until(fmt.Sprintf("the follower uses version %d", newest), func() bool {
		now := follower.Tables().Config
		return now != nil && now.Version >= newest
	})
}

// newLoggedSeed returns a seed, which it logs, and a generator with that seed.
func newLoggedSeed(t *testing.T) (seed uint64, r *rand.Rand) {
	seed = uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	return seed, rand.New(rand.NewPCG(seed, 7))
}
