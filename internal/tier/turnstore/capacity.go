package turnstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/sqlitelog"
)

// A store stops opening turns once less than a tenth of its disk limit is left, so that open ones can end, and opens turns
// again once an eighth is left.
const (
	lowDivisor    = 10
	reopenDivisor = 8
)

const (
	factProbe  = "probe"
	probeBytes = 256 << 10 // that a disk which refused a write must take before turns are opened again
)

// capacity decides whether a store opens turns. It is pure.
type capacity struct {
	low          bool // the disk is nearly full
	writeRefused bool // the disk refused a write as it was full, and no probe has succeeded since
	ledgersFull  bool // the index has maxLedgerEntries
}

// measure takes the bytes left and the limit of the disk, 0 for none.
func (r *capacity) measure(left, most int64) {
	r.low = most > 0 && (left < most/lowDivisor || r.low && left < most/reopenDivisor)
}

func (r *capacity) full() bool { return r.low || r.writeRefused || r.ledgersFull }

// Full reports whether the store opens no turns because its disk, or its memory of ledgers, is nearly full.
func (s *Server) Full() bool { return s.full.Load() }

// updateCapacity applies an update to the capacity, under the mutex, and logs a change of Full.
func (s *Server) updateCapacity(update func(*capacity)) {
	s.mu.Lock()
	update(&s.capacity)
	now := s.capacity.full()
	changed := s.full.Swap(now) != now
	is := s.capacity
	s.mu.Unlock()
	switch {
	case !changed:
	case is.writeRefused:
		s.Log.Error("disk is full: no turns are opened until it takes writes again; give it more disk, or add stores")
	case is.ledgersFull:
		s.Log.Error("ledgers are full: no turns are opened until old ones are dropped; add stores")
	case now:
		s.Log.Error("disk is nearly full: no turns are opened until old ones expire; give it more disk, or add stores")
	default:
		s.Log.Info("disk has room again: turns are opened")
	}
}

// noteWriteError updates the capacity by the outcome of a write.
func (s *Server) noteWriteError(err error) {
	if errors.Is(err, sqlitelog.ErrFull) {
		s.updateCapacity(func(r *capacity) { r.writeRefused = true })
	}
}

// checkCapacity measures what the disk can still take, and probes it after it refused a write.
func (s *Server) checkCapacity(ctx context.Context) {
	left, most, err := s.disk.Capacity()
	if err != nil {
		return // writes report the fault
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

// probe writes probeBytes to the disk and deletes them.
func (s *Server) probe(ctx context.Context) error {
	key := []byte(factProbe)
	if err := s.disk.Commit(ctx, []sqlitelog.Write{{Table: FactsTable, Key: key, Value: make([]byte, probeBytes)}}); err != nil {
		return err
	}
	return s.disk.Commit(ctx, []sqlitelog.Write{{Table: FactsTable, Key: key}})
}
