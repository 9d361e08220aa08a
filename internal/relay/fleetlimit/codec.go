package fleetlimit

import (
	"encoding/binary"
	"math"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/quota"
)

// logByte encodes a positive number on a logarithmic scale of stepsPerOctave around 1; 0 stands for 0.
func logByte(x float64) byte {
	if !(x > 0) {
		return 0
	}
	return byte(max(1, min(255, math.Round(stepsPerOctave*math.Log2(x))+128)))
}

// fromLog decodes a number of logByte.
func fromLog(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2((float64(b) - 128) / stepsPerOctave)
}

// durationByte encodes a duration in units of timeUnit, rounded up and capped.
func durationByte(d time.Duration) byte { return byte(max(0, min(255, (d+timeUnit-1)/timeUnit))) }

// durationWord is durationByte with 16 bits.
func durationWord(d time.Duration) uint16 { return uint16(max(0, min(65535, (d+timeUnit-1)/timeUnit))) }

// appendTo appends the encoded record to a message.
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

// appendTo appends the encoded estimate to a message.
func (x estimate) appendTo(b []byte) []byte {
	flags := byte(x.state) | bit(x.limitKnown)<<7 | bit(x.witnessed)<<6
	b = append(binary.BigEndian.AppendUint32(b, x.route), logByte(x.rate), flags)
	return binary.BigEndian.AppendUint16(b, durationWord(x.inState))
}

// estimate decodes an estimate.
func (c *cursor) estimate() estimate {
	x := estimate{route: c.uint32(), rate: fromLog(c.byte())}
	flags := c.byte()
	x.limitKnown, x.witnessed, x.state, x.inState = flags>>7 == 1, flags>>6&1 == 1, state(flags&0x3f), c.duration()
	return x
}

// bit encodes a boolean.
func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// cursor reads fields. Once one is missing all further ones are 0.
type cursor struct {
	rest      []byte
	truncated bool // a field was missing
}

// take returns the next n bytes; zeros if fewer are left.
func (c *cursor) take(n int) []byte {
	if len(c.rest) < n {
		c.rest, c.truncated = nil, true
		return make([]byte, n)
	}
	b := c.rest[:n]
	c.rest = c.rest[n:]
	return b
}

// byte, uint16 and uint32 decode big-endian numbers.
func (c *cursor) byte() byte { return c.take(1)[0] }

func (c *cursor) uint16() uint16 { return binary.BigEndian.Uint16(c.take(2)) }

func (c *cursor) uint32() uint32 { return binary.BigEndian.Uint32(c.take(4)) }

// shortDuration decodes a durationByte.
func (c *cursor) shortDuration() time.Duration { return time.Duration(c.byte()) * timeUnit }

// stamp decodes a time in milliseconds, capped at what a time.Duration holds.
func (c *cursor) stamp() time.Duration {
	return time.Duration(min(binary.BigEndian.Uint64(c.take(8)), math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
}

// duration decodes a durationWord.
func (c *cursor) duration() time.Duration { return time.Duration(c.uint16()) * timeUnit }

// decode returns the records of a message, or an error if it is damaged in any way.
func decode(message []byte) ([]record, error) {
	body, err := gossip.Open(message, version)
	if err != nil {
		return nil, err
	}
	var records []record
	for c := (&cursor{rest: body}); len(c.rest) > 0; {
		r, known := c.record()
		if !known || c.truncated {
			return nil, errMalformed
		}
		records = append(records, r)
	}
	return records, nil
}

// record decodes a record, and reports whether its kind is known.
func (c *cursor) record() (r record, known bool) {
	r = record{kind: kind(c.byte())}
	if r.kind != helloKind {
		r.dest = int(c.uint32())
	}
	switch r.kind {
	case requestKind:
		r.timestamp = c.uint16()
		r.calls, r.value = int(c.byte()), fromLog(c.byte())
		r.routes = c.estimates()
	case queuedKind:
		r.routes = c.estimates()
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
		return r, false
	}
	return r, true
}

// estimates decodes a number of estimates and the estimates.
func (c *cursor) estimates() (all []estimate) {
	for range c.byte() {
		all = append(all, c.estimate())
	}
	return all
}
