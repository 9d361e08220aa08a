package oracle

import (
	"math"
	"math/rand"
	"testing"
	"testing/quick"
	"time"
)

const ms = time.Millisecond

// cost of a retry in these tests.
var cost = Cost{Buckets: 1, Means: 4}

func TestBestTimeoutOfKnownLatencies(t *testing.T) {
	table := New(10*ms, cost)
	for range 90 {
		table.Add(15 * ms)
	}
	for range 10 {
		table.Add(905 * ms)
	}
	table.Look()
	if table.edge != 20*ms {
		t.Errorf("edge %v with a tenth of the answers 60 times slower, want the bucket of the fast ones, 20ms", table.edge)
	}
	same := New(10*ms, cost)
	for i := range 100 {
		same.Add(time.Duration(100+i%10) * ms)
	}
	same.Look()
	if same.edge != 110*ms {
		t.Errorf("edge %v for like answers, want 110ms, the end of their bucket", same.edge)
	}
	few := New(10*ms, cost)
	for range MinSamples - 1 {
		few.Add(15 * ms)
	}
	few.Look()
	if few.edge != 0 {
		t.Errorf("edge %v from %d samples, want none", few.edge, MinSamples-1)
	}
	few.Add(5 * time.Second) // beyond the bound
	if few.beyond < 1 || few.total != MinSamples {
		t.Errorf("beyond %v, total %v after a sample over the bound", few.beyond, few.total)
	}
}

func TestOldSamplesDecay(t *testing.T) {
	table := New(10*ms, cost)
	for range 1000 {
		table.Add(15 * ms)
	}
	for range 2 * memory {
		table.Add(505 * ms)
	}
	table.Look()
	if table.edge < 510*ms {
		t.Errorf("edge %v after the destination slowed, want it relearned to 510ms", table.edge)
	}
	for range 10000 {
		table.Add(505 * ms)
	}
	if math.IsInf(table.weight, 0) || table.weight > 1e7 {
		t.Errorf("weight %v grows without bound", table.weight)
	}
}

// Wider or narrower buckets keep every sample, and its latency to within a bucket of either width.
func TestRescaleKeepsSamples(t *testing.T) {
	if err := quick.Check(func(took []uint16, wide uint8) bool {
		a := New(10*ms, cost)
		for _, ms := range took {
			a.Add(time.Duration(ms%2000) * time.Millisecond)
		}
		sum := func(x *Table) (n float64) {
			for _, v := range x.count {
				n += v
			}
			return n + x.beyond
		}
		before, total := sum(&a), a.total
		a.Rescale(time.Duration(1+int(wide)) * time.Millisecond)
		if d := sum(&a) - before; d > 1e-6*before || d < -1e-6*before || a.total != total {
			return false
		}
		for i, n := range a.count {
			if in := a.sum[i]/n/a.width.Seconds() - float64(i); n > 0 && (in < -1e-6 || in > 1+1e-6) {
				return false
			}
		}
		return true
	}, &quick.Config{Rand: rand.New(rand.NewSource(1)), MaxCount: 500}); err != nil {
		t.Error(err)
	}
}
