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

// The bounds of a word: three at least fit into a note.
const (
	MaxSubjectBytes = 80   // bytes
	MaxNameBytes    = 40   // bytes of who said it; more is cut off
	MaxOverrides    = 1000 // of one fleet, those that were taken back among them
	maxCounter      = 1 << 48
	maxCounterLeap  = 1 << 20 // by which a word's count may exceed the one that is known: operators do not say so much
)

// Override is what an operator said of a subject.
type Override struct {
	Subject string
	Active  bool   // it holds; false: it was taken back
	Counter uint64 // one more than that of the word before, as its origin knew it
	Origin  string // the relay at which it was said
	Author  string // who said it, for people
	AtMs    int64  // when, by its origin's wall clock, for people alone
}

// Compare orders words on one subject: the later one wins, by count. Two that were said without knowing of each other have
// the same count; then the one that holds wins over the one that takes back, since to send nothing is the safer mistake.
// What is left is told apart so that all relays choose the same.
func (w Override) Compare(o Override) int {
	on := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(w.Counter, o.Counter), cmp.Compare(on(w.Active), on(o.Active)), cmp.Compare(w.Origin, o.Origin),
		cmp.Compare(w.AtMs, o.AtMs), cmp.Compare(w.Author, o.Author))
}

// Validate tells what is wrong with a word; nil if nothing is.
func (w Override) Validate() error {
	switch {
	case w.Subject == "" || len(w.Subject) > MaxSubjectBytes:
		return fmt.Errorf("verdict: a subject of %d bytes, must have from 1 to %d", len(w.Subject), MaxSubjectBytes)
	case w.Origin == "" || len(w.Origin) > MaxNameBytes || len(w.Author) > MaxNameBytes:
		return fmt.Errorf("verdict: an origin of %d and a speaker of %d bytes, %d at most", len(w.Origin), len(w.Author), MaxNameBytes)
	case w.Counter == 0 || w.Counter > maxCounter:
		return fmt.Errorf("verdict: count %d", w.Counter)
	}
	return nil
}

// truncate shortens a name to what fits, at a rune's end.
func truncate(s string) string {
	for len(s) > MaxNameBytes {
		_, size := utf8.DecodeLastRuneInString(s)
		s = s[:len(s)-size]
	}
	return s
}

// hash stands for a word in a digest.
func (w Override) hash() uint32 {
	h := fnv.New64a()
	h.Write(w.encode(nil))
	s := h.Sum64()
	return uint32(s>>32) ^ uint32(s)
}

// The numbers of a word's fields. A number is never used anew.
const (
	overrideSubject protowire.Number = iota + 1
	overrideActive
	overrideCounter
	overrideOrigin
	overrideAuthor
	overrideAt
)

func (w Override) encode(b []byte) []byte {
	b = protowire.AppendString(protowire.AppendTag(b, overrideSubject, protowire.BytesType), w.Subject)
	b = protowire.AppendVarint(protowire.AppendTag(b, overrideActive, protowire.VarintType), protowire.EncodeBool(w.Active))
	b = protowire.AppendVarint(protowire.AppendTag(b, overrideCounter, protowire.VarintType), w.Counter)
	b = protowire.AppendString(protowire.AppendTag(b, overrideOrigin, protowire.BytesType), w.Origin)
	b = protowire.AppendString(protowire.AppendTag(b, overrideAuthor, protowire.BytesType), w.Author)
	return protowire.AppendVarint(protowire.AppendTag(b, overrideAt, protowire.VarintType), protowire.EncodeZigZag(w.AtMs))
}

var errMalformed = errors.New("verdict: the note cannot be read")

// decodeOverride reads a word. Fields that are not known are passed over.
func decodeOverride(data []byte) (w Override, err error) {
	err = eachField(data, func(n protowire.Number, f protofields.Field) error {
		switch n {
		case overrideSubject:
			w.Subject = string(f.Bytes)
		case overrideActive:
			w.Active = protowire.DecodeBool(f.Number)
		case overrideCounter:
			w.Counter = f.Number
		case overrideOrigin:
			w.Origin = string(f.Bytes)
		case overrideAuthor:
			w.Author = string(f.Bytes)
		case overrideAt:
			w.AtMs = f.Signed()
		}
		return nil
	})
	if err == nil {
		err = w.Validate()
	}
	return w, err
}

// eachField hands out the eachField of a message, which are varints, fixed64 and bytes.
func eachField(data []byte, take func(n protowire.Number, f protofields.Field) error) error {
	return protofields.Each(data, func(n protowire.Number, f protofields.Field) error {
		switch f.Type {
		case protowire.VarintType, protowire.Fixed64Type, protowire.BytesType:
			return take(n, f)
		}
		return errMalformed
	})
}
