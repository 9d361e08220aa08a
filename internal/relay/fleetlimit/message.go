package fleetlimit

import (
	"errors"
	"hash/crc32"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/quota"
)

// A note is a version byte and records, in the frame of all notes (internal/relay/gossip).
// Times are in units of 8 ms, rates and values in steps of an eighth of an stepsPerOctave, routes the CRC-32C of their names.
const (
	version        = 2
	timeUnit       = 8 * time.Millisecond
	stepsPerOctave = 8.0
)

type kind byte

const (
	requestKind       kind = iota + 1 // relay to steward: so many calls could go to a destination
	queuedKind                        // steward to relay: the ask is known, there is no room yet
	grantKind                         // steward to relay: one call may go to a route
	outcomeKind                       // relay to steward: what became of it
	movedKind                         // steward to relay: another is steward of a destination
	helloKind                         // to a relay that was silent, and its answer
	pledgeRequestKind                 // steward to all: pledge what you have of a destination's limits
	pledgeKind                        // relay to steward: it is pledged, on the call with that stamp
	releaseKind                       // steward to relay: it is let go of, up to that stamp
)

// record is one of a note; which fields count depends on its kind.
type record struct {
	kind        kind
	dest        int
	calls       int
	value       float64
	routes      []estimate // ask, queued; grant and spent have one
	grant       uint32
	validFor    time.Duration // grant: it lapses after that
	healthy     bool
	outcome     choice.Outcome
	took        time.Duration
	wait        time.Duration
	coordinator int           // moved
	answer      bool          // hello: none is wanted; call: the receiver's pledge is in force
	stamp       quota.Stamp   // call, pledge, release: of the steward's clock
	units       uint32        // pledge
	timestamp   uint16        // ask: the relay's clock, in steps; grant: that of the ask which it answers
	queuedFor   time.Duration // grant: how long the steward had that ask
}

// estimate is what a steward holds of a route, as it goes from relay to relay.
type estimate struct {
	route      uint32
	rate       float64 // calls a second for the whole fleet; 0 if nothing is known
	limitKnown bool    // that is a limit that was met
	state      state
	inState    time.Duration // it is in that state
	witnessed  bool          // that is what the relay that tells it saw itself, while it heard nobody
}

var (
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
	errMalformed = errors.New("grants: the note cannot be read")
)

func routeID(name string) uint32 { return crc32.Checksum([]byte(name), castagnoli) }
