package quota

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// A pledge is renewed to the same coordinator at any time, and made to another one when the lease has expired, not sooner.
func TestHolderPledgesToOneCoordinator(t *testing.T) {
	terms := Terms{Lease: 500 * ms, Drift: 0.1}
	h := NewHolder(terms, 7, 0)
	for _, tc := range []struct {
		at time.Duration
		to int
		ok bool
	}{
		{549 * ms, 1, false}, {550 * ms, 1, true}, {600 * ms, 2, false},
		{900 * ms, 1, true}, {1449 * ms, 2, false}, {1450 * ms, 2, true}, {1451 * ms, 1, false},
	} {
		if units, ok := h.Pledge(tc.at, tc.to, Stamp{}); ok != tc.ok || ok && units != 7 {
			t.Errorf("at %v to %d: %v", tc.at, tc.to, ok)
		}
	}
	if to := h.Coordinator(1500 * ms); to != 2 {
		t.Errorf("pledged to %d", to)
	}
	if to := h.Coordinator(h.FreeAt()); to != NoCoordinator {
		t.Errorf("pledged to %d after its expiry", to)
	}
}

// A pool counts only pledges that answer a request of its incarnation, in time and in order.
func TestPoolIgnoresInvalidPledges(t *testing.T) {
	p := NewPool(Terms{Lease: 500 * ms, Drift: 0.1}, 4)
	p.Accept(100*ms, 1, 5, Stamp{4, 50 * ms})
	p.Accept(200*ms, 1, 9, Stamp{4, 20 * ms})  // older than the known one
	p.Accept(200*ms, 2, 3, Stamp{4, 300 * ms}) // stamp in the future
	p.Accept(700*ms, 3, 3, Stamp{4, 100 * ms}) // expired
	p.Accept(200*ms, 4, 3, Stamp{3, 100 * ms}) // of another incarnation
	if age, ok := p.Age(549*ms, 1); age != 499*ms || !ok {
		t.Errorf("a pledge of age %v, in force %v", age, ok)
	}
	if _, ok := p.Age(550*ms, 1); ok || p.Units(200*ms) != 5 || p.Units(550*ms) != 0 || len(p.Holders(200*ms)) != 1 {
		t.Errorf("%d units, %+v", p.Units(200*ms), p)
	}
	p.Accept(600*ms, 2, 3<<24, Stamp{4, 600 * ms}) // more than the limit
	if p.Units(600*ms) != TotalUnits {
		t.Errorf("%d units", p.Units(600*ms))
	}
}

// A release has no effect if it is of another coordinator, or older than the pledge.
func TestHolderIgnoresStaleRelease(t *testing.T) {
	h := NewHolder(Terms{Lease: 500 * ms, Drift: 0.1}, 7, 0)
	h.Pledge(3*time.Second, 5, Stamp{9, 70 * ms})
	for _, tc := range []struct {
		by   int
		upTo Stamp
		free bool
	}{{4, Stamp{9, 80 * ms}, false}, {5, Stamp{9, 60 * ms}, false}, {5, Stamp{8, 80 * ms}, false}, {5, Stamp{9, 70 * ms}, true}} {
		h.Release(3001*ms, tc.by, tc.upTo)
		if to := h.Coordinator(3001 * ms); (to == NoCoordinator) != tc.free {
			t.Errorf("released by %d up to %v: pledged to %d", tc.by, tc.upTo, to)
		}
	}
}
