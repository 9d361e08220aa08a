// Package batching decides when work that falls due in bursts has to begin, so that it is done in batches that delay
// nothing else for long, and still in time. It does no I/O and reads no clock.
//
// Time is divided into slots, and a batch is what may be done in one slot. As long as no more than a batch falls due in any
// slot, each item is done at its own time. Where more does, work begins earlier: k batches of items due until the end of a
// slot are begun k slots before it. That is the latest start of earliest deadline first (Liu and Layland, 1973), which meets
// all deadlines if any order does.
package batching

import "time"

// Schedule counts due items by slots. It is not safe for concurrent use.
type Schedule struct {
	slotLength  time.Duration
	batchSize   int
	lookAhead   int64         // slots
	countBySlot map[int64]int // by number of the slot since time 0; empty slots have no entry
	total       int
}

// New returns an empty schedule with slots of a length, batches of that many items, and a look-ahead of that many slots.
// All must be above 0. If more than lookAhead/2 batches are due at one instant, they may be begun too late for all of them.
func New(slotLength time.Duration, batchSize, lookAhead int) *Schedule {
	return &Schedule{
		slotLength:  max(slotLength, 1),
		batchSize:   max(batchSize, 1),
		lookAhead:   int64(max(lookAhead, 1)),
		countBySlot: map[int64]int{},
	}
}

// Piece returns the size of a batch: how many items may be done in a slot.
func (s *Schedule) Piece() int { return s.batchSize }

// Slot returns the length of a slot.
func (s *Schedule) Slot() time.Duration { return s.slotLength }

// Len returns the number of items.
func (s *Schedule) Len() int { return s.total }

// Add counts one item that is due at a time.
func (s *Schedule) Add(at time.Duration) {
	s.countBySlot[int64(at/s.slotLength)]++
	s.total++
}

// Remove removes one item that was added with this time.
func (s *Schedule) Remove(at time.Duration) {
	i := int64(at / s.slotLength)
	if s.total--; s.countBySlot[i] == 1 {
		delete(s.countBySlot, i)
		return
	}
	s.countBySlot[i]--
}

// Look returns how many of the items that are due first have to be done in the present slot, at most a batch, so that the
// rest can be done a batch in each later slot, and when to call it again if nothing is added before. Items due in the present
// slot or earlier are the caller's to do when they are due, and count as done in it. The cost grows with the look-ahead,
// not with the number of items.
func (s *Schedule) Look(now time.Duration) (must int, again time.Duration) {
	first := int64(now / s.slotLength)
	last := first + s.lookAhead
	if s.total <= s.batchSize { // one batch, whenever its items are due
		return 0, time.Duration(first+s.lookAhead/2+1) * s.slotLength
	}
	due, seen, start := 0, 0, first+s.lookAhead/2+1 // by then the slots beyond last are within the look-ahead, in time
	for i := first; i <= last && seen < s.total; i++ {
		n := s.countBySlot[i]
		if n == 0 {
			continue
		}
		due, seen = due+n, seen+n
		if i > first {
			must = max(must, due-int(i-first)*s.batchSize)
		}
		if due > s.batchSize { // it fills earlier slots, too: start is the first of them
			start = min(start, i-int64((due-1)/s.batchSize))
		}
	}
	return min(must, s.batchSize), time.Duration(max(start, first+1)) * s.slotLength
}
