package reference

// State of a Chooser.

import (
	"math/rand/v2"
	"slices"
	"time"
)

// message is a pending message, until its final answer and the outcome of its last attempt.
type message struct {
	Arrival
	class           *Class
	dest            *destination
	deadline        time.Duration
	createdAt       time.Duration // deadline less the class's: when it was first submitted
	attempts        int           // made, those that ended as NotSent included
	restoredUntried bool          // restored after a restart, without an attempt before it
	lastTimeout     time.Duration // of the last attempt
	call            *outboundCall // in flight; nil if queued or finished
	mayHaveRun      bool          // an attempt may have run
	mayHaveRunAt    time.Duration // when the first such attempt was sent
	mayHaveRunZone  int           // zone of its host
	lastHost        *endpoint     // of the last attempt
	uncertainAt     time.Duration // time of the last unknown outcome, below 0 for none
	finished        bool          // answered or withdrawn
	queueSequence   uint64        // order in which messages were queued
}

// outboundCall is a call in flight. Sends of one Step to one host may share it.
type outboundCall struct {
	sequence  uint64 // order of sending
	host      *endpoint
	sentAt    time.Duration
	messages  []*message // without an outcome yet
	cancelled bool
}

// endpoint is a host with its state.
type endpoint struct {
	Host
	dest       *destination
	unit       *healthUnit
	inFlight   int           // calls
	preference float64       // random, from 0 to 1: makes relays spread over hosts of equal cost
	failures   int           // consecutive
	unreadable int           // consecutive unreadable responses
	avoidUntil time.Duration // after failures: other hosts are preferred until then
}

// health is the state of a healthUnit.
type health int

const (
	healthy    health = iota
	suspect           // in an outage: single trials only
	recovering        // in slow start: calls within a budget
)

// healthUnit is the scope of health, rate limits and waits: a destination, or a single host where Kind.Apart
// is set.
type healthUnit struct {
	name             string // address of its first host
	createdAt        time.Duration
	listedRate       float64 // calls a second from all relays, listed or reported; 0 if unknown
	state            health
	stateSince       time.Duration
	stateReason      string          // why it is not healthy
	retryAfterUntil  time.Duration   // as requested by the host
	backoffUntil     time.Duration   // this relay's own backoff after refusals
	recentFailures   uint            // the last outcomeHistory outcomes, a set bit for each failure
	servedStreak     int             // consecutive served calls
	sawErrors        bool            // the outage had responses of outcome Error
	mayHaveRun       bool            // the outage had failed calls that may have run
	nextTrialAt      time.Duration   // while suspect
	failedTrials     int             // consecutive
	unsuccessful     int             // failures and refusals since lastServed
	lastServed       time.Duration   // time of the last served call, or of the listing
	inFlight         []*outboundCall // in the order of sending
	sendTimes        []time.Duration // of calls within the last Rules.Cold, at least a second; ascending
	latency          float64         // smoothed, of served calls, in seconds; 0 if unknown
	servedRate       float64         // smoothed messages a second, see Chooser.servedRate
	rateBeforeOutage float64         // servedRate when the outage began
	rateLimit        float64         // calls a second of this relay; 0 for no limit
	rateLimitAt      time.Duration   // when rateLimit and tokens were last updated
	rateCutAt        time.Duration   // when a refusal last lowered rateLimit
	tokens           float64         // calls that the rate limit allows now; negative for a debt
}

// destination is a destination with its queue, hosts and units.
type destination struct {
	id           int
	kind         Kind
	hosts        []*endpoint
	units        []*healthUnit
	waiting      []*message // queued, in no order
	inFlight     int        // calls
	listedActive bool       // element of Chooser.active
	lastSentAt   time.Duration
	latencies    latencyTable
	refusals     int           // consecutive
	retrySuccess *float64      // of its kind, see Chooser.retrySuccess
	backoffUntil time.Duration // nothing is sent to any unit before
	demandSince  time.Duration // since then there are queued messages and no backoff; else never
	timeouts     int           // since the last call that was served in time, where the unit served no other
}

// keyOrder is the pending messages of an ordering key. Only the first may be in flight or eligible.
type keyOrder struct {
	key       string
	messages  []*message    // by keySequence
	settledAt time.Duration // end of the pause after an attempt with an unknown outcome
}

// Chooser decides for one relay. It is not safe for concurrent use.
type Chooser struct {
	cfg             Settings
	now             time.Duration
	maxTimeout      time.Duration // maximum time-out by the oracle: the longest latency target
	minTarget       time.Duration // the shortest latency target
	messages        map[string]*message
	destinations    map[int]*destination
	inOrder         []*destination       // in the order of creation
	active          []*destination       // with messages queued or in flight
	calling         []*destination       // with calls in flight, the longest first
	queueSequence   uint64               // of the last message queued
	callSequence    uint64               // of the last call
	hosts           map[string]*endpoint // by address
	keyOrders       map[string]*keyOrder
	settling        []*keyOrder   // by settledAt
	callsInFlight   int           // slots taken
	pending         int           // messages without a final answer
	wakeAt          time.Duration // the next wake-up requested
	rand            *rand.Rand
	wakeInterval    time.Duration // minimum time between wake-ups
	retrySuccess    []float64     // by kind: share of served calls among those after a refusal, smoothed
	pooledLatencies latencyTable  // of all destinations, for those with few samples
	subscribeAt     time.Duration // next request for the endpoint list; below 0 for none
	actions         []Action      // of the current Step
}

// removeElement removes an element from a slice, in place.
func removeElement[T comparable](all []T, one T) []T {
	return slices.DeleteFunc(all, func(o T) bool { return o == one })
}
