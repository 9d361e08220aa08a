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

// digestBuckets is the number of parts of a store that have digests of their own.
const digestBuckets = 16

// Digest identifies the overrides of a store, by bucket: stores with equal digests hold the same overrides.
type Digest [digestBuckets]uint32

// combined returns one number for the digest.
func (d Digest) combined() uint64 {
	h := fnv.New64a()
	for _, bucket := range d {
		h.Write(protowire.AppendFixed32(nil, bucket))
	}
	return h.Sum64()
}

// Store holds the overrides of one relay. It is not safe for concurrent use.
type Store struct {
	overrides map[string]Override // by subject
	digest    Digest
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{overrides: map[string]Override{}} }

// ErrFull is returned if a store is full.
var ErrFull = fmt.Errorf("verdict: more than %d words", MaxOverrides)

// ErrUnchanged is returned if a subject is in the wanted state already.
var ErrUnchanged = errors.New("verdict: that holds already")

// Next returns the override that sets a subject to a state. It is not in the store before Merge.
func (s *Store) Next(subject string, active bool, origin, author string, atMs int64) (Override, error) {
	previous, known := s.overrides[subject]
	if previous.Active == active {
		return previous, ErrUnchanged
	}
	if !known && len(s.overrides) >= MaxOverrides {
		return Override{}, ErrFull
	}
	o := Override{subject, active, previous.Counter + 1, origin, truncate(author), atMs}
	return o, o.Validate()
}

// Changes reports whether an override would change the store.
func (s *Store) Changes(o Override) bool {
	previous, known := s.overrides[o.Subject]
	switch {
	case o.Validate() != nil:
		return false
	case !known:
		return len(s.overrides) < MaxOverrides
	}
	return o.Compare(previous) > 0 && o.Counter-previous.Counter <= maxCounterLeap
}

// Merge adds an override, and reports whether it changed the store. It is commutative, associative and idempotent.
func (s *Store) Merge(o Override) bool {
	if !s.Changes(o) {
		return false
	}
	if previous, known := s.overrides[o.Subject]; known {
		s.digest[bucketOf(o.Subject)] ^= previous.hash()
	}
	s.overrides[o.Subject] = o
	s.digest[bucketOf(o.Subject)] ^= o.hash()
	return true
}

// bucketOf returns the bucket of a subject.
func bucketOf(subject string) int {
	h := fnv.New32a()
	h.Write([]byte(subject))
	return int(h.Sum32() % digestBuckets)
}

// Get returns the last override of a subject, and whether it is active.
func (s *Store) Get(subject string) (o Override, active bool) {
	o = s.overrides[subject]
	return o, o.Active
}

// All returns the overrides, by subject.
func (s *Store) All() []Override {
	return slices.SortedFunc(maps.Values(s.overrides), func(a, b Override) int { return cmp.Compare(a.Subject, b.Subject) })
}

// Digest returns the digest of the store.
func (s *Store) Digest() Digest { return s.digest }
