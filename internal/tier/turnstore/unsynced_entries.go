package turnstore

import (
	"context"

	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/budget"
)

// entryID names the entry of one turn in the ledger of its program.
type entryID struct{ program, turn string }

// submission is the latest write of an entry.
type submission struct {
	number uint64
	failed bool // its row may not be on disk
}

// unsyncedEntries tracks the entries that are in the index and may not be on disk: their write is pending or failed. The index
// joins an entry before its write; without this record, the same entry from another source would appear known and never reach
// the disk. It is pure.
type unsyncedEntries struct {
	entries map[entryID]submission
	last    uint64
}

func newUnsyncedEntries() *unsyncedEntries {
	return &unsyncedEntries{entries: map[entryID]submission{}}
}

// markSubmitted records that rows of entries were submitted to the disk, and returns the number of the submission.
func (u *unsyncedEntries) markSubmitted(ids []entryID) (number uint64) {
	u.last++
	for _, id := range ids {
		u.entries[id] = submission{number: u.last}
	}
	return u.last
}

// markSynced records that a submission is on disk. The disk commits submissions in order, so that earlier ones of the same
// entries are superseded.
func (u *unsyncedEntries) markSynced(ids []entryID, number uint64) {
	for _, id := range ids {
		if u.entries[id].number <= number {
			delete(u.entries, id)
		}
	}
}

// markFailed records that a submission may not be on disk.
func (u *unsyncedEntries) markFailed(ids []entryID, number uint64) {
	for _, id := range ids {
		if u.entries[id].number == number {
			u.entries[id] = submission{number: number, failed: true}
		}
	}
}

// list returns up to limit entries: all, or only those whose write failed.
func (u *unsyncedEntries) list(onlyFailed bool, limit int) (ids []entryID) {
	for id, s := range u.entries {
		if len(ids) == limit {
			break
		}
		if s.failed || !onlyFailed {
			ids = append(ids, id)
		}
	}
	return ids
}

// remove drops an entry that is not in the index any more.
func (u *unsyncedEntries) remove(id entryID) { delete(u.entries, id) }

// entryRows are the writes of ledger entries, and others that are committed in the same transaction.
type entryRows struct {
	ids    []entryID
	writes []sqlitelog.Write
}

func (r *entryRows) add(program string, e budget.Entry) {
	r.ids = append(r.ids, entryID{program, e.Turn})
	r.writes = append(r.writes, encodeEntry(program, e))
}

// pendingEntries is a pending write of entries whose Wait updates unsyncedEntries.
type pendingEntries struct {
	store  *Server
	ids    []entryID
	number uint64
	write  pendingWrite
}

// submit submits rows to the disk. s.mu is held, so that rows are written in the order in which the index changed.
func (s *Server) submit(rows entryRows) *pendingEntries {
	return &pendingEntries{store: s, ids: rows.ids, number: s.unsynced.markSubmitted(rows.ids), write: s.disk.Submit(rows.writes)}
}

// Wait returns after the sync. s.mu must not be held.
func (w *pendingEntries) Wait(ctx context.Context) error {
	err := w.write.Wait(ctx)
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	if err == nil {
		w.store.unsynced.markSynced(w.ids, w.number)
	} else {
		w.store.unsynced.markFailed(w.ids, w.number)
	}
	return err
}

// unsyncedRows returns the rows of entries that may not be on disk, with their current values. s.mu is held.
func (s *Server) unsyncedRows(onlyFailed bool, limit int) (rows entryRows) {
	for _, id := range s.unsynced.list(onlyFailed, limit) {
		e, ok := s.index.entry(id)
		if !ok {
			s.unsynced.remove(id)
			continue
		}
		rows.add(id.program, e)
	}
	return rows
}

// rewriteFailedEntries writes entries whose write failed again, a bounded part at a time. It reports whether there may be more.
func (s *Server) rewriteFailedEntries(ctx context.Context) (more bool, err error) {
	s.mu.Lock()
	rows := s.unsyncedRows(true, maxRewriteEntries)
	if len(rows.ids) == 0 {
		s.mu.Unlock()
		return false, nil
	}
	wrote := s.submit(rows)
	s.mu.Unlock()
	if err := wrote.Wait(ctx); err != nil {
		return false, err
	}
	return len(rows.ids) == maxRewriteEntries, nil
}

// commitSweep records on disk that the sweep of a generation is complete, in one transaction with every entry that may not be
// on disk yet.
func (s *Server) commitSweep(ctx context.Context, generation int64) error {
	for more := true; more; {
		var err error
		if more, err = s.rewriteFailedEntries(ctx); err != nil {
			return err
		}
	}
	s.mu.Lock()
	rows := s.unsyncedRows(false, maxLedgerEntries)
	rows.writes = append(rows.writes, fact(factSwept, generation))
	wrote := s.submit(rows)
	s.mu.Unlock()
	return wrote.Wait(ctx)
}
