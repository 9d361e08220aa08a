package scaling

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	testParams  = Params{TargetUtilization: 0.5, DownDelay: 5 * time.Second}
	testSubject = Subject{"redactor", "north"}
)

// demandOf returns a demand for a number of hosts with ten slots each, half of which should be in use.
func demandOf(hosts float64) Demand {
	return Demand{Min: 2, Max: 10, Hosts: 4, Slots: 10, Concurrency: hosts * 5}
}

// planEachSecond plans once a second and returns the orders, 0 for none. Each order is accepted.
func planEachSecond(p *Planner, demands ...float64) (orders []int) {
	for i, d := range demands {
		hosts, ok := p.Plan(time.Duration(i)*time.Second, testSubject, demandOf(d))
		if ok {
			p.OrderAccepted(testSubject, hosts)
		}
		orders = append(orders, hosts)
	}
	return orders
}

func TestPlanRaisesAtOnceAndLowersAfterDelay(t *testing.T) {
	for _, c := range []struct {
		name    string
		demands []float64
		want    []int
	}{
		{"steady: once", []float64{4, 4, 4, 4, 4, 4, 4, 4}, []int{0, 0, 0, 0, 0, 4, 0, 0}},
		{"up at once", []float64{4, 6, 6.1}, []int{0, 6, 7}},
		{"never above the maximum", []float64{40, 400}, []int{10, 0}},
		{"down after the delay", []float64{3, 3, 3, 3, 3, 3, 3}, []int{0, 0, 0, 0, 0, 3, 0}},
		{"never below the minimum", []float64{0, 0, 0, 0, 0, 0, 0}, []int{0, 0, 0, 0, 0, 2, 0}},
		{"down to the peak of the delay", []float64{1, 1, 1, 3, 1, 1, 1, 1, 1, 1}, []int{0, 0, 0, 0, 0, 3, 0, 0, 0, 2}},
		{"a peak keeps the number", []float64{4, 1, 1, 1, 1, 4, 1, 1, 1, 1, 4}, []int{0, 0, 0, 0, 0, 4, 0, 0, 0, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := planEachSecond(NewPlanner(testParams), c.demands...)
			for i := range c.want {
				if got[i] != c.want[i] {
					t.Fatalf("ordered %v, want %v", got, c.want)
				}
			}
		})
	}
}

func TestOrderIsRepeatedUntilAccepted(t *testing.T) {
	p := NewPlanner(testParams)
	for range 3 {
		if hosts, ok := p.Plan(0, testSubject, demandOf(8)); !ok || hosts != 8 {
			t.Fatalf("planned %d, %v", hosts, ok)
		}
	}
	p.OrderAccepted(testSubject, 8)
	if hosts, ok := p.Plan(0, testSubject, demandOf(8)); ok {
		t.Fatalf("planned %d again", hosts)
	}
	if n, ok := p.InForce(testSubject); !ok || n != 8 {
		t.Errorf("%d, %v in force", n, ok)
	}
}

// An order that timed out may have taken effect: when the demand returns, the planner must order again.
func TestOrderInDoubtIsFollowedByAnother(t *testing.T) {
	p := NewPlanner(testParams)
	if got := planEachSecond(p, 6, 6, 6, 6, 6, 3, 3, 3, 3, 3); got[0] != 6 {
		t.Fatalf("ordered %v", got)
	}
	now := 10 * time.Second
	if hosts, ok := p.Plan(now, testSubject, demandOf(3)); !ok || hosts != 3 {
		t.Fatalf("planned %d, %v, want 3", hosts, ok)
	}
	p.OrderInDoubt(testSubject, 3)
	for range 2 {
		if hosts, ok := p.Plan(now, testSubject, demandOf(6)); !ok || hosts != 6 {
			t.Fatalf("planned %d, %v, want 6", hosts, ok)
		}
		p.OrderInDoubt(testSubject, 6)
	}
	p.OrderAccepted(testSubject, 6)
	if hosts, ok := p.Plan(now, testSubject, demandOf(6)); ok {
		t.Errorf("planned %d again", hosts)
	}
}

// A number that an earlier lease holder ordered may be outside the present bounds while fewer hosts are listed at the start. It must
// not stay in force: the planner orders its own number once.
func TestInheritedNumberIsOrderedOnce(t *testing.T) {
	p := NewPlanner(testParams)
	var orders []int
	for at := time.Duration(0); at < time.Minute; at += time.Second {
		demand := Demand{Min: 3, Max: 4, Hosts: 3, Slots: 10}
		if at > 3*time.Second {
			demand.Hosts = 10
		}
		if hosts, ok := p.Plan(at, testSubject, demand); ok {
			orders = append(orders, hosts)
			p.OrderAccepted(testSubject, hosts)
		}
	}
	if !slices.Equal(orders, []int{3}) {
		t.Errorf("ordered %v, want 3 once", orders)
	}
}

// A number above a new maximum, or below a new minimum, must be replaced at once, without waiting for DownDelay.
func TestNewBoundsApplyAtOnce(t *testing.T) {
	for _, bounds := range []Demand{{Min: 1, Max: 6, Hosts: 4, Slots: 10}, {Min: 9, Max: 10, Hosts: 4, Slots: 10}} {
		p := NewPlanner(testParams)
		if got := planEachSecond(p, 8); got[0] != 8 {
			t.Fatalf("ordered %v", got)
		}
		bounds.Concurrency = 8 * 5
		want := bounds.clamp(8)
		if hosts, ok := p.Plan(time.Second, testSubject, bounds); !ok || hosts != want {
			t.Errorf("planned %d, %v, want %d", hosts, ok, want)
		}
	}
}

func TestSubjectsArePlannedIndependently(t *testing.T) {
	p := NewPlanner(testParams)
	p.Plan(0, testSubject, demandOf(8))
	if hosts, ok := p.Plan(0, Subject{"redactor", "south"}, demandOf(4)); ok {
		t.Errorf("the other zone is ordered %d hosts", hosts)
	}
}

// For any sequence of demands, bounds and outcomes: numbers stay within the bounds, meet the demand, and are never lowered below what
// the demand needed within the last DownDelay. If no order is due, the platform has the number that was ordered last; after DownDelay
// an order has been made.
func TestRandomDemandsKeepBoundsAndDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlanner(testParams)
		history := &planHistory{last: rapid.IntRange(0, 12).Draw(t, "hosts at the start")}
		history.platform = rapid.IntRange(0, 12).Draw(t, "hosts ordered by an earlier holder")
		bounds := Demand{Min: 2, Max: 10, Hosts: history.last, Slots: 10}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "new bounds at 0") == 0 {
				bounds.Min = rapid.IntRange(1, 6).Draw(t, "min")
				bounds.Max = rapid.IntRange(bounds.Min, 12).Draw(t, "max")
			}
			bounds.Concurrency = rapid.Float64Range(0, 80).Draw(t, "concurrency")
			needed := max(bounds.Min, min(int(math.Ceil(bounds.Concurrency/5)), bounds.Max))
			history.demands = append(history.demands, sample{now, needed})
			hosts, ok := p.Plan(now, testSubject, bounds)
			if ok {
				history.checkOrder(t, hosts, bounds)
				history.send(t, p, hosts)
			} else {
				history.checkNoOrder(t, bounds)
			}
		}
	})
}

// planHistory records the demands and orders of a random test.
type planHistory struct {
	demands  []sample
	last     int  // number that was sent last, or that was listed at the start
	sent     bool // at least one order was sent
	accepted bool // the last order that was sent was accepted
	platform int  // the number in force
}

// send draws the outcome of an order: accepted, in doubt with or without effect, or not sent.
func (c *planHistory) send(t *rapid.T, p *Planner, hosts int) {
	switch rapid.SampledFrom([]string{"accepted", "accepted", "lost", "response lost", "not sent"}).Draw(t, "outcome") {
	case "accepted":
		p.OrderAccepted(testSubject, hosts)
		c.last, c.sent, c.accepted, c.platform = hosts, true, true, hosts
	case "response lost":
		p.OrderInDoubt(testSubject, hosts)
		c.last, c.sent, c.accepted, c.platform = hosts, true, false, hosts
	case "lost":
		p.OrderInDoubt(testSubject, hosts)
		c.last, c.sent, c.accepted = hosts, true, false
	}
}

// checkOrder checks an order against the history.
func (c *planHistory) checkOrder(t *rapid.T, hosts int, bounds Demand) {
	now := c.demands[len(c.demands)-1]
	if hosts < bounds.Min || hosts > bounds.Max || hosts < now.hosts || c.accepted && hosts == c.last {
		t.Fatalf("ordered %d after %d", hosts, c.last)
	}
	forBounds := c.sent && hosts == bounds.Max // lowered at once, since the number was above the maximum
	if hosts >= c.last || forBounds {
		return
	}
	if now.at-c.demands[0].at < testParams.DownDelay {
		t.Fatalf("lowered from %d to %d after %s", c.last, hosts, now.at-c.demands[0].at)
	}
	for _, s := range c.demands {
		if s.at >= now.at-testParams.DownDelay && min(s.hosts, bounds.Max) > hosts {
			t.Fatalf("lowered to %d, %s after a demand of %d", hosts, now.at-s.at, s.hosts)
		}
	}
}

// checkNoOrder checks that it was right to make no order.
func (c *planHistory) checkNoOrder(t *rapid.T, bounds Demand) {
	now := c.demands[len(c.demands)-1]
	switch {
	case !c.sent && now.at-c.demands[0].at < testParams.DownDelay && c.last >= now.hosts:
		return
	case !c.accepted:
		t.Fatalf("no order after %s, though %d is not accepted", now.at-c.demands[0].at, c.last)
	case c.platform != c.last || c.platform < now.hosts || c.platform > bounds.Max:
		t.Fatalf("no order, though %d is in force and %d was ordered", c.platform, c.last)
	}
}

func TestParamsCheckRejectsInvalidValues(t *testing.T) {
	if err := DefaultParams().Check(); err != nil {
		t.Error(err)
	}
	for _, p := range []Params{{}, {TargetUtilization: 1.1}, {TargetUtilization: math.NaN()}, {TargetUtilization: 0.5, DownDelay: -1}} {
		if p.Check() == nil {
			t.Errorf("%+v passes", p)
		}
	}
}
