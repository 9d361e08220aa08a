package controlnode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/standin/cutproxy"
	"larchrouter/internal/tier/feed"
)

const (
	firstPort   = 12000
	portStride  = 16
	portStrides = 1000

	retryPause  = 15 * time.Millisecond
	waitTimeout = 15 * time.Second        // for a condition, and for the exit of a process
	catchUp     = 4200 * time.Millisecond // catch_up_s of the settings

	callerTimeout = 1500 * time.Millisecond // after which a caller of these tests abandons a request and considers the node dead

	// maxResponseTime is the second after which a caller considers a node dead, plus an allowance for a busy machine.
	maxResponseTime = time.Second + 400*time.Millisecond
)

// fleet is a set of core nodes in their own processes, with a relay for each ordered pair of nodes, and the history of
// their callers. Callers reach a node directly: partitions affect only the links between nodes.
type fleet struct {
	t              *testing.T
	n              int // number of nodes that the fleet has room for, running or not
	faultTolerance int // how many machines may be lost at once
	basePort       int // the control port; the port range starts above it
	dirs           []string
	nodes          []*childProcess
	terminated     []string                   // the output of nodes that were terminated
	relays         map[[2]int]*cutproxy.Relay // from, to
	out            []*cutproxy.Bucket         // rate limit of the data that a node sends
	in             []*cutproxy.Bucket         // rate limit of the data that a node receives
	hist           *history
	http           *http.Client
	calls          *rpc.Clients

	extraTimingBounds string             // of timing_bounds, each preceded by a comma
	extraSettings     func(i int) string // returns additional lines of a node's settings; nil for none
}

// newFleet starts n nodes of a fleet that has room for capacity nodes, and waits until all of them are caught-up
// members.
func newFleet(t *testing.T, n, capacity int) *fleet {
	t.Helper()
	return newFleetWith(t, n, capacity, func(*fleet) {})
}

// newFleetWith is newFleet with a function that prepares the fleet before its nodes start.
func newFleetWith(t *testing.T, n, capacity int, prepare func(f *fleet)) *fleet {
	t.Helper()
	f := &fleet{t: t, n: capacity, faultTolerance: (n - 1) / 2, basePort: findFreePorts(t), dirs: make([]string, capacity), nodes: make([]*childProcess, capacity), relays: map[[2]int]*cutproxy.Relay{},
		hist: newHistory(), calls: &rpc.Clients{},
		http: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	t.Cleanup(f.calls.Close)
	for i := range capacity {
		f.dirs[i] = t.TempDir()
		f.out, f.in = append(f.out, cutproxy.NewBucket(0)), append(f.in, cutproxy.NewBucket(0))
	}
	for from := range capacity {
		for to := range capacity {
			if from != to {
				f.addRelay(from, to)
			}
		}
	}
	t.Cleanup(f.checkHistory)
	prepare(f)
	for i := range n {
		f.start(i, true)
	}
	f.change(0, f.all()...)
	f.until("all nodes are members", f.allMembers)
	return f
}

// findFreePorts returns the first port of a range that is free on all addresses. The range is below the ephemeral
// ports: nodes restart on their ports, which another program that listens on port 0 must not get meanwhile.
func findFreePorts(t *testing.T) int {
	t.Helper()
	for range 100 {
		base := firstPort + portStride*rand.IntN(portStrides)
		free := true
		for _, port := range []int{base, base + 1 + int(process.CorePort)} {
			l, err := net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return base
		}
	}
	t.Fatal("no free ports: stop the programs that listen between ", firstPort, " and ", firstPort+portStride*portStrides)
	return 0
}

func (f *fleet) addRelay(from, to int) {
	r, err := cutproxy.New(f.peer(to), []*cutproxy.Bucket{f.out[from], f.in[to]}, []*cutproxy.Bucket{f.out[to], f.in[from]})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(r.Close)
	f.relays[[2]int{from, to}] = r
}

// checkHistory checks the history, and logs the output of the nodes if the test has failed.
func (f *fleet) checkHistory() {
	for _, b := range f.hist.check() {
		f.t.Error(b)
	}
	if !f.t.Failed() {
		return
	}
	for i, c := range f.nodes {
		if c != nil {
			f.t.Logf("output of node %d: %s", i, c.output.String())
		}
	}
	for _, output := range f.terminated {
		f.t.Log("output of ", output)
	}
}

func (f *fleet) ip(i int) string      { return fmt.Sprintf("127.1.%d.%d", 10+f.basePort%200, i+1) }
func (f *fleet) control(i int) string { return net.JoinHostPort(f.ip(i), strconv.Itoa(f.basePort)) }
func (f *fleet) peer(i int) string {
	return net.JoinHostPort(f.ip(i), strconv.Itoa(f.basePort+1+int(process.CorePort)))
}

func (f *fleet) all() (nodes []int) {
	for i, c := range f.nodes {
		if c != nil {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// allExcept returns the running nodes except the given ones.
func (f *fleet) allExcept(without ...int) []int {
	return slices.DeleteFunc(f.all(), func(i int) bool { return slices.Contains(without, i) })
}

func (f *fleet) settings(i int, bootstrap bool) string {
	more := ""
	if f.extraSettings != nil {
		more = f.extraSettings(i)
	}
	return fmt.Sprintf("node_name: core-%d\nip_addr: %s\nzone_name: z\nregion_name: r\nzones: {z: r}\nbind_addrs: {control_addr: '%s'}\nport_range: [%d, %d]\n"+
		"seed_nodes: ['%s', '%s', '%s']\nbootstrap: %v\ndata_dir: '%s'\nlimits: {memory_mb: 200, max_fds: 256, disk_mb: 64}\n"+
		"fault_tolerance: {machine_losses: %d}\ntiming_bounds: {contact_ms: 3000, catch_up_s: 4.2%s}\n%s",
		i, f.ip(i), f.control(i), f.basePort+1, f.basePort+10, f.control(0), f.control(1), f.control(2), bootstrap, f.dirs[i], f.faultTolerance, f.extraTimingBounds, more)
}

// start starts a node, which joins an existing cluster unless bootstrap is set.
func (f *fleet) start(i int, bootstrap bool) {
	f.t.Helper()
	var routes []string
	for to := range f.n {
		if to != i {
			routes = append(routes, f.peer(to)+"="+f.relays[[2]int{i, to}].Addr())
		}
	}
	f.nodes[i] = startChild(f.t, f.settings(i, bootstrap), strings.Join(routes, ","))
}

func (f *fleet) kill(i int) { f.nodes[i].kill(); f.nodes[i] = nil }

// terminate shuts nodes down gracefully, all at the same time, and waits until they have exited.
func (f *fleet) terminate(nodes ...int) {
	f.t.Helper()
	for _, i := range nodes {
		f.nodes[i].signal(syscall.SIGTERM)
	}
	for _, i := range nodes {
		select {
		case <-f.nodes[i].done:
		case <-time.After(waitTimeout):
			f.t.Fatalf("node %d does not exit after SIGTERM", i)
		}
		f.terminated = append(f.terminated, fmt.Sprintf("node %d, terminated: %s", i, f.nodes[i].output.String()))
		f.nodes[i] = nil
	}
}

// wipe gives a stopped node an empty disk.
func (f *fleet) wipe(i int) {
	if err := os.RemoveAll(f.dirs[i]); err != nil {
		f.t.Fatal(err)
	}
	f.dirs[i] = f.t.TempDir()
}

// blockInbound blocks everything that other nodes send to a node; blockOutbound blocks everything that it sends to
// them. Requests and responses use connections opened by either side.
func (f *fleet) blockInbound(i int) {
	f.forEachLink(i, func(mine, theirs *cutproxy.Relay) { mine.Hold(cutproxy.Backward); theirs.Hold(cutproxy.Forward) })
}

func (f *fleet) blockOutbound(i int) {
	f.forEachLink(i, func(mine, theirs *cutproxy.Relay) { mine.Hold(cutproxy.Forward); theirs.Hold(cutproxy.Backward) })
}

func (f *fleet) partition(i int) { f.blockInbound(i); f.blockOutbound(i) }

// forEachLink calls do for each other node, with the relay from the node to it and the relay back.
func (f *fleet) forEachLink(i int, do func(mine, theirs *cutproxy.Relay)) {
	for j := range f.n {
		if j != i {
			do(f.relays[[2]int{i, j}], f.relays[[2]int{j, i}])
		}
	}
}

// partitionGroups blocks the links between the given nodes and all others.
func (f *fleet) partitionGroups(side ...int) {
	for pair, r := range f.relays {
		if slices.Contains(side, pair[0]) != slices.Contains(side, pair[1]) {
			r.Hold(cutproxy.Forward)
			r.Hold(cutproxy.Backward)
		}
	}
}

// heal unblocks all links. Blocked bytes are delivered, or lost with their connections if lose is set.
func (f *fleet) heal(lose bool) {
	for _, r := range f.relays {
		if lose {
			r.Reset()
		}
		r.Release(cutproxy.Forward)
		r.Release(cutproxy.Backward)
	}
}

// until calls done periodically until it returns true, for at most waitTimeout.
func (f *fleet) until(what string, done func() bool) { f.t.Helper(); f.within(waitTimeout, what, done) }

func (f *fleet) within(limit time.Duration, what string, done func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	again := time.NewTicker(retryPause)
	defer again.Stop()
	for !done() {
		if time.Since(began) > limit {
			for i := range f.nodes {
				_, text := f.call(i, http.MethodGet, "/api/status", "", nil)
				_, election := f.call(i, http.MethodGet, "/api/election", "", nil)
				f.t.Logf("node %d: %s %s", i, text, election)
			}
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		<-again.C
	}
	return time.Since(began)
}

// call sends an operator's request to a node; status 0 means no response.
func (f *fleet) call(i int, method, path, match string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+f.control(i)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	resp, err := f.http.Do(req)
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

// put sends a change to a node once, and records the response in the history.
func (f *fleet) put(i int, on int64, body string) int {
	o := observedPut{node: i, baseVersion: on, version: versionOf(body), body: body}
	o.began = f.hist.now()
	o.status, o.text = f.call(i, http.MethodPut, "/api/config", strconv.FormatInt(on, 10), []byte(body))
	o.ended = f.hist.now()
	f.hist.addPut(o)
	return o.status
}

// read reads the configuration from a node once, and records the response in the history.
func (f *fleet) read(i int) (status int, version int64) {
	r := observedRead{where: fmt.Sprintf("node %d", i)}
	r.began = f.hist.now()
	status, text := f.call(i, http.MethodGet, "/api/config", "", nil)
	r.ended = f.hist.now()
	switch status {
	case http.StatusOK:
		r.version, r.body = versionOf(text), text
		f.hist.addRead(r)
	case http.StatusNotFound:
		f.hist.addRead(r)
	}
	return status, r.version
}

// readFeed polls the feed of a node from the start, as a new follower does, and records a confirmed response.
func (f *fleet) readFeed(i int) (fresh bool, version int64) {
	r := observedRead{where: fmt.Sprintf("feed of node %d", i), feed: true}
	ctx, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	r.began = f.hist.now()
	var a feed.FollowResponse
	err := f.calls.To(f.peer(i)).Call(ctx, feed.FollowCall, &feed.FollowRequest{Name: "probe", Class: "front"}, &a)
	r.ended = f.hist.now()
	if err != nil || !a.Confirmed {
		return false, 0
	}
	for _, e := range a.Entries {
		var c feed.ConfigEntry
		if e.Key == feed.ConfigKey && rpc.Decode(e.Value, &c) == nil && c.Version >= r.version {
			r.version, r.body = c.Version, string(c.Body)
		}
	}
	f.hist.addRead(r)
	return true, r.version
}

// status returns the status that a node reports; nil for no response.
func (f *fleet) status(i int) *Status {
	code, text := f.call(i, http.MethodGet, "/api/status", "", nil)
	s := new(Status)
	if code != http.StatusOK || json.Unmarshal([]byte(text), s) != nil {
		return nil
	}
	return s
}

// voters returns the names of the voters in a node's view.
func (f *fleet) voters(i int) (names []string) {
	if s := f.status(i); s != nil {
		for _, v := range s.Voters {
			names = append(names, v.Name)
		}
	}
	return names
}

// isMember reports whether a node has all committed entries according to its status, see hasReplica.
func (f *fleet) isMember(i int) bool {
	s := f.status(i)
	return s != nil && f.hasReplica(s)
}

// hasReplica reports whether a node has all committed entries: as a member of the chain, or as a learner if the chain
// is complete.
func (f *fleet) hasReplica(s *Status) bool {
	inChain := slices.Contains(s.Chain, s.Node)
	return s.Fresh && !s.Promised && (inChain || len(s.Chain) >= ChainLength(f.faultTolerance) && s.Role == RoleLearner)
}

// allMembers reports whether all running nodes report the same view with a complete chain, and each has all committed
// entries.
func (f *fleet) allMembers() bool {
	epoch, chain := int64(0), []string(nil)
	for _, i := range f.all() {
		s := f.status(i)
		if s == nil || !f.hasReplica(s) || len(s.Chain) != min(len(f.all()), ChainLength(f.faultTolerance)) {
			return false
		}
		if epoch != 0 && (s.Epoch != epoch || !slices.Equal(s.Chain, chain)) {
			return false
		}
		epoch, chain = s.Epoch, s.Chain
	}
	return true
}

func (f *fleet) awaitCaughtUp(i int) {
	f.t.Helper()
	f.until(fmt.Sprintf("node %d is a caught-up member", i), func() bool { return f.isMember(i) })
}

// change puts one more version at the given nodes and retries until it is acknowledged. The version is based on the
// newest one; if another change whose outcome was unknown is in force instead, it reads that one and builds on it.
func (f *fleet) change(tag int, nodes ...int) (version int64) {
	f.t.Helper()
	on, _ := f.hist.newestAcknowledged()
	i := 0
	f.until(fmt.Sprintf("a change is acknowledged by one of %v", nodes), func() bool {
		i++
		node := nodes[i%len(nodes)]
		status := f.put(node, on, variant(on+1, tag))
		if status >= 400 && status < 500 {
			if read, newest := f.read(node); read == http.StatusOK {
				on = newest
			}
		}
		return status == http.StatusOK
	})
	return on + 1
}

// variant returns a configuration of a version that depends on tag.
func variant(version int64, tag int) string {
	return strings.Replace(string(config(int(version))), `"name":"r"`, `"name":"r`+strconv.Itoa(tag)+`"`, 1)
}

// head returns the node that all of the given nodes report as the head.
func (f *fleet) head(nodes ...int) (head int) {
	f.t.Helper()
	f.until(fmt.Sprintf("nodes %v agree on the head", nodes), func() bool {
		name := ""
		for _, i := range nodes {
			s := f.status(i)
			if s == nil || s.Promised || name != "" && s.Head != name {
				return false
			}
			name = s.Head
		}
		n, err := strconv.Atoi(strings.TrimPrefix(name, "core-"))
		head = n
		return err == nil
	})
	return head
}

// requireCaughtUp waits until each node is a caught-up member and serves the newest version to readers. It fails if a
// node's feed then returns an older one.
func (f *fleet) requireCaughtUp(nodes ...int) {
	f.t.Helper()
	for _, i := range nodes {
		f.awaitCaughtUp(i)
		newest, _ := f.hist.newestAcknowledged()
		f.until(fmt.Sprintf("node %d reads version %d", i, newest), func() bool { _, v := f.read(i); return v >= newest })
		fresh, v := f.readFeed(i)
		if fresh && v < newest {
			f.t.Errorf("node %d feeds version %d, not %d", i, v, newest)
		}
	}
}
