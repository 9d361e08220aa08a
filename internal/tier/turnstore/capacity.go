package turnstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/sqlitelog"
)

// Of the disk's limit, a store opens no turns once less than a tenth is left, so that those that are open can end; it
// opens turns again once an eighth is left.
const (
	lowDivisor = 10
	reopenDivisor  = 8
)

const (
	factProbe  = "probe"
	probeBytes = 256 << 10 // a disk that refused a write has room again once it takes so much
)

// capacity decides whether a store opens turns, by what its disk can still take. It is pure.
type capacity struct {
	low     bool // little is left
	writeRefused bool // the disk refused a write for want of room, and has taken no probe since
	ledgersFull bool // the index holds as many entries of ledgers as it may
}

func (r *capacity) measure(left, most int64) {
	r.low = most > 0 && (left < most/lowDivisor || r.low && left < most/reopenDivisor)
}

func (r *capacity) full() bool { return r.low || r.writeRefused || r.ledgersFull }

// Full tells whether the store opens no turns because its disk, or its memory of ledgers, has little room.
func (s *Server) Full() bool { return s.full.Load() }

// updateCapacity takes what was learnt of the room, under the mutex, and tells of a change.
func (s *Server) updateCapacity(learn func(*capacity)) {
	s.mu.Lock()
	learn(&s.capacity)
	now := s.capacity.full()
	changed := s.full.Swap(now) != now
	is := s.capacity
	s.mu.Unlock()
	switch {
	case !changed:
	case is.writeRefused:
		s.Log.Trouble("store", "disk is full: no turns are opened until it takes writes again; give it more disk, or add stores")
	case is.ledgersFull:
		s.Log.Trouble("store", "ledgers are full: no turns are opened until old ones are dropped; add stores")
	case now:
		s.Log.Trouble("store", "disk is nearly full: no turns are opened until old ones expire; give it more disk, or add stores")
	default:
		s.Log.Say("store", "disk has room again: turns are opened")
	}
}

// noteWriteError learns of the room from how a write ended.
func (s *Server) noteWriteError(err error) {
	if errors.Is(err, sqlitelog.ErrFull) {
		s.updateCapacity(func(r *capacity) { r.writeRefused = true })
	}
}

// checkCapacity looks at what the disk can still take; Run does it now and then.
func (s *Server) checkCapacity(ctx context.Context) {
	left, most, err := s.disk.Room()
	if err != nil {
		return // a disk that fails is told of by what writes
	}
	s.mu.Lock()
	refused := s.capacity.writeRefused
	s.mu.Unlock()
	if refused && s.probe(ctx) == nil {
		refused = false
	}
	s.updateCapacity(func(r *capacity) {
		r.measure(left, most)
		r.writeRefused = refused
		r.ledgersFull = !s.index.hasCapacity()
	})
}

// probe writes something large, and deletes it.
func (s *Server) probe(ctx context.Context) error {
	key := []byte(factProbe)
	if err := s.disk.Commit(ctx, []sqlitelog.Write{{Table: tableFacts, Key: key, Value: make([]byte, probeBytes)}}); err != nil {
		return err
	}
	return s.disk.Commit(ctx, []sqlitelog.Write{{Table: tableFacts, Key: key}})
}
