package controlnode

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"larchrouter/internal/standin/cloudapi"
	"larchrouter/internal/tier/usage"
)

// checkPlatformCalls checks all calls of a run: the platform's rules, that tokens never decrease, the orders and the reports.
func (d *taskFleet) checkPlatformCalls() {
	d.t.Helper()
	calls := d.platform.DutyCalls()
	for _, violation := range cloudapi.CheckDuties(calls, cloudapi.DutyParams{LeaseTerm: d.term, FenceChecks: true}) {
		d.t.Errorf("%s: %s", violation.Rule, violation.Text)
	}
	for _, fault := range checkTokens(calls) {
		d.t.Error(fault)
	}
	for _, fault := range checkArrivals(calls) {
		d.t.Error(fault)
	}
	for _, fault := range checkOrders(calls) {
		d.t.Error(fault)
	}
	d.checkReports(calls)
	d.t.Log(summarizeCalls(calls))
}

// checkTokens finds accepted calls with a lower token than an earlier one for the same task and subject, and calls that the platform
// rejected as malformed.
func checkTokens(calls []cloudapi.DutyCall) (faults []string) {
	highest := map[string]int64{}
	for _, c := range calls {
		switch key := c.Duty + " " + c.Subject; {
		case c.Status == http.StatusBadRequest:
			faults = append(faults, fmt.Sprintf("%v: malformed", c))
		case c.Applied && c.Token < highest[key]:
			faults = append(faults, fmt.Sprintf("%v: accepted after token %d", c, highest[key]))
		case c.Applied:
			highest[key] = c.Token
		}
	}
	return faults
}

// transitLimit is the longest transit of a call through a relay on a busy machine.
const transitLimit = 250 * time.Millisecond

// checkArrivals finds calls, accepted or not, that arrived at the platform after one with a higher token for any subject. They were
// made without the lease: relays do not deliver data that they have held, and a pause between the last check of the lease and the
// write after it is very unlikely.
func checkArrivals(calls []cloudapi.DutyCall) (faults []string) {
	calls = slices.SortedFunc(slices.Values(calls), func(a, b cloudapi.DutyCall) int { return a.Received.Compare(b.Received) })
	var highest cloudapi.DutyCall // the first one with its token
	for _, c := range calls {
		switch after := c.Received.Sub(highest.Received); {
		case c.Token > highest.Token:
			highest = c
		case c.Token < highest.Token && after > transitLimit:
			faults = append(faults, fmt.Sprintf("%v: arrived %v after the first call with token %d, by %s", c, after, highest.Token, highest.Holder))
		}
	}
	return faults
}

// checkOrders finds orders of hosts outside the bounds.
func checkOrders(calls []cloudapi.DutyCall) (faults []string) {
	for _, c := range calls {
		if order, ok := c.Body.(cloudapi.ScaleOrder); ok && (order.Desired < minScaledHosts || order.Desired > maxScaledHosts) {
			faults = append(faults, fmt.Sprintf("%v: %d hosts ordered, bounds are %d and %d", c, order.Desired, minScaledHosts, maxScaledHosts))
		}
	}
	return faults
}

// checkReports finds windows of the run that were not reported, or whose counts differ from those of the front. A window may be
// missing if no holder could make calls for long enough while the window could have been reported: a collector that starts when the
// window is already late waits for all fronts, and a slow platform delays reports that are queued behind others.
func (d *taskFleet) checkReports(calls []cloudapi.DutyCall) {
	d.t.Helper()
	for _, c := range calls {
		report, ok := c.Body.(cloudapi.UsageReport)
		if !ok || !c.Applied {
			continue
		}
		if counted := d.front.counted(report.WindowNo); !maps.Equal(report.ServerCounts, counted) {
			d.t.Errorf("%v: window %d, which ended %v earlier, has counts %v, want %v", c, report.WindowNo,
				c.At.Sub(usage.WindowEnd(report.WindowNo, taskTestWindow)), report.ServerCounts, counted)
		}
	}
	enough := d.schedule.WarmUp + taskTestWindow
	for _, window := range missingWindows(calls, d.awaited) {
		end := usage.WindowEnd(window, taskTestWindow)
		if span := longestHeld(calls, end.Add(d.schedule.Settle), end.Add(2*taskTestLate)); span > enough {
			d.t.Errorf("window %d was not reported, though one holder reported other windows for %v meanwhile", window, span)
		} else {
			d.t.Logf("window %d was not reported: no holder reported for longer than %v", window, span)
		}
	}
}

// missingWindows returns the windows that were not accepted, from the first accepted one up to the newest one. If none was accepted,
// the newest one is missing.
func missingWindows(calls []cloudapi.DutyCall, newest int64) (missing []int64) {
	accepted, first := map[int64]bool{}, newest
	for _, c := range calls {
		if report, ok := c.Body.(cloudapi.UsageReport); ok && c.Applied {
			if len(accepted) == 0 || report.WindowNo < first {
				first = report.WindowNo
			}
			accepted[report.WindowNo] = true
		}
	}
	for window := first; window <= newest; window++ {
		if !accepted[window] {
			missing = append(missing, window)
		}
	}
	return missing
}

// promptCallLimit is the longest time that the platform takes for a call if it has no fault and the machine is not busy.
const promptCallLimit = 200 * time.Millisecond

// longestHeld returns the longest time, between two times, during which one holder made successive reports at short intervals and the
// platform accepted each without delay.
func longestHeld(calls []cloudapi.DutyCall, from, until time.Time) (longest time.Duration) {
	var first, last cloudapi.DutyCall
	for _, c := range calls {
		if c.Duty != cloudapi.UsageDuty || c.At.Before(from) || c.At.After(until) {
			continue
		}
		prompt := c.Applied && c.At.Sub(c.Received) < promptCallLimit
		if !prompt || c.Holder != first.Holder || c.At.Sub(last.At) > taskTestWindow+2*taskInterval {
			first = c
		}
		last = c
		longest = max(longest, c.At.Sub(first.At))
	}
	return longest
}

// summarizeCalls returns a summary of the calls of a run.
func summarizeCalls(calls []cloudapi.DutyCall) string {
	statuses, holders, overtaken := map[int]int{}, 0, 0
	var holder string
	highest := int64(0)
	for _, c := range calls {
		statuses[c.Status]++
		if c.Token < highest {
			overtaken++
			continue
		}
		if c.Holder != holder {
			holders, holder = holders+1, c.Holder
		}
		highest = c.Token
	}
	return fmt.Sprintf("%d calls by status %v, %d holders in turn, %d calls decided after one with a higher token", len(calls), statuses,
		holders, overtaken)
}
