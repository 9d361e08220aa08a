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
// Times are in units of 8 ms, rates and values in steps of an eighth of an octave, routes the CRC-32C of their names.
const (
	version = 2
	step    = 8 * time.Millisecond
	octave  = 8.0
)

type kind byte

const (
	askKind     kind = iota + 1 // relay to steward: so many calls could go to a destination
	queuedKind                  // steward to relay: the ask is known, there is no room yet
	grantKind                   // steward to relay: one call may go to a route
	spentKind                   // relay to steward: what became of it
	movedKind                   // steward to relay: another is steward of a destination
	helloKind                   // to a relay that was silent, and its answer
	callKind                    // steward to all: pledge what you have of a destination's limits
	pledgeKind                  // relay to steward: it is pledged, on the call with that stamp
	releaseKind                 // steward to relay: it is let go of, up to that stamp
)

// record is one of a note; which fields count depends on its kind.
type record struct {
	kind    kind
	dest    int
	calls   int
	value   float64
	routes  []rumour // ask, queued; grant and spent have one
	grant   uint32
	life    time.Duration // grant: it lapses after that
	well    bool
	outcome choice.Outcome
	took    time.Duration
	wait    time.Duration
	steward int           // moved
	answer  bool          // hello: none is wanted; call: the receiver's pledge is in force
	stamp   quota.Stamp   // call, pledge, release: of the steward's clock
	units   uint32        // pledge
	mark    uint16        // ask: the relay's clock, in steps; grant: that of the ask which it answers
	kept    time.Duration // grant: how long the steward had that ask
}

// rumour is what a steward holds of a route, as it goes from relay to relay.
type rumour struct {
	route uint32
	rate  float64 // calls a second for the whole fleet; 0 if nothing is known
	found bool    // that is a limit that was met
	state state
	span  time.Duration // it is in that state
	saw   bool          // that is what the relay that tells it saw itself, while it heard nobody
}

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	errNote    = errors.New("grants: the note cannot be read")
)

func routeOf(name string) uint32 { return crc32.Checksum([]byte(name), castagnoli) }

// logByte puts a positive number on a scale of eighths of octaves round 1; 0 stands for 0.
func logByte(x float64) byte {
	if !(x > 0) {
		return 0
	}
	return byte(max(1, min(255, math.Round(octave*math.Log2(x))+128)))
}

func fromLog(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2((float64(b) - 128) / octave)
}

func timeByte(d time.Duration) byte { return byte(max(0, min(255, (d+step-1)/step))) }

func timeWord(d time.Duration) uint16 { return uint16(max(0, min(65535, (d+step-1)/step))) }

// append adds a record to a note.
func (r record) append(b []byte) []byte {
	b = append(b, byte(r.kind))
	be := binary.BigEndian
	if r.kind != helloKind {
		b = be.AppendUint32(b, uint32(r.dest))
	}
	switch r.kind {
	case askKind:
		b = append(be.AppendUint16(b, r.mark), byte(min(r.calls, 255)), logByte(r.value), byte(len(r.routes)))
		for _, x := range r.routes {
			b = x.append(b)
		}
	case queuedKind:
		b = append(b, byte(len(r.routes)))
		for _, x := range r.routes {
			b = x.append(b)
		}
	case grantKind:
		b = append(be.AppendUint32(r.routes[0].append(b), r.grant), timeByte(r.life), bit(r.well))
		b = be.AppendUint16(be.AppendUint16(b, r.mark), timeWord(r.kept))
	case spentKind:
		b = be.AppendUint32(be.AppendUint32(b, r.routes[0].route), r.grant)
		b = be.AppendUint16(be.AppendUint16(append(b, byte(r.outcome)), timeWord(r.took)), timeWord(r.wait))
	case movedKind:
		b = be.AppendUint16(b, uint16(r.steward))
	case helloKind:
		b = append(b, bit(r.answer))
	case callKind, pledgeKind, releaseKind:
		b = be.AppendUint64(be.AppendUint32(b, r.stamp.Life), uint64(r.stamp.At/time.Millisecond))
		if r.kind == callKind {
			b = append(b, bit(r.answer))
		} else if r.kind == pledgeKind {
			b = be.AppendUint32(b, r.units)
		}
	}
	return b
}

func (x rumour) append(b []byte) []byte {
	return binary.BigEndian.AppendUint16(append(binary.BigEndian.AppendUint32(b, x.route), logByte(x.rate), byte(x.state)|bit(x.found)<<7|bit(x.saw)<<6), timeWord(x.span))
}

func (c *cursor) rumour() rumour {
	x := rumour{route: c.long(), rate: fromLog(c.byte())}
	b := c.byte()
	x.found, x.saw, x.state, x.span = b>>7 == 1, b>>6&1 == 1, state(b&0x3f), c.time()
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
	rest  []byte
	short bool
}

func (c *cursor) take(n int) []byte {
	if len(c.rest) < n {
		c.rest, c.short = nil, true
		return make([]byte, n)
	}
	b := c.rest[:n]
	c.rest = c.rest[n:]
	return b
}

func (c *cursor) byte() byte           { return c.take(1)[0] }
func (c *cursor) word() uint16         { return binary.BigEndian.Uint16(c.take(2)) }
func (c *cursor) long() uint32         { return binary.BigEndian.Uint32(c.take(4)) }
func (c *cursor) brief() time.Duration { return time.Duration(c.byte()) * step }
func (c *cursor) stamp() time.Duration {
	return time.Duration(min(binary.BigEndian.Uint64(c.take(8)), math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
}
func (c *cursor) time() time.Duration { return time.Duration(c.word()) * step }

// read takes a note apart. One that is damaged in any way gives nothing.
func read(note []byte) ([]record, error) {
	body, err := gossip.Open(note, version)
	if err != nil {
		return nil, err
	}
	var all []record
	for c := (&cursor{rest: body}); len(c.rest) > 0; {
		r := record{kind: kind(c.byte())}
		if r.kind != helloKind {
			r.dest = int(c.long())
		}
		switch r.kind {
		case askKind:
			r.mark = c.word()
			r.calls, r.value = int(c.byte()), fromLog(c.byte())
			for range c.byte() {
				r.routes = append(r.routes, c.rumour())
			}
		case queuedKind:
			for range c.byte() {
				r.routes = append(r.routes, c.rumour())
			}
		case grantKind:
			r.routes = []rumour{c.rumour()}
			r.grant, r.life, r.well = c.long(), c.brief(), c.byte() == 1
			r.mark, r.kept = c.word(), c.time()
		case spentKind:
			r.routes = []rumour{{route: c.long()}}
			r.grant = c.long()
			r.outcome, r.took, r.wait = choice.Outcome(c.byte()), c.time(), c.time()
		case movedKind:
			r.steward = int(c.word())
		case helloKind:
			r.answer = c.byte() == 1
		case callKind, pledgeKind, releaseKind:
			r.stamp = quota.Stamp{Life: c.long(), At: c.stamp()}
			if r.kind == callKind {
				r.answer = c.byte() == 1
			} else if r.kind == pledgeKind {
				r.units = c.long()
			}
		default:
			return nil, errNote
		}
		if c.short {
			return nil, errNote
		}
		all = append(all, r)
	}
	return all, nil
}
