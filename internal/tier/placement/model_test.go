package placement

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"larchrouter/internal/tier/turnstore"
)

// The model simulates the planning of the head, sweeps of stores and writes of clients in steps of virtual time. Plan, Register
// and the replica sets are the real code; stores and writes are simplified (package turnstore tests the real ones), so that
// thousands of schedules run in seconds.

const (
	step                     = 50 * time.Millisecond
	registerInterval         = 400 * time.Millisecond // of a store in the placement
	unplacedRegisterInterval = 100 * time.Millisecond // of a store that is not in the placement
	pullTimeout              = 700 * time.Millisecond // of a pull from an unresponsive machine
	unresponsiveFor          = 10 * time.Second
	sweepRetryInterval       = 100 * time.Millisecond
	reportInterval           = 200 * time.Millisecond // of the head to the other core nodes
	programCount             = 6
	gracePeriod              = 8 * time.Second           // from SIGTERM to SIGKILL
	stopTimeout              = gracePeriod - time.Second // after which a store ends that may not stop yet
	stopRequestInterval      = 100 * time.Millisecond    // of a store that was told to stop
	stopLinger               = 300 * time.Millisecond    // from its leaving of the placement until it ends
	never                    = time.Duration(1 << 62)
)

// sentRegistration is a registration on its way to the head.
type sentRegistration struct {
	arrivesAt    time.Duration
	registration Registration
	stopRequest  *host // the host that requests to stop; nil for a registration
}

type simulation struct {
	bug                injectedBug
	rng                *rand.Rand
	faultTolerance     int
	catchUpTime        time.Duration // time after its return during which a machine still counts as lost
	timings            Timings
	maxPull            time.Duration // longest duration of a pull
	maxDelivery        time.Duration // longest delay until a store receives a placement
	now                time.Duration
	hosts              []*host
	writes             []turnWrite
	programWrites      [programCount]uint64 // a bit for each write
	currentPlacement   *turnstore.Placement
	replicaSetCache    map[replicaSetKey][]turnstore.ReplicaSet
	previousPlacement  *turnstore.Placement // which slow fronts use until previousUntil
	previousUntil      time.Duration
	tookOverAt         time.Duration
	generation         int64
	generationSince    time.Duration // when generation was first seen
	stores             map[string]StoreStatus
	inherited          Observations           // by the current head from the previous one
	reportLossRand     *rand.Rand             // decides which published observations are lost
	lossTargetRand     *rand.Rand             // decides whether a loss hits a retiring store
	lastReport         Observations           // last observations received by the other core nodes
	referenceStores    map[string]StoreStatus // as seen by a permanent head
	retired            map[string]bool        // identities of stores whose retirement was accepted
	departures         Departures             // as seen by the current head
	initialStores      int                    // recorded in the control state; 0 if it is not yet
	longestStop        time.Duration          // longest time from SIGTERM until a store ended
	stops, forcedStops int                    // stores that ended after SIGTERM; those of them that could not wait any longer
	inTransit          []sentRegistration
	identitiesCreated  int
	hostsByID          map[string]*host // hosts that are not removed
	events             []string
	violation          string
	jointSince         time.Duration // start of the current joint phase
	longestJoint       time.Duration
	changes            int // number of joint phases
	longestNoMajority  time.Duration
	noMajoritySince    time.Duration // 0 for none
}

func newSimulation(seed uint64, bug injectedBug, stores, faultTolerance int,
	contactTimeout, catchUpTime, maxPull time.Duration,
) *simulation {
	m := &simulation{bug: bug, rng: rand.New(rand.NewPCG(seed, 3)), faultTolerance: faultTolerance,
		catchUpTime: catchUpTime, maxPull: maxPull, maxDelivery: 300 * time.Millisecond, timings: DefaultTimings(contactTimeout),
		stores: map[string]StoreStatus{}, retired: map[string]bool{}, hostsByID: map[string]*host{},
		reportLossRand: rand.New(rand.NewPCG(seed, 7)), lossTargetRand: rand.New(rand.NewPCG(seed, 11)),
		departures: Departures{}, referenceStores: map[string]StoreStatus{}}
	if bug == pullBeforeAdoption || bug == slowDelivery {
		m.maxDelivery = 3 * time.Second
	}
	switch bug {
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

// countLost returns the number of machines that count as lost, including those that returned less than catchUpTime ago.
func (m *simulation) countLost() (n int) {
	for _, h := range m.hosts {
		if h.lostUntil > m.now {
			n++
		}
	}
	return n
}

// run simulates until a point in time or the first violation.
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
