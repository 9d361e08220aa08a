package controlnode

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
)

// TestMain runs the tests, or in a child process of the tests a core node or a follower; see process_test.go.
func TestMain(m *testing.M) {
	if routes, ok := os.LookupEnv(routesVariable); ok {
		os.Exit(childMain(routes))
	}
	if _, ok := os.LookupEnv(followerVariable); ok {
		os.Exit(followerMain())
	}
	_ = flag.Set("test.parallel", "4") // a default that the command line overrides: tests with processes mostly wait
	goleak.VerifyTestMain(m)
}

// cluster is a set of core nodes in this process, each with its own loopback addresses, sockets and disk.
type cluster struct {
	t         testing.TB
	basePort  int // the control port; the port range starts above it
	n         int
	dirs      []string
	stopNode  []func()
	crashNode []func() // stops a node without a graceful shutdown
	http      *http.Client
	cores     []*Server
	logs      syncBuffer // of all nodes

	platform string // address of the platform, empty for none
}

// findFreeBasePort returns a port that is free on 127.0.0.1. It does not check the addresses of the nodes, nor the port
// range above.
func findFreeBasePort(t testing.TB) int {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func newCluster(t testing.TB, n int) *cluster { return newClusterWith(t, n, "") }

func newClusterWith(t testing.TB, n int, platform string) *cluster {
	t.Helper()
	c := &cluster{
		t:         t,
		platform:  platform,
		basePort:  findFreeBasePort(t),
		n:         n,
		dirs:      make([]string, n),
		stopNode:  make([]func(), n),
		crashNode: make([]func(), n),
		cores:     make([]*Server, n),
		http:      &http.Client{Timeout: 3 * time.Second},
	}
	for i := range n {
		c.dirs[i] = t.TempDir()
		c.start(i, true)
	}
	t.Cleanup(func() {
		for i := range c.stopNode {
			c.stop(i)
		}
		c.http.CloseIdleConnections()
	})
	return c
}

func (c *cluster) ip(i int) string      { return fmt.Sprintf("127.0.%d.%d", 10+c.basePort%200, i+1) }
func (c *cluster) control(i int) string { return net.JoinHostPort(c.ip(i), strconv.Itoa(c.basePort)) }

func (c *cluster) settings(i int, bootstrap bool) *process.Settings {
	c.t.Helper()
	text := fmt.Sprintf("node_name: core-%d\nip_addr: %s\nzone_name: z\nregion_name: r\nzones: {z: r}\nbind_addrs: {control_addr: '%s'}\nport_range: [%d, %d]\n"+
		"seed_nodes: ['%s', '%s', '%s']\nbootstrap: %v\ndata_dir: '%s'\nlimits: {memory_mb: 64, max_fds: 256, disk_mb: 64}\nfault_tolerance: {machine_losses: 1}\ntiming_bounds: {contact_ms: 3000}\n",
		i, c.ip(i), c.control(i), c.basePort+1, c.basePort+10, c.control(0), c.control(1), c.control(2), bootstrap, c.dirs[i])
	if c.platform != "" {
		text += "cloud_api: {address: '" + c.platform + "', rate_per_s: 40, max_lag_ms: 800}\n"
	}
	s, err := process.Parse([]byte(text))
	if err != nil {
		c.t.Fatal(err)
	}
	return s
}

func (c *cluster) start(i int, bootstrap bool) {
	c.t.Helper()
	c.startWith(i, c.settings(i, bootstrap))
}

func (c *cluster) startWith(i int, settings *process.Settings) {
	c.t.Helper()
	core, err := Open(settings, process.NewLogger(&c.logs))
	if err != nil {
		c.t.Fatal(err)
	}
	c.cores[i] = core
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := core.Run(ctx); err != nil {
			c.t.Errorf("core %d: %v", i, err)
		}
	})
	c.stopNode[i] = func() { cancel(); wg.Wait() }
	c.crashNode[i] = func() { core.stop(); cancel(); wg.Wait(); c.stopNode[i] = nil }
}

func (c *cluster) stop(i int) {
	if c.stopNode[i] != nil {
		c.stopNode[i]()
		c.stopNode[i] = nil
	}
}

// until calls f until it returns true, for at most 20 s. f has to block between attempts.
func (c *cluster) until(what string, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if f() {
			return
		}
	}
	for i := range c.n {
		_, b := c.send(i, "GET", "/api/status", "", nil)
		_, election := c.send(i, "GET", "/api/election", "", nil)
		c.t.Log(i, b, election)
	}
	c.t.Fatalf("not within 20 s: %s", what)
}

func config(version int) []byte {
	return fmt.Appendf(nil, `{"config_version":%d,"route_table":[{"name":"r","host_name":"h.example","path_prefix":"/a/","route_kind":"idempotent","deadline_ms":%d,"target_ms":100,"rank":0,"target_service":"s","max_attempts":2}],"service_table":[{"name":"s","health_path":"/health","conn_limit":10,"protocol":"h1","tls_mode":false}]}`, version, 1000+version)
}

// send sends an operator's request to a core node; status 0 means no response.
func (c *cluster) send(i int, method, path, match string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+c.control(i)+path, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// put sends a configuration to the given nodes in turn until one accepts or rejects it.
func (c *cluster) put(version, on int, nodes ...int) int {
	c.t.Helper()
	status := 0
	c.until(fmt.Sprintf("a decision on version %d", version), func() bool {
		for _, i := range nodes {
			if status, _ = c.send(i, http.MethodPut, "/api/config", strconv.Itoa(on), config(version)); status != 0 && status < 500 {
				return true
			}
		}
		return false
	})
	return status
}

func (c *cluster) get(node int) string {
	c.t.Helper()
	body := ""
	c.until("the configuration", func() bool {
		status := 0
		status, body = c.send(node, http.MethodGet, "/api/config", "", nil)
		return status == http.StatusOK
	})
	return body
}

func (c *cluster) follow(name string) (*feed.Follower, func()) {
	s := c.settings(0, false)
	s.NodeName, s.MachineClass = name, "front"
	calls := &rpc.Clients{}
	f := feed.NewFollower(s, calls, process.NewLogger(io.Discard))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	return f, func() { cancel(); calls.Close(); wg.Wait() }
}

func (c *cluster) awaitActiveVersion(f *feed.Follower, version int64) {
	c.t.Helper()
	limit := time.NewTimer(20 * time.Second)
	defer limit.Stop()
	for {
		changed := f.Changed()
		if now := f.Tables().Config; now != nil && now.Version == version {
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			c.t.Fatalf("the follower does not use version %d", version)
		}
	}
}

func TestPutReadAndFeedConfiguration(t *testing.T) {
	c := newCluster(t, 4)
	f, stop := c.follow("front-1")
	defer stop()
	if got := c.put(3, 0, 3, 0, 1, 2); got != http.StatusOK {
		t.Fatalf("first version: %d", got)
	}
	c.awaitActiveVersion(f, 3)
	for i := range 4 {
		if got := c.get(i); got != string(config(3)) {
			t.Fatalf("node %d reads %s", i, got)
		}
	}
	for name, one := range map[string]struct {
		match string
		body  []byte
		want  int
	}{
		"a retry":                      {"0", config(3), 200},
		"on an outdated version":       {"0", config(9), 412},
		"a version not above the base": {"3", config(2), 400},
		"a truncated body":             {"3", config(9)[:60], 400},
		"no If-Match":                  {"", config(9), 400},
		"unknown service":              {"3", []byte(strings.Replace(string(config(9)), `"target_service":"s"`, `"target_service":"x"`, 1)), 400},
	} {
		if got, text := c.send(1, http.MethodPut, "/api/config", one.match, one.body); got != one.want {
			t.Errorf("%s: %d %s, want %d", name, got, text, one.want)
		}
	}
	if got := c.put(9, 3, 2); got != http.StatusOK {
		t.Fatalf("next version: %d", got)
	}
	c.awaitActiveVersion(f, 9)
	if got, _ := c.send(0, http.MethodPut, "/api/config", "0", config(3)); got != http.StatusOK {
		t.Errorf("a retry of an accepted version that has been superseded: %d", got)
	}
	if got, _ := c.send(0, http.MethodPost, "/api/retire/nobody", "", []byte(`{"within_s":10}`)); got != http.StatusNotFound {
		t.Errorf("an unknown store: %d", got)
	}
}

func TestEveryNodeReportsReasonOfRejection(t *testing.T) {
	c := newCluster(t, 3)
	if got := c.put(3, 0, 0, 1, 2); got != http.StatusOK {
		t.Fatal(got)
	}
	for i := range 3 { // two of them forward the request
		if status, text := c.send(i, http.MethodPut, "/api/config", "1", config(9)); status != http.StatusPreconditionFailed || !strings.Contains(text, "version 3 is in place, not 1") {
			t.Errorf("node %d: %d %s", i, status, text)
		}
		if status, text := c.send(i, http.MethodPost, "/api/retire/nobody", "", []byte(`{"within_s":10}`)); status != http.StatusNotFound || !strings.Contains(text, "no store is known yet") {
			t.Errorf("node %d: %d %s", i, status, text)
		}
	}
}

func TestEveryNodeReportsVersionsOfAllFollowers(t *testing.T) {
	c := newCluster(t, 3)
	if got := c.put(3, 0, 0, 1, 2); got != http.StatusOK {
		t.Fatal(got)
	}
	names := []string{"front-1", "front-2", "front-3", "front-4", "front-5", "front-6"}
	for _, name := range names {
		f, stop := c.follow(name)
		defer stop()
		c.awaitActiveVersion(f, 3)
	}
	for i := range 3 {
		text := ""
		c.until("all followers use version 3", func() bool {
			_, text = c.send(i, http.MethodGet, "/api/status", "", nil)
			var s Status
			if err := json.Unmarshal([]byte(text), &s); err != nil {
				t.Fatal(err, text)
			}
			n := 0
			for _, f := range s.Followers {
				if f.ActiveVersion == 3 {
					n++
				}
			}
			return n == len(names) && len(s.Followers) == n
		})
	}
}

func TestConcurrentPutsOnSameVersionOneWins(t *testing.T) {
	c := newCluster(t, 3)
	if got := c.put(1, 0, 0, 1, 2); got != http.StatusOK {
		t.Fatal(got)
	}
	results := make([]int, 6)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = c.put(10+i, 1, i%3) })
	}
	wg.Wait()
	won := 0
	for _, r := range results {
		switch r {
		case http.StatusOK:
			won++
		case http.StatusPreconditionFailed:
		default:
			t.Errorf("response %d", r)
		}
	}
	if won != 1 {
		t.Fatalf("%d of %v won", won, results)
	}
}

func TestAcknowledgedWritesSurviveMachineAndDiskLoss(t *testing.T) {
	c := newCluster(t, 4)
	f, stop := c.follow("front-1")
	defer stop()
	if got := c.put(1, 0, 0, 1, 2, 3); got != http.StatusOK {
		t.Fatal(got)
	}
	version := 1
	next := func(nodes ...int) {
		t.Helper()
		if got := c.put(version+1, version, nodes...); got != http.StatusOK {
			t.Fatalf("version %d: %d", version+1, got)
		}
		version++
		c.awaitActiveVersion(f, int64(version))
	}
	for i := range 4 { // each in turn stops, and returns with or without its disk
		c.stop(i)
		rest := []int{(i + 1) % 4, (i + 2) % 4, (i + 3) % 4}
		next(rest...)
		if i%2 == 1 {
			c.dirs[i] = t.TempDir()
		}
		c.start(i, false)
		next(rest...)
		c.until("the node that returned reads the newest version", func() bool {
			status, body := c.send(i, http.MethodGet, "/api/config", "", nil)
			return status == http.StatusOK && body == string(config(version))
		})
		body := ""
		c.until("the node has a replica again, with three nodes in the chain and one learner", func() bool {
			_, body = c.send(i, http.MethodGet, "/api/status", "", nil)
			chain := strings.SplitN(strings.SplitN(body, `"chain":[`, 2)[1], "]", 2)[0]
			hasReplica := strings.Contains(body, `"role":"member"`) || strings.Contains(body, `"role":"learner"`)
			return strings.Count(chain, "core-") == ChainLength(1) && hasReplica
		})
	}
	for i := range 4 {
		c.stop(i)
	}
	if err := os.RemoveAll(c.dirs[2]); err != nil {
		t.Fatal(err)
	}
	c.dirs[2] = t.TempDir()
	for i := range 4 {
		c.start(i, false)
	}
	for i := range 4 {
		if got := c.get(i); got != string(config(version)) {
			t.Fatalf("after a restart of all nodes and the loss of one disk, node %d reads %s", i, got)
		}
	}
	next(0, 1, 2, 3)
}

func TestRestartedHeadPublishesNewerHostList(t *testing.T) {
	var host atomic.Int64
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"instance_list":[{"target_service":"s","address":"10.0.0.1:80","zone_name":"z","capacity":4,"phase":"ready","host_id":"i%d"}],"next_token":null}`,
			host.Load())
	}))
	defer platform.Close()
	c := newClusterWith(t, 3, platform.Listener.Addr().String())
	if got := c.put(1, 0, 0, 1, 2); got != http.StatusOK {
		t.Fatal(got)
	}
	f, stop := c.follow("front-1")
	defer stop()
	awaitPublishedHost := func(want int64) {
		t.Helper()
		host.Store(want)
		limit := time.NewTimer(20 * time.Second)
		defer limit.Stop()
		for {
			changed := f.Changed()
			if l := f.Tables().Hosts; l != nil && len(l.Hosts) == 1 && l.Hosts[0].ID == fmt.Sprintf("i%d", want) {
				return
			}
			select {
			case <-changed:
			case <-limit.C:
				t.Fatalf("host i%d was not published; the list is %+v", want, f.Tables().Hosts)
			}
		}
	}
	for i := int64(1); i <= 3; i++ {
		awaitPublishedHost(i)
	}
	c.crashNode[0]() // the head: the first seed is the first of the initial chain
	c.start(0, false)
	awaitPublishedHost(9)
}
