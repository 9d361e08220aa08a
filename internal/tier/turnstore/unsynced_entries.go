package turnstore

import (
	"context"

	"larchrouter/internal/sqlitelog"
	"larchrouter/internal/tier/budget"
)

// entryID names the entry of one turn in the ledger of its program.
type entryID struct{ program, turn string }

// submission is the newest write of an entry.
type submission struct {
	number uint64
	failed bool // its row may not be on disk
}

// unsyncedEntries are the entries that the index holds and that the disk may lack: their write is under way, or it failed. The
// index joins an entry before its write, so that without this record a later copy of the same entry would look known and
// never reach the disk. It is pure.
type unsyncedEntries struct {
	entries map[entryID]submission
	last    uint64
}

func newUnsyncedEntries() *unsyncedEntries { return &unsyncedEntries{entries: map[entryID]submission{}} }

// markSubmitted notes that rows of entries were given to the disk, and numbers the submission.
func (u *unsyncedEntries) markSubmitted(ids []entryID) (number uint64) {
	u.last++
	for _, id := range ids {
		u.entries[id] = submission{number: u.last}
	}
	return u.last
}

// markSynced notes that a submission is on disk. The disk takes submissions in order, so those before it do not matter.
func (u *unsyncedEntries) markSynced(ids []entryID, number uint64) {
	for _, id := range ids {
		if u.entries[id].number <= number {
			delete(u.entries, id)
		}
	}
}

// markFailed notes that a submission may not be on disk.
func (u *unsyncedEntries) markFailed(ids []entryID, number uint64) {
	for _, id := range ids {
		if u.entries[id].number == number {
			u.entries[id] = submission{number: number, failed: true}
		}
	}
}

// list gives some of the entries: all kinds, or those alone whose write failed.
func (u *unsyncedEntries) list(onlyFailed bool, most int) (ids []entryID) {
	for id, s := range u.entries {
		if len(ids) == most {
			break
		}
		if s.failed || !onlyFailed {
			ids = append(ids, id)
		}
	}
	return ids
}

// remove drops an entry that the index does not hold any more.
func (u *unsyncedEntries) remove(id entryID) { delete(u.entries, id) }

// entryRows are rows of ledgers, and what else goes to disk in the same transaction.
type entryRows struct {
	ids    []entryID
	writes []sqlitelog.Write
}

func (r *entryRows) add(program string, e budget.Entry) {
	r.ids = append(r.ids, entryID{program, e.Turn})
	r.writes = append(r.writes, encodeEntry(program, e))
}

// pendingEntries is a pending write of entries that keeps the record of what is not synced.
type pendingEntries struct {
	store  *Server
	ids    []entryID
	number uint64
	write  pendingWrite
}

// submit gives rows to the disk; the mutex is held, so that rows are written in the order of the index.
func (s *Server) submit(rows entryRows) *pendingEntries {
	return &pendingEntries{store: s, ids: rows.ids, number: s.unsynced.markSubmitted(rows.ids), write: s.disk.Submit(rows.writes)}
}

// Wait returns after the sync; the mutex must not be held.
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

// unsyncedRows gives the rows of entries that the disk may lack, as the index has them now; the mutex is held.
func (s *Server) unsyncedRows(onlyFailed bool, most int) (rows entryRows) {
	for _, id := range s.unsynced.list(onlyFailed, most) {
		e, ok := s.index.entry(id)
		if !ok {
			s.unsynced.remove(id)
			continue
		}
		rows.add(id.program, e)
	}
	return rows
}

// rewriteFailedEntries writes entries again whose write failed, a bounded part at a time; more tells that there may be more.
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

// commitSweep puts on disk that the store has all that it should hold under a placement, in one transaction with each
// entry that the disk may still lack.
func (s *Server) commitSweep(ctx context.Context, gen int64) error {
	for more := true; more; {
		var err error
		if more, err = s.rewriteFailedEntries(ctx); err != nil {
			return err
		}
	}
	s.mu.Lock()
	rows := s.unsyncedRows(false, maxLedgerEntries)
	rows.writes = append(rows.writes, fact(factSwept, gen))
	wrote := s.submit(rows)
	s.mu.Unlock()
	return wrote.Wait(ctx)
}
