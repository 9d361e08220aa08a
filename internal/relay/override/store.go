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
	MostSubject = 80   // bytes
	MostBy      = 40   // bytes of who said it; more is cut off
	MostWords   = 1000 // of one fleet, those that were taken back among them
	mostCount   = 1 << 48
	mostLeap    = 1 << 20 // by which a word's count may exceed the one that is known: operators do not say so much
)

// Word is what an operator said of a subject.
type Word struct {
	Subject string
	On      bool   // it holds; false: it was taken back
	Count   uint64 // one more than that of the word before, as its origin knew it
	Origin  string // the relay at which it was said
	By      string // who said it, for people
	AtMs    int64  // when, by its origin's wall clock, for people alone
}

// Compare orders words on one subject: the later one wins, by count. Two that were said without knowing of each other have
// the same count; then the one that holds wins over the one that takes back, since to send nothing is the safer mistake.
// What is left is told apart so that all relays choose the same.
func (w Word) Compare(o Word) int {
	on := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(w.Count, o.Count), cmp.Compare(on(w.On), on(o.On)), cmp.Compare(w.Origin, o.Origin),
		cmp.Compare(w.AtMs, o.AtMs), cmp.Compare(w.By, o.By))
}

// Check tells what is wrong with a word; nil if nothing is.
func (w Word) Check() error {
	switch {
	case w.Subject == "" || len(w.Subject) > MostSubject:
		return fmt.Errorf("verdict: a subject of %d bytes, must have from 1 to %d", len(w.Subject), MostSubject)
	case w.Origin == "" || len(w.Origin) > MostBy || len(w.By) > MostBy:
		return fmt.Errorf("verdict: an origin of %d and a speaker of %d bytes, %d at most", len(w.Origin), len(w.By), MostBy)
	case w.Count == 0 || w.Count > mostCount:
		return fmt.Errorf("verdict: count %d", w.Count)
	}
	return nil
}

// buckets are the parts of a book that are compared by digests of their own.
const buckets = 16

// Digest stands for all words of a book: two books with the same hold the same words.
type Digest [buckets]uint32

// whole is one figure for all of a digest.
func (d Digest) whole() uint64 {
	h := fnv.New64a()
	for _, x := range d {
		h.Write(protowire.AppendFixed32(nil, x))
	}
	return h.Sum64()
}

// Book holds the words of one relay. It is not safe for concurrent use.
type Book struct {
	words  map[string]Word
	digest Digest
}

// NewBook returns an empty one.
func NewBook() *Book { return &Book{words: map[string]Word{}} }

// ErrMany is told where a book is full.
var ErrMany = fmt.Errorf("verdict: more than %d words", MostWords)

// ErrSame is told where what is said holds already.
var ErrSame = errors.New("verdict: that holds already")

// Next is the word that says something anew here. It is not in the book before Merge.
func (b *Book) Next(subject string, on bool, origin, by string, atMs int64) (Word, error) {
	was, known := b.words[subject]
	if was.On == on {
		return was, ErrSame
	}
	if !known && len(b.words) >= MostWords {
		return Word{}, ErrMany
	}
	w := Word{subject, on, was.Count + 1, origin, cut(by), atMs}
	return w, w.Check()
}

// cut shortens a name to what fits, at a rune's end.
func cut(s string) string {
	for len(s) > MostBy {
		_, size := utf8.DecodeLastRuneInString(s)
		s = s[:len(s)-size]
	}
	return s
}

// News tells whether a word would change the book.
func (b *Book) News(w Word) bool {
	was, known := b.words[w.Subject]
	return w.Check() == nil && (known && w.Compare(was) > 0 && w.Count-was.Count <= mostLeap || !known && len(b.words) < MostWords)
}

// Merge takes a word in, and tells whether it changed the book.
func (b *Book) Merge(w Word) bool {
	if !b.News(w) {
		return false
	}
	if was, known := b.words[w.Subject]; known {
		b.digest[bucketOf(w.Subject)] ^= was.sum()
	}
	b.words[w.Subject] = w
	b.digest[bucketOf(w.Subject)] ^= w.sum()
	return true
}

func bucketOf(subject string) int {
	h := fnv.New32a()
	h.Write([]byte(subject))
	return int(h.Sum32() % buckets)
}

// sum stands for a word in a digest.
func (w Word) sum() uint32 {
	h := fnv.New64a()
	h.Write(w.encode(nil))
	s := h.Sum64()
	return uint32(s>>32) ^ uint32(s)
}

// Holds tells what was said of a subject last, and whether it holds.
func (b *Book) Holds(subject string) (w Word, holds bool) {
	w = b.words[subject]
	return w, w.On
}

// All are the words of the book, by subject.
func (b *Book) All() []Word {
	return slices.SortedFunc(maps.Values(b.words), func(a, o Word) int { return cmp.Compare(a.Subject, o.Subject) })
}

// Digest stands for them.
func (b *Book) Digest() Digest { return b.digest }

// The numbers of a word's fields. A number is never used anew.
const (
	wordSubject protowire.Number = iota + 1
	wordOn
	wordCount
	wordOrigin
	wordBy
	wordAt
)

func (w Word) encode(b []byte) []byte {
	b = protowire.AppendString(protowire.AppendTag(b, wordSubject, protowire.BytesType), w.Subject)
	b = protowire.AppendVarint(protowire.AppendTag(b, wordOn, protowire.VarintType), protowire.EncodeBool(w.On))
	b = protowire.AppendVarint(protowire.AppendTag(b, wordCount, protowire.VarintType), w.Count)
	b = protowire.AppendString(protowire.AppendTag(b, wordOrigin, protowire.BytesType), w.Origin)
	b = protowire.AppendString(protowire.AppendTag(b, wordBy, protowire.BytesType), w.By)
	return protowire.AppendVarint(protowire.AppendTag(b, wordAt, protowire.VarintType), protowire.EncodeZigZag(w.AtMs))
}

var errNote = errors.New("verdict: the note cannot be read")

// decodeWord reads a word. Fields that are not known are passed over.
func decodeWord(data []byte) (w Word, err error) {
	err = fields(data, func(n protowire.Number, f protofields.Field) error {
		switch n {
		case wordSubject:
			w.Subject = string(f.Bytes)
		case wordOn:
			w.On = protowire.DecodeBool(f.Number)
		case wordCount:
			w.Count = f.Number
		case wordOrigin:
			w.Origin = string(f.Bytes)
		case wordBy:
			w.By = string(f.Bytes)
		case wordAt:
			w.AtMs = f.Signed()
		}
		return nil
	})
	if err == nil {
		err = w.Check()
	}
	return w, err
}

// fields hands out the fields of a message, which are varints, fixed64 and bytes.
func fields(data []byte, take func(n protowire.Number, f protofields.Field) error) error {
	return protofields.Each(data, func(n protowire.Number, f protofields.Field) error {
		switch f.Type {
		case protowire.VarintType, protowire.Fixed64Type, protowire.BytesType:
			return take(n, f)
		}
		return errNote
	})
}
