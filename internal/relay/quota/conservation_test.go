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
	histories = flag.Int("share.histories", 1500, "number of random histories of pledges")
	firstSeed = flag.Uint64("share.seed", 1, "seed of the first history")
)

// fault is a fault that is planted in the protocol; conservation must not hold with it.
type fault int

const (
	noFault            fault = iota
	leaseIgnored             // a holder pledges to another at once
	leaseFromArrival         // a coordinator counts the lease from the arrival of the pledge
	noWaitAtStart            // a relay pledges at once after its start
	foreignIncarnation       // a coordinator accepts pledges that answer requests of its previous incarnation
	stalledClock             // a stalled coordinator uses the time before the stall
	delayedRelease           // a holder applies a release that is older than its pledge
	staleStamp               // a coordinator accepts pledges that answer requests from before its release
)

// node is a relay with its own clock.
type node struct {
	offset      time.Duration
	speed       float64
	holder      *Holder
	pool        *Pool
	incarnation int
	stalledAt   time.Duration // real time; negative while the process runs
	lastStep    time.Duration // its clock at its last step
}

// kind of a message.
type kind int

const (
	pledgeRequest kind = iota
	pledged
	released
)

// message is in flight.
type message struct {
	at       time.Duration // real time of its arrival
	from, to int
	kind     kind
	stamp    Stamp
	units    uint32
}

// simulation is one random history: requests and pledges that are lost, duplicated, delayed and reordered, between relays
// whose clocks differ, which stall and restart. The order of its random draws gives a seed its meaning.
type simulation struct {
	planted     fault
	random      *rand.Rand
	terms       Terms
	nodes       []*node
	coordinator int // sends most requests
	lossRate    float64
	maxDelay    time.Duration
	inFlight    []message
	sent        []message // in the present step of a node
}

func newSimulation(seed uint64, planted fault) *simulation {
	s := &simulation{planted: planted, random: rand.New(rand.NewPCG(seed, 3))}
	s.terms = Terms{Lease: 750 * time.Millisecond, Drift: 0.02}
	s.nodes = make([]*node, 2+s.random.IntN(6))
	for i := range s.nodes {
		s.nodes[i] = &node{speed: 1 + 0.01*(2*s.random.Float64()-1)}
		s.start(s.nodes[i], 0)
	}
	s.lossRate, s.maxDelay = 0.5*s.random.Float64(), time.Duration(math.Pow(s.random.Float64(), 3)*float64(2*time.Second))
	return s
}

// clock returns the node's time.
func (n *node) clock(real time.Duration) time.Duration {
	return n.offset + time.Duration(float64(real)*n.speed)
}

// start begins a new incarnation of a node.
func (s *simulation) start(n *node, real time.Duration) {
	n.offset = time.Duration(s.random.Int64N(int64(10 * time.Second)))
	now := n.clock(real)
	n.incarnation++
	n.holder, n.pool = NewHolder(s.terms, Share(len(s.nodes)), now), NewPool(s.terms, uint32(n.incarnation))
	n.stalledAt, n.lastStep = -1, now
	if s.planted == noWaitAtStart {
		n.holder.expiresAt = 0
	}
}

// send puts a message on the network, once or twice, unless it is lost.
func (s *simulation) send(real time.Duration, m message) {
	for range 1 + s.random.IntN(2) {
		if s.random.Float64() >= s.lossRate {
			m.at = real + time.Duration(s.random.Int64N(int64(s.maxDelay+time.Millisecond)))
			s.sent = append(s.sent, m)
		}
	}
}

// stalled draws whether a node is stalled at this instant.
func (s *simulation) stalled(n *node, real time.Duration) bool {
	if n.stalledAt >= 0 {
		if s.random.Float64() < 0.02 {
			n.stalledAt = -1
			return false
		}
		return true
	}
	if s.random.Float64() < 0.003 {
		n.stalledAt = real
		return true
	}
	return false
}

// step lets a node restart, request pledges, receive, release and expire.
func (s *simulation) step(i int, real time.Duration) {
	n := s.nodes[i]
	if s.stalled(n, real) {
		return
	}
	now := n.clock(real)
	if s.random.Float64() < 0.002 {
		s.start(n, real)
		now = n.clock(real)
	}
	if chance := s.random.Float64(); chance < 0.005 || i == s.coordinator && chance < 0.15 {
		for to := range s.nodes {
			s.send(real, message{from: i, to: to, stamp: n.pool.Stamp(now)})
		}
	}
	s.inFlight, s.sent = append(s.inFlight, s.sent...), nil
	s.inFlight = slices.DeleteFunc(s.inFlight, func(m message) bool {
		if m.at > real || m.to != i {
			return false
		}
		s.receive(n, real, now, m)
		return true
	})
	if s.random.Float64() < 0.01 {
		for _, to := range n.pool.Holders(now) {
			s.send(real, message{from: i, to: to, kind: released, stamp: n.pool.Release(now, to)})
		}
	}
	if s.random.Float64() < 0.05 {
		n.pool.Expire(now)
	}
	n.lastStep = now
}

func (s *simulation) receive(n *node, real, now time.Duration, m message) {
	switch m.kind {
	case pledgeRequest:
		if s.planted == leaseIgnored {
			n.holder.expiresAt = 0
		}
		if units, ok := n.holder.Pledge(now, m.from, m.stamp); ok {
			s.send(real, message{from: m.to, to: m.from, kind: pledged, stamp: m.stamp, units: units})
		}
	case pledged:
		if s.planted == foreignIncarnation {
			m.stamp.Incarnation = n.pool.incarnation
		}
		if s.planted == leaseFromArrival {
			m.stamp.At = now
		}
		if _, inForce := n.pool.Age(now, m.from); s.planted == staleStamp && !inForce {
			delete(n.pool.pledges, m.from)
		}
		n.pool.Accept(now, m.from, m.units, m.stamp)
	case released:
		if s.planted == delayedRelease {
			m.stamp.At += time.Hour
		}
		n.holder.Release(now, m.from, m.stamp)
	}
}

// unitsInForce returns the sum of the units that all coordinators may grant on at this instant.
func (s *simulation) unitsInForce(real time.Duration) (sum uint32) {
	for _, n := range s.nodes {
		now := n.clock(real)
		if s.planted == stalledClock && n.stalledAt >= 0 {
			now = n.lastStep
		}
		sum += n.pool.Units(now)
	}
	return sum
}

// runHistory runs the history of a seed, and returns the largest number of units that were in force at one instant.
func runHistory(seed uint64, planted fault) (maxUnits uint32) {
	s := newSimulation(seed, planted)
	for real := time.Duration(0); real < 8*time.Second; real += 10 * time.Millisecond {
		if s.random.Float64() < 0.01 {
			s.coordinator = s.random.IntN(len(s.nodes))
		}
		for i := range s.nodes {
			s.step(i, real)
		}
		maxUnits = max(maxUnits, s.unitsInForce(real))
	}
	return maxUnits
}

// Whatever messages, clocks and relays do, the units in force never sum to more than the limit.
func TestSharesAreConserved(t *testing.T) {
	t.Logf("%d histories from seed %d", *histories, *firstSeed)
	used := 0
	for i := range *histories {
		maxUnits := runHistory(*firstSeed+uint64(i), noFault)
		if maxUnits > TotalUnits {
			t.Fatalf("seed %d: %.3f of the limit in force at once", *firstSeed+uint64(i), float64(maxUnits)/TotalUnits)
		}
		if maxUnits > TotalUnits/2 {
			used++
		}
	}
	if used < *histories/4 {
		t.Errorf("more than half of the limit was in force in %d of %d histories: the test shows little", used, *histories)
	}
}

// Conservation is violated as soon as one rule of the protocol is left out.
func TestPlantedFaultsAreDetected(t *testing.T) {
	for name, planted := range map[string]fault{
		"lease ignored":                  leaseIgnored,
		"lease counted from arrival":     leaseFromArrival,
		"no wait at start":               noWaitAtStart,
		"pledge of another incarnation":  foreignIncarnation,
		"clock of a stalled coordinator": stalledClock,
		"delayed release applied":        delayedRelease,
		"pledge from before a release":   staleStamp,
	} {
		found := false
		for seed := range uint64(3000) {
			if found = runHistory(seed+1, planted) > TotalUnits; found {
				t.Logf("%s: seed %d", name, seed+1)
				break
			}
		}
		if !found {
			t.Errorf("%s: no violation found", name)
		}
	}
}
