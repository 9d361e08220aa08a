package scaling

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	testParams  = Params{TargetUtilization: 0.5, DownDelay: 5 * time.Second}
	testSubject = Subject{"redactor", "north"}
)

// demandOf is a demand for a number of hosts of ten slots, of which half should be in use.
func demandOf(hosts float64) Demand {
	return Demand{Min: 2, Max: 10, Hosts: 4, Slots: 10, Concurrency: hosts * 5}
}

// play plans once a second and returns the orders, 0 for none.
func play(p *Planner, demands ...float64) (orders []int) {
	for i, d := range demands {
		hosts, ok := p.Plan(time.Duration(i)*time.Second, testSubject, demandOf(d))
		if ok {
			p.Ordered(testSubject, hosts)
		}
		orders = append(orders, hosts)
	}
	return orders
}

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name    string
		demands []float64
		want    []int
	}{
		{"steady", []float64{4, 4, 4, 4, 4, 4, 4}, []int{0, 0, 0, 0, 0, 0, 0}},
		{"up at once", []float64{4, 6, 6.1}, []int{0, 6, 7}},
		{"never above the maximum", []float64{40, 400}, []int{10, 0}},
		{"down after the delay", []float64{3, 3, 3, 3, 3, 3, 3}, []int{0, 0, 0, 0, 0, 3, 0}},
		{"never below the minimum", []float64{0, 0, 0, 0, 0, 0, 0}, []int{0, 0, 0, 0, 0, 2, 0}},
		{"down to the peak of the delay", []float64{1, 1, 1, 3, 1, 1, 1, 1, 1, 1}, []int{0, 0, 0, 0, 0, 3, 0, 0, 0, 2}},
		{"a peak keeps the number", []float64{4, 1, 1, 1, 1, 4, 1, 1, 1, 1, 4}, []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := play(NewPlanner(testParams), c.demands...)
			for i := range c.want {
				if got[i] != c.want[i] {
					t.Fatalf("ordered %v, want %v", got, c.want)
				}
			}
		})
	}
}

func TestOrderIsRepeatedUntilMade(t *testing.T) {
	p := NewPlanner(testParams)
	for range 3 {
		if hosts, ok := p.Plan(0, testSubject, demandOf(8)); !ok || hosts != 8 {
			t.Fatalf("planned %d, %v", hosts, ok)
		}
	}
	p.Ordered(testSubject, 8)
	if hosts, ok := p.Plan(0, testSubject, demandOf(8)); ok {
		t.Fatalf("planned %d again", hosts)
	}
	if n, ok := p.InForce(testSubject); !ok || n != 8 {
		t.Errorf("%d, %v in force", n, ok)
	}
}

func TestSubjectsArePlannedApart(t *testing.T) {
	p := NewPlanner(testParams)
	p.Plan(0, testSubject, demandOf(8))
	if hosts, ok := p.Plan(0, Subject{"redactor", "south"}, demandOf(4)); ok {
		t.Errorf("the other zone is ordered %d hosts", hosts)
	}
}

// Whatever the demand: numbers stay within the bounds, are enough for the demand, and are never raised within DownDelay after they
// were lowered by a demand that was there when they were lowered.
func TestRandomDemands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlanner(testParams)
		now := time.Duration(0)
		ordered := rapid.IntRange(0, 12).Draw(t, "hosts at the start")
		bounds := Demand{Min: 2, Max: 10, Hosts: ordered, Slots: 10}
		var history []sample
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			bounds.Concurrency = rapid.Float64Range(0, 80).Draw(t, "concurrency")
			needed := max(bounds.Min, min(int(math.Ceil(bounds.Concurrency/5)), bounds.Max))
			history = append(history, sample{now, needed})
			hosts, ok := p.Plan(now, testSubject, bounds)
			if ok {
				checkOrder(t, history, ordered, hosts, bounds)
				p.Ordered(testSubject, hosts)
				ordered = hosts
			}
			if ordered < needed {
				t.Fatalf("%d hosts for a demand of %d", ordered, needed)
			}
		}
	})
}

// checkOrder checks an order against the demands so far.
func checkOrder(t *rapid.T, history []sample, before, hosts int, bounds Demand) {
	now := history[len(history)-1].at
	if hosts < bounds.Min || hosts > bounds.Max || hosts == before {
		t.Fatalf("ordered %d after %d", hosts, before)
	}
	if hosts > before {
		return
	}
	if now-history[0].at < testParams.DownDelay {
		t.Fatalf("lowered from %d to %d after %s", before, hosts, now-history[0].at)
	}
	for _, s := range history {
		if s.at >= now-testParams.DownDelay && s.hosts > hosts {
			t.Fatalf("lowered to %d, %s after a demand of %d", hosts, now-s.at, s.hosts)
		}
	}
}

func TestCheckParams(t *testing.T) {
	if err := DefaultParams().Check(); err != nil {
		t.Error(err)
	}
	for _, p := range []Params{{}, {TargetUtilization: 1.1}, {TargetUtilization: math.NaN()}, {TargetUtilization: 0.5, DownDelay: -1}} {
		if p.Check() == nil {
			t.Errorf("%+v passes", p)
		}
	}
}
