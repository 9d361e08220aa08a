package choice

// State without decisions: what a Chooser remembers, and checks of its settings.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"larchrouter/choice/oracle"
	"larchrouter/internal/relay/batching"
	"larchrouter/internal/relay/queue"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// message is one message until its final answer and its last outcome.
type message struct {
	Arrival
	class           *Class
	dest            *destination
	deadline        time.Duration // deadline
	createdAt       time.Duration // due less the class's deadline: first handed in
	attempts        int
	restoredUntried bool          // by a restart, untried
	lastTimeout     time.Duration // of the last try
	call            *outboundCall // out now
	mayHaveRun      bool          // an attempt may have run
	mayHaveRunAt    time.Duration // the first such attempt went out
	mayHaveRunZone  int
	lastHost        *endpoint
	uncertainAt     time.Duration // time of the last unsure outcome; its key rests after it
	finished        bool          // answered or withdrawn
	keySequence     uint64        // in the order of arrival
	// While it waits:
	group         *messageGroup
	queueSequence uint64        // in the order in which messages began to wait
	expiresAt     time.Duration // it is answered then, come what may
	expiryIndex   queue.Place
}

// group is the messages of a destination that wait and differ in nothing but age: where one may go, any may.
type messageGroup struct {
	groupKey
	messages *queue.Sorted[*message] // by due
}

// groupKey is what messages of a group have in common.
type groupKey struct {
	class            int
	zone             int  // that repeats are bound to, or anyZone
	mayHaveRun       bool // an attempt may have run
	keyAllows        bool // the order of keys lets them go
	owedFirstAttempt bool // a restart found them untried, and they still are
}

const anyZone = -1

// call is one call out; sends of one turn to one host may share it.
type outboundCall struct {
	sequence  uint64 // in the order of sending
	host      *endpoint
	sentAt    time.Duration
	messages  []*message // outcomes still due
	cancelled bool       // called off
	grant     *callGrant // that it goes on; nil without one
}

// host is one endpoint.
type endpoint struct {
	Host
	dest           *destination
	unit           *healthUnit
	inFlight       int
	preference     float64       // this relay's own liking, by chance
	failures       int           // in a row
	unreadable     int           // answers in a row
	avoidUntil     time.Duration // after failures
	lastAnsweredAt time.Duration // the last call that was answered
}

// warm tells whether a connection of an earlier call is likely to be there still.
func (c *Chooser) hasWarmConnection(host *endpoint) bool {
	return host.lastAnsweredAt > 0 && host.inFlight == 0 && c.now-host.lastAnsweredAt < c.cfg.IdleConn*3/4
}

// health of a unit.
type health int

const (
	healthy    health = iota
	suspect           // single trials only
	recovering        // within the budget for a cold destination
)

// unit is what health, limits and waits hang on: a destination, or a route where routes are apart.
type healthUnit struct {
	name             string
	key              string      // names the route to other relays
	grants           []callGrant // not used yet
	createdAt        time.Duration
	listedRate       float64 // calls a second from all relays, 0 if unknown
	state            health
	stateSince       time.Duration // of the state
	stateReason      string        // it left the healthy state
	retryAfterUntil  time.Duration // told
	backoffUntil     time.Duration // own
	recentFailures   uint          // recent outcomes, a bit set for each failure
	servedStreak     int           // answers served in a row
	sawErrors        bool          // errors answered were among them
	mayHaveRun       bool          // failures that may have run were seen in this outage
	nextTrialAt      time.Duration // next trial
	failedTrials     int           // trials failed in a row
	unsuccessful     int           // failures and refusals since then
	lastServed       time.Duration // or first listed
	inFlight         []*outboundCall
	sendTimes        []time.Duration // in the last Fall or second
	latency          float64         // smoothed latency, seconds
	servedRate       float64         // smoothed rate served to this relay, messages a second
	rateBeforeOutage float64         // served when the outage began
	rateLimit        float64         // calls a second this relay allows itself; 0 for no limit
	rateLimitAt      time.Duration   // last time that limit or tokens were brought up to date
	rateCutAt        time.Duration
	tokens           float64
}

// dest is one destination.
type destination struct {
	id              int
	kind            Kind
	hosts           []*endpoint
	units           []*healthUnit
	groups          []*messageGroup
	queued          int           // messages that wait
	demandSince     time.Duration // messages wait, and no pause is on; never if none wait
	inFlight        int
	listedCalling   bool // on the list of those with calls out
	lastSentAt      time.Duration
	evaluateAt      time.Duration // what may be sent changes then by itself; never if only by events
	evaluationIndex queue.Place
	sendOrder       sendOrder // as it stands in the order of turns
	readyIndex      queue.Place
	listedPrunable  bool             // on the list of those to be forgotten in part
	dirty           bool             // something has happened since its last look
	sheddable       []sheddableCount // by class
	shedBacklog     int              // waits as the orders of crowds have it
	latencies       oracle.Table
	refusals        int      // refusals in a row
	retrySuccess    *float64 // of its kind
	backoffUntil    time.Duration
	timeouts        int  // time-outs in a row with nothing served since
	lastWant        Want // as last told
	wantChanged     bool // on the list of those to be told
}

// turnKey is what the order of turns goes by.
type sendOrder struct {
	onTrial    bool // only units on trial may be sent to
	inFlight   int
	lastSentAt time.Duration
}

// shed is how many messages of a class a destination has that may be turned away.
type sheddableCount struct {
	count int
	index queue.Place
}

// line is the order of one key.
type keyOrder struct {
	key         string
	messages    *queue.Sorted[*message] // as they arrived
	settledAt   time.Duration
	settleIndex queue.Place
}

// Chooser decides for one relay. It is not safe for concurrent use.
type Chooser struct {
	cfg             Settings
	now             time.Duration
	maxTimeout      time.Duration // maximal timeout of the oracle
	minTarget       time.Duration
	maxValue        float64 // of a class
	messages        map[string]*message
	destinations    map[int]*destination
	hosts           map[string]*endpoint
	keyOrders       map[string]*keyOrder
	prunable        []*destination            // with a host that is gone, or none at all
	calling         []*destination            // with calls out
	dirty           []*destination            // something happened there since the last look
	ready           *queue.Heap[*destination] // with a message to send and a unit to send it to, the next first
	evaluations     *queue.Heap[*destination] // by lookAt
	expiries        *queue.Heap[*message]     // those that wait, by endAt
	batches         *batching.Schedule        // of the ends
	nextBatchAt     time.Duration             // it is looked at then
	settling        *queue.Heap[*keyOrder]
	shedOrders      []*queue.Heap[*destination] // by class: those with some to turn away, most messages first
	keySequence     uint64                      // of the last message
	callSequence    uint64
	searchPivot     message     // to search with
	openHosts       []*endpoint // scratch
	queueSequence   uint64
	callsInFlight   int
	pending         int
	wakeAt          time.Duration // the next wake-up asked for
	rand            *rand.Rand
	wakeInterval    time.Duration  // between looks, at the least
	watchAt         time.Duration  // the next silence to be noticed, or call to be called off
	retrySuccess    []float64      // by kind: share served of the calls to destinations that refused the last one
	pooledLatencies oracle.Table   // of all destinations together, for those that have few samples yet
	subscribeAt     time.Duration  // ask for list changes then; below 0 for never
	changedWants    []*destination // their wants are to be told
	nextGrantExpiry time.Duration  // the next grant lapses then
	actions         []Action
}

// newHost is an endpoint that a destination did not have.
func (c *Chooser) newHost(dest *destination, n Host) *endpoint {
	host := &endpoint{dest: dest, preference: c.rand.Float64()}
	c.hosts[n.Addr], dest.hosts = host, append(dest.hosts, host)
	if n.Kind >= 0 && n.Kind < len(c.cfg.Kinds) {
		dest.kind, dest.retrySuccess = c.cfg.Kinds[n.Kind], &c.retrySuccess[n.Kind]
	}
	if dest.kind.Apart || len(dest.units) == 0 {
		dest.units = append(dest.units, c.newUnit(dest, n))
	}
	host.unit = dest.units[len(dest.units)-1]
	return host
}

// newUnit is a unit of a destination, first heard of with a host.
func (c *Chooser) newUnit(dest *destination, n Host) *healthUnit {
	unit := &healthUnit{name: n.Addr, key: n.Addr, createdAt: c.now - time.Second, lastServed: c.now - time.Second}
	if !dest.kind.Apart {
		unit.key = fmt.Sprint("dest ", dest.id)
	}
	if c.cfg.Fleet >= largeFleet && !c.cfg.Listed {
		unit.rateLimit, unit.rateLimitAt, unit.tokens = initialRateGuess/float64(c.cfg.Fleet), c.now, c.rand.Float64()
	}
	return unit
}

// remove deletes one element.
func removeElement[T comparable](all []T, one T) []T {
	return slices.DeleteFunc(all, func(o T) bool { return o == one })
}

// Check tells which setting is out of its range.
func (s *Settings) Check() error {
	switch {
	case s.Workers < 1:
		return fmt.Errorf("setting Workers is %d, must be at least 1", s.Workers)
	case s.Fleet < 1:
		return fmt.Errorf("setting Fleet is %d, must be at least 1", s.Fleet)
	case s.MaxAttempts < 1:
		return fmt.Errorf("setting MaxAttempts is %d, must be at least 1", s.MaxAttempts)
	case s.MaxHeld < 0:
		return fmt.Errorf("setting MaxHeld is %d, must be at least 0 (0 for no limit)", s.MaxHeld)
	case s.Tick <= 0:
		return fmt.Errorf("setting Tick is %v, must be above 0", s.Tick)
	case s.Rules.Cold <= 0 || s.Rules.Fall <= 0:
		return fmt.Errorf("setting Rules.Cold is %v and Rules.Fall %v, both must be above 0", s.Rules.Cold, s.Rules.Fall)
	case len(s.Classes) == 0:
		return fmt.Errorf("setting Classes is empty, must hold at least one")
	}
	for i, class := range s.Classes {
		if class.Aim <= 0 || class.Deadline < class.Aim {
			return fmt.Errorf("setting Classes[%d]: Aim is %v, must be above 0 and at most Deadline %v", i, class.Aim, class.Deadline)
		}
		if class.Worth < 0 || class.LateShare < 0 || class.LateShare > 1 {
			return fmt.Errorf("setting Classes[%d]: Worth is %v and LateShare %v, must be at least 0 and within 0 to 1",
				i, class.Worth, class.LateShare)
		}
	}
	return nil
}
