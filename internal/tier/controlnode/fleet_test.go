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
	waitTimeout = 15 * time.Second // for anything that is waited for
	catchUp     = 4200 * time.Millisecond

	callerTimeout = 1500 * time.Millisecond // after which a caller takes a node for dead

	// maxResponseTime is the second after which a caller takes a node for dead, with what a busy machine adds to it.
	maxResponseTime = time.Second + 400*time.Millisecond
)

// fleet is core nodes as processes, each ordered pair of which talks through a relay, and the history of their callers.
// Callers reach a node directly: a cut is between nodes alone.
type fleet struct {
	t              *testing.T
	n              int
	faultTolerance int // at once, to be borne
	basePort       int // the control port; the port range begins above it
	dirs           []string
	nodes          []*childProcess
	relays         map[[2]int]*cutproxy.Relay // from, to
	out            []*cutproxy.Bucket         // what leaves a node
	in             []*cutproxy.Bucket         // what comes to it
	hist           *history
	http           *http.Client
	calls          *rpc.Clients

	extraTimingBounds string             // of timing_bounds, each after a comma
	extraSettings     func(i int) string // lines of a node's settings; nil for none
}

// newFleet starts n nodes out of room for more, and waits until all of them are caught-up members.
func newFleet(t *testing.T, n, capacity int) *fleet {
	t.Helper()
	return newFleetWith(t, n, capacity, func(*fleet) {})
}

// newFleetWith is newFleet for a fleet that is prepared by a function before its nodes start.
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

// findFreePorts gives the first of some ports that are free on all addresses. They lie below those that the system gives to
// whoever asks for any: nodes start again and again at their ports, and another program's :0 must not take them meanwhile.
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
	t.Fatal("no free ports: end what listens between ", firstPort, " and ", firstPort+portStride*portStrides)
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

// checkHistory checks the history, and logs the output of the nodes where something is broken.
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

// allExcept returns the nodes that run, without those named.
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

// start starts a node; the settings name it as a newcomer unless bootstrap is set.
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

// terminate ends nodes in order, all at once, and waits for their ends.
func (f *fleet) terminate(nodes ...int) {
	f.t.Helper()
	for _, i := range nodes {
		f.nodes[i].signal(syscall.SIGTERM)
	}
	for _, i := range nodes {
		select {
		case <-f.nodes[i].done:
		case <-time.After(waitTimeout):
			f.t.Fatalf("node %d does not end after SIGTERM", i)
		}
		f.nodes[i] = nil
	}
}

// wipe gives a node that is down an empty disk.
func (f *fleet) wipe(i int) {
	if err := os.RemoveAll(f.dirs[i]); err != nil {
		f.t.Fatal(err)
	}
	f.dirs[i] = f.t.TempDir()
}

// blockInbound keeps from a node all that others send; blockOutbound keeps from the others all that it sends.
// Calls and their answers go on connections of either side.
func (f *fleet) blockInbound(i int) {
	f.forEachLink(i, func(mine, theirs *cutproxy.Relay) { mine.Hold(cutproxy.Backward); theirs.Hold(cutproxy.Forward) })
}

func (f *fleet) blockOutbound(i int) {
	f.forEachLink(i, func(mine, theirs *cutproxy.Relay) { mine.Hold(cutproxy.Forward); theirs.Hold(cutproxy.Backward) })
}

func (f *fleet) partition(i int) { f.blockInbound(i); f.blockOutbound(i) }

// forEachLink calls do with the relays from a node to each other one, and back.
func (f *fleet) forEachLink(i int, do func(mine, theirs *cutproxy.Relay)) {
	for j := range f.n {
		if j != i {
			do(f.relays[[2]int{i, j}], f.relays[[2]int{j, i}])
		}
	}
}

// partitionGroups cuts the links between the nodes of a side and the others.
func (f *fleet) partitionGroups(side ...int) {
	for pair, r := range f.relays {
		if slices.Contains(side, pair[0]) != slices.Contains(side, pair[1]) {
			r.Hold(cutproxy.Forward)
			r.Hold(cutproxy.Backward)
		}
	}
}

// heal unblocks all links. Bytes that were blocked are delivered, or lost with their connections.
func (f *fleet) heal(lose bool) {
	for _, r := range f.relays {
		if lose {
			r.Reset()
		}
		r.Release(cutproxy.Forward)
		r.Release(cutproxy.Backward)
	}
}

// until calls done, with pauses, until it returns true.
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
				f.t.Logf("node %d: %s", i, text)
			}
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		<-again.C
	}
	return time.Since(began)
}

// call calls a node as an operator does; status 0 is no answer.
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

// put sends a change to a node once, and notes the answer.
func (f *fleet) put(i int, on int64, body string) int {
	o := observedPut{node: i, on: on, version: versionOf(body), body: body}
	o.began = f.hist.now()
	o.status, o.text = f.call(i, http.MethodPut, "/api/config", strconv.FormatInt(on, 10), []byte(body))
	o.ended = f.hist.now()
	f.hist.order(o)
	return o.status
}

// read reads from a node once, and notes the answer.
func (f *fleet) read(i int) (status int, version int64) {
	r := observedRead{where: fmt.Sprintf("node %d", i)}
	r.began = f.hist.now()
	status, text := f.call(i, http.MethodGet, "/api/config", "", nil)
	r.ended = f.hist.now()
	switch status {
	case http.StatusOK:
		r.version, r.body = versionOf(text), text
		f.hist.read(r)
	case http.StatusNotFound:
		f.hist.read(r)
	}
	return status, r.version
}

// readFeed polls the feed of a node from the start, as a new follower does, and records an answer that is
// confirmed.
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
	f.hist.read(r)
	return true, r.version
}

// status returns the status that a node reports; nil for no answer.
func (f *fleet) status(i int) *Status {
	code, text := f.call(i, http.MethodGet, "/api/status", "", nil)
	s := new(Status)
	if code != http.StatusOK || json.Unmarshal([]byte(text), s) != nil {
		return nil
	}
	return s
}

// voters are the names of the voters that a node knows.
func (f *fleet) voters(i int) (names []string) {
	if s := f.status(i); s != nil {
		for _, v := range s.Voters {
			names = append(names, v.Name)
		}
	}
	return names
}

// isMember reports whether a node reports that it is a member of the chain that has all that was committed.
func (f *fleet) isMember(i int) bool {
	s := f.status(i)
	return s != nil && f.hasReplica(s)
}

// hasReplica reports whether a node has all that is committed: as a member of the chain, or, where that has as many as it should, as a
// learner.
func (f *fleet) hasReplica(s *Status) bool {
	inChain := slices.Contains(s.Chain, s.Node)
	return s.Fresh && !s.Promised && (inChain || len(s.Chain) >= ChainLength(f.faultTolerance) && s.Role == RoleLearner)
}

// allMembers reports whether all nodes that run report the same: one view, whose chain has as many as it should, and each of them with
// all that is committed.
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

// change has one more version acknowledged, at the nodes given, sent until there is a clear answer. It builds on the
// newest version; where another change took that place, one without a clear answer, it reads and builds on that.
func (f *fleet) change(tag int, nodes ...int) (version int64) {
	f.t.Helper()
	on, _ := f.hist.newest()
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

// variant is a configuration of a version that differs by tag.
func variant(version int64, tag int) string {
	return strings.Replace(string(config(int(version))), `"name":"r"`, `"name":"r`+strconv.Itoa(tag)+`"`, 1)
}

// head is the node that all of the nodes given agree to be the head.
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

// requireCaughtUp waits until each node is a caught-up member and reads what is newest.
func (f *fleet) requireCaughtUp(nodes ...int) {
	f.t.Helper()
	for _, i := range nodes {
		f.awaitCaughtUp(i)
		newest, _ := f.hist.newest()
		f.until(fmt.Sprintf("node %d reads version %d", i, newest), func() bool { _, v := f.read(i); return v >= newest })
		fresh, v := f.readFeed(i)
		if fresh && v < newest {
			f.t.Errorf("node %d feeds version %d, not %d", i, v, newest)
		}
	}
}
