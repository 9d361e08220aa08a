package controlnode

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/hosthealth"
)

// startPlatform starts a platform that lists six hosts of a service, whose IDs start with prefix, and returns its
// address.
func startPlatform(t *testing.T, prefix *atomic.Value) string {
	t.Helper()
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var hosts []string
		for i := range 6 {
			hosts = append(hosts, fmt.Sprintf(`{"target_service":"s","address":"10.0.0.%d:80","zone_name":"z","capacity":4,"phase":"ready","host_id":"%s%d"}`, i, prefix.Load(), i))
		}
		fmt.Fprintf(w, `{"instance_list":[%s],"next_token":null}`, strings.Join(hosts, ","))
	}))
	t.Cleanup(platform.Close)
	return platform.Listener.Addr().String()
}

// awaitPhase waits until a follower's list contains a host in the given phase.
func awaitPhase(t *testing.T, f *feed.Follower, host, phase string) {
	t.Helper()
	limit := time.NewTimer(20 * time.Second)
	defer limit.Stop()
	for {
		changed := f.Changed()
		if list := f.Tables().Hosts; list != nil {
			for _, h := range list.Hosts {
				if h.ID == host && h.Phase == phase {
					return
				}
			}
		}
		select {
		case <-changed:
		case <-limit.C:
			t.Fatalf("host %s is not %s; the list is %+v", host, phase, f.Tables().Hosts)
		}
	}
}

// reportFailures reports failures of a host as a front does, and retries until a report is accepted.
func reportFailures(t *testing.T, f *feed.Follower, host string) {
	t.Helper()
	var err error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		err = f.ReportHealth(ctx, []hosthealth.Observation{{Host: host, Failures: 3}})
		if cancel(); err == nil {
			return
		}
	}
	t.Fatalf("no report is accepted: %v", err)
}

// The reports of two fronts, whichever nodes they poll, eject a host for all fronts. The ejection expires, and does not
// apply to another incarnation of the host.
func TestReportsOfTwoFrontsEjectHostForAll(t *testing.T) {
	var prefix atomic.Value
	prefix.Store("i")
	c := newClusterWith(t, 3, startPlatform(t, &prefix))
	if got := c.put(1, 0, 0, 1, 2); got != http.StatusOK {
		t.Fatal(got)
	}
	var followers []*feed.Follower
	for i := range 4 { // they poll the nodes in different orders
		f, stop := c.follow(fmt.Sprint("front-", i))
		defer stop()
		followers = append(followers, f)
	}
	for _, f := range followers {
		awaitPhase(t, f, "i3", discovery.Ready)
	}
	reportFailures(t, followers[0], "i3")
	reportFailures(t, followers[1], "i3")
	for _, f := range followers {
		awaitPhase(t, f, "i3", discovery.Ejected)
		awaitPhase(t, f, "i2", discovery.Ready)
	}
	if text := c.logs.String(); strings.Count(text, `msg="host ejected" host=i3 service=s`) != 1 {
		t.Errorf("the ejection is not logged exactly once:\n%s", text)
	}
	awaitPhase(t, followers[2], "i3", discovery.Probation)
	awaitPhase(t, followers[2], "i3", discovery.Ready)
	reportFailures(t, followers[0], "i4")
	prefix.Store("j")
	awaitPhase(t, followers[2], "j4", discovery.Ready)
	reportFailures(t, followers[1], "i4") // a late report about the previous incarnation
	if err := followers[3].ReportHealth(context.Background(), []hosthealth.Observation{{Host: "j4", Failures: 1}}); err != nil {
		t.Fatal(err)
	}
	awaitPhase(t, followers[2], "j4", discovery.Ready)
}

// The head crashes between two reports: the new head starts without the earlier one, and ejects hosts by the reports
// that it receives itself.
func TestNewHeadStartsWithoutEarlierHealthReports(t *testing.T) {
	var prefix atomic.Value
	prefix.Store("i")
	c := newClusterWith(t, 3, startPlatform(t, &prefix))
	if got := c.put(1, 0, 0, 1, 2); got != http.StatusOK {
		t.Fatal(got)
	}
	one, stop := c.follow("front-1")
	defer stop()
	two, stop := c.follow("front-2")
	defer stop()
	awaitPhase(t, one, "i0", discovery.Ready)
	term := one.Tables().Hosts.Term
	reportFailures(t, one, "i0")
	c.crashNode[0]() // the head: the first seed is the first of the initial chain
	limit := time.Now().Add(20 * time.Second)
	for one.Tables().Hosts.Term == term && time.Now().Before(limit) {
		time.Sleep(20 * time.Millisecond)
	}
	reportFailures(t, two, "i0")
	time.Sleep(3 * minHealthInterval)
	for _, h := range two.Tables().Hosts.Hosts {
		if h.Phase != discovery.Ready {
			t.Errorf("%s is %s after one report", h.ID, h.Phase)
		}
	}
	reportFailures(t, one, "i0")
	reportFailures(t, two, "i0")
	awaitPhase(t, one, "i0", discovery.Ejected)
	awaitPhase(t, two, "i0", discovery.Ejected)
}
