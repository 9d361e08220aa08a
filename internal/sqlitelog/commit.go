package sqlitelog

import (
	"context"
	"database/sql/driver"

	"github.com/cockroachdb/errors"
)

// request is the writes of one call; they are committed together or not at all.
type request struct {
	writes []Write
	bytes  int        // of keys and values
	err    chan error // buffered; receives the outcome once
}

// Pending is the outcome of Submit: writes that may not be synced yet.
type Pending struct {
	db  *DB
	err chan error
}

func newRequest(writes []Write) *request {
	r := &request{writes: writes, err: make(chan error, 1)}
	for _, w := range writes {
		r.bytes += len(w.Key) + len(w.Value)
	}
	return r
}

// Submit queues writes that are committed atomically, in the order of the calls. It never blocks: where the queue is full,
// the outcome is ErrBusy and nothing is written.
func (d *DB) Submit(writes []Write) *Pending {
	r := newRequest(writes)
	if len(writes) == 0 {
		r.err <- nil
		return &Pending{d, r.err}
	}
	select {
	case <-d.done:
		r.err <- ErrClosed
		return &Pending{d, r.err}
	default:
	}
	select {
	case d.requests <- r:
	default:
		r.err <- ErrBusy
	}
	return &Pending{d, r.err}
}

// Wait returns the outcome after the sync; it must be called once at most. If ctx ends first, the writes may still be made.
func (p *Pending) Wait(ctx context.Context) error {
	select {
	case err := <-p.err:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-p.db.done:
		select {
		case err := <-p.err:
			return err
		default:
			return ErrClosed
		}
	}
}

// Commit makes writes atomically and returns after their sync. Where the queue is full it blocks. If ctx ends first, the
// writes may still be made.
func (d *DB) Commit(ctx context.Context, writes []Write) error {
	if len(writes) == 0 {
		return nil
	}
	r := newRequest(writes)
	select {
	case d.requests <- r:
	case <-d.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	return (&Pending{d, r.err}).Wait(ctx)
}

// runWriter commits queued requests in groups until the file is closed.
func (d *DB) runWriter() {
	defer close(d.done)
	var next *request // the first of the next group, if it did not fit into the last
	for {
		var first *request
		if next != nil {
			first, next = next, nil
		} else {
			select {
			case first = <-d.requests:
			case <-d.stop:
				return
			}
		}
		var group []*request
		group, next = d.gatherGroup(first)
		d.commitGroup(group)
	}
}

// gatherGroup returns the requests that are queued, after a first one, up to the limits of a group. overflow is one that
// was taken from the queue and exceeds maxGroupBytes.
func (d *DB) gatherGroup(first *request) (group []*request, overflow *request) {
	group = append(make([]*request, 0, 8), first)
	size := first.bytes
	for len(group) < maxGroupRequests {
		select {
		case r := <-d.requests:
			if size += r.bytes; size > maxGroupBytes {
				return group, r
			}
			group = append(group, r)
		default:
			return group, nil
		}
	}
	return group, nil
}

// commitGroup commits a group in one transaction. If that fails without breaking the file, each request is committed alone,
// so that one that cannot be made does not fail the others.
func (d *DB) commitGroup(group []*request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.runTransaction(group)
	if err != nil && len(group) > 1 && !errors.Is(err, ErrBroken) {
		for _, r := range group {
			r.err <- d.runTransaction([]*request{r})
		}
		return
	}
	for _, r := range group {
		r.err <- err
	}
}

// runTransaction commits a group in one transaction; nothing of it is made if it returns an error. d.mu is held.
func (d *DB) runTransaction(group []*request) error {
	if b := d.fault.Load(); b != nil {
		return *b
	}
	if _, err := d.beginStmt.Exec(nil); err != nil {
		return d.handleError(err)
	}
	if err := d.apply(group); err != nil {
		return d.rollback(err)
	}
	if _, err := d.commitStmt.Exec(nil); err != nil {
		return d.rollback(err)
	}
	d.commits.Add(1)
	if d.deletedRows >= vacuumPages {
		d.deletedRows = 0
		if err := d.vacuum(); err != nil {
			return nil // the group is synced; the next vacuum is tried later
		}
	}
	return nil
}

// apply executes the writes of a group in the open transaction.
func (d *DB) apply(group []*request) error {
	args := make([]driver.Value, 2)
	for _, r := range group {
		for _, w := range r.writes {
			t, err := d.table(w.Table)
			if err != nil {
				return err
			}
			args[0] = w.Key
			if w.Value == nil {
				_, err = t.del.Exec(args[:1])
				d.deletedRows++
			} else {
				args[1] = w.Value
				_, err = t.put.Exec(args)
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// rollback ends the open transaction after an error and returns the error as handleError does.
func (d *DB) rollback(err error) error {
	// On a full disk SQLite has rolled back by itself; the statement then fails, which changes nothing.
	_, _ = d.rollbackStmt.Exec(nil)
	return d.handleError(err)
}
