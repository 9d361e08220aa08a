package controlnode

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/standin/cloudapi"
	"larchrouter/internal/standin/cutproxy"
	"larchrouter/internal/tier/lease"
	"larchrouter/internal/tier/usage"
)

// Settings of the singleton tasks in tests with processes.
const (
	taskTestTerm   = 500 * time.Millisecond
	taskTestWindow = time.Second
	taskTestLate   = 8 * time.Second

	minScaledHosts = 2
	maxScaledHosts = 5
)

// timeWithMillis is the layout of times in logs.
const timeWithMillis = "15:04:05.000"

// Parts of resumeLimit, the time within which the singleton tasks must resume after a fault.
const (
	// detectionLimit is the time within which the other nodes detect the failure of a node and agree on a view without it.
	detectionLimit = 2 * time.Second

	// busyMargin is an allowance for a machine that is busy with other tests.
	busyMargin = 4 * time.Second
)

// leaseTakeover is how long a new head waits for the grants of earlier ones.
func leaseTakeover(term time.Duration) time.Duration {
	return lease.Params{Term: term, MaxDrift: lease.DefaultMaxDrift}.TakeoverWait()
}

// taskFleet is a fleet whose nodes run the singleton tasks against one platform, each node through a relay of its own, with a front
// that reports usage.
type taskFleet struct {
	*fleet
	term     time.Duration
	schedule usage.Schedule
	platform *cloudapi.Platform
	links    []*cutproxy.Relay // from each node to the platform
	front    *usageFront
	awaited  int64 // newest window whose report the test has waited for
}

// newTaskFleet starts n nodes and waits until one of them has reported usage.
func newTaskFleet(t *testing.T, n int, term time.Duration) *taskFleet {
	t.Helper()
	d := &taskFleet{term: term, schedule: usage.DefaultSchedule(taskTestWindow, taskTestLate)}
	d.startPlatform(t, n)
	t.Cleanup(func() { d.logCalls(t) })
	d.fleet = newFleetWith(t, n, n, func(f *fleet) {
		f.extraTimingBounds = fmt.Sprintf(", lease_term_ms: %d, usage_window_s: %g, usage_late_s: %g, fence_checks: true",
			term.Milliseconds(), taskTestWindow.Seconds(), taskTestLate.Seconds())
		f.extraSettings = func(i int) string {
			return fmt.Sprintf("cloud_api: {address: '%s', duty_list: [%s, %s]}\n", d.links[i].Addr(), usageTaskName, scaleTaskName)
		}
	})
	d.putScaling()
	d.front = newUsageFront(t, d.fleet)
	since := time.Now()
	d.awaitUsage("the usage task starts", since, d.resumeLimit())
	return d
}

// startPlatform starts a platform with five hosts, and a relay to it for each node.
func (d *taskFleet) startPlatform(t *testing.T, n int) {
	t.Helper()
	platform, err := cloudapi.New(cloudapi.Options{FenceChecks: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	for i, zone := range []string{"y", "y", "z", "z", "z"} {
		platform.Put(cloudapi.Entry{Service: "s", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Zone: zone, Version: "v1", Capacity: 2,
			Phase: "ready", ID: fmt.Sprintf("s-%d", i)})
	}
	for range n {
		link, err := cutproxy.New(platform.Addr(), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		d.links = append(d.links, link)
	}
	d.platform = platform
}

// logCalls logs all calls if the test has failed.
func (d *taskFleet) logCalls(t *testing.T) {
	if !t.Failed() {
		return
	}
	var log strings.Builder
	for _, c := range d.platform.DutyCalls() {
		fmt.Fprintf(&log, "\n%s received, %s decided: %s %s %v by %s, token %d, status %d", c.Received.Format(timeWithMillis),
			c.At.Format(timeWithMillis), c.Duty, c.Subject, c.Body, c.Holder, c.Token, c.Status)
	}
	t.Logf("calls to the platform:%s", log.String())
}

// putScaling puts a configuration with scaling bounds for the service, and waits until it is acknowledged.
func (d *taskFleet) putScaling() {
	d.t.Helper()
	scaling := fmt.Sprintf(`"scaling":{"min_count":%d,"max_count":%d,"boot_time_s":1},"health_path"`, minScaledHosts, maxScaledHosts)
	body := []byte(strings.Replace(string(config(2)), `"health_path"`, scaling, 1))
	node := 0
	d.until("the configuration with scaling bounds is acknowledged", func() bool {
		node++
		status, _ := d.call(node%d.n, http.MethodPut, "/api/config", "1", body)
		return status == http.StatusOK
	})
}

// resumeLimit is the time after a fault within which usage reports must resume: the others agree on a view without the holder, its grant
// expires, the next holder's collector may wait as long as a window's deadline permits, and its next call may be in backoff.
func (d *taskFleet) resumeLimit() time.Duration {
	collecting := d.schedule.LateAfter - d.schedule.Margin - d.schedule.Settle
	return detectionLimit + leaseTakeover(d.term) + collecting + maxCallBackoff + busyMargin
}

// awaitCalls waits until a condition holds for the decided calls and the number of calls that the platform holds.
func (d *taskFleet) awaitCalls(what string, limit time.Duration, met func(decided []cloudapi.DutyCall, held int) bool) {
	d.t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	if d.platform.WaitDutyCalls(ctx, met) == nil {
		return
	}
	for i := range d.nodes {
		if d.nodes[i] != nil {
			_, text := d.call(i, http.MethodGet, "/api/status", "", nil)
			d.t.Logf("node %d: %s", i, text)
		}
	}
	d.t.Fatalf("not within %v: %s; the last calls: %v", limit, what, lastCalls(d.platform.DutyCalls(), 8))
}

// awaitUsage waits until the platform has accepted a usage report that it received after a time. It returns how long that took.
func (d *taskFleet) awaitUsage(what string, since time.Time, limit time.Duration) time.Duration {
	d.t.Helper()
	d.awaitCalls(what+": no usage is accepted", limit, func(decided []cloudapi.DutyCall, _ int) bool {
		return indexOfCall(decided, func(c cloudapi.DutyCall) bool {
			return c.Applied && c.Duty == cloudapi.UsageDuty && c.Received.After(since)
		}) >= 0
	})
	return time.Since(since)
}

// awaitReports waits until the platform has accepted the reports of all windows that ended within taskTestLate. Even after the longest
// interruption of usage reports and the warm-up of a collector, each of them can still be reported.
func (d *taskFleet) awaitReports() {
	d.t.Helper()
	now := time.Now()
	oldest := usage.WindowAt(now.Add(-taskTestLate), taskTestWindow)
	newest := usage.WindowAt(now.Add(-d.schedule.Settle), taskTestWindow) - 1
	d.awaited = newest
	d.awaitCalls(fmt.Sprintf("reports of windows %d to %d are accepted", oldest, newest), d.resumeLimit(), func(decided []cloudapi.DutyCall, _ int) bool {
		missing := missingWindows(decided, newest)
		return len(missing) == 0 || missing[len(missing)-1] < oldest
	})
}

// holder returns the node whose token is the highest of all calls so far.
func (d *taskFleet) holder() int {
	d.t.Helper()
	var newest cloudapi.DutyCall
	for _, c := range d.platform.DutyCalls() {
		if c.Token >= newest.Token {
			newest = c
		}
	}
	i, err := strconv.Atoi(strings.TrimPrefix(newest.Holder, "core-"))
	if err != nil || i < 0 || i >= d.n {
		d.t.Fatalf("holder %q is not a node", newest.Holder)
	}
	return i
}

// lastCalls returns the last n calls.
func lastCalls(calls []cloudapi.DutyCall, n int) []cloudapi.DutyCall {
	return calls[max(0, len(calls)-n):]
}

// indexOfCall returns the index of the last call for which match is true, -1 if there is none.
func indexOfCall(calls []cloudapi.DutyCall, match func(c cloudapi.DutyCall) bool) int {
	for i := len(calls) - 1; i >= 0; i-- {
		if match(calls[i]) {
			return i
		}
	}
	return -1
}
