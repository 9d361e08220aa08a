package oracle

import (
	"math"
	"math/rand"
	"testing"
	"testing/quick"
	"time"
)

const ms = time.Millisecond

// cost of a restart in these tests.
var cost = Cost{Buckets: 1, Means: 4}

func TestOracleByHand(t *testing.T) {
	tab := New(10*ms, cost)
	for range 90 {
		tab.Add(15 * ms)
	}
	for range 10 {
		tab.Add(905 * ms)
	}
	tab.Look()
	if tab.edge != 20*ms {
		t.Errorf("edge %v with a tenth of the answers 60 times slower, want the bucket of the fast ones, 20ms", tab.edge)
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

func TestTableFades(t *testing.T) {
	tab := New(10*ms, cost)
	for range 1000 {
		tab.Add(15 * ms)
	}
	for range 2 * memory {
		tab.Add(505 * ms)
	}
	tab.Look()
	if tab.edge < 510*ms {
		t.Errorf("edge %v after the destination slowed, want it relearned to 510ms", tab.edge)
	}
	for range 10000 {
		tab.Add(505 * ms)
	}
	if math.IsInf(tab.weight, 0) || tab.weight > 1e7 {
		t.Errorf("weight %v grows without bound", tab.weight)
	}
}

// Wider or narrower buckets keep every sample, and what an answer took within one bucket of either width.
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
