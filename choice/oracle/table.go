// Package oracle is the time-out oracle: from the latencies of a destination it estimates the time-out after
// which a call is best abandoned and retried. It reads no clock, and nothing in it is safe for concurrent
// use.
package oracle

import "time"

// Cost is the cost of a retry in addition to the time-out before it: the sum of its parts.
type Cost struct {
	Buckets float64 // in widths of a bucket
	Means   float64 // in mean latencies
	Fixed   time.Duration
}

// Table is a histogram of the latencies of one destination. Old samples decay: each new one weighs a little
// more than the one before it.
type Table struct {
	cost   Cost
	width  time.Duration
	weight float64       // of the next sample
	count  []float64     // weighted samples, by bucket; allocated with the first served sample
	sum    []float64     // weighted sum of latencies, seconds, by bucket
	beyond float64       // weighted samples without a latency
	total  float64       // samples, not weighted
	edge   time.Duration // best time-out, 0 for none
	high   time.Duration // 98% of the served latencies are below it, 0 if unknown
	stale  bool          // edge and high are older than the last sample
}

// New returns a table without samples, with buckets of the given width.
func New(width time.Duration, cost Cost) Table { return Table{cost: cost, width: width, weight: 1} }

// Width returns the width of a bucket.
func (t *Table) Width() time.Duration { return t.width }

// Edge returns the time-out with the least expected completion time as of the last Look, 0 if there is none.
func (t *Table) Edge() time.Duration { return t.edge }

// High returns the bucket edge below which 98% of the served latencies were as of the last Look, 0 if
// unknown.
func (t *Table) High() time.Duration { return t.high }

// Mean returns the mean latency, 0 if there are no samples.
func (t *Table) Mean() time.Duration {
	count, sum := 0.0, 0.0
	for i := range t.count {
		count, sum = count+t.count[i], sum+t.sum[i]
	}
	if count == 0 {
		return 0
	}
	return time.Duration(sum / count * float64(time.Second))
}

// Few reports whether there are too few samples for an estimate.
func (t *Table) Few() bool { return t.total < MinSamples }

// Empty reports whether there is no latency yet; such a table has no buckets allocated.
func (t *Table) Empty() bool { return t.count == nil }

// Rescale changes the width of the buckets. Samples move to the new bucket of the mean of their old one.
func (t *Table) Rescale(width time.Duration) {
	old := *t
	if t.width = width; old.width == width || old.count == nil {
		return
	}
	t.count, t.sum, t.stale = make([]float64, Buckets), make([]float64, Buckets), true
	for i, count := range old.count {
		if count == 0 {
			continue
		}
		if index := int(old.sum[i] / count / width.Seconds()); index < Buckets {
			t.count[index] += count
			t.sum[index] += old.sum[i]
		} else {
			t.beyond += count
		}
	}
}
