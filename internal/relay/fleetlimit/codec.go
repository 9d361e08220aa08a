package fleetlimit

import (
	"encoding/binary"
	"math"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/quota"
)

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

func (c *cursor) byte() byte { return c.take(1)[0] }

func (c *cursor) uint16() uint16 { return binary.BigEndian.Uint16(c.take(2)) }

func (c *cursor) uint32() uint32 { return binary.BigEndian.Uint32(c.take(4)) }

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
