package fleetlimit

import (
	"fmt"
	"math"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/quota"
)

const (
	never           = time.Duration(math.MaxInt64)
	answerTimeout   = 150 * time.Millisecond // a request without an answer by then is lost, or its coordinator down
	refreshInterval = 500 * time.Millisecond // a pending request is sent again
	maxAttempts     = 2                      // requests without an answer before the coordinator is skipped
	skipTime        = 3 * time.Second        // after the first miss; doubled with each further one
	maxCandidates   = 8                      // coordinators that are tried before a relay grants to itself
	helloInterval   = 400 * time.Millisecond
	valueTolerance  = 1.1 // a value that changes by this factor is sent again
	expireInterval  = 10 * time.Second
	grantHistory    = 5 * time.Second // for which received grants are remembered against duplicates
	// estimateTTL is how long a gossiped estimate of a route is passed on: limits change.
	estimateTTL    = 15 * time.Second
	activeGrantTTL = time.Minute // of a grant whose outcome was never reported
	// maxRetryAfter is the longest retry-after that is accepted from another relay. It bounds the effect of a
	// forged one: no other field of a message has an effect for so long.
	maxRetryAfter = time.Minute
	// idleTimeout is how long a coordinator was without requests when it takes up a destination anew: outcomes
	// that were not reported by then are lost, and say nothing about the routes.
	idleTimeout = 3 * time.Second
)

// Settings of one relay's limiter.
type Settings struct {
	Index, FleetSize int    // this relay's number, from 0, and the number of relays
	Seed             uint64 // of the choice of relays that hellos are sent to
	Rules            choice.Rules
	Incarnation      uint32 // differs from that of every earlier start
	QuotaShares      bool   // limits are divided into conserved quota shares
	Weights          []int  // of all relays, by which limits are divided; nil for equal shares
	// Limits are the configured limits by destination; those of other destinations are estimated.
	Limits map[int]quota.Limit
}

// Limiter decides for one relay: it requests grants for the calls that the relay wants, and is the coordinator
// of some destinations. It is not safe for concurrent use.
type Limiter struct {
	settings     Settings
	now          time.Duration             // of the present step
	requests     map[int]*request          // by destination
	active       []*request                // requested or wanted calls, by destination
	coordinated  map[int]*coordinatorState // destinations that this relay coordinates
	busy         []*coordinatorState       // with pending requests, by destination
	skipUntil    []time.Duration           // by relay
	misses       []int                     // by relay: times that it was skipped since its last message
	lastReceived []time.Duration           // by relay: its last message; -1 for none
	// By relay: the last message that showed that it receives this relay's messages, as far as can be known; -1
	// for none.
	lastReachable  []time.Duration
	probedAt       []time.Duration // by relay: hello without an answer yet; -1 for none
	connectivity   connectivity
	lastGrant      uint32          // number of the last grant to any relay
	lastLocalGrant uint32          // number of the last grant that the Chooser was given
	outgoing       map[int][]byte  // unsealed messages of the present step, by receiver
	actions        []choice.Action // of the present step
	grants         []choice.Event  // of the present step, for this relay
	wakeAt         time.Duration   // requested wake-up
	sweepAt        time.Duration   // next expiry of old state
	// Messages that arrive until then may be as old as the stall of this process, and are discarded.
	discardUntil time.Duration
	startedAt    time.Duration     // the first step; -1 before it
	ownShares    map[int]*ownShare // by destination
	totalWeight  int               // of all relays: into how many shares limits are divided
	removed      []bool            // by relay: removed for good, so its share is the others'
}

// New returns the limiter of one relay.
func New(s Settings) (*Limiter, error) {
	if s.FleetSize < 1 || s.Index < 0 || s.Index >= s.FleetSize {
		return nil, fmt.Errorf("fleetlimit: this relay has number %d in a fleet of %d; numbers begin at 0", s.Index, s.FleetSize)
	}
	return &Limiter{
		settings:      s,
		requests:      map[int]*request{},
		coordinated:   map[int]*coordinatorState{},
		skipUntil:     make([]time.Duration, s.FleetSize),
		misses:        make([]int, s.FleetSize),
		lastReceived:  slices.Repeat([]time.Duration{-1}, s.FleetSize),
		lastReachable: slices.Repeat([]time.Duration{-1}, s.FleetSize),
		probedAt:      slices.Repeat([]time.Duration{-1}, s.FleetSize),
		connectivity:  newConnectivity(s.Seed),
		lastGrant:     s.Incarnation,
		outgoing:      map[int][]byte{},
		startedAt:     -1,
		ownShares:     map[int]*ownShare{},
		totalWeight:   sumWeights(s.Weights, s.FleetSize),
		removed:       make([]bool, s.FleetSize),
	}, nil
}

// Step processes the messages that were received and the Chooser's choice.Want and choice.Spent actions, and
// decides once. The returned actions are choice.Tell, choice.Wake and choice.Log; grants are events for the
// Chooser.
func (l *Limiter) Step(now time.Duration, received []choice.Heard, chosen []choice.Action) (
	actions []choice.Action, grants []choice.Event) {
	l.actions, l.grants = nil, nil
	l.detectStall(now)
	if l.now = max(l.now, now); l.startedAt < 0 {
		l.startedAt = l.now
	}
	if l.now >= l.discardUntil {
		for _, h := range received {
			l.receive(h)
		}
	}
	for _, a := range chosen {
		switch a := a.(type) {
		case choice.Want:
			l.setWanted(a)
		case choice.Spent:
			l.reportOutcome(a)
		}
	}
	l.detectPartition()
	l.active = slices.DeleteFunc(l.active, func(req *request) bool {
		l.sendRequest(req)
		req.inActive = req.wanted.Calls > 0 || req.requested.Calls > 0
		return !req.inActive
	})
	l.busy = slices.DeleteFunc(l.busy, func(coord *coordinatorState) bool {
		l.serve(coord)
		coord.inBusy = len(coord.requests) > 0
		coord.idleSince = l.now
		return !coord.inBusy
	})
	l.expire()
	l.flush()
	l.scheduleWake()
	return l.actions, l.grants
}
