package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Counter counts the requests that one source started, and sums how long its calls took. It is safe for concurrent use. Its memory is
// bounded by the number of retained windows, of tenants, and of services with their zones.
type Counter struct {
	incarnation int64
	maxWindows  int

	mu        sync.Mutex
	windows   []*windowCounts               // in the order of their first request
	busy      map[destination]time.Duration // total duration of calls
	collector string                        // sender of the last receipt; empty before the first
}

// windowCounts is the counts of a window.
type windowCounts struct {
	number       int64
	counts       map[string]int64 // by tenant
	total        int64            // of all counts
	acknowledged int64            // part of total that the current collector has acknowledged
}

// destination identifies the hosts of a service in a zone.
type destination struct{ service, zone string }

// NewCounter returns a counter for an incarnation of a front. It retains the newest maxWindows windows by their first request;
// maxWindows is at least 1.
func NewCounter(incarnation int64, maxWindows int) *Counter {
	return &Counter{incarnation: incarnation, maxWindows: max(1, maxWindows), busy: map[destination]time.Duration{}}
}

// Record counts a request of a tenant that started in a window.
func (c *Counter) Record(tenant string, window int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.findWindow(window)
	if w == nil {
		w = &windowCounts{number: window, counts: map[string]int64{}}
		c.windows = append(c.windows, w)
		if excess := len(c.windows) - c.maxWindows; excess > 0 {
			c.windows = slices.Delete(c.windows, 0, excess)
		}
	}
	w.counts[tenant]++
	w.total++
}

// AddBusy adds the duration of a call to a host of a service in a zone.
func (c *Counter) AddBusy(service, zone string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy[destination{service, zone}] += max(0, took)
}

// Pending returns a report of the windows whose present counts the current collector has not acknowledged, and of all loads. If it
// has no window, no report is required.
func (c *Counter) Pending() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := Report{Incarnation: c.incarnation}
	for _, w := range c.windows {
		if w.acknowledged < w.total {
			report.Windows = append(report.Windows, w.report())
		}
	}
	slices.SortFunc(report.Windows, func(a, b Window) int { return cmp.Compare(a.Number, b.Number) })
	for to, busy := range c.busy {
		report.Loads = append(report.Loads, ServiceLoad{to.service, to.zone, busy.Milliseconds()})
	}
	slices.SortFunc(report.Loads, func(a, b ServiceLoad) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return report
}

// Acknowledge records that a collector has added a report of this counter. A collector other than that of the last receipt becomes
// the current one; the windows that are not in this report count as not acknowledged by it.
func (c *Counter) Acknowledge(collector string, report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if collector != c.collector {
		c.collector = collector
		for _, w := range c.windows {
			w.acknowledged = 0
		}
	}
	for _, reported := range report.Windows {
		if w := c.findWindow(reported.Number); w != nil {
			w.acknowledged = max(w.acknowledged, reported.total())
		}
	}
}

// findWindow returns the retained window with a number, nil if there is none. c.mu must be held.
func (c *Counter) findWindow(window int64) *windowCounts {
	for _, w := range slices.Backward(c.windows) {
		if w.number == window {
			return w
		}
	}
	return nil
}

func (w *windowCounts) report() Window {
	reported := Window{Number: w.number, Counts: make([]TenantCount, 0, len(w.counts))}
	for _, tenant := range slices.Sorted(maps.Keys(w.counts)) {
		reported.Counts = append(reported.Counts, TenantCount{tenant, w.counts[tenant]})
	}
	return reported
}

func (w *Window) total() (total int64) {
	for _, c := range w.Counts {
		total += c.Count
	}
	return total
}
