// Package outcome keeps the outcomes of messages that have ended, bounded by number and age. It does no I/O and reads no
// clock: the caller passes the present time, and makes durable what it adds.
package outcome

import (
	"sort"
	"time"

	"larchrouter/internal/relay/journal"
)

// Store keeps ended messages in the order in which they ended. It is not safe for concurrent use.
type Store struct {
	maxEntries int
	maxAge     time.Duration
	byID       map[string]*journal.Entry
	entries    []storedEntry // oldest first
	nextNumber uint64        // of the next entry that is added
}

// storedEntry is an entry with its number. Numbers rise by one with each entry, so that a scan can be continued.
type storedEntry struct {
	number uint64
	*journal.Entry
}

// New returns an empty store of at most maxEntries outcomes, none older than maxAge. With maxEntries 0 it keeps none.
func New(maxEntries int, maxAge time.Duration) *Store {
	return &Store{maxEntries: maxEntries, maxAge: maxAge, byID: map[string]*journal.Entry{}, nextNumber: 1}
}

// Add adds a message that has ended; its age counts from EndAt. It returns the ids that are dropped for it, possibly
// its own. An id that is in the store already is not added again.
func (s *Store) Add(e *journal.Entry, now time.Time) (dropped []string) {
	if s.byID[e.ID] != nil {
		return nil
	}
	s.byID[e.ID] = e
	s.entries = append(s.entries, storedEntry{s.nextNumber, e})
	s.nextNumber++
	return s.Expire(now)
}

// Expire drops the entries that are too old or exceed the number, and returns their ids.
func (s *Store) Expire(now time.Time) (dropped []string) {
	oldest := now.Add(-s.maxAge).UnixMilli()
	n := 0
	for n < len(s.entries) && (len(s.entries)-n > s.maxEntries || s.entries[n].EndAt < oldest) {
		dropped = append(dropped, s.entries[n].ID)
		delete(s.byID, s.entries[n].ID)
		s.entries[n].Entry = nil // the array below the slice keeps a reference otherwise
		n++
	}
	s.entries = s.entries[n:]
	return dropped
}

// Get returns the outcome of a message, nil if it is not in the store.
func (s *Store) Get(id string) *journal.Entry { return s.byID[id] }

// Len returns the number of entries.
func (s *Store) Len() int { return len(s.entries) }

// Scan calls f with entries, newest first, beginning with the one of number from (0 for the newest), until f returns false
// or limit entries were passed. It returns the number at which to continue, 0 if there are no more.
func (s *Store) Scan(from uint64, limit int, f func(*journal.Entry) bool) uint64 {
	i := len(s.entries)
	if from > 0 {
		i = sort.Search(len(s.entries), func(i int) bool { return s.entries[i].number > from })
	}
	for ; i > 0 && limit > 0; limit-- {
		i--
		if !f(s.entries[i].Entry) {
			break
		}
	}
	if i == 0 {
		return 0
	}
	return s.entries[i-1].number
}
