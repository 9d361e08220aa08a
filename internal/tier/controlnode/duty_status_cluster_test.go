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

// newDutyPlatform starts a platform that answers calls of duties with the status that it is given. It lists no host.
func newDutyPlatform(t *testing.T) (addr string, status *atomic.Int64) {
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

// newDutyCluster starts core nodes with short windows and a short term of the lease, whose platform expects both duties.
func newDutyCluster(t *testing.T, n int, platform string) *cluster {
	t.Helper()
	c := newClusterWith(t, 0, platform)
	c.n, c.dirs, c.cores = n, make([]string, n), make([]*Server, n)
	c.stopNode, c.crashNode = make([]func(), n), make([]func(), n)
	for i := range n {
		c.dirs[i] = t.TempDir()
		settings := c.settings(i, true)
		settings.Platform.Duties = []string{usageDutyName, scaleDutyName}
		settings.Bounds["lease_term_ms"], settings.Bounds["usage_window_s"], settings.Bounds["usage_late_s"] = 1000, 0.5, 4
		c.startWith(i, settings)
	}
	return c
}

// duties asks a node for the state of the duties; ok is false if it does not answer.
func (c *cluster) duties(i int) (status DutyStatus, ok bool) {
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

// untilDuties waits until the duties are in a state at all nodes given, and returns the last status.
func (c *cluster) untilDuties(what string, nodes []int, in func(s *DutyStatus) bool) (status DutyStatus) {
	c.t.Helper()
	c.until(what, func() bool {
		for _, i := range nodes {
			ok := false
			if status, ok = c.duties(i); !ok || !in(&status) {
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

// Each node answers with the state of the holder, also after the holder is lost and once the platform refuses.
func TestEveryNodeReportsDutiesOfHolder(t *testing.T) {
	platform, answer := newDutyPlatform(t)
	c := newDutyCluster(t, 3, platform)
	acknowledged := func(s *DutyStatus) bool {
		return s.Cause == "" && s.Held && s.Holder == s.Node && s.Holder == s.Head && s.LeftMs > 0 && s.Token > s.Epoch &&
			s.Usage.LastAcknowledged > 0 && s.Usage.Outcomes.Accepted > 0 && len(s.Usage.Calls) > 0
	}
	first := c.untilDuties("a window is acknowledged", []int{0, 1, 2}, acknowledged)
	if call := first.Usage.Calls[0]; call.Path != usagePath || call.Token != first.Token || !strings.Contains(call.Body, `"window_no"`) {
		t.Errorf("call %+v", call)
	}

	holder := c.index(first.Holder)
	c.crashNode[holder]()
	rest := c.others(holder)
	second := c.untilDuties("another node does the duties", rest, func(s *DutyStatus) bool { return acknowledged(s) && s.Node != first.Node })
	if second.Token <= first.Token || second.Usage.LastAcknowledged < first.Usage.LastAcknowledged {
		t.Errorf("token %d after %d, window %d after %d", second.Token, first.Token, second.Usage.LastAcknowledged,
			first.Usage.LastAcknowledged)
	}

	answer.Store(http.StatusConflict)
	refused := c.untilDuties("the platform has refused", rest, func(s *DutyStatus) bool { return s.Cause == DutiesRefused })
	if refused.Held || refused.Holder != "" || refused.Usage.Outcomes.Refused == 0 || refused.Token != second.Token {
		t.Errorf("%+v", refused)
	}
}

// A node that cannot reach the head says so, and a head without a majority that it is not confirmed.
func TestDutiesWithoutMajority(t *testing.T) {
	platform, _ := newDutyPlatform(t)
	c := newDutyCluster(t, 3, platform)
	first := c.untilDuties("the duties are done", []int{0, 1, 2}, func(s *DutyStatus) bool { return s.Cause == "" })
	holder := c.index(first.Holder)
	others := c.others(holder)
	c.crashNode[others[0]]()
	c.crashNode[others[1]]()
	status := c.untilDuties("the head is not confirmed", []int{holder}, func(s *DutyStatus) bool {
		return s.Cause == DutiesNoMajority || s.Cause == DutiesViewChanges
	})
	if status.Held || status.Holder != "" || status.LeftMs != 0 {
		t.Errorf("%+v", status)
	}
}

func TestDutiesAtNodeThatCannotReachHead(t *testing.T) {
	platform, _ := newDutyPlatform(t)
	c := newDutyCluster(t, 3, platform)
	first := c.untilDuties("the duties are done", []int{0, 1, 2}, func(s *DutyStatus) bool { return s.Cause == "" })
	holder := c.index(first.Holder)
	others := c.others(holder)
	c.crashNode[holder]()
	c.crashNode[others[0]]()
	status := c.untilDuties("the head is silent", others[1:], func(s *DutyStatus) bool { return s.Cause == DutiesHeadSilent })
	if status.Node != c.cores[others[1]].self.Name || status.Held || status.Token != 0 {
		t.Errorf("%+v", status)
	}
}
