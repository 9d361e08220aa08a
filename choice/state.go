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
	number   uint64        // in the order of arrival
	// While it waits:
	group    *group
	queued   uint64        // in the order in which messages began to wait
	endAt    time.Duration // it is answered then, come what may
	endPlace queue.Place
}

// group is the messages of a destination that wait and differ in nothing but age: where one may go, any may.
type group struct {
	groupKey
	messages *queue.Sorted[*message] // by due
}

// groupKey is what messages of a group have in common.
type groupKey struct {
	class int
	zone  int  // that repeats are bound to, or anyZone
	ran   bool // an attempt may have run
	turn  bool // the order of keys lets them go
	owed  bool // a restart found them untried, and they still are
}

const anyZone = -1

// call is one call out; sends of one turn to one host may share it.
type call struct {
	number  uint64 // in the order of sending
	host    *host
	sent    time.Duration
	members []*message // outcomes still due
	off     bool       // called off
	leave   *grant     // that it goes on; nil without one
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
	endedAt time.Duration // the last call that was answered
}

// warm tells whether a connection of an earlier call is likely to be there still.
func (c *Chooser) warm(h *host) bool {
	return h.endedAt > 0 && h.out == 0 && c.now-h.endedAt < c.set.IdleConn*3/4
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
	key        string  // names the route to other relays
	grants     []grant // not used yet
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
	groups     []*group
	waits      int           // messages that wait
	since      time.Duration // messages wait, and no pause is on; never if none wait
	out        int
	calling    bool // on the list of those with calls out
	lastTurn   time.Duration
	lookAt     time.Duration // what may be sent changes then by itself; never if only by events
	lookPlace  queue.Place
	turn       turnKey // as it stands in the order of turns
	readyPlace queue.Place
	leaving    bool   // on the list of those to be forgotten in part
	changed    bool   // something has happened since its last look
	cheap      []shed // by class
	crowd      int    // waits as the orders of crowds have it
	table      oracle.Table
	refused    int      // refusals in a row
	luck       *float64 // of its kind
	pauseUntil time.Duration
	backoff    int  // time-outs in a row with nothing served since
	wanted     Want // as last told
	wanting    bool // on the list of those to be told
}

// turnKey is what the order of turns goes by.
type turnKey struct {
	trial    bool // only units on trial may be sent to
	out      int
	lastTurn time.Duration
}

// shed is how many messages of a class a destination has that may be turned away.
type shed struct {
	count int
	place queue.Place
}

// line is the order of one key.
type line struct {
	key   string
	queue *queue.Sorted[*message] // as they arrived
	rest  time.Duration
	place queue.Place
}

// Chooser decides for one relay. It is not safe for concurrent use.
type Chooser struct {
	set       Settings
	now       time.Duration
	bound     time.Duration // maximal timeout of the oracle
	minAim    time.Duration
	mostWorth float64 // of a class
	msgs      map[string]*message
	dests     map[int]*dest
	hosts     map[string]*host
	lines     map[string]*line
	leaving   []*dest               // with a host that is gone, or none at all
	calling   []*dest               // with calls out
	changed   []*dest               // something happened there since the last look
	ready     *queue.Heap[*dest]    // with a message to send and a unit to send it to, the next first
	soon      *queue.Heap[*dest]    // by lookAt
	ends      *queue.Heap[*message] // those that wait, by endAt
	pieces    *batching.Schedule    // of the ends
	pieceAt   time.Duration         // it is looked at then
	resting   *queue.Heap[*line]
	crowds    []*queue.Heap[*dest] // by class: those with some to turn away, most messages first
	number    uint64               // of the last message
	calls     uint64
	pivot     message // to search with
	open      []*host // scratch
	queued    uint64
	busy      int
	held      int
	wakeAt    time.Duration // the next wake-up asked for
	rand      *rand.Rand
	nap       time.Duration // between looks, at the least
	watchAt   time.Duration // the next silence to be noticed, or call to be called off
	luck      []float64     // by kind: share served of the calls to destinations that refused the last one
	pool      oracle.Table  // of all destinations together, for those that have few samples yet
	askAt     time.Duration // ask for list changes then; below 0 for never
	wanting   []*dest       // their wants are to be told
	lapseAt   time.Duration // the next grant lapses then
	acts      []Action
}

// newHost is an endpoint that a destination did not have.
func (c *Chooser) newHost(d *dest, n Host) *host {
	h := &host{dest: d, liking: c.rand.Float64()}
	c.hosts[n.Addr], d.hosts = h, append(d.hosts, h)
	if n.Kind >= 0 && n.Kind < len(c.set.Kinds) {
		d.kind, d.luck = c.set.Kinds[n.Kind], &c.luck[n.Kind]
	}
	if d.kind.Apart || len(d.units) == 0 {
		d.units = append(d.units, c.newUnit(d, n))
	}
	h.unit = d.units[len(d.units)-1]
	return h
}

// newUnit is a unit of a destination, first heard of with a host.
func (c *Chooser) newUnit(d *dest, n Host) *unit {
	u := &unit{name: n.Addr, key: n.Addr, born: c.now - time.Second, lastServed: c.now - time.Second}
	if !d.kind.Apart {
		u.key = fmt.Sprint("dest ", d.id)
	}
	if c.set.Fleet >= large && !c.set.Listed {
		u.limit, u.limitAt, u.tokens = guess/float64(c.set.Fleet), c.now, c.rand.Float64()
	}
	return u
}

// remove deletes one element.
func remove[T comparable](all []T, one T) []T {
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
	for i, k := range s.Classes {
		if k.Aim <= 0 || k.Deadline < k.Aim {
			return fmt.Errorf("setting Classes[%d]: Aim is %v, must be above 0 and at most Deadline %v", i, k.Aim, k.Deadline)
		}
		if k.Worth < 0 || k.LateShare < 0 || k.LateShare > 1 {
			return fmt.Errorf("setting Classes[%d]: Worth is %v and LateShare %v, must be at least 0 and within 0 to 1",
				i, k.Worth, k.LateShare)
		}
	}
	return nil
}
