package usage

import (
	"maps"
	"slices"
	"time"
)

// CollectorParams are the parameters of a Collector.
type CollectorParams struct {
	// WindowLength is the length of a window; above 0.
	WindowLength time.Duration
	// Retention is how long windows are retained after their end, and sources after their last report. Windows that
	// begin more than Retention after the present time are not added.
	Retention time.Duration
	// LoadHistory is how long reported loads are retained.
	LoadHistory time.Duration
}

// DefaultCollectorParams returns the parameters used in production for a window length and the time after a window's end by which it
// must be recorded.
func DefaultCollectorParams(windowLength, lateAfter time.Duration) CollectorParams {
	return CollectorParams{WindowLength: windowLength, Retention: 2*lateAfter + 2*windowLength, LoadHistory: 15 * time.Second}
}

// Now is the present time on two clocks of a node.
type Now struct {
	Mono time.Duration // on the monotonic clock, since any fixed point
	True time.Time     // as estimated by TrueTime; it may step
}

// Collector sums the counts that fronts report. It is not safe for concurrent use. Its memory is bounded by its parameters and the
// number of reporting sources.
type Collector struct {
	params  CollectorParams
	windows map[int64]map[source]map[string]int64 // counts by window, source and tenant
	sources map[source]*sourceState
}

// source is one incarnation of a front.
type source struct {
	front       string
	incarnation int64
}

// sourceState is the state of a source besides its counts.
type sourceState struct {
	lastReportAt time.Duration // on the monotonic clock
	loads        []loadSample  // by time
}

// loadSample is the cumulative loads of a source after one report.
type loadSample struct {
	at     time.Duration
	busyMs map[destination]int64 // total duration of calls since the source started
}

// NewCollector returns a collector without counts.
func NewCollector(params CollectorParams) *Collector {
	return &Collector{params: params, windows: map[int64]map[source]map[string]int64{}, sources: map[source]*sourceState{}}
}

// Add adds a report of a front. Reports may be added in any order and repeatedly.
func (c *Collector) Add(now Now, front string, report Report) {
	c.Expire(now)
	from := source{front, report.Incarnation}
	for _, w := range report.Windows {
		if c.retains(now, w.Number) {
			c.addWindow(from, w)
		}
	}
	state := c.sources[from]
	if state == nil {
		state = &sourceState{}
		c.sources[from] = state
	}
	state.lastReportAt = now.Mono
	state.addLoads(now.Mono, report.Loads)
	state.expireLoads(now.Mono - c.params.LoadHistory)
}

// Expire drops the windows and sources that are beyond the retention.
func (c *Collector) Expire(now Now) {
	for number := range c.windows {
		if !c.retains(now, number) {
			delete(c.windows, number)
		}
	}
	for from, state := range c.sources {
		if state.lastReportAt < now.Mono-c.params.Retention {
			delete(c.sources, from)
		}
	}
}

// retains reports whether a window is within the retention of the present time.
func (c *Collector) retains(now Now, window int64) bool {
	length := c.params.WindowLength
	return window >= WindowAt(now.True.Add(-c.params.Retention), length) && window <= WindowAt(now.True.Add(c.params.Retention), length)
}

// addWindow adds a window of a source. Counts are cumulative, so the larger of two counts is kept.
func (c *Collector) addWindow(from source, w Window) {
	bySource := c.windows[w.Number]
	if bySource == nil {
		bySource = map[source]map[string]int64{}
		c.windows[w.Number] = bySource
	}
	counts := bySource[from]
	if counts == nil {
		counts = make(map[string]int64, len(w.Counts))
		bySource[from] = counts
	}
	for _, reported := range w.Counts {
		counts[reported.Tenant] = max(counts[reported.Tenant], reported.Count)
	}
}

// Counts returns the counts of a window by tenant, summed over all sources. Tenants without a request are omitted.
func (c *Collector) Counts(window int64) map[string]int {
	total := map[string]int{}
	for _, counts := range c.windows[window] {
		for tenant, count := range counts {
			if count > 0 {
				total[tenant] += int(count)
			}
		}
	}
	return total
}

// FrontsSince returns the sorted names of the fronts whose last report arrived at or after a time of the monotonic clock.
func (c *Collector) FrontsSince(since time.Duration) []string {
	var fronts []string
	for from, state := range c.sources {
		if state.lastReportAt >= since {
			fronts = append(fronts, from.front)
		}
	}
	slices.Sort(fronts)
	return slices.Compact(fronts)
}

// Load is the mean number of calls in flight to the hosts of a service in a zone.
type Load struct {
	Service, Zone string
	Concurrency   float64
}

// LoadSince returns the loads since a time of the monotonic clock, sorted by service and zone. The load of a source is measured from
// the newest retained report at or before that time, or else the oldest one, to its last report; it needs two retained reports. A
// source without a report since that time does not count. A call counts when its end is reported.
func (c *Collector) LoadSince(since time.Duration) []Load {
	total := map[destination]float64{}
	for _, state := range c.sources {
		state.addConcurrency(total, since)
	}
	loads := make([]Load, 0, len(total))
	for _, to := range slices.SortedFunc(maps.Keys(total), compareDestinations) {
		loads = append(loads, Load{to.service, to.zone, total[to]})
	}
	return loads
}
