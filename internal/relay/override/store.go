// Package override holds what operators have said of things that a whole fleet deals with, and spreads it: that an endpoint or
// a partner is drained at every relay, or that a relay is gone for good. Word and release are facts that win over one another
// by rule, whatever way they come and however often, so all relays that some chain of links joins hold the same in the end.
//
// A Book holds the words; a Talk decides which notes go to whom. They decide and do nothing else: no clock, no socket, no
// goroutine. A word that comes is handed to the caller first, who makes it durable and carries it out; only then it counts,
// and only then other relays are told that it is heeded here.
//
// Words are last-writer-wins registers (Shapiro and others 2011) ordered by Lamport clocks (1978), spread by pushing and
// anti-entropy (Demers and others 1987) with digests by bucket. No wall clock orders anything.
package override

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
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

// digestBuckets are the parts of a book that are compared by digests of their own.
const digestBuckets = 16

// Digest stands for all words of a book: two books with the same hold the same words.
type Digest [digestBuckets]uint32

// combined is one figure for all of a digest.
func (d Digest) combined() uint64 {
	h := fnv.New64a()
	for _, x := range d {
		h.Write(protowire.AppendFixed32(nil, x))
	}
	return h.Sum64()
}

// Store holds the words of one relay. It is not safe for concurrent use.
type Store struct {
	overrides map[string]Override
	digest    Digest
}

// NewStore returns an empty one.
func NewStore() *Store { return &Store{overrides: map[string]Override{}} }

// ErrFull is told where a book is full.
var ErrFull = fmt.Errorf("verdict: more than %d words", MaxOverrides)

// ErrUnchanged is told where what is said holds already.
var ErrUnchanged = errors.New("verdict: that holds already")

// Next is the word that says something anew here. It is not in the book before Merge.
func (b *Store) Next(subject string, on bool, origin, by string, atMs int64) (Override, error) {
	was, known := b.overrides[subject]
	if was.Active == on {
		return was, ErrUnchanged
	}
	if !known && len(b.overrides) >= MaxOverrides {
		return Override{}, ErrFull
	}
	w := Override{subject, on, was.Counter + 1, origin, truncate(by), atMs}
	return w, w.Validate()
}

// truncate shortens a name to what fits, at a rune's end.
func truncate(s string) string {
	for len(s) > MaxNameBytes {
		_, size := utf8.DecodeLastRuneInString(s)
		s = s[:len(s)-size]
	}
	return s
}

// Changes tells whether a word would change the book.
func (b *Store) Changes(w Override) bool {
	was, known := b.overrides[w.Subject]
	return w.Validate() == nil && (known && w.Compare(was) > 0 && w.Counter-was.Counter <= maxCounterLeap || !known && len(b.overrides) < MaxOverrides)
}

// Merge takes a word in, and tells whether it changed the book.
func (b *Store) Merge(w Override) bool {
	if !b.Changes(w) {
		return false
	}
	if was, known := b.overrides[w.Subject]; known {
		b.digest[bucketOf(w.Subject)] ^= was.hash()
	}
	b.overrides[w.Subject] = w
	b.digest[bucketOf(w.Subject)] ^= w.hash()
	return true
}

func bucketOf(subject string) int {
	h := fnv.New32a()
	h.Write([]byte(subject))
	return int(h.Sum32() % digestBuckets)
}

// hash stands for a word in a digest.
func (w Override) hash() uint32 {
	h := fnv.New64a()
	h.Write(w.encode(nil))
	s := h.Sum64()
	return uint32(s>>32) ^ uint32(s)
}

// Get tells what was said of a subject last, and whether it holds.
func (b *Store) Get(subject string) (w Override, holds bool) {
	w = b.overrides[subject]
	return w, w.Active
}

// All are the words of the book, by subject.
func (b *Store) All() []Override {
	return slices.SortedFunc(maps.Values(b.overrides), func(a, o Override) int { return cmp.Compare(a.Subject, o.Subject) })
}

// Digest stands for them.
func (b *Store) Digest() Digest { return b.digest }

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
