package quota

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	histories = flag.Int("share.histories", 1500, "random histories of pledges")
	firstSeed = flag.Uint64("share.seed", 1, "seed of the first")
)

// plant is a fault that a relay may have; the property must not hold with it.
type plant int

const (
	none           plant = iota
	leaseIgnored         // a holder pledges to another at once
	countedLate          // a steward counts the lease from when the pledge came
	startsAtOnce         // a started relay pledges at once
	stampsOfOthers       // a steward takes pledges that answer calls of its life before
	goesOn               // a steward that stood still goes by the time before
	lateWord             // a holder heeds a release that is older than its pledge
	keepsOld             // a steward takes pledges that answer calls from before its release
)

// node is a relay with a clock of its own.
type node struct {
	offset time.Duration
	speed  float64
	holder *Holder
	pool   *Pool
	life   int
	still  time.Duration // real time at which it began to stand still; below 0 if it does not
	seen   time.Duration // its clock when it last did something
}

type kind int

const (
	call kind = iota
	pledged
	released
)

// note is under way.
type note struct {
	at       time.Duration // real time at which it comes
	from, to int
	kind     kind
	on       Stamp
	units    uint32
}

// history plays a history of calls and pledges that are lost, doubled, late and out of order, between relays whose clocks
// differ, that stand still and start anew, and returns the most units that were in force at one instant.
func history(seed uint64, p plant) (most uint32) {
	r := rand.New(rand.NewPCG(seed, 3))
	terms := Terms{Lease: 750 * time.Millisecond, Drift: 0.02}
	n := 2 + r.IntN(6)
	all := make([]*node, n)
	clock := func(x *node, real time.Duration) time.Duration {
		return x.offset + time.Duration(float64(real)*x.speed)
	}
	start := func(x *node, real time.Duration) {
		x.offset = time.Duration(r.Int64N(int64(10 * time.Second)))
		now := clock(x, real)
		x.holder, x.pool, x.life, x.still, x.seen = NewHolder(terms, Part(n), now), NewPool(terms, uint32(x.life+1)), x.life+1, -1, now
		if p == startsAtOnce {
			x.holder.until = 0
		}
	}
	for i := range all {
		all[i] = &node{speed: 1 + 0.01*(2*r.Float64()-1)}
		start(all[i], 0)
	}
	lose, late := 0.5*r.Float64(), time.Duration(math.Pow(r.Float64(), 3)*float64(2*time.Second))
	steward := 0 // who calls most
	var wire, sent []note
	send := func(real time.Duration, x note) {
		for range 1 + r.IntN(2) {
			if r.Float64() >= lose {
				x.at = real + time.Duration(r.Int64N(int64(late+time.Millisecond)))
				sent = append(sent, x)
			}
		}
	}
	for real := time.Duration(0); real < 8*time.Second; real += 10 * time.Millisecond {
		if r.Float64() < 0.01 {
			steward = r.IntN(n)
		}
		for i, x := range all {
			if x.still >= 0 {
				if r.Float64() < 0.02 {
					x.still = -1
				} else {
					continue
				}
			} else if r.Float64() < 0.003 {
				x.still = real
				continue
			}
			now := clock(x, real)
			if r.Float64() < 0.002 {
				start(x, real)
				now = clock(x, real)
			}
			if often := r.Float64(); often < 0.005 || i == steward && often < 0.15 {
				for to := range all {
					send(real, note{from: i, to: to, on: x.pool.Stamp(now)})
				}
			}
			wire, sent = append(wire, sent...), nil
			wire = slices.DeleteFunc(wire, func(m note) bool {
				if m.at > real || m.to != i {
					return false
				}
				switch m.kind {
				case call:
					if p == leaseIgnored {
						x.holder.until = 0
					}
					if units, ok := x.holder.Pledge(now, m.from, m.on); ok {
						send(real, note{from: i, to: m.from, kind: pledged, on: m.on, units: units})
					}
				case pledged:
					if p == stampsOfOthers {
						m.on.Life = x.pool.life
					}
					if p == countedLate {
						m.on.At = now
					}
					if _, holds := x.pool.Age(now, m.from); p == keepsOld && !holds {
						delete(x.pool.by, m.from)
					}
					x.pool.Take(now, m.from, m.units, m.on)
				case released:
					if p == lateWord {
						m.on.At += time.Hour
					}
					x.holder.Released(now, m.from, m.on)
				}
				return true
			})
			if r.Float64() < 0.01 {
				for _, to := range x.pool.Holders(now) {
					send(real, note{from: i, to: to, kind: released, on: x.pool.Release(now, to)})
				}
			}
			if r.Float64() < 0.05 {
				x.pool.Sweep(now)
			}
			x.seen = now
		}
		sum := uint32(0)
		for _, x := range all {
			now := clock(x, real)
			if p == goesOn && x.still >= 0 {
				now = x.seen
			}
			sum += x.pool.Units(now)
		}
		most = max(most, sum)
	}
	return most
}

// Whatever notes, clocks and relays do, what is in force never sums to more than the whole.
func TestRightsAreConserved(t *testing.T) {
	t.Logf("%d histories from seed %d", *histories, *firstSeed)
	used := 0
	for i := range *histories {
		most := history(*firstSeed+uint64(i), none)
		if most > Whole {
			t.Fatalf("seed %d: %.3f of the limit in force at once", *firstSeed+uint64(i), float64(most)/Whole)
		}
		if most > Whole/2 {
			used++
		}
	}
	if used < *histories/4 {
		t.Errorf("more than half of the limit was in force in %d of %d histories: they show little", used, *histories)
	}
}

// The property fails when a part of the rule is left out.
func TestPlantedFaultsShow(t *testing.T) {
	for name, p := range map[string]plant{"a lease that is ignored": leaseIgnored, "a lease counted from the pledge's coming": countedLate,
		"a start that does not wait": startsAtOnce, "pledges of a life before": stampsOfOthers, "a steward that goes by the time before it stood still": goesOn,
		"a late release that is heeded": lateWord, "a pledge from before a release that is taken": keepsOld} {
		found := false
		for seed := range uint64(3000) {
			if found = history(seed+1, p) > Whole; found {
				t.Logf("%s: seed %d", name, seed+1)
				break
			}
		}
		if !found {
			t.Errorf("%s is not noticed", name)
		}
	}
}

// A pledge is renewed to the same steward at any time, and given to another when its lease is over, not sooner.
func TestHolder(t *testing.T) {
	const ms = time.Millisecond
	terms := Terms{Lease: 500 * ms, Drift: 0.1}
	h := NewHolder(terms, 7, 0)
	for _, c := range []struct {
		at time.Duration
		to int
		ok bool
	}{{549 * ms, 1, false}, {550 * ms, 1, true}, {600 * ms, 2, false}, {900 * ms, 1, true}, {1449 * ms, 2, false}, {1450 * ms, 2, true}, {1451 * ms, 1, false}} {
		if units, ok := h.Pledge(c.at, c.to, Stamp{}); ok != c.ok || ok && units != 7 {
			t.Errorf("at %v to %d: %v", c.at, c.to, ok)
		}
	}
	if to := h.To(1500 * ms); to != 2 {
		t.Errorf("pledged to %d", to)
	}
	if to := h.To(h.FreeAt()); to != Nobody {
		t.Errorf("pledged to %d when it is free", to)
	}
	p := NewPool(terms, 4)
	p.Take(100*ms, 1, 5, Stamp{4, 50 * ms})
	p.Take(200*ms, 1, 9, Stamp{4, 20 * ms})  // older than what is there
	p.Take(200*ms, 2, 3, Stamp{4, 300 * ms}) // answers a call that is yet to be made
	p.Take(700*ms, 3, 3, Stamp{4, 100 * ms}) // too late
	p.Take(200*ms, 4, 3, Stamp{3, 100 * ms}) // of another life
	if age, ok := p.Age(549*ms, 1); age != 499*ms || !ok {
		t.Errorf("a pledge of age %v, in force %v", age, ok)
	}
	if _, ok := p.Age(550*ms, 1); ok || p.Units(200*ms) != 5 || p.Units(550*ms) != 0 || len(p.Holders(200*ms)) != 1 {
		t.Errorf("%d units, %+v", p.Units(200*ms), p)
	}
	p.Take(600*ms, 2, 3<<24, Stamp{4, 600 * ms}) // a liar
	if p.Units(600*ms) != Whole {
		t.Errorf("%d units", p.Units(600*ms))
	}
	h.Pledge(3*time.Second, 5, Stamp{9, 70 * ms})
	for _, c := range []struct {
		by   int
		on   Stamp
		free bool
	}{{4, Stamp{9, 80 * ms}, false}, {5, Stamp{9, 60 * ms}, false}, {5, Stamp{8, 80 * ms}, false}, {5, Stamp{9, 70 * ms}, true}} {
		h.Released(3001*ms, c.by, c.on)
		if to := h.To(3001 * ms); (to == Nobody) != c.free {
			t.Errorf("released by %d up to %v: pledged to %d", c.by, c.on, to)
		}
	}
}
