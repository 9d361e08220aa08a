// Package admission is admission control: the queue of calls that wait for a slot at the hosts of a service, and how long
// one may wait before it is refused. It is pure and not safe for concurrent use.
package admission

import (
	"time"

	"github.com/emirpasic/gods/trees/binaryheap"
)

// oldestInterval is how often the call that has waited longest goes first, whatever its rank: no class starves.
const oldestInterval = 6

// Entry is one that waits.
type Entry struct {
	Class   string    // of request: none is served much less often than all
	Priority   int       // 0 is highest
	ProgramDeadline time.Time // when its program should be over; zero for none
	QueueDeadline  time.Time // it waits no longer
	sequence   uint64
	removed   bool
	Value    any
}

// Queue orders the calls of one service: by rank, then by what the program has left, then as they came. A kind of request
// that is served much less often than all goes first.
type Queue struct {
	byPriority *binaryheap.Heap
	byArrival []*Entry // as they came, with some that have gone
	lastSequence uint64
	admitted uint64
	length   int
	fairness fairness
}

// NewQueue makes an empty queue.
func NewQueue() *Queue {
	return &Queue{fairness: fairness{classes: map[string]*class{}}, byPriority: binaryheap.NewWith(func(a, b any) int { return compareEntries(a.(*Entry), b.(*Entry)) })}
}

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

// Len is how many wait.
func (q *Queue) Len() int { return q.length }

// Push puts a call in.
func (q *Queue) Push(entry *Entry) {
	q.lastSequence++
	entry.sequence, entry.removed = q.lastSequence, false
	q.byPriority.Push(entry)
	q.byArrival = append(q.byArrival, entry)
	q.fairness.added(entry)
	q.length++
}

// Remove takes a call out that waits no longer. It tells whether it was still there.
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

// Next is the call whose turn it is; nil where none waits. It stays in the queue until it is taken.
func (q *Queue) Next(now time.Time) *Entry {
	for {
		entry := q.next()
		if entry == nil || now.Before(entry.QueueDeadline) {
			return entry
		}
		q.Remove(entry)
	}
}

func (q *Queue) next() *Entry {
	q.dropRemoved()
	if q.length == 0 {
		return nil
	}
	if entry := q.fairness.mostStarved(); entry != nil {
		return entry
	}
	if q.admitted%oldestInterval == oldestInterval-1 {
		return q.byArrival[0]
	}
	top, _ := q.byPriority.Peek()
	return top.(*Entry)
}

// Admit takes out the call that Next gave.
func (q *Queue) Admit(entry *Entry) {
	if q.Remove(entry) {
		q.admitted++
		q.fairness.admitted(entry)
	}
}

// CountAdmitted counts a call that got a slot after it had left.
func (q *Queue) CountAdmitted(entry *Entry) { q.fairness.admitted(entry) }

// dropRemoved drops what has gone from the heads of both orders.
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

const (
	rejectionMargin = 12 * time.Millisecond // that a refusal takes to be back
	minQueueTimeout = 5 * time.Millisecond
)

// QueueTimeout is how long a call may wait for a slot before it is offered to a host's own queue or refused: a quarter of
// its objective, and never beyond its deadline.
func QueueTimeout(target, remaining time.Duration) time.Duration {
	timeout := target/4 - rejectionMargin
	return min(max(timeout, minQueueTimeout), remaining)
}

// RetryAfter tells a refused client when to come back: soon, and later the more calls wait for each slot. r in [0, 1)
// spreads those that were refused together.
func RetryAfter(target time.Duration, queued int, capacity float64, jitter float64) time.Duration {
	delay := target / 2
	if capacity > 0 {
		delay += time.Duration(float64(target) / 2 * min(2, float64(queued)/capacity))
	}
	delay = min(max(delay, 50*time.Millisecond), time.Second)
	return time.Duration(float64(delay) * (0.75 + 0.5*jitter))
}
