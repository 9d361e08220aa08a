package reference

// State without decisions: what a Chooser remembers, and checks of its settings.

import (
	"math/rand/v2"
	"slices"
	"time"
)

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
	queueSequence   uint64        // in the order in which messages began to wait
}

// call is one call out; sends of one turn to one host may share it.
type outboundCall struct {
	sequence  uint64 // in the order of sending
	host      *endpoint
	sentAt    time.Duration
	messages  []*message // outcomes still due
	cancelled bool       // called off
}

// host is one endpoint.
type endpoint struct {
	Host
	dest       *destination
	unit       *healthUnit
	inFlight   int
	preference float64       // this relay's own liking, by chance
	failures   int           // in a row
	unreadable int           // answers in a row
	avoidUntil time.Duration // after failures
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
	id           int
	kind         Kind
	hosts        []*endpoint
	units        []*healthUnit
	waiting      []*message
	inFlight     int
	listedActive bool // on the list of those with messages waiting or out
	lastSentAt   time.Duration
	latencies    latencyTable
	refusals     int      // refusals in a row
	retrySuccess *float64 // of its kind
	backoffUntil time.Duration
	demandSince  time.Duration // messages wait, and no pause is on
	timeouts     int           // time-outs in a row with nothing served since
}

// line is the order of one key.
type keyOrder struct {
	key       string
	messages  []*message
	settledAt time.Duration
}

// Chooser decides for one relay. It is not safe for concurrent use.
type Chooser struct {
	cfg             Settings
	now             time.Duration
	maxTimeout      time.Duration // maximal timeout of the oracle
	minTarget       time.Duration
	messages        map[string]*message
	destinations    map[int]*destination
	inOrder         []*destination // as first heard of
	active          []*destination // with messages waiting or out
	calling         []*destination // with calls out, in the order in which they came to have some
	queueSequence   uint64
	callSequence    uint64
	hosts           map[string]*endpoint
	keyOrders       map[string]*keyOrder
	settling        []*keyOrder
	callsInFlight   int
	pending         int
	wakeAt          time.Duration // the next wake-up asked for
	rand            *rand.Rand
	wakeInterval    time.Duration // between looks
	retrySuccess    []float64     // by kind: share served of the calls to destinations that refused the last one
	pooledLatencies latencyTable  // of all destinations together, for those that have few samples yet
	subscribeAt     time.Duration // ask for list changes then; below 0 for never
	actions         []Action
}

// remove deletes one element.
func removeElement[T comparable](all []T, one T) []T {
	return slices.DeleteFunc(all, func(o T) bool { return o == one })
}
