// Package fleetlimit has the relays of a fleet share what a destination takes. Each destination has a steward among them.
// A relay that could make calls asks it for leave; the steward knows of all calls of the fleet and how they ended, and
// grants one by one what the routes have room for, to those first whose calls are worth most. So eighty relays that
// see little each keep under a limit as one would that sees all.
//
// The steward is the relay that comes first by rendezvous hashing (Thaler and Ravishankar 1998) of those that answer.
// What one learns goes along with its grants, so that another that takes its place goes on from there. A relay whose
// asks nobody answers grants to itself its share of what it last heard.
//
// The package decides and does nothing else: time and events in, actions out; no clock, no socket, no goroutine. The
// same events give the same actions.
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
	answerTimeout   = 150 * time.Millisecond // an ask that is not answered by then is lost, or its steward is gone
	refreshInterval = 500 * time.Millisecond // an ask that waits is said again
	maxAttempts     = 2
	skipTime        = 3 * time.Second // one that did not answer is passed over
	maxCandidates   = 8               // stewards that are tried, before a relay goes alone
	helloInterval   = 400 * time.Millisecond
	valueTolerance  = 1.1 // a value that changes by this factor is told
	expireInterval  = 10 * time.Second
	grantHistory    = 5 * time.Second
	// estimateTTL is how long what a steward told of a route is passed on: limits change.
	estimateTTL    = 15 * time.Second
	activeGrantTTL = time.Minute // of a grant of which nothing is heard any more
	maxRetryAfter  = time.Minute // told, that is believed of another relay: nothing else that one says lasts so long
	// idleTimeout is how long a steward was not asked, when it takes up a destination anew: ends of calls that have not been told
	// by then were lost, and say nothing of the routes.
	idleTimeout = 3 * time.Second
)

// Settings of one relay's part.
type Settings struct {
	Index, FleetSize int
	Seed             uint64 // for whom to greet
	Rules            choice.Rules
	Incarnation      uint32              // differs from that of any start before
	QuotaShares      bool                // limits are held as rights, which are conserved whoever hears whom
	Weights          []int               // of all relays, by which limits are divided; nil where all have one part
	Limits           map[int]quota.Limit // by destination, where they are told; the others are found out
}

// Limiter is one relay's part: it asks for what it wants, and is steward of some destinations. It is not safe for
// concurrent use.
type Limiter struct {
	settings       Settings
	now            time.Duration
	requests       map[int]*request
	active         []*request // with something asked for or wanted, by destination
	coordinated    map[int]*coordinatorState
	busy           []*coordinatorState // with asks, by destination
	skipUntil      []time.Duration     // by relay: passed over until then
	misses         []int               // by relay: how often it was, since it was heard last
	lastReceived   []time.Duration     // by relay: last
	lastReachable  []time.Duration     // by relay: what it said last showed that it hears this one, as far as can be told
	probedAt       []time.Duration     // by relay: it was asked whether it is there, and has not answered; below 0 if it was not
	connectivity   connectivity
	lastGrant      uint32         // of the last grant given to any relay
	lastLocalGrant uint32         // of the last grant that the Chooser has been given
	outgoing       map[int][]byte // under way, by receiver
	actions        []choice.Action
	grants         []choice.Event // grants for this relay
	wakeAt         time.Duration
	sweepAt        time.Duration
	// Notes that come until then may be as old as this relay's absence.
	discardUntil time.Duration
	startedAt    time.Duration     // the first step; below 0 before it
	ownShares    map[int]*ownShare // by destination
	totalWeight  int               // into which limits are divided: the sum of the weights
	removed      []bool            // by relay: it is gone for good, so its part is the others'
}

// New returns one relay's part of a fleet.
func New(s Settings) (*Limiter, error) {
	if s.FleetSize < 1 || s.Index < 0 || s.Index >= s.FleetSize {
		return nil, fmt.Errorf("grants: this relay has number %d in a fleet of %d; numbers begin at 0", s.Index, s.FleetSize)
	}
	return &Limiter{settings: s, lastGrant: s.Incarnation, requests: map[int]*request{}, coordinated: map[int]*coordinatorState{}, skipUntil: make([]time.Duration, s.FleetSize), misses: make([]int, s.FleetSize),
		lastReceived: slices.Repeat([]time.Duration{-1}, s.FleetSize), lastReachable: slices.Repeat([]time.Duration{-1}, s.FleetSize),
		probedAt: slices.Repeat([]time.Duration{-1}, s.FleetSize), connectivity: newConnectivity(s.Seed), outgoing: map[int][]byte{}, startedAt: -1, ownShares: map[int]*ownShare{}, totalWeight: sumWeights(s.Weights, s.FleetSize), removed: make([]bool, s.FleetSize)}, nil
}

// Step takes in the notes that came and what the Chooser said (its choice.Want and choice.Spent), and decides once.
// Actions are choice.Tell and choice.Wake; what is given are grants for the Chooser.
func (f *Limiter) Step(now time.Duration, heard []choice.Heard, said []choice.Action) (acts []choice.Action, given []choice.Event) {
	f.actions, f.grants = nil, nil
	f.detectStall(now)
	if f.now = max(f.now, now); f.startedAt < 0 {
		f.startedAt = f.now
	}
	if f.now >= f.discardUntil {
		for _, h := range heard {
			f.receive(h)
		}
	}
	for _, a := range said {
		switch a := a.(type) {
		case choice.Want:
			f.setWanted(a)
		case choice.Spent:
			f.reportOutcome(a)
		}
	}
	f.detectPartition()
	f.active = slices.DeleteFunc(f.active, func(e *request) bool {
		f.sendRequest(e)
		e.inActive = e.wanted.Calls > 0 || e.requested.Calls > 0
		return !e.inActive
	})
	f.busy = slices.DeleteFunc(f.busy, func(k *coordinatorState) bool {
		f.serve(k)
		k.inBusy = len(k.requests) > 0
		k.idleSince = f.now
		return !k.inBusy
	})
	f.expire()
	f.flush()
	f.scheduleWake()
	return f.actions, f.grants
}
