package journal

import (
	"cmp"
	"slices"

	"larchrouter/internal/relay/queue"
)

const (
	entryGrowthReserve = 256 // for fields of an entry that are set after it was accepted, in bytes
	maxAttemptSize     = 96  // of a rewritten attempt without the name of its host, in bytes
	maxCompletedSize   = frameHeaderSize + 32
)

// itemKind selects the table to which an item of the log belongs.
type itemKind uint8

const (
	entryKind itemKind = iota
	outageKind
	drainKind
	overrideKind
	completedKind
)

// item is a position in the log. It is live while its subject has no newer position and has not been removed; live items of
// the oldest segment are rewritten at the end of the log.
type item struct {
	kind     itemKind
	id       string
	segment  uint64
	position uint64
}

// statusKey identifies an outage, a drain or an override.
type statusKey struct {
	kind itemKind
	id   string
}

// state is the result of applying all records. It does no I/O.
//
// Invariants outside a replay: every entry, status and completed id has exactly one live item; live is at least the number
// of bytes that rewriting all live items takes; seq rises by one with each applied record.
type state struct {
	Entries   map[string]*Entry
	Unhealthy map[string]Record // hosts in an outage, or warming up after it
	Drains    map[string]Record // those in force
	Overrides map[string]Record // the last one for each subject

	retention       Retention
	completed       map[string]CompletedID
	completionOrder []CompletedID // may contain ids that were dropped
	completedBytes  int64
	lastOrdinal     uint64
	lastCompletedAt int64 // Unix milliseconds
	replaying       bool  // the log is being read
	replayed        []CompletedID
	forgottenAt     map[string]uint64 // position at which an id became free for reuse

	seq             uint64 // of the last record
	live            int64  // upper bound of rewriting all live items, in bytes
	statusPositions map[statusKey]uint64
	lastPosition    uint64
	items           queue.FIFO[item] // in the order of the log

	// Used during the replay of a damaged log:
	damaged  bool
	suspects map[string]bool // entries of which later records may be missing
	orphans  map[string]bool // ids with records, but without an accepting one
}

// newState returns an empty state.
func newState(retention Retention) state {
	return state{
		Entries:         map[string]*Entry{},
		Unhealthy:       map[string]Record{},
		Drains:          map[string]Record{},
		Overrides:       map[string]Record{},
		retention:       retention,
		completed:       map[string]CompletedID{},
		statusPositions: map[statusKey]uint64{},
		suspects:        map[string]bool{},
		orphans:         map[string]bool{},
	}
}

// appendItem adds an item at the end of the log and returns its position.
func (s *state) appendItem(kind itemKind, id string, segment uint64) (position uint64) {
	s.lastPosition++
	s.items.Push(item{kind, id, segment, s.lastPosition})
	return s.lastPosition
}

// isLive reports whether an item is still the newest of its subject.
func (s *state) isLive(i item) bool {
	if i.kind == entryKind {
		e := s.Entries[i.id]
		return e != nil && e.position == i.position
	}
	if i.kind == completedKind {
		return s.completed[i.id].position == i.position
	}
	return s.statusPositions[statusKey{i.kind, i.id}] == i.position
}

// oldestLive returns the first live item. It drops dead ones before it, at most limit of them.
func (s *state) oldestLive(limit int) (i item, ok bool) {
	for ; s.items.Len() > 0 && limit > 0; limit-- {
		if i = s.items.At(0); s.isLive(i) {
			return i, true
		}
		s.items.Pop()
	}
	return i, false
}

// rewriteRecord returns the record that holds the complete state of an item.
func (s *state) rewriteRecord(i item) Record {
	switch i.kind {
	case entryKind:
		return Record{Op: opRewritten, Entry: s.Entries[i.id]}
	case outageKind:
		return s.Unhealthy[i.id]
	case drainKind:
		return s.Drains[i.id]
	case overrideKind:
		return s.Overrides[i.id]
	}
	e := s.completed[i.id]
	return Record{Op: opCompleted, ID: e.ID, Sum: e.Sum, At: e.At}
}

// dropDeadItems drops dead items during a replay, where most are dead.
func (s *state) dropDeadItems() {
	if s.items.Len() <= 2*len(s.Entries)+1<<16 {
		return
	}
	for range s.items.Len() {
		if i := s.items.Pop(); s.isLive(i) {
			s.items.Push(i)
		}
	}
}

// finishReplay restores the completed ids that the writing process had retained, in the order of the log.
func (s *state) finishReplay() {
	s.replaying = false
	slices.SortStableFunc(s.replayed, func(a, b CompletedID) int { return cmp.Compare(a.At, b.At) })
	var all []item
	for s.items.Len() > 0 {
		all = append(all, s.items.Pop())
	}
	for _, e := range s.replayed {
		if s.Entries[e.ID] == nil && e.position > s.forgottenAt[e.ID] {
			all = append(all, item{completedKind, e.ID, e.segment, e.position})
			s.addCompleted(e)
		}
	}
	s.replayed, s.forgottenAt = nil, nil
	slices.SortFunc(all, func(a, b item) int { return cmp.Compare(a.position, b.position) })
	for _, i := range all {
		s.items.Push(i)
	}
}

// markSuspects records that records are missing here: any of them may concern any entry.
func (s *state) markSuspects() {
	s.damaged = true
	for id := range s.Entries {
		s.suspects[id] = true
	}
}

// InOrder returns the entries in the order in which they were accepted.
func (s *state) InOrder() []*Entry {
	all := make([]*Entry, 0, len(s.Entries))
	for _, e := range s.Entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int { return cmp.Compare(a.acceptedSeq, b.acceptedSeq) })
	return all
}
