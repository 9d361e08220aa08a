package fleetlimit

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
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

// logByte puts a positive number on a scale of eighths of octaves round 1; 0 stands for 0.
func logByte(x float64) byte {
	if !(x > 0) {
		return 0
	}
	return byte(max(1, min(255, math.Round(stepsPerOctave*math.Log2(x))+128)))
}

func fromLog(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2((float64(b) - 128) / stepsPerOctave)
}

func durationByte(d time.Duration) byte { return byte(max(0, min(255, (d+timeUnit-1)/timeUnit))) }

func durationWord(d time.Duration) uint16 { return uint16(max(0, min(65535, (d+timeUnit-1)/timeUnit))) }

// appendTo adds a record to a note.
func (r record) appendTo(b []byte) []byte {
	b = append(b, byte(r.kind))
	be := binary.BigEndian
	if r.kind != helloKind {
		b = be.AppendUint32(b, uint32(r.dest))
	}
	switch r.kind {
	case requestKind:
		b = append(be.AppendUint16(b, r.timestamp), byte(min(r.calls, 255)), logByte(r.value), byte(len(r.routes)))
		for _, x := range r.routes {
			b = x.appendTo(b)
		}
	case queuedKind:
		b = append(b, byte(len(r.routes)))
		for _, x := range r.routes {
			b = x.appendTo(b)
		}
	case grantKind:
		b = append(be.AppendUint32(r.routes[0].appendTo(b), r.grant), durationByte(r.validFor), bit(r.healthy))
		b = be.AppendUint16(be.AppendUint16(b, r.timestamp), durationWord(r.queuedFor))
	case outcomeKind:
		b = be.AppendUint32(be.AppendUint32(b, r.routes[0].route), r.grant)
		b = be.AppendUint16(be.AppendUint16(append(b, byte(r.outcome)), durationWord(r.took)), durationWord(r.wait))
	case movedKind:
		b = be.AppendUint16(b, uint16(r.coordinator))
	case helloKind:
		b = append(b, bit(r.answer))
	case pledgeRequestKind, pledgeKind, releaseKind:
		b = be.AppendUint64(be.AppendUint32(b, r.stamp.Incarnation), uint64(r.stamp.At/time.Millisecond))
		if r.kind == pledgeRequestKind {
			b = append(b, bit(r.answer))
		} else if r.kind == pledgeKind {
			b = be.AppendUint32(b, r.units)
		}
	}
	return b
}

func (x estimate) appendTo(b []byte) []byte {
	return binary.BigEndian.AppendUint16(append(binary.BigEndian.AppendUint32(b, x.route), logByte(x.rate), byte(x.state)|bit(x.limitKnown)<<7|bit(x.witnessed)<<6), durationWord(x.inState))
}

func (c *cursor) estimate() estimate {
	x := estimate{route: c.uint32(), rate: fromLog(c.byte())}
	b := c.byte()
	x.limitKnown, x.witnessed, x.state, x.inState = b>>7 == 1, b>>6&1 == 1, state(b&0x3f), c.duration()
	return x
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// cursor reads fields; once one is missing all further are 0.
type cursor struct {
	rest      []byte
	truncated bool
}

func (c *cursor) take(n int) []byte {
	if len(c.rest) < n {
		c.rest, c.truncated = nil, true
		return make([]byte, n)
	}
	b := c.rest[:n]
	c.rest = c.rest[n:]
	return b
}

func (c *cursor) byte() byte                   { return c.take(1)[0] }
func (c *cursor) uint16() uint16               { return binary.BigEndian.Uint16(c.take(2)) }
func (c *cursor) uint32() uint32               { return binary.BigEndian.Uint32(c.take(4)) }
func (c *cursor) shortDuration() time.Duration { return time.Duration(c.byte()) * timeUnit }
func (c *cursor) stamp() time.Duration {
	return time.Duration(min(binary.BigEndian.Uint64(c.take(8)), math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
}
func (c *cursor) duration() time.Duration { return time.Duration(c.uint16()) * timeUnit }

// decode takes a note apart. One that is damaged in any way gives nothing.
func decode(note []byte) ([]record, error) {
	body, err := gossip.Open(note, version)
	if err != nil {
		return nil, err
	}
	var all []record
	for c := (&cursor{rest: body}); len(c.rest) > 0; {
		r := record{kind: kind(c.byte())}
		if r.kind != helloKind {
			r.dest = int(c.uint32())
		}
		switch r.kind {
		case requestKind:
			r.timestamp = c.uint16()
			r.calls, r.value = int(c.byte()), fromLog(c.byte())
			for range c.byte() {
				r.routes = append(r.routes, c.estimate())
			}
		case queuedKind:
			for range c.byte() {
				r.routes = append(r.routes, c.estimate())
			}
		case grantKind:
			r.routes = []estimate{c.estimate()}
			r.grant, r.validFor, r.healthy = c.uint32(), c.shortDuration(), c.byte() == 1
			r.timestamp, r.queuedFor = c.uint16(), c.duration()
		case outcomeKind:
			r.routes = []estimate{{route: c.uint32()}}
			r.grant = c.uint32()
			r.outcome, r.took, r.wait = choice.Outcome(c.byte()), c.duration(), c.duration()
		case movedKind:
			r.coordinator = int(c.uint16())
		case helloKind:
			r.answer = c.byte() == 1
		case pledgeRequestKind, pledgeKind, releaseKind:
			r.stamp = quota.Stamp{Incarnation: c.uint32(), At: c.stamp()}
			if r.kind == pledgeRequestKind {
				r.answer = c.byte() == 1
			} else if r.kind == pledgeKind {
				r.units = c.uint32()
			}
		default:
			return nil, errMalformed
		}
		if c.truncated {
			return nil, errMalformed
		}
		all = append(all, r)
	}
	return all, nil
}
