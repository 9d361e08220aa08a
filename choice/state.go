package choice

// State of a Chooser, and the check of its settings.

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

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

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
	keySequence     uint64        // order of arrival, for messages with an ordering key
	// While it is queued:
	group         *messageGroup // nil if it is not queued
	queueSequence uint64        // order in which messages were queued
	expiresAt     time.Duration // it gets its final answer then
	expiryIndex   queue.Place
}

// messageGroup is the queued messages of a destination that differ only in age: if one may be sent to a host,
// all may, except for eligibleAge.
type messageGroup struct {
	groupKey
	messages *queue.Sorted[*message] // by deadline
}

// groupKey is the properties that messages of a group have in common.
type groupKey struct {
	class            int
	zone             int  // to which retries are bound, or anyZone
	mayHaveRun       bool // an attempt may have run
	keyAllows        bool // the ordering key lets them go
	owedFirstAttempt bool // see message.owedFirstAttempt
}

const anyZone = -1

// outboundCall is a call in flight. Sends of one Step to one host may share it.
type outboundCall struct {
	sequence  uint64 // order of sending
	host      *endpoint
	sentAt    time.Duration
	messages  []*message // without an outcome yet
	cancelled bool
	grant     *callGrant // nil without one
}

// endpoint is a host with its state.
type endpoint struct {
	Host
	dest           *destination
	unit           *healthUnit
	inFlight       int           // calls
	preference     float64       // random, from 0 to 1: makes relays spread over hosts of equal cost
	failures       int           // consecutive
	unreadable     int           // consecutive unreadable responses
	avoidUntil     time.Duration // after failures: other hosts are preferred until then
	lastAnsweredAt time.Duration // last response, 0 for none
}

// hasWarmConnection reports whether the connection of an earlier call is likely to be open still.
func (c *Chooser) hasWarmConnection(host *endpoint) bool {
	return host.lastAnsweredAt > 0 && host.inFlight == 0 && c.now-host.lastAnsweredAt < c.cfg.IdleConn*3/4
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
	name             string      // address of its first host
	key              string      // names the route to other relays
	grants           []callGrant // unused, in order of arrival
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
	id              int
	kind            Kind
	hosts           []*endpoint
	units           []*healthUnit
	groups          []*messageGroup
	queued          int           // messages
	demandSince     time.Duration // since then there are queued messages and no backoff; else never
	inFlight        int           // calls
	listedCalling   bool          // element of Chooser.calling
	lastSentAt      time.Duration
	evaluateAt      time.Duration // next evaluation without an event, never if there is none
	evaluationIndex queue.Place
	sendOrder       sendOrder // its key in Chooser.ready
	readyIndex      queue.Place
	listedPrunable  bool             // element of Chooser.prunable
	dirty           bool             // element of Chooser.dirty
	sheddable       []sheddableCount // by class
	shedBacklog     int              // its key in Chooser.shedOrders: queued
	latencies       oracle.Table
	refusals        int           // consecutive
	retrySuccess    *float64      // of its kind, see Chooser.retrySuccess
	backoffUntil    time.Duration // nothing is sent to any unit before
	timeouts        int           // since the last call that was served in time, where the unit served no other
	lastWant        Want          // as last emitted, or to be emitted if wantChanged
	wantChanged     bool          // element of Chooser.changedWants
}

// sendOrder is the key by which destinations that can be sent to are ordered, see compareSendOrder.
type sendOrder struct {
	onTrial    bool // all units are suspect
	inFlight   int
	lastSentAt time.Duration
}

// sheddableCount is the number of queued messages of a class at a destination that may be shed.
type sheddableCount struct {
	count int
	index queue.Place
}

// keyOrder is the pending messages of an ordering key. Only the first may be in flight or eligible.
type keyOrder struct {
	key         string
	messages    *queue.Sorted[*message] // by keySequence
	settledAt   time.Duration           // end of the pause after an attempt with an unknown outcome
	settleIndex queue.Place
}

// Chooser decides for one relay. It is not safe for concurrent use.
type Chooser struct {
	cfg Settings
	now time.Duration

	// Derived from the settings:
	maxTimeout   time.Duration // maximum time-out by the oracle: the longest latency target
	minTarget    time.Duration // the shortest latency target
	maxValue     float64       // the greatest Worth of a class
	wakeInterval time.Duration // minimum time between wake-ups

	messages      map[string]*message
	destinations  map[int]*destination
	hosts         map[string]*endpoint // by address
	keyOrders     map[string]*keyOrder
	pending       int    // messages without a final answer
	callsInFlight int    // slots taken
	keySequence   uint64 // of the last message with an ordering key
	callSequence  uint64 // of the last call
	queueSequence uint64 // of the last message queued

	prunable    []*destination              // with hosts to remove, or with none at all
	calling     []*destination              // with calls in flight, the longest first
	dirty       []*destination              // with an event since their last evaluation
	ready       *queue.Heap[*destination]   // with a message to send and a unit to send it to; by sendOrder
	evaluations *queue.Heap[*destination]   // by evaluateAt
	expiries    *queue.Heap[*message]       // queued messages by expiresAt
	batches     *batching.Schedule          // counts expiries by time
	nextBatchAt time.Duration               // next look at batches
	settling    *queue.Heap[*keyOrder]      // by settledAt
	shedOrders  []*queue.Heap[*destination] // by class: with sheddable messages, the longest backlog first

	wakeAt          time.Duration  // the next wake-up requested
	watchAt         time.Duration  // next check for an unresponsive unit or a stuck call
	subscribeAt     time.Duration  // next request for the endpoint list; below 0 for none
	changedWants    []*destination // with a Want to emit
	nextGrantExpiry time.Duration

	rand            *rand.Rand
	retrySuccess    []float64    // by kind: share of served calls among those after a refusal, smoothed
	pooledLatencies oracle.Table // of all destinations, for those with few samples
	searchPivot     message      // search argument for queue.Sorted
	openHosts       []*endpoint  // scratch space of chooseSend
	actions         []Action     // of the current Step
}

// newHost adds a host to a destination.
func (c *Chooser) newHost(dest *destination, entry Host) *endpoint {
	host := &endpoint{dest: dest, preference: c.rand.Float64()}
	c.hosts[entry.Addr], dest.hosts = host, append(dest.hosts, host)
	if entry.Kind >= 0 && entry.Kind < len(c.cfg.Kinds) {
		dest.kind, dest.retrySuccess = c.cfg.Kinds[entry.Kind], &c.retrySuccess[entry.Kind]
	}
	if dest.kind.Apart || len(dest.units) == 0 {
		dest.units = append(dest.units, c.newUnit(dest, entry.Addr))
	}
	host.unit = dest.units[len(dest.units)-1]
	return host
}

// newUnit returns a unit of a destination; name is the address of its first host.
func (c *Chooser) newUnit(dest *destination, name string) *healthUnit {
	listedAt := c.now - time.Second
	unit := &healthUnit{name: name, key: name, createdAt: listedAt, lastServed: listedAt}
	if !dest.kind.Apart {
		unit.key = fmt.Sprint("dest ", dest.id)
	}
	if c.cfg.Fleet >= largeFleet && !c.cfg.Listed {
		unit.rateLimit, unit.rateLimitAt = initialRateGuess/float64(c.cfg.Fleet), c.now
		unit.tokens = c.rand.Float64()
	}
	return unit
}

// removeElement removes an element from a slice, in place.
func removeElement[T comparable](all []T, one T) []T {
	return slices.DeleteFunc(all, func(o T) bool { return o == one })
}

// Check returns an error that names the first setting out of its range, nil if all are valid.
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
		return fmt.Errorf("setting Rules.Cold is %v and Rules.Fall %v, both must be above 0",
			s.Rules.Cold, s.Rules.Fall)
	case len(s.Classes) == 0:
		return fmt.Errorf("setting Classes is empty, must hold at least one")
	}
	for i, class := range s.Classes {
		if class.Aim <= 0 || class.Deadline < class.Aim {
			return fmt.Errorf("setting Classes[%d]: Aim is %v, must be above 0 and at most Deadline %v",
				i, class.Aim, class.Deadline)
		}
		if class.Worth < 0 || class.LateShare < 0 || class.LateShare > 1 {
			return fmt.Errorf("setting Classes[%d]: Worth is %v and LateShare %v, must be at least 0 and within 0 to 1",
				i, class.Worth, class.LateShare)
		}
	}
	return nil
}
