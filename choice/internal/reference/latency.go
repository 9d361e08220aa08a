package reference

// The time-out oracle.

import (
	"math"
	"time"
)

const (
	// latencyBuckets is the number H of buckets, which together cover the longest latency target.
	latencyBuckets = 100
	// minSamples is the number of samples below which there is no estimate: the 98% edge means nothing with
	// fewer.
	minSamples = 30
	// memory is the time constant, in samples, with which old samples decay.
	memory = 200
	// restartCostMeans is the cost of a retry in mean latencies: the first attempt keeps running and its
	// retry queues behind it.
	restartCostMeans = 4.0
)

// latencyTable is a histogram of the latencies of one destination. Old samples decay: each new one weighs a
// little more than the one before it.
type latencyTable struct {
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

// add records the latency of a served call.
func (t *latencyTable) add(took time.Duration) {
	i := int(took / t.width)
	if i < 0 || i >= latencyBuckets {
		t.cutShort()
		return
	}
	t.fade()
	if t.count == nil {
		t.count, t.sum = make([]float64, latencyBuckets), make([]float64, latencyBuckets)
	}
	t.count[i] += t.weight
	t.sum[i] += t.weight * took.Seconds()
}

// cutShort records an attempt that ended without a latency.
func (t *latencyTable) cutShort() { t.fade(); t.beyond += t.weight }

// fade gives the next sample more weight than all before it.
func (t *latencyTable) fade() {
	t.total++
	t.stale = true
	if t.weight *= 1 + 1.0/memory; t.weight > 1e6 {
		for i := range t.count {
			t.count[i] /= t.weight
			t.sum[i] /= t.weight
		}
		t.beyond, t.weight = t.beyond/t.weight, 1
	}
}

// update updates edge and high to the samples so far.
func (t *latencyTable) update() {
	if !t.stale || t.total < minSamples {
		return
	}
	t.stale = false
	served := 0.0
	for _, count := range t.count {
		served += count
	}
	total, cost := served+t.beyond, t.width.Seconds()
	if served > 0 {
		for _, sum := range t.sum {
			cost += restartCostMeans * sum / served
		}
	}
	share, partialMean, best := 0.0, 0.0, math.Inf(1)
	t.edge, t.high = 0, 0
	for i := range t.count {
		share += t.count[i] / total
		partialMean += t.sum[i] / total
		edge := time.Duration(i+1) * t.width
		if share <= 0 {
			continue
		}
		if estimate := partialMean/share + (1-share)/share*(edge.Seconds()+cost); estimate < best {
			best, t.edge = estimate, edge
		}
		if t.high == 0 && share*total >= 0.98*served {
			t.high = edge
		}
	}
}
