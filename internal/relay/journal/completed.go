package journal

import (
	"cmp"
	"slices"
)

// CompletedID is the id of a completed message, retained to recognize duplicates.
type CompletedID struct {
	ID  string
	Sum uint32 // as Entry.Checksum
	At  int64  // of the completion, Unix milliseconds; 0 if unknown

	ordinal  uint64 // unique among all ids that were retained
	position uint64
	segment  uint64 // set during a replay
}

// Retention limits the completed ids that are retained. Beyond any limit the oldest are dropped.
type Retention struct {
	MaxIDs   int
	MaxBytes int64 // of their records
	MaxAgeMs int64 // relative to the last completion
}

// retain adds a completed id. During a replay it is only collected, as later records decide what remains.
func (s *state) retain(id CompletedID, segment uint64) {
	if s.retention.MaxIDs <= 0 {
		return
	}
	s.lastPosition++
	id.position = s.lastPosition
	if s.replaying {
		id.segment = segment
		s.replayed = append(s.replayed, id)
		if len(s.replayed) > 4*s.retention.MaxIDs+4096 {
			s.limitReplayed()
		}
		return
	}
	s.items.Push(item{completedKind, id.ID, segment, id.position})
	s.addCompleted(id)
}

// addCompleted adds a completed id that has a position, and drops the oldest ones beyond the limits.
func (s *state) addCompleted(id CompletedID) {
	if known, ok := s.completed[id.ID]; ok { // it was rewritten
		id.ordinal = known.ordinal
	} else {
		s.lastOrdinal++
		id.ordinal = s.lastOrdinal
		s.completionOrder = append(s.completionOrder, id)
		s.completedBytes += int64(maxCompletedSize + len(id.ID))
		s.live += int64(maxCompletedSize + len(id.ID))
	}
	s.completed[id.ID] = id
	s.lastCompletedAt = max(s.lastCompletedAt, id.At)
	for len(s.completionOrder) > 0 {
		oldest := s.completionOrder[0]
		retained := s.completed[oldest.ID].ordinal == oldest.ordinal
		if retained && len(s.completed) <= s.retention.MaxIDs && s.completedBytes <= s.retention.MaxBytes &&
			(s.lastCompletedAt == 0 || s.lastCompletedAt-oldest.At <= s.retention.MaxAgeMs) {
			break
		}
		s.completionOrder = s.completionOrder[1:]
		if retained {
			s.dropCompleted(oldest.ID)
		}
	}
}

// dropCompleted drops a completed id if it is retained.
func (s *state) dropCompleted(id string) {
	if _, ok := s.completed[id]; !ok {
		return
	}
	delete(s.completed, id)
	s.completedBytes -= int64(maxCompletedSize + len(id))
	s.live -= int64(maxCompletedSize + len(id))
}

// limitReplayed drops all but the last completed ids that were collected by a replay. The log has them in the order in which
// they were rewritten.
func (s *state) limitReplayed() {
	slices.SortStableFunc(s.replayed, func(a, b CompletedID) int { return cmp.Compare(a.At, b.At) })
	s.replayed = append(s.replayed[:0], s.replayed[len(s.replayed)-s.retention.MaxIDs:]...)
}

// CompletedIDs returns the retained ids in the order of completion.
func (s *state) CompletedIDs() []CompletedID {
	all := make([]CompletedID, 0, len(s.completed))
	for _, e := range s.completionOrder {
		if s.completed[e.ID].ordinal == e.ordinal {
			all = append(all, e)
		}
	}
	return all
}
