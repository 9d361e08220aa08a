package journal

import (
	"cmp"
	"slices"

	"larchrouter/internal/relay/queue"
)

const (
	slack       = 256 // room for what comes to be known of an entry beyond what it was taken on with
	attemptRoom = 96  // what an attempt takes at most when its entry is carried, beside its host's name
	endedRoom   = frameHead + 32
)

// Ended is a message that is over: its id may come again.
type Ended struct {
	ID  string
	Sum uint32 // as Entry.Checksum
	At  int64  // Unix milliseconds; 0 if it is not known

	turn    uint64 // no other that was remembered has the same
	place   uint64
	segment uint64 // while a log is read
}

// Memory bounds what is remembered of messages that are over. Where one is passed the oldest are forgotten.
type Memory struct {
	Most  int
	Bytes int64 // on the disk
	AgeMS int64 // between an end and the last one recorded
}

// kind of what is kept in the log until it is over.
type kind uint8

const (
	entryKind kind = iota
	unwellKind
	drainKind
	wordKind
	endedKind
)

// item is a place in the log at which something stands that is carried when its segment is the oldest; unless it has
// come to stand elsewhere since, or is over.
type item struct {
	kind    kind
	id      string
	segment uint64
	place   uint64
}

// mark names what is kept, entries apart.
type mark struct {
	kind kind
	id   string
}

// state is what records amount to. It does no I/O.
type state struct {
	Entries map[string]*Entry
	Unwell  map[string]Record // hosts in an outage, or cold after it
	Drains  map[string]Record // in force
	Words   map[string]Record // the last one on each subject

	memory     Memory
	ended      map[string]Ended
	endedIDs   []Ended // as they ended; some of them may be forgotten
	endedBytes int64
	turns      uint64
	lastEnd    int64 // Unix milliseconds
	replaying  bool  // a log is read
	replayed   []Ended
	forgot     map[string]uint64 // place from which on an id that was remembered is not

	seq    uint64 // of the last record
	live   int64  // bytes that carrying all of it takes at most
	places map[mark]uint64
	placed uint64
	items  queue.FIFO[item] // in the order of the log

	// While a damaged log is read:
	damaged  bool
	suspects map[string]bool // entries of which later records may be missing
	orphans  map[string]bool // ids with records of a message that is missing
}

func newState(m Memory) state {
	return state{Entries: map[string]*Entry{}, Unwell: map[string]Record{}, Drains: map[string]Record{}, Words: map[string]Record{}, memory: m,
		ended: map[string]Ended{}, places: map[mark]uint64{}, suspects: map[string]bool{}, orphans: map[string]bool{}}
}

// settle puts something at a place in a segment.
func (s *state) settle(k kind, id string, segment uint64) (place uint64) {
	s.placed++
	s.items.Push(item{k, id, segment, s.placed})
	return s.placed
}

// isLive tells whether what stood at a place still does.
func (s *state) isLive(i item) bool {
	if i.kind == entryKind {
		e := s.Entries[i.id]
		return e != nil && e.place == i.place
	}
	if i.kind == endedKind {
		return s.ended[i.id].place == i.place
	}
	return s.places[mark{i.kind, i.id}] == i.place
}

// oldest is the first item that is live; at most so many that are not are passed over.
func (s *state) oldest(most int) (i item, ok bool) {
	for ; s.items.Len() > 0 && most > 0; most-- {
		if i = s.items.At(0); s.isLive(i) {
			return i, true
		}
		s.items.Pop()
	}
	return i, false
}

// carried is the record that says all that is known of an item.
func (s *state) carried(i item) Record {
	switch i.kind {
	case entryKind:
		return Record{Op: opCarried, Entry: s.Entries[i.id]}
	case unwellKind:
		return s.Unwell[i.id]
	case drainKind:
		return s.Drains[i.id]
	case wordKind:
		return s.Words[i.id]
	}
	e := s.ended[i.id]
	return Record{Op: opEnded, ID: e.ID, Sum: e.Sum, At: e.At}
}

// growth is by how many bytes a record that takes n makes what is live grow at most.
func (r *Record) growth(n int64) int64 {
	switch r.Op {
	case OpTaken:
		return n + slack
	case OpHealth, OpDrain, OpWord:
		return slack
	case OpTry:
		if r.Host != "" {
			return int64(attemptRoom + len(r.Host))
		}
	case OpNotice:
		return int64(len(r.Why))
	case OpEnd:
		return int64(endedRoom + len(r.ID))
	}
	return 0
}

// apply brings the state up to date with a record of n bytes that stands in a segment.
func (s *state) apply(seq uint64, r *Record, segment uint64, n int64) {
	s.seq = seq
	switch r.Op {
	case OpTaken, opCarried:
		s.take(r, segment, n)
	case OpHealth:
		s.keep(unwellKind, s.Unwell, r, segment)
	case OpDrain:
		s.keep(drainKind, s.Drains, r, segment)
	case OpWord:
		s.keep(wordKind, s.Words, r, segment)
	case opEnded:
		s.remember(Ended{ID: r.ID, Sum: r.Sum, At: r.At}, segment)
	default:
		s.applyTo(s.Entries[r.ID], r, segment)
	}
}

// keep takes in what is true of a host, of a target of a drain, or of a subject of the fleet.
func (s *state) keep(k kind, all map[string]Record, r *Record, segment uint64) {
	m := mark{k, r.ID}
	if _, ok := all[r.ID]; ok {
		s.live -= slack
		delete(all, r.ID)
		delete(s.places, m)
	}
	if r.Ran || k == wordKind {
		s.live += slack
		all[r.ID] = *r
		s.places[m] = s.settle(k, r.ID, segment)
	}
}

// take takes in a message, or all that is known of one.
func (s *state) take(r *Record, segment uint64, n int64) {
	e := r.Entry
	was := s.Entries[e.ID]
	if was == e { // carried by this process: it stands elsewhere now
		e.place = s.settle(entryKind, e.ID, segment)
		return
	}
	if was != nil && r.Op == OpTaken {
		return
	}
	if was != nil {
		s.live -= was.size
	}
	if e.number == 0 {
		e.number = s.seq
	}
	if e.size = n; e.Status == "" {
		e.size += slack
	}
	s.live += e.size
	e.place = s.settle(entryKind, e.ID, segment)
	s.Entries[e.ID] = e
	s.forget(e.ID)
	if s.replaying {
		s.sift()
	}
	delete(s.suspects, e.ID)
	delete(s.orphans, e.ID)
}

// applyTo takes in what a record says of a message that was taken on before.
func (s *state) applyTo(e *Entry, r *Record, segment uint64) {
	over := r.Op == OpEnd || r.Op == OpForget
	if e == nil {
		if over {
			delete(s.orphans, r.ID)
			if r.Sum != 0 { // what was before it has been let go
				s.remember(Ended{ID: r.ID, Sum: r.Sum, At: r.At}, segment)
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
			grow(r.growth(0))
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
			s.remember(Ended{ID: r.ID, Sum: sum, At: r.At}, segment)
		} else if s.replaying {
			s.forgot[r.ID] = s.placed
		}
	}
}

// closeAttempt takes in how the last attempt ended, where they are kept.
func (e *Entry) closeAttempt(r *Record) {
	if n := len(e.Log); n > 0 && e.Log[n-1].Outcome == "" {
		e.Log[n-1].Outcome, e.Log[n-1].Took, e.Log[n-1].Ran = r.Why, r.Wait, r.Ran
	}
}

// remember keeps an id that may come again, and forgets those that are too many or too old.
func (s *state) remember(e Ended, segment uint64) {
	if s.memory.Most <= 0 {
		return
	}
	s.placed++
	e.place = s.placed
	if s.replaying {
		e.segment = segment
		s.replayed = append(s.replayed, e)
		if len(s.replayed) > 4*s.memory.Most+4096 {
			s.thin()
		}
		return
	}
	s.items.Push(item{endedKind, e.ID, segment, e.place})
	s.enroll(e)
}

// enroll takes an id that has a place into the order of those that are remembered.
func (s *state) enroll(e Ended) {
	if was, ok := s.ended[e.ID]; ok { // it was carried
		e.turn = was.turn
	} else {
		s.turns++
		e.turn = s.turns
		s.endedIDs = append(s.endedIDs, e)
		s.endedBytes += int64(endedRoom + len(e.ID))
		s.live += int64(endedRoom + len(e.ID))
	}
	s.ended[e.ID] = e
	s.lastEnd = max(s.lastEnd, e.At)
	for len(s.endedIDs) > 0 {
		old := s.endedIDs[0]
		remembered := s.ended[old.ID].turn == old.turn
		if remembered && len(s.ended) <= s.memory.Most && s.endedBytes <= s.memory.Bytes &&
			(s.lastEnd == 0 || s.lastEnd-old.At <= s.memory.AgeMS) {
			break
		}
		s.endedIDs = s.endedIDs[1:]
		if remembered {
			s.forget(old.ID)
		}
	}
}

// forget forgets an id that was remembered.
func (s *state) forget(id string) {
	if _, ok := s.ended[id]; !ok {
		return
	}
	delete(s.ended, id)
	s.endedBytes -= int64(endedRoom + len(id))
	s.live -= int64(endedRoom + len(id))
}

// thin drops of what was read of ended ids all but the last ones to end. A log has them in the order in which they
// were carried.
func (s *state) thin() {
	slices.SortStableFunc(s.replayed, func(a, b Ended) int { return cmp.Compare(a.At, b.At) })
	s.replayed = append(s.replayed[:0], s.replayed[len(s.replayed)-s.memory.Most:]...)
}

// sift drops places at which nothing is live any more while a log is read, in which most are.
func (s *state) sift() {
	if s.items.Len() <= 2*len(s.Entries)+1<<16 {
		return
	}
	for range s.items.Len() {
		if i := s.items.Pop(); s.isLive(i) {
			s.items.Push(i)
		}
	}
}

// replayedAll ends the reading of a log: what is remembered is what would have been by the process that wrote it.
func (s *state) replayedAll() {
	s.replaying = false
	slices.SortStableFunc(s.replayed, func(a, b Ended) int { return cmp.Compare(a.At, b.At) })
	var all []item
	for s.items.Len() > 0 {
		all = append(all, s.items.Pop())
	}
	for _, e := range s.replayed {
		if s.Entries[e.ID] == nil && e.place > s.forgot[e.ID] {
			all = append(all, item{endedKind, e.ID, e.segment, e.place})
			s.enroll(e)
		}
	}
	s.replayed, s.forgot = nil, nil
	slices.SortFunc(all, func(a, b item) int { return cmp.Compare(a.place, b.place) })
	for _, i := range all {
		s.items.Push(i)
	}
}

// hole notes that records are missing here.
func (s *state) hole() {
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
	slices.SortFunc(all, func(a, b *Entry) int { return cmp.Compare(a.number, b.number) })
	return all
}

// Ended are the messages over that are remembered, in the order in which they ended.
func (s *state) Ended() []Ended {
	all := make([]Ended, 0, len(s.ended))
	for _, e := range s.endedIDs {
		if s.ended[e.ID].turn == e.turn {
			all = append(all, e)
		}
	}
	return all
}
