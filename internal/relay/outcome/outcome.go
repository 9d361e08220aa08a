// Package outcome remembers how messages ended, bounded by number and age. It does no I/O and is told the time.
package outcome

import (
	"sort"
	"time"

	"larchrouter/internal/relay/journal"
)

// Store holds ended messages in the order in which they ended. It is not safe for concurrent use.
type Store struct {
	keep int
	age  time.Duration
	byID map[string]*journal.Entry
	list []item // oldest first, from first on
	next uint64 // number of the next
}

type item struct {
	number uint64
	*journal.Entry
}

// New returns a store of so many ends at most, none older than age. With keep 0 it holds none.
func New(keep int, age time.Duration) *Store {
	return &Store{keep: keep, age: age, byID: map[string]*journal.Entry{}, next: 1}
}

// Add takes in a message that has ended; its EndAt counts. It returns the ids that are held no longer,
// perhaps its own. An id that is held already is not taken in again.
func (s *Store) Add(e *journal.Entry, now time.Time) (gone []string) {
	if s.byID[e.ID] != nil {
		return nil
	}
	s.byID[e.ID] = e
	s.list = append(s.list, item{s.next, e})
	s.next++
	return s.Expire(now)
}

// Expire drops what is too old or too many, and returns its ids.
func (s *Store) Expire(now time.Time) (gone []string) {
	oldest := now.Add(-s.age).UnixMilli()
	n := 0
	for n < len(s.list) && (len(s.list)-n > s.keep || s.list[n].EndAt < oldest) {
		gone = append(gone, s.list[n].ID)
		delete(s.byID, s.list[n].ID)
		s.list[n].Entry = nil // the array below the slice holds on to it
		n++
	}
	s.list = s.list[n:]
	return gone
}

// Get returns the end of a message, nil if it is not held.
func (s *Store) Get(id string) *journal.Entry { return s.byID[id] }

// Len is how many are held.
func (s *Store) Len() int { return len(s.list) }

// Scan hands out ends, newest first, from the one with the given number on (0 for the newest), until f
// says no more or so many were looked at. It returns the number to go on from, 0 when there are no more.
func (s *Store) Scan(from uint64, most int, f func(*journal.Entry) bool) uint64 {
	i := len(s.list)
	if from > 0 {
		i = sort.Search(len(s.list), func(i int) bool { return s.list[i].number > from })
	}
	for ; i > 0 && most > 0; most-- {
		i--
		if !f(s.list[i].Entry) {
			break
		}
	}
	if i == 0 {
		return 0
	}
	return s.list[i-1].number
}
