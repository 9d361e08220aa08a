package placement

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// The model plays the duty of placement, stores that sweep and clients that write, in steps of virtual time. Stores and
// writes are the model's (the real ones play in turnstore's courses); Plan, Hear and the groups of copies are the real
// ones. It is small, so that thousands of courses are played in seconds.

const (
	step                     = 50 * time.Millisecond
	registerInterval         = 400 * time.Millisecond // a store, again and again
	unplacedRegisterInterval = 100 * time.Millisecond // while it is not in the placement
	pullTimeout              = 700 * time.Millisecond // what a pull from a machine that says nothing takes
	unresponsiveFor          = 10 * time.Second
	sweepRetryInterval       = 100 * time.Millisecond
	reportInterval           = 200 * time.Millisecond // the head, to the other core nodes
	programCount             = 6
	never                    = time.Duration(1 << 62)
)

type message struct {
	at time.Duration
	r  Registration
}

type simulation struct {
	fault             fault
	rng               *rand.Rand
	faultTolerance    int
	catchUp           time.Duration
	timings           Timings
	maxPull           time.Duration // a pull takes at most so long
	maxDelivery       time.Duration // a placement is heard within
	now               time.Duration
	hosts             []*host
	writes            []turnWrite
	programWrites     [programCount]uint64 // the writes of each program
	current           *turnstore.Placement
	replicaSetCache   map[replicaSetKey][]turnstore.ReplicaSet // computed before
	previous          *turnstore.Placement                     // what fronts that lag go by
	previousUntil     time.Duration                            // until then
	tookOverAt        time.Duration
	generation        int64
	generationSince   time.Duration // it was seen first
	stores            map[string]StoreStatus
	inherited         Observations           // what this head was told by the one before it
	reportRand        *rand.Rand             // which reports of the head are lost
	targetRand        *rand.Rand             // whether a loss hits a store that is being emptied
	lastReport        Observations           // the last that the other core nodes have of the head
	referenceStores   map[string]StoreStatus // what a head that never changes would have heard
	retired           map[string]bool
	departures        Departures // as this head saw it
	inTransit         []message
	created           int
	hostsByID         map[string]*host // that are there
	events            []string
	violation         string
	jointSince        time.Duration // the joint phase that is under way
	longestJoint      time.Duration // joint phase
	changes           int
	longestNoMajority time.Duration // longest without a majority
	noMajoritySince   time.Duration // since then, 0: not
}

func newSimulation(seed uint64, fault fault, stores, faultTolerance int, contact, catchUp, maxPull time.Duration) *simulation {
	m := &simulation{fault: fault, rng: rand.New(rand.NewPCG(seed, 3)), faultTolerance: faultTolerance, catchUp: catchUp, maxPull: maxPull, maxDelivery: 300 * time.Millisecond,
		timings: DefaultTimings(contact), stores: map[string]StoreStatus{}, retired: map[string]bool{}, hostsByID: map[string]*host{},
		reportRand: rand.New(rand.NewPCG(seed, 7)), targetRand: rand.New(rand.NewPCG(seed, 11)), departures: Departures{}, referenceStores: map[string]StoreStatus{}}
	if fault == pullBeforeAdoption || fault == slowDelivery {
		m.maxDelivery = 3 * time.Second
	}
	switch fault {
	case lateReplacement:
		m.timings.FailureTimeout = m.timings.RemovalTimeout
	case noTakeoverGrace:
		m.timings.TakeoverGrace = 0
	}
	for range stores {
		m.add("")
	}
	return m
}

func (m *simulation) duration(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)+1))
}

func (m *simulation) logEvent(format string, args ...any) {
	m.events = append(m.events, fmt.Sprintf("%7d  %s", m.now.Milliseconds(), fmt.Sprintf(format, args...)))
}

func (m *simulation) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
		m.logEvent("! %s", m.violation)
	}
}

func (m *simulation) timeline() string {
	return strings.Join(m.events[max(0, len(m.events)-60):], "\n")
}

func (m *simulation) host(id string) *host { return m.hostsByID[id] }

// countLost counts the machines that are lost.
func (m *simulation) countLost() (n int) {
	for _, h := range m.hosts {
		if h.lostUntil > m.now {
			n++
		}
	}
	return n
}

// run plays until a time.
func (m *simulation) run(until time.Duration, inject func()) {
	for ; m.now < until && m.violation == ""; m.now += step {
		if inject != nil {
			inject()
		}
		for _, h := range m.hosts {
			m.stepHost(h)
		}
		m.stepHead()
		m.write()
		m.check()
	}
}
