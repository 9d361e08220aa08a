package placement

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// The model simulates the head's planning, stores that sweep and clients that write, in steps of virtual time. Stores and
// writes are the model's (package turnstore tests the real ones); Plan, Register and the replica sets are the real ones. It
// is small, so that thousands of schedules run in seconds.

const (
	step                     = 50 * time.Millisecond
	registerInterval         = 400 * time.Millisecond // of a store
	unplacedRegisterInterval = 100 * time.Millisecond // of a store that is not in the placement
	pullTimeout              = 700 * time.Millisecond // for a pull from a machine that does not respond
	unresponsiveFor          = 10 * time.Second
	sweepRetryInterval       = 100 * time.Millisecond
	reportInterval           = 200 * time.Millisecond // of the head to the other core nodes
	programCount             = 6
	never                    = time.Duration(1 << 62)
)

type sentRegistration struct {
	arrivesAt    time.Duration
	registration Registration
}

type simulation struct {
	bug               injectedBug
	rng               *rand.Rand
	faultTolerance    int
	catchUpTime       time.Duration
	timings           Timings
	maxPull           time.Duration // duration of a pull, at most
	maxDelivery       time.Duration // delay of a placement, at most
	now               time.Duration
	hosts             []*host
	writes            []turnWrite
	programWrites     [programCount]uint64 // a bit for each write
	currentPlacement  *turnstore.Placement
	replicaSetCache   map[replicaSetKey][]turnstore.ReplicaSet
	previousPlacement *turnstore.Placement // that fronts which lag use until previousUntil
	previousUntil     time.Duration
	tookOverAt        time.Duration
	generation        int64
	generationSince   time.Duration // when it was first seen
	stores            map[string]StoreStatus
	inherited         Observations           // by this head from the one before it
	reportLossRand    *rand.Rand             // decides which observations are lost
	lossTargetRand    *rand.Rand             // decides whether a loss hits a retiring store
	lastReport        Observations           // last observations that the other core nodes have received
	referenceStores   map[string]StoreStatus // of a head that never changes
	retired           map[string]bool
	departures        Departures // seen by this head
	inTransit         []sentRegistration
	identitiesCreated int
	hostsByID         map[string]*host // that exist
	events            []string
	violation         string
	jointSince        time.Duration // of the joint phase in progress
	longestJoint      time.Duration
	changes           int
	longestNoMajority time.Duration
	noMajoritySince   time.Duration // 0 for none
}

func newSimulation(seed uint64, fault injectedBug, stores, faultTolerance int, contact, catchUp, maxPull time.Duration) *simulation {
	m := &simulation{bug: fault, rng: rand.New(rand.NewPCG(seed, 3)), faultTolerance: faultTolerance,
		catchUpTime: catchUp, maxPull: maxPull, maxDelivery: 300 * time.Millisecond, timings: DefaultTimings(contact),
		stores: map[string]StoreStatus{}, retired: map[string]bool{}, hostsByID: map[string]*host{},
		reportLossRand: rand.New(rand.NewPCG(seed, 7)), lossTargetRand: rand.New(rand.NewPCG(seed, 11)),
		departures: Departures{}, referenceStores: map[string]StoreStatus{}}
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

// countLost returns the number of machines that count as lost.
func (m *simulation) countLost() (n int) {
	for _, h := range m.hosts {
		if h.lostUntil > m.now {
			n++
		}
	}
	return n
}

// run simulates until a point in time.
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
