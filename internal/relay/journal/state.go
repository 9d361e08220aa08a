package journal

import (
	"cmp"
	"slices"

	"larchrouter/internal/relay/queue"
)

const (
	entryGrowthReserve = 256 // room for what comes to be known of an entry beyond what it was taken on with
	maxAttemptSize     = 96  // what an attempt takes at most when its entry is carried, beside its host's name
	maxCompletedSize   = frameHeaderSize + 32
)

// CompletedID is a message that is over: its id may come again.
type CompletedID struct {
	ID  string
	Sum uint32 // as Entry.Checksum
	At  int64  // Unix milliseconds; 0 if it is not known

	ordinal  uint64 // no other that was remembered has the same
	position uint64
	segment  uint64 // while a log is read
}

// Retention bounds what is remembered of messages that are over. Where one is passed the oldest are forgotten.
type Retention struct {
	MaxIDs   int
	MaxBytes int64 // on the disk
	MaxAgeMs int64 // between an end and the last one recorded
}

// itemKind of what is kept in the log until it is over.
type itemKind uint8

const (
	entryKind itemKind = iota
	outageKind
	drainKind
	overrideKind
	completedKind
)

// item is a place in the log at which something stands that is carried when its segment is the oldest; unless it has
// come to stand elsewhere since, or is over.
type item struct {
	kind     itemKind
	id       string
	segment  uint64
	position uint64
}

// statusKey names what is kept, entries apart.
type statusKey struct {
	kind itemKind
	id   string
}

// state is what records amount to. It does no I/O.
type state struct {
	Entries   map[string]*Entry
	Unhealthy map[string]Record // hosts in an outage, or cold after it
	Drains    map[string]Record // in force
	Overrides map[string]Record // the last one on each subject

	retention       Retention
	completed       map[string]CompletedID
	completionOrder []CompletedID // as they ended; some of them may be forgotten
	completedBytes  int64
	lastOrdinal     uint64
	lastCompletedAt int64 // Unix milliseconds
	replaying       bool  // a log is read
	replayed        []CompletedID
	forgottenAt     map[string]uint64 // place from which on an id that was remembered is not

	seq             uint64 // of the last record
	live            int64  // bytes that carrying all of it takes at most
	statusPositions map[statusKey]uint64
	lastPosition    uint64
	items           queue.FIFO[item] // in the order of the log

	// While a damaged log is read:
	damaged  bool
	suspects map[string]bool // entries of which later records may be missing
	orphans  map[string]bool // ids with records of a message that is missing
}

func newState(m Retention) state {
	return state{Entries: map[string]*Entry{}, Unhealthy: map[string]Record{}, Drains: map[string]Record{}, Overrides: map[string]Record{}, retention: m,
		completed: map[string]CompletedID{}, statusPositions: map[statusKey]uint64{}, suspects: map[string]bool{}, orphans: map[string]bool{}}
}

// appendItem puts something at a place in a segment.
func (s *state) appendItem(k itemKind, id string, segment uint64) (place uint64) {
	s.lastPosition++
	s.items.Push(item{k, id, segment, s.lastPosition})
	return s.lastPosition
}

// isLive tells whether what stood at a place still does.
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

// oldestLive is the first item that is live; at most so many that are not are passed over.
func (s *state) oldestLive(most int) (i item, ok bool) {
	for ; s.items.Len() > 0 && most > 0; most-- {
		if i = s.items.At(0); s.isLive(i) {
			return i, true
		}
		s.items.Pop()
	}
	return i, false
}

// rewriteRecord is the record that says all that is known of an item.
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

// liveGrowth is by how many bytes a record that takes n makes what is live grow at most.
func (r *Record) liveGrowth(n int64) int64 {
	switch r.Op {
	case OpTaken:
		return n + entryGrowthReserve
	case OpHealth, OpDrain, OpOverride:
		return entryGrowthReserve
	case OpTry:
		if r.Host != "" {
			return int64(maxAttemptSize + len(r.Host))
		}
	case OpNotice:
		return int64(len(r.Why))
	case OpEnd:
		return int64(maxCompletedSize + len(r.ID))
	}
	return 0
}

// apply brings the state up to date with a record of n bytes that stands in a segment.
func (s *state) apply(seq uint64, r *Record, segment uint64, n int64) {
	s.seq = seq
	switch r.Op {
	case OpTaken, opRewritten:
		s.acceptEntry(r, segment, n)
	case OpHealth:
		s.setStatus(outageKind, s.Unhealthy, r, segment)
	case OpDrain:
		s.setStatus(drainKind, s.Drains, r, segment)
	case OpOverride:
		s.setStatus(overrideKind, s.Overrides, r, segment)
	case opCompleted:
		s.retain(CompletedID{ID: r.ID, Sum: r.Sum, At: r.At}, segment)
	default:
		s.applyToEntry(s.Entries[r.ID], r, segment)
	}
}

// setStatus takes in what is true of a host, of a target of a drain, or of a subject of the fleet.
func (s *state) setStatus(k itemKind, all map[string]Record, r *Record, segment uint64) {
	m := statusKey{k, r.ID}
	if _, ok := all[r.ID]; ok {
		s.live -= entryGrowthReserve
		delete(all, r.ID)
		delete(s.statusPositions, m)
	}
	if r.Ran || k == overrideKind {
		s.live += entryGrowthReserve
		all[r.ID] = *r
		s.statusPositions[m] = s.appendItem(k, r.ID, segment)
	}
}

// acceptEntry takes in a message, or all that is known of one.
func (s *state) acceptEntry(r *Record, segment uint64, n int64) {
	e := r.Entry
	was := s.Entries[e.ID]
	if was == e { // carried by this process: it stands elsewhere now
		e.position = s.appendItem(entryKind, e.ID, segment)
		return
	}
	if was != nil && r.Op == OpTaken {
		return
	}
	if was != nil {
		s.live -= was.size
	}
	if e.acceptedSeq == 0 {
		e.acceptedSeq = s.seq
	}
	if e.size = n; e.Status == "" {
		e.size += entryGrowthReserve
	}
	s.live += e.size
	e.position = s.appendItem(entryKind, e.ID, segment)
	s.Entries[e.ID] = e
	s.dropCompleted(e.ID)
	if s.replaying {
		s.dropDeadItems()
	}
	delete(s.suspects, e.ID)
	delete(s.orphans, e.ID)
}

// applyToEntry takes in what a record says of a message that was taken on before.
func (s *state) applyToEntry(e *Entry, r *Record, segment uint64) {
	over := r.Op == OpEnd || r.Op == OpForget
	if e == nil {
		if over {
			delete(s.orphans, r.ID)
			if r.Sum != 0 { // what was before it has been let go
				s.retain(CompletedID{ID: r.ID, Sum: r.Sum, At: r.At}, segment)
			}
		} else if s.damaged {
			s.orphans[r.ID] = true
		}
		return
	}
	grow := func(by int64) { e.size, s.live = e.size+by, s.live+by }
	switch {
	case r.Op == OpTry:
		e.Tries++
		e.Out, e.OutAt, e.OutTo, e.Wait = true, r.At, r.Zone, r.Wait
		if r.Host != "" {
			e.Log = append(e.Log, Attempt{Host: r.Host, At: r.At})
			grow(r.liveGrowth(0))
		}
	case r.Op == OpOutcome && e.Out:
		e.Out = false
		if r.Ran && !e.Ran {
			e.Ran, e.RanAt, e.Zone = true, e.OutAt, e.OutTo
		}
		e.closeAttempt(r)
	case r.Op == OpNotice:
		if e.Sum = r.Sum; e.Sum == 0 {
			e.Sum = e.Checksum()
		}
		grow(int64(len(r.Why) - len(e.Body)))
		e.Status, e.Again, e.Body, e.Out = r.Status, r.Again, nil, false
		e.EndAt, e.Why = r.At, r.Why
	case over:
		s.live -= e.size
		delete(s.Entries, r.ID)
		delete(s.suspects, r.ID)
		if r.Op == OpEnd {
			sum := r.Sum
			if sum == 0 {
				sum = e.Checksum()
			}
			s.retain(CompletedID{ID: r.ID, Sum: sum, At: r.At}, segment)
		} else if s.replaying {
			s.forgottenAt[r.ID] = s.lastPosition
		}
	}
}

// closeAttempt takes in how the last attempt ended, where they are kept.
func (e *Entry) closeAttempt(r *Record) {
	if n := len(e.Log); n > 0 && e.Log[n-1].Outcome == "" {
		e.Log[n-1].Outcome, e.Log[n-1].Took, e.Log[n-1].Ran = r.Why, r.Wait, r.Ran
	}
}

// retain keeps an id that may come again, and forgets those that are too many or too old.
func (s *state) retain(e CompletedID, segment uint64) {
	if s.retention.MaxIDs <= 0 {
		return
	}
	s.lastPosition++
	e.position = s.lastPosition
	if s.replaying {
		e.segment = segment
		s.replayed = append(s.replayed, e)
		if len(s.replayed) > 4*s.retention.MaxIDs+4096 {
			s.limitReplayed()
		}
		return
	}
	s.items.Push(item{completedKind, e.ID, segment, e.position})
	s.addCompleted(e)
}

// addCompleted takes an id that has a place into the order of those that are remembered.
func (s *state) addCompleted(e CompletedID) {
	if was, ok := s.completed[e.ID]; ok { // it was carried
		e.ordinal = was.ordinal
	} else {
		s.lastOrdinal++
		e.ordinal = s.lastOrdinal
		s.completionOrder = append(s.completionOrder, e)
		s.completedBytes += int64(maxCompletedSize + len(e.ID))
		s.live += int64(maxCompletedSize + len(e.ID))
	}
	s.completed[e.ID] = e
	s.lastCompletedAt = max(s.lastCompletedAt, e.At)
	for len(s.completionOrder) > 0 {
		old := s.completionOrder[0]
		remembered := s.completed[old.ID].ordinal == old.ordinal
		if remembered && len(s.completed) <= s.retention.MaxIDs && s.completedBytes <= s.retention.MaxBytes &&
			(s.lastCompletedAt == 0 || s.lastCompletedAt-old.At <= s.retention.MaxAgeMs) {
			break
		}
		s.completionOrder = s.completionOrder[1:]
		if remembered {
			s.dropCompleted(old.ID)
		}
	}
}

// dropCompleted forgets an id that was remembered.
func (s *state) dropCompleted(id string) {
	if _, ok := s.completed[id]; !ok {
		return
	}
	delete(s.completed, id)
	s.completedBytes -= int64(maxCompletedSize + len(id))
	s.live -= int64(maxCompletedSize + len(id))
}

// limitReplayed drops of what was read of ended ids all but the last ones to end. A log has them in the order in which they
// were carried.
func (s *state) limitReplayed() {
	slices.SortStableFunc(s.replayed, func(a, b CompletedID) int { return cmp.Compare(a.At, b.At) })
	s.replayed = append(s.replayed[:0], s.replayed[len(s.replayed)-s.retention.MaxIDs:]...)
}

// dropDeadItems drops places at which nothing is live any more while a log is read, in which most are.
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

// finishReplay ends the reading of a log: what is remembered is what would have been by the process that wrote it.
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

// markSuspects notes that records are missing here.
func (s *state) markSuspects() {
	s.damaged = true
	for id := range s.Entries {
		s.suspects[id] = true
	}
}

// InOrder are the entries in the order in which the messages were taken on.
func (s *state) InOrder() []*Entry {
	all := make([]*Entry, 0, len(s.Entries))
	for _, e := range s.Entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int { return cmp.Compare(a.acceptedSeq, b.acceptedSeq) })
	return all
}

// CompletedIDs are the messages over that are remembered, in the order in which they ended.
func (s *state) CompletedIDs() []CompletedID {
	all := make([]CompletedID, 0, len(s.completed))
	for _, e := range s.completionOrder {
		if s.completed[e.ID].ordinal == e.ordinal {
			all = append(all, e)
		}
	}
	return all
}
