// Package oracle is the timeout oracle: from the latencies of one destination it tells after how long a call had better
// be cut and restarted. It reads no clock, and nothing in it is safe for concurrent use.
package oracle

import "time"

// Cost is what a restart costs: so many buckets, so many mean latencies, and a fixed time, added up.
type Cost struct {
	Buckets float64
	Means   float64
	Fixed   time.Duration
}

// Table holds the latencies of one destination. Old samples fade: each new one weighs a little more than the one
// before it.
type Table struct {
	cost   Cost
	width  time.Duration
	weight float64
	count  []float64     // N_i; made with the first sample
	sum    []float64     // N_i times M_i, seconds
	beyond float64       // N_tau
	total  float64       // samples, not faded
	edge   time.Duration // least-E edge, 0 for none
	high   time.Duration // edge below which 98% of the answers lie, 0 if unknown
	stale  bool
}

// New is a table without samples, with buckets of the given width.
func New(width time.Duration, cost Cost) Table { return Table{cost: cost, width: width, weight: 1} }

// Width is that of a bucket.
func (t *Table) Width() time.Duration { return t.width }

// Edge is the edge with the least estimate as of the last Look, 0 if there is none.
func (t *Table) Edge() time.Duration { return t.edge }

// High is the edge below which 98% of the answers lay as of the last Look, 0 if unknown.
func (t *Table) High() time.Duration { return t.high }

// Mean is that of the latencies, 0 if there are none.
func (t *Table) Mean() time.Duration {
	n, sum := 0.0, 0.0
	for i := range t.count {
		n, sum = n+t.count[i], sum+t.sum[i]
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / n * float64(time.Second))
}

// Few tells whether there are too few samples for the oracle to be heard.
func (t *Table) Few() bool { return t.total < MinSamples }

// Empty tells whether there is no latency yet; such a table takes up hardly any memory.
func (t *Table) Empty() bool { return t.count == nil }

// Rescale has a table's buckets be so wide, with what it holds in the nearest of the new ones.
func (t *Table) Rescale(width time.Duration) {
	old := *t
	if t.width = width; old.width == width || old.count == nil {
		return
	}
	t.count, t.sum, t.stale = make([]float64, Buckets), make([]float64, Buckets), true
	for i, n := range old.count {
		if n == 0 {
			continue
		}
		if at := int(old.sum[i] / n / width.Seconds()); at < Buckets {
			t.count[at] += n
			t.sum[at] += old.sum[i]
		} else {
			t.beyond += n
		}
	}
}
