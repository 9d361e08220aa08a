package override

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"

	"larchrouter/internal/relay/protofields"
)

// Bounds of an override: at least three fit into a message.
const (
	MaxSubjectBytes = 80
	MaxNameBytes    = 40   // of an author or origin; longer authors are truncated
	MaxOverrides    = 1000 // of one fleet, revoked ones included
	maxCounter      = 1 << 48
	// maxCounterLeap is by how much a counter may exceed the known one: operators do not set so many.
	maxCounterLeap = 1 << 20
)

// Override is what an operator set for a subject: a register that the last writer wins.
type Override struct {
	Subject string // for example endpoint:NAME
	Active  bool   // false if it was revoked
	Counter uint64 // Lamport clock: one more than that of the override that its origin knew
	Origin  string // name of the relay at which it was set
	Author  string // who set it, for people
	AtMs    int64  // by its origin's wall clock, for people only
}

// Compare orders overrides of one subject: the later one wins, by counter. Two that were set without knowledge
// of each other have the same counter; then the active one wins over the revocation, since to send nothing is
// the safer mistake. The remaining fields break ties, so that all relays choose the same.
func (o Override) Compare(other Override) int {
	number := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(o.Counter, other.Counter), cmp.Compare(number(o.Active), number(other.Active)),
		cmp.Compare(o.Origin, other.Origin), cmp.Compare(o.AtMs, other.AtMs), cmp.Compare(o.Author, other.Author))
}

// Validate returns an error if a field is outside its bounds.
func (o Override) Validate() error {
	switch {
	case o.Subject == "" || len(o.Subject) > MaxSubjectBytes:
		return fmt.Errorf("verdict: a subject of %d bytes, must have from 1 to %d", len(o.Subject), MaxSubjectBytes)
	case o.Origin == "" || len(o.Origin) > MaxNameBytes || len(o.Author) > MaxNameBytes:
		return fmt.Errorf("verdict: an origin of %d and a speaker of %d bytes, %d at most", len(o.Origin), len(o.Author), MaxNameBytes)
	case o.Counter == 0 || o.Counter > maxCounter:
		return fmt.Errorf("verdict: count %d", o.Counter)
	}
	return nil
}

// truncate shortens a name to MaxNameBytes, at the end of a rune.
func truncate(s string) string {
	for len(s) > MaxNameBytes {
		_, size := utf8.DecodeLastRuneInString(s)
		s = s[:len(s)-size]
	}
	return s
}

// hash returns the contribution of an override to a digest.
func (o Override) hash() uint32 {
	h := fnv.New64a()
	h.Write(o.encode(nil))
	s := h.Sum64()
	return uint32(s>>32) ^ uint32(s)
}

// Field numbers of an override. A number is never reused.
const (
	overrideSubject protowire.Number = iota + 1
	overrideActive
	overrideCounter
	overrideOrigin
	overrideAuthor
	overrideAt
)

// encode appends the encoded override.
func (o Override) encode(b []byte) []byte {
	b = protowire.AppendString(protowire.AppendTag(b, overrideSubject, protowire.BytesType), o.Subject)
	b = protowire.AppendVarint(protowire.AppendTag(b, overrideActive, protowire.VarintType), protowire.EncodeBool(o.Active))
	b = protowire.AppendVarint(protowire.AppendTag(b, overrideCounter, protowire.VarintType), o.Counter)
	b = protowire.AppendString(protowire.AppendTag(b, overrideOrigin, protowire.BytesType), o.Origin)
	b = protowire.AppendString(protowire.AppendTag(b, overrideAuthor, protowire.BytesType), o.Author)
	return protowire.AppendVarint(protowire.AppendTag(b, overrideAt, protowire.VarintType), protowire.EncodeZigZag(o.AtMs))
}

// errMalformed is returned for a message that cannot be decoded.
var errMalformed = errors.New("override: message cannot be decoded")

// decodeOverride decodes and validates an override. Unknown fields are ignored.
func decodeOverride(data []byte) (o Override, err error) {
	err = eachField(data, func(n protowire.Number, f protofields.Field) error {
		switch n {
		case overrideSubject:
			o.Subject = string(f.Bytes)
		case overrideActive:
			o.Active = protowire.DecodeBool(f.Number)
		case overrideCounter:
			o.Counter = f.Number
		case overrideOrigin:
			o.Origin = string(f.Bytes)
		case overrideAuthor:
			o.Author = string(f.Bytes)
		case overrideAt:
			o.AtMs = f.Signed()
		}
		return nil
	})
	if err == nil {
		err = o.Validate()
	}
	return o, err
}

// eachField calls f with each field of a protobuf message. Fields are varints, fixed64 and bytes; others are an
// error.
func eachField(data []byte, f func(n protowire.Number, field protofields.Field) error) error {
	return protofields.Each(data, func(n protowire.Number, field protofields.Field) error {
		switch field.Type {
		case protowire.VarintType, protowire.Fixed64Type, protowire.BytesType:
			return f(n, field)
		}
		return errMalformed
	})
}
