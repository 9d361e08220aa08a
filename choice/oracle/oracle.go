package oracle

// Samples and the estimate.

import (
	"math"
	"time"
)

const (
	// Buckets is the number H of buckets, which together cover the maximum time-out.
	Buckets = 100
	// MinSamples is the number of samples below which there is no estimate: the 98% edge means nothing with
	// fewer.
	MinSamples = 30
	// memory is the time constant, in samples, with which old samples decay. Twice Buckets: enough to fill
	// the buckets of the tail, and short enough to adapt.
	memory = 200
)

// Add records the latency of a served call; one beyond the last bucket counts as cut short.
func (t *Table) Add(took time.Duration) {
	i := int(took / t.width)
	if i < 0 || i >= Buckets {
		t.CutShort()
		return
	}
	t.fade()
	if t.count == nil {
		t.count, t.sum = make([]float64, Buckets), make([]float64, Buckets)
	}
	t.count[i] += t.weight
	t.sum[i] += t.weight * took.Seconds()
}

// CutShort records an attempt that ended without a latency: at its time-out, or by a failed connection.
func (t *Table) CutShort() { t.fade(); t.beyond += t.weight }

// fade gives the next sample more weight than all before it, and rescales the weights before they overflow.
func (t *Table) fade() {
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

// Look updates Edge and High to the samples so far. Edge minimizes E = M/F + (1-F)/F * (edge + cost), with F
// the share of samples below the edge and M their sum over all samples.
func (t *Table) Look() {
	if !t.stale || t.total < MinSamples {
		return
	}
	t.stale = false
	answered := 0.0
	for _, count := range t.count {
		answered += count
	}
	total, cost := answered+t.beyond, t.cost.Buckets*t.width.Seconds()+t.cost.Fixed.Seconds()
	if answered > 0 {
		for _, sum := range t.sum {
			cost += t.cost.Means * sum / answered
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
		if t.high == 0 && share*total >= 0.98*answered {
			t.high = edge
		}
	}
}
