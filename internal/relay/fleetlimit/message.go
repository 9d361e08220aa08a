package fleetlimit

import (
	"errors"
	"hash/crc32"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/quota"
)

// A message is a version byte and records, in the frame of all messages between relays (internal/relay/gossip).
// Times are in units of 8 ms, rates and values in steps of an eighth of an octave, routes the CRC-32C of their
// names.
const (
	version        = 2 // first byte of a message
	timeUnit       = 8 * time.Millisecond
	stepsPerOctave = 8.0
)

// kind of a record. The numbers are on the wire.
type kind byte

const (
	requestKind       kind = iota + 1 // relay to coordinator: wants that many calls
	queuedKind                        // coordinator to relay: the request is known, there is no room yet
	grantKind                         // coordinator to relay: one call may go to a route
	outcomeKind                       // relay to coordinator: outcome of a granted call
	movedKind                         // coordinator to relay: another relay coordinates the destination
	helloKind                         // to a relay that did not answer, and its answer
	pledgeRequestKind                 // coordinator to all: pledge your share of a destination's limits
	pledgeKind                        // relay to coordinator: in answer to the request with that stamp
	releaseKind                       // coordinator to relay: the share is released, up to that stamp
)

// record is one record of a message. Which fields are set depends on its kind.
type record struct {
	kind        kind
	dest        int            // all but hello
	calls       int            // request
	value       float64        // request: of the most valuable call
	routes      []estimate     // request, queued: any number; grant, outcome: one
	grant       uint32         // grant, outcome: number of the grant
	validFor    time.Duration  // grant: it expires after that
	healthy     bool           // grant: the route is
	outcome     choice.Outcome // outcome
	took        time.Duration  // outcome: duration of the call
	wait        time.Duration  // outcome: retry-after
	coordinator int            // moved
	// hello: it is an answer; pledge request: the coordinator receives the messages of the receiver
	answer    bool
	stamp     quota.Stamp   // pledge request, pledge, release: of the coordinator's clock
	units     uint32        // pledge
	timestamp uint16        // request: the relay's clock; grant: that of the request it answers
	queuedFor time.Duration // grant: how long the coordinator had that request
}

// estimate is a coordinator's knowledge of a route, as it is gossiped from relay to relay.
type estimate struct {
	route      uint32  // route ID
	rate       float64 // calls a second of the whole fleet; 0 if nothing is known
	limitKnown bool    // the rate has reached the route's limit
	state      state
	inState    time.Duration // time in that state
	witnessed  bool          // the sender saw the state itself, while it was isolated
}

var (
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
	errMalformed = errors.New("fleetlimit: message cannot be decoded")
)

// routeID returns the number of a route on the wire: the CRC-32C of its name.
func routeID(name string) uint32 { return crc32.Checksum([]byte(name), castagnoli) }
