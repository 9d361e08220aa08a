package turnstore

import (
	"context"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/sqlitelog"
)

// expire deletes turns and ledgers whose retention time is over, a bounded part in one transaction. It reports whether there
// may be more. What cannot be deleted on disk stays in the index for the next attempt.
func (s *Server) expire(ctx context.Context) (more bool) {
	s.mu.Lock()
	now := s.Now()
	turns := s.index.expireTurns(now, maxExpiredPerCommit)
	programs := s.index.dropLedgers(now, maxExpiredPerCommit)
	s.mu.Unlock()
	var writes []sqlitelog.Write
	for _, t := range turns {
		key := rowKey(t.program.key, t.id)
		writes = append(writes, sqlitelog.Write{Table: tableTurns, Key: key}, sqlitelog.Write{Table: tableBodies, Key: key})
		s.cache.remove(t.id)
	}
	for _, p := range programs {
		for _, e := range p.ledger.Entries() {
			writes = append(writes, sqlitelog.Write{Table: tableEntries, Key: rowKey(p.key, e.Turn)})
		}
	}
	if len(writes) == 0 {
		return false
	}
	if err := s.disk.Commit(ctx, writes); err != nil {
		s.mu.Lock()
		s.index.restore(turns, programs, now)
		s.mu.Unlock()
		s.noteWriteError(err)
		if ctx.Err() == nil && !errors.Is(err, sqlitelog.ErrFull) {
			s.logFault("expire", err)
		}
		return false
	}
	return len(turns) >= maxExpiredPerCommit/2 || len(programs) >= maxExpiredPerCommit/2
}
