package controlnode

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// newTestPlatform starts a platform that responds to calls of singleton tasks with the status stored in it. It lists no hosts.
func newTestPlatform(t *testing.T) (addr string, status *atomic.Int64) {
	t.Helper()
	status = &atomic.Int64{}
	status.Store(http.StatusOK)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.WriteHeader(int(status.Load()))
			return
		}
		_, _ = fmt.Fprint(w, `{"instance_list":[],"next_token":null}`)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), status
}

// newTaskCluster starts core nodes that run both singleton tasks, with short windows and a short lease term.
func newTaskCluster(t *testing.T, n int, platform string) *cluster {
	t.Helper()
	c := newClusterWith(t, 0, platform)
	c.n, c.dirs, c.cores = n, make([]string, n), make([]*Server, n)
	c.stopNode, c.crashNode = make([]func(), n), make([]func(), n)
	for i := range n {
		c.dirs[i] = t.TempDir()
		settings := c.settings(i, true)
		settings.Platform.Duties = []string{usageTaskName, scaleTaskName}
		settings.Bounds["lease_term_ms"], settings.Bounds["usage_window_s"], settings.Bounds["usage_late_s"] = 1000, 0.5, 4
		c.startWith(i, settings)
	}
	return c
}

// taskStatus gets the state of the singleton tasks from a node; ok is false if it does not respond.
func (c *cluster) taskStatus(i int) (status TaskStatus, ok bool) {
	c.t.Helper()
	code, body := c.send(i, http.MethodGet, "/api/duties", "", nil)
	if code != http.StatusOK {
		return status, false
	}
	if err := json.Unmarshal([]byte(body), &status); err != nil || strings.Contains(body, "null") {
		c.t.Fatal(err, body)
	}
	return status, true
}

// untilTaskStatus waits until the status at all given nodes meets a condition, and returns the last status.
func (c *cluster) untilTaskStatus(what string, nodes []int, in func(s *TaskStatus) bool) (status TaskStatus) {
	c.t.Helper()
	c.until(what, func() bool {
		for _, i := range nodes {
			ok := false
			if status, ok = c.taskStatus(i); !ok || !in(&status) {
				return false
			}
		}
		return true
	})
	return status
}

// index returns the number of the node with a name.
func (c *cluster) index(name string) int {
	c.t.Helper()
	for i, core := range c.cores {
		if core.self.Name == name {
			return i
		}
	}
	c.t.Fatalf("no node has the name %q", name)
	return 0
}

// others returns the numbers of all nodes but one.
func (c *cluster) others(one int) (nodes []int) {
	for i := range c.n {
		if i != one {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// Each node must report the state of the lease holder, also after the holder has crashed and after the platform has refused its token.
func TestEveryNodeReportsStatusOfHolder(t *testing.T) {
	platform, responseStatus := newTestPlatform(t)
	c := newTaskCluster(t, 3, platform)
	acknowledged := func(s *TaskStatus) bool {
		return s.Cause == "" && s.Held && s.Holder == s.Node && s.Holder == s.Head && s.LeftMs > 0 && s.Token > s.Epoch &&
			s.Usage.LastAcknowledged > 0 && s.Usage.Outcomes.Accepted > 0 && len(s.Usage.Calls) > 0
	}
	first := c.untilTaskStatus("a window is acknowledged", []int{0, 1, 2}, acknowledged)
	if call := first.Usage.Calls[0]; call.Path != usagePath || call.Token != first.Token || !strings.Contains(call.Body, `"window_no"`) {
		t.Errorf("call %+v", call)
	}

	holder := c.index(first.Holder)
	c.crashNode[holder]()
	rest := c.others(holder)
	second := c.untilTaskStatus("another node runs the tasks", rest, func(s *TaskStatus) bool { return acknowledged(s) && s.Node != first.Node })
	if second.Token <= first.Token || second.Usage.LastAcknowledged < first.Usage.LastAcknowledged {
		t.Errorf("token %d after %d, window %d after %d", second.Token, first.Token, second.Usage.LastAcknowledged,
			first.Usage.LastAcknowledged)
	}

	responseStatus.Store(http.StatusConflict)
	refused := c.untilTaskStatus("the platform has refused", rest, func(s *TaskStatus) bool { return s.Cause == TasksTokenRefused })
	if refused.Held || refused.Holder != "" || refused.Usage.Outcomes.Refused == 0 || refused.Token != second.Token {
		t.Errorf("%+v", refused)
	}
}

// A head without a majority must report that it is not confirmed.
func TestTaskStatusWithoutMajority(t *testing.T) {
	platform, _ := newTestPlatform(t)
	c := newTaskCluster(t, 3, platform)
	first := c.untilTaskStatus("the tasks run", []int{0, 1, 2}, func(s *TaskStatus) bool { return s.Cause == "" })
	holder := c.index(first.Holder)
	others := c.others(holder)
	c.crashNode[others[0]]()
	c.crashNode[others[1]]()
	status := c.untilTaskStatus("the head is not confirmed", []int{holder}, func(s *TaskStatus) bool {
		return s.Cause == TasksNoMajority || s.Cause == TasksViewChanging
	})
	if status.Held || status.Holder != "" || status.LeftMs != 0 {
		t.Errorf("%+v", status)
	}
}

// A node that cannot reach the head must report that the head is silent.
func TestTaskStatusAtNodeThatCannotReachHead(t *testing.T) {
	platform, _ := newTestPlatform(t)
	c := newTaskCluster(t, 3, platform)
	first := c.untilTaskStatus("the tasks run", []int{0, 1, 2}, func(s *TaskStatus) bool { return s.Cause == "" })
	holder := c.index(first.Holder)
	others := c.others(holder)
	c.crashNode[holder]()
	c.crashNode[others[0]]()
	status := c.untilTaskStatus("the head is silent", others[1:], func(s *TaskStatus) bool { return s.Cause == TasksHeadSilent })
	if status.Node != c.cores[others[1]].self.Name || status.Held || status.Token != 0 {
		t.Errorf("%+v", status)
	}
}
