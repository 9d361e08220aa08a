package oracle

// What a table is told, and what it tells: the decisions.

import (
	"math"
	"time"
)

const (
	// Buckets is the paper's H; their bound is the maximal timeout.
	Buckets = 100
	// MinSamples before the oracle is heard: the 98% edge means nothing with fewer.
	MinSamples = 30
	// memory in samples of a table. Twice H: it fills the tail's buckets and still relearns.
	memory = 200
)

// Add enters one served latency.
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

// CutShort enters one attempt that was given up at the bound.
func (t *Table) CutShort() { t.fade(); t.beyond += t.weight }

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

// Look brings edge and high up to date.
func (t *Table) Look() {
	if !t.stale || t.total < MinSamples {
		return
	}
	t.stale = false
	served := 0.0
	for _, n := range t.count {
		served += n
	}
	all, cost := served+t.beyond, t.cost.Buckets*t.width.Seconds()+t.cost.Fixed.Seconds()
	if served > 0 {
		for _, s := range t.sum {
			cost += t.cost.Means * s / served
		}
	}
	f, m, best := 0.0, 0.0, math.Inf(1)
	t.edge, t.high = 0, 0
	for i := range t.count {
		f += t.count[i] / all
		m += t.sum[i] / all
		edge := time.Duration(i+1) * t.width
		if f <= 0 {
			continue
		}
		if e := m/f + (1-f)/f*(edge.Seconds()+cost); e < best {
			best, t.edge = e, edge
		}
		if t.high == 0 && f*all >= 0.98*served {
			t.high = edge
		}
	}
}
