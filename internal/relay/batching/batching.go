// Package batching decides when work that falls due in heaps has to begin, so that it is done in pieces that hold up
// nothing else and still in time. It does no I/O and reads no clock.
//
// Time is cut into slots, and a piece is what may be done in one. As long as no more than a piece falls due in any
// slot, each thing is done at its own time. Where more does, work begins sooner: k things due until the end of a slot
// are begun k pieces before it. That is the latest start of the rule "earliest deadline first" (Liu and Layland, 1973),
// which meets all deadlines if any order does.
package batching

import "time"

// Schedule counts what falls due by slots. It is not safe for concurrent use.
type Schedule struct {
	slot  time.Duration
	piece int
	ahead int64
	count map[int64]int // by slot; none is 0
	total int
}

// New returns an empty schedule with slots of a length, pieces of so many things, and a look ahead over so many slots.
// More than half as many pieces due at one instant may be begun too late for all of them. All must be above 0.
func New(slot time.Duration, piece, ahead int) *Schedule {
	return &Schedule{slot: max(slot, 1), piece: max(piece, 1), ahead: int64(max(ahead, 1)), count: map[int64]int{}}
}

// Piece is how many things may be done in a slot.
func (s *Schedule) Piece() int { return s.piece }

// Slot is the length of one.
func (s *Schedule) Slot() time.Duration { return s.slot }

// Len is how many things there are.
func (s *Schedule) Len() int { return s.total }

// Add counts one thing that is due at a time.
func (s *Schedule) Add(at time.Duration) {
	s.count[int64(at/s.slot)]++
	s.total++
}

// Remove takes one thing out that was added with this time.
func (s *Schedule) Remove(at time.Duration) {
	i := int64(at / s.slot)
	if s.total--; s.count[i] == 1 {
		delete(s.count, i)
		return
	}
	s.count[i]--
}

// Look tells how many of the things that are due first have to be done in the present slot, at most a piece, so that
// the rest can be done a piece in each later slot, and when that has to be asked again if nothing is added before.
// What is due in the present slot or before is the caller's to do when its time comes, and counts as done in it. The
// cost grows with the slots ahead, not with what is due.
func (s *Schedule) Look(now time.Duration) (must int, again time.Duration) {
	first := int64(now / s.slot)
	last := first + s.ahead
	if s.total <= s.piece { // one piece, whatever it is due with
		return 0, time.Duration(first+s.ahead/2+1) * s.slot
	}
	due, seen, start := 0, 0, first+s.ahead/2+1 // what is beyond last by now is in sight in time then
	for i := first; i <= last && seen < s.total; i++ {
		n := s.count[i]
		if n == 0 {
			continue
		}
		due, seen = due+n, seen+n
		if i > first {
			must = max(must, due-int(i-first)*s.piece)
		}
		if due > s.piece { // it fills slots before this one: the first of them
			start = min(start, i-int64((due-1)/s.piece))
		}
	}
	return min(must, s.piece), time.Duration(max(start, first+1)) * s.slot
}
