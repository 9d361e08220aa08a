// Package usage counts, for each tenant and window of time, the requests that hosts began to run.
//
// A Counter at each front counts. Fronts report to a Collector at the head, which adds the counts of all fronts up. A Schedule says
// which window is due to be recorded, and TrueTime estimates the time that windows are numbered by.
//
// # Reports
//
// Counts in reports are cumulative for a source, which is one incarnation of a front, and a window. So reports may be lost,
// repeated and reordered: of two counts of a source the larger one holds, and the counts of different sources add up. A collector
// keeps its counts in memory. A front that gets a receipt of another collector than before reports all windows that it retains once
// more, so that a new head has the counts of each front that runs. What a front has counted and not reported is lost with it.
//
// # Windows
//
// Window k begins k times the window length after the beginning of 1970, in true time. Nodes' wall clocks may be wrong by
// seconds, and may step; windows are found by TrueTime, whose estimate is a median over the clocks of several nodes and goes on
// with the node's own monotonic clock.
//
// The package is pure: no I/O, no clock, no goroutines.
package usage

import "time"

// Window is the counts of one source in one window.
type Window struct {
	Number int64
	Counts []TenantCount // sorted by tenant
}

// TenantCount is the number of requests of one tenant.
type TenantCount struct {
	Tenant string
	Count  int64
}

// ServiceLoad is how long calls of one source to the hosts of a service in a zone have taken together since its start.
type ServiceLoad struct {
	Service string
	Zone    string
	BusyMs  int64 // cumulative
}

// Report is what a source sends to the collector. The zero value is empty.
type Report struct {
	Incarnation int64         // of the front; no two incarnations of a front have the same
	Windows     []Window      // sorted by number
	Loads       []ServiceLoad // sorted by service and zone
}

// WindowAt returns the number of the window that a time is in.
func WindowAt(t time.Time, length time.Duration) int64 {
	ns := t.UnixNano()
	number := ns / int64(length)
	if ns%int64(length) < 0 {
		number--
	}
	return number
}

// WindowEnd returns the end of a window, which is the beginning of the next one.
func WindowEnd(number int64, length time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(length))
}
