// Package admission is admission control for the calls to a service: the queue of calls that wait for a slot at one of its
// hosts, the time for which a call may wait, and the Retry-After of a call that is rejected (load shedding).
//
// The package is pure: it reads no clock and starts no goroutine. Nothing in it is safe for concurrent use; the caller
// serializes all calls to a Queue.
package admission

import (
	"time"

	"github.com/emirpasic/gods/trees/binaryheap"
)

// Entry is a call in a Queue.
type Entry struct {
	// Class names the class of requests for fairness between classes (see fairness). The proxy uses the route, with
	// calls of programs as a class of their own.
	Class string
	// Priority of the call; 0 is the highest.
	Priority int
	// ProgramDeadline is when the agent program of the call should be over. Within a priority, the earliest deadline is
	// first; entries without one (the zero time) are last.
	ProgramDeadline time.Time
	// QueueDeadline is when the call stops waiting. Next drops the entry from then on.
	QueueDeadline time.Time
	// Value is the caller's; the queue does not read it.
	Value any

	sequence uint64 // number of the entry's Push, from 1
	removed  bool   // no longer in the queue, though byPriority, byArrival or a class may still have it
}

// Queue orders the calls of one service: by priority, then by program deadline, then by arrival. Two rules go before that
// order: an entry of a class that is admitted much less often than all is first, and each Params.OldestInterval-th admission is
// that of the oldest entry.
type Queue struct {
	params       *Params
	byPriority   *binaryheap.Heap // of *Entry; may have removed entries
	byArrival    []*Entry         // oldest first; may have removed entries
	lastSequence uint64           // of the last Push
	admitted     uint64           // entries that Admit took out
	length       int              // entries that are not removed
	fairness     fairness
}

// NewQueue returns an empty queue. The parameters must pass Params.Check.
func NewQueue(params *Params) *Queue {
	return &Queue{
		params:     params,
		byPriority: binaryheap.NewWith(func(a, b any) int { return compareEntries(a.(*Entry), b.(*Entry)) }),
		fairness:   fairness{minShare: params.MinClassShare, classes: map[string]*class{}},
	}
}

// compareEntries orders by priority, program deadline and arrival.
func compareEntries(a, b *Entry) int {
	switch {
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.ProgramDeadline.IsZero() != b.ProgramDeadline.IsZero():
		if a.ProgramDeadline.IsZero() {
			return 1
		}
		return -1
	case !a.ProgramDeadline.Equal(b.ProgramDeadline):
		return a.ProgramDeadline.Compare(b.ProgramDeadline)
	case a.sequence < b.sequence:
		return -1
	case a.sequence > b.sequence:
		return 1
	}
	return 0
}

// Len returns the number of entries.
func (q *Queue) Len() int { return q.length }

// Push adds an entry.
func (q *Queue) Push(entry *Entry) {
	q.lastSequence++
	entry.sequence, entry.removed = q.lastSequence, false
	q.byPriority.Push(entry)
	q.byArrival = append(q.byArrival, entry)
	q.fairness.added(entry)
	q.length++
}

// Remove takes out an entry whose call no longer waits. It reports whether the entry was still in the queue.
func (q *Queue) Remove(entry *Entry) bool {
	if entry.removed {
		return false
	}
	entry.removed = true
	q.fairness.removed(entry)
	q.length--
	q.dropRemoved()
	return true
}

// Next returns the entry to be admitted next, or nil if there is none. The entry stays in the queue until Admit; entries
// ahead of it whose QueueDeadline has passed are removed.
func (q *Queue) Next(now time.Time) *Entry {
	for {
		entry := q.next()
		if entry == nil || now.Before(entry.QueueDeadline) {
			return entry
		}
		q.Remove(entry)
	}
}

// next returns the entry to be admitted next without regard to its QueueDeadline.
func (q *Queue) next() *Entry {
	q.dropRemoved()
	if q.length == 0 {
		return nil
	}
	if entry := q.fairness.mostStarved(); entry != nil {
		return entry
	}
	if interval := q.params.OldestInterval; interval > 0 && q.admitted%interval == interval-1 {
		return q.byArrival[0]
	}
	top, _ := q.byPriority.Peek()
	return top.(*Entry)
}

// Admit takes out the entry that Next returned and counts it as admitted.
func (q *Queue) Admit(entry *Entry) {
	if q.Remove(entry) {
		q.admitted++
		q.fairness.admitted(entry)
	}
}

// CountAdmitted counts an entry whose call got a slot after its removal.
func (q *Queue) CountAdmitted(entry *Entry) { q.fairness.admitted(entry) }

// dropRemoved drops removed entries from the head of either order.
func (q *Queue) dropRemoved() {
	q.byArrival = dropRemovedHead(q.byArrival)
	for {
		top, ok := q.byPriority.Peek()
		if !ok || !top.(*Entry).removed {
			return
		}
		q.byPriority.Pop()
	}
}
