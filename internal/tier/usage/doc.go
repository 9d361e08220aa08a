// Package usage counts the requests that hosts started to process, by tenant and time window.
//
// Each front has a Counter. Fronts report to a Collector at the head, which sums the counts of all fronts. A Schedule determines which
// window is due to be recorded, and TrueTime estimates the time by which windows are numbered.
//
// # Reports
//
// Counts in reports are cumulative for each source (one incarnation of a front) and window. Reports may therefore be lost, repeated and
// reordered: of two counts of a source the larger one is valid, and the counts of different sources are summed. A collector keeps its
// counts in memory only. A front that gets a receipt from a different collector reports all windows that it retains again, so that a
// new head gets the counts of every running front. Counts that a front has not reported when it stops are lost.
//
// # Windows
//
// Window k begins k window lengths after the Unix epoch, in true time. The wall clocks of nodes may be wrong by seconds, and may step;
// windows are therefore numbered by TrueTime, which estimates the time as the median over the clocks of several nodes and advances it
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

// ServiceLoad is the total duration of the calls of one source to the hosts of a service in a zone since the source started.
type ServiceLoad struct {
	Service string
	Zone    string
	BusyMs  int64 // cumulative
}

// Report is the report of a source to the collector. The zero value is empty.
type Report struct {
	Incarnation int64         // of the front; no two incarnations of a front have the same
	Windows     []Window      // sorted by number
	Loads       []ServiceLoad // sorted by service and zone
}

// WindowAt returns the number of the window that contains a time.
func WindowAt(t time.Time, length time.Duration) int64 {
	ns := t.UnixNano()
	number := ns / int64(length)
	if ns%int64(length) < 0 {
		number--
	}
	return number
}

// WindowEnd returns the end of a window, which is the start of the next one.
func WindowEnd(number int64, length time.Duration) time.Time {
	return time.Unix(0, (number+1)*int64(length))
}
