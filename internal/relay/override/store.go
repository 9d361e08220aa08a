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

	"google.golang.org/protobuf/encoding/protowire"
)

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
