package turnstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/sqlitelog"
)

// Of the disk's limit, a store opens no turns once less than a tenth is left, so that those that are open can end; it
// opens turns again once an eighth is left.
const (
	closesAt = 10
	opensAt  = 8
)

const (
	factProbe  = "probe"
	probeBytes = 256 << 10 // a disk that refused a write has room again once it takes so much
)

// room decides whether a store opens turns, by what its disk can still take. It is pure.
type room struct {
	low     bool // little is left
	refused bool // the disk refused a write for want of room, and has taken no probe since
	ledgers bool // the index holds as many entries of ledgers as it may
}

func (r *room) measured(left, most int64) {
	r.low = most > 0 && (left < most/closesAt || r.low && left < most/opensAt)
}

func (r *room) full() bool { return r.low || r.refused || r.ledgers }

// Full tells whether the store opens no turns because its disk, or its memory of ledgers, has little room.
func (s *Server) Full() bool { return s.full.Load() }

// updateRoom takes what was learnt of the room, under the mutex, and tells of a change.
func (s *Server) updateRoom(learn func(*room)) {
	s.mu.Lock()
	learn(&s.room)
	now := s.room.full()
	changed := s.full.Swap(now) != now
	is := s.room
	s.mu.Unlock()
	switch {
	case !changed:
	case is.refused:
		s.Log.Error("disk is full: no turns are opened until it takes writes again; give it more disk, or add stores")
	case is.ledgers:
		s.Log.Error("ledgers are full: no turns are opened until old ones are dropped; add stores")
	case now:
		s.Log.Error("disk is nearly full: no turns are opened until old ones expire; give it more disk, or add stores")
	default:
		s.Log.Info("disk has room again: turns are opened")
	}
}

// noteWrite learns of the room from how a write ended.
func (s *Server) noteWrite(err error) {
	if errors.Is(err, sqlitelog.ErrFull) {
		s.updateRoom(func(r *room) { r.refused = true })
	}
}

// lookForRoom looks at what the disk can still take; Run does it now and then.
func (s *Server) lookForRoom(ctx context.Context) {
	left, most, err := s.disk.Room()
	if err != nil {
		return // a disk that fails is told of by what writes
	}
	s.mu.Lock()
	refused := s.room.refused
	s.mu.Unlock()
	if refused && s.probe(ctx) == nil {
		refused = false
	}
	s.updateRoom(func(r *room) {
		r.measured(left, most)
		r.refused = refused
		r.ledgers = !s.index.room()
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
