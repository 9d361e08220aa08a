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
	class    *Class
	dest     *dest
	due      time.Duration // deadline
	born     time.Duration // due less the class's deadline: first handed in
	attempts int
	found    bool          // by a restart, untried
	timeout  time.Duration // of the last try
	call     *call         // out now
	ran      bool          // an attempt may have run
	ranAt    time.Duration // the first such attempt went out
	ranZone  int
	last     *host
	unsure   time.Duration // time of the last unsure outcome; its key rests after it
	over     bool          // answered or withdrawn
	queued   uint64        // in the order in which messages began to wait
}

// call is one call out; sends of one turn to one host may share it.
type call struct {
	number  uint64 // in the order of sending
	host    *host
	sent    time.Duration
	members []*message // outcomes still due
	off     bool       // called off
}

// host is one endpoint.
type host struct {
	Host
	dest    *dest
	unit    *unit
	out     int
	liking  float64       // this relay's own liking, by chance
	fails   int           // in a row
	spoilt  int           // answers in a row
	retryAt time.Duration // after failures
}

// health of a unit.
type health int

const (
	healthy    health = iota
	suspect           // single trials only
	recovering        // within the budget for a cold destination
)

// unit is what health, limits and waits hang on: a destination, or a route where routes are apart.
type unit struct {
	name       string
	born       time.Duration
	listed     float64 // calls a second from all relays, 0 if unknown
	state      health
	since      time.Duration // of the state
	why        string        // it left the healthy state
	waitUntil  time.Duration // told
	pauseUntil time.Duration // own
	recent     uint          // recent outcomes, a bit set for each failure
	streak     int           // answers served in a row
	errors     bool          // errors answered were among them
	risky      bool          // failures that may have run were seen in this outage
	trialAt    time.Duration // next trial
	trials     int           // trials failed in a row
	bad        int           // failures and refusals since then
	lastServed time.Duration // or first listed
	outs       []*call
	sends      []time.Duration // in the last Fall or second
	pace       float64         // smoothed latency, seconds
	served     float64         // smoothed rate served to this relay, messages a second
	base       float64         // served when the outage began
	limit      float64         // calls a second this relay allows itself; 0 for no limit
	limitAt    time.Duration   // last time that limit or tokens were brought up to date
	cutAt      time.Duration
	tokens     float64
}

// dest is one destination.
type dest struct {
	id         int
	kind       Kind
	hosts      []*host
	units      []*unit
	waiting    []*message
	out        int
	live       bool // on the list of those with messages waiting or out
	lastTurn   time.Duration
	table      table
	refused    int      // refusals in a row
	luck       *float64 // of its kind
	pauseUntil time.Duration
	since      time.Duration // messages wait, and no pause is on
	backoff    int           // time-outs in a row with nothing served since
}

// line is the order of one key.
type line struct {
	key   string
	queue []*message
	rest  time.Duration
}

// Chooser decides for one relay. It is not safe for concurrent use.
type Chooser struct {
	set     Settings
	now     time.Duration
	bound   time.Duration // maximal timeout of the oracle
	minAim  time.Duration
	msgs    map[string]*message
	dests   map[int]*dest
	order   []*dest // as first heard of
	live    []*dest // with messages waiting or out
	calling []*dest // with calls out, in the order in which they came to have some
	queued  uint64
	calls   uint64
	hosts   map[string]*host
	lines   map[string]*line
	resting []*line
	busy    int
	held    int
	wakeAt  time.Duration // the next wake-up asked for
	rand    *rand.Rand
	nap     time.Duration // between looks
	luck    []float64     // by kind: share served of the calls to destinations that refused the last one
	pool    table         // of all destinations together, for those that have few samples yet
	askAt   time.Duration // ask for list changes then; below 0 for never
	acts    []Action
}

// remove deletes one element.
func remove[T comparable](all []T, one T) []T {
	return slices.DeleteFunc(all, func(o T) bool { return o == one })
}
