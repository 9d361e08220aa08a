package usage

import (
	"testing"
	"time"
)

var testParams = CollectorParams{WindowLength: 5 * second, Retention: 30 * second, LoadHistory: 10 * second}

// at returns the same time on both clocks.
func at(t time.Duration) Now { return Now{Mono: t, True: time.Unix(0, 0).Add(t)} }

func countsOf(incarnation, window int64, counts ...TenantCount) Report {
	return Report{Incarnation: incarnation, Windows: []Window{{window, counts}}}
}

func TestCollectorSumsSources(t *testing.T) {
	c := NewCollector(testParams)
	for range 2 { // each report is repeated
		c.Add(at(20*second), "f1", countsOf(1, 3, TenantCount{"a", 5}, TenantCount{"b", 1}))
		c.Add(at(20*second), "f1", countsOf(1, 3, TenantCount{"a", 4}, TenantCount{"zero", 0})) // older report, reordered
		c.Add(at(20*second), "f1", countsOf(2, 3, TenantCount{"a", 10}))                        // after a restart
		c.Add(at(20*second), "f2", countsOf(1, 3, TenantCount{"a", 100}, TenantCount{"c", 7}))
		c.Add(at(20*second), "f2", countsOf(1, 4, TenantCount{"a", 1000}))
	}
	wantEqual(t, "window 3", c.Counts(3), map[string]int{"a": 115, "b": 1, "c": 7})
	wantEqual(t, "window 4", c.Counts(4), map[string]int{"a": 1000})
	wantEqual(t, "window 5", c.Counts(5), map[string]int{})
}

func TestCollectorExpiresWindowsAndSources(t *testing.T) {
	c := NewCollector(testParams)
	now := at(1000 * second) // window 200
	for _, window := range []int64{193, 194, 200, 206, 207} {
		c.Add(now, "f1", countsOf(1, window, TenantCount{"a", 1}))
	}
	wantEqual(t, "windows", len(c.windows), 3) // 194 to 206
	c.Add(at(1010*second), "f2", Report{Incarnation: 1})
	wantEqual(t, "windows", len(c.windows), 2)
	wantEqual(t, "window 194", c.Counts(194), map[string]int{})
	c.Expire(at(1030*second + 1))
	wantEqual(t, "sources", c.FrontsSince(0), []string{"f2"})
	c.Expire(at(1100 * second))
	wantEqual(t, "windows", len(c.windows), 0)
	wantEqual(t, "sources", len(c.sources), 0)
}

func TestCollectorListsRecentFronts(t *testing.T) {
	c := NewCollector(testParams)
	c.Add(at(1*second), "f2", Report{Incarnation: 1})
	c.Add(at(2*second), "f2", Report{Incarnation: 2})
	c.Add(at(3*second), "f1", Report{Incarnation: 1})
	wantEqual(t, "all", c.FrontsSince(0), []string{"f1", "f2"})
	wantEqual(t, "since 2 s", c.FrontsSince(2*second), []string{"f1", "f2"})
	wantEqual(t, "since 3 s", c.FrontsSince(3*second), []string{"f1"})
	wantEqual(t, "since 4 s", len(c.FrontsSince(4*second)), 0)
}

func busy(incarnation, ms int64) Report {
	return Report{Incarnation: incarnation, Loads: []ServiceLoad{{"m", "z1", ms}, {"m", "z2", 10}}}
}

func TestCollectorMeasuresLoad(t *testing.T) {
	for _, test := range []struct {
		name   string
		report func(c *Collector)
		since  time.Duration
		want   []Load
	}{
		{"nothing", func(*Collector) {}, 0, []Load{}},
		{"one report", func(c *Collector) { c.Add(at(1*second), "f1", busy(1, 9000)) }, 0, []Load{}},
		{"two reports", func(c *Collector) {
			c.Add(at(1*second), "f1", busy(1, 9000))
			c.Add(at(3*second), "f1", busy(1, 14000))
		}, 0, []Load{{"m", "z1", 2.5}}},
		{"the time before does not count", func(c *Collector) {
			c.Add(at(1*second), "f1", busy(1, 0))
			c.Add(at(2*second), "f1", busy(1, 9000))
			c.Add(at(4*second), "f1", busy(1, 12000))
		}, 3 * second, []Load{{"m", "z1", 1.5}}},
		{"sources are summed, including restarted ones", func(c *Collector) {
			c.Add(at(1*second), "f1", busy(1, 1000))
			c.Add(at(2*second), "f1", busy(1, 3000))
			c.Add(at(3*second), "f1", busy(2, 0))
			c.Add(at(4*second), "f1", busy(2, 500))
			c.Add(at(3*second), "f2", busy(1, 0))
			c.Add(at(4*second), "f2", busy(1, 250))
		}, 0, []Load{{"m", "z1", 2.75}}},
		{"a source without recent reports does not count", func(c *Collector) {
			c.Add(at(1*second), "f1", busy(1, 1000))
			c.Add(at(2*second), "f1", busy(1, 3000))
		}, 2*second + 1, []Load{}},
		{"a reordered older report changes nothing", func(c *Collector) {
			c.Add(at(1*second), "f1", busy(1, 1000))
			c.Add(at(2*second), "f1", busy(1, 3000))
			c.Add(at(3*second), "f1", busy(1, 2000))
			c.Add(at(3*second), "f1", busy(1, 2000))
		}, 0, []Load{{"m", "z1", 1}}},
		{"a new destination", func(c *Collector) {
			c.Add(at(1*second), "f1", busy(1, 1000))
			c.Add(at(2*second), "f1", Report{Incarnation: 1, Loads: []ServiceLoad{{"h", "z1", 3000}}})
		}, 0, []Load{{"h", "z1", 3}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := NewCollector(testParams)
			test.report(c)
			wantEqual(t, "loads", c.LoadSince(test.since), test.want)
		})
	}
}

func TestCollectorExpiresLoads(t *testing.T) {
	c := NewCollector(testParams)
	for i := range 100 {
		c.Add(at(time.Duration(i)*second), "f1", busy(1, int64(i)*2000))
	}
	samples := c.sources[source{"f1", 1}].loads
	wantEqual(t, "samples", len(samples), 11)
	wantEqual(t, "loads", c.LoadSince(95*second), []Load{{"m", "z1", 2}})
}
