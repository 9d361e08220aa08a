package sqlitelog

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/mattn/go-sqlite3"
)

// handleError marks an error of SQLite with its kind. Any that is neither ErrWrite nor ErrFull breaks the file for good: after
// a failed sync it is not known what the disk has.
func (d *DB) handleError(err error) error {
	var s sqlite3.Error
	switch {
	case errors.Is(err, ErrWrite):
		return err
	case errors.As(err, &s) && isOutOfSpace(s):
		return errors.Mark(errors.Wrap(err, "give the node more disk, or wait until old records expire"), ErrFull)
	case errors.As(err, &s) && (s.Code == sqlite3.ErrTooBig || s.Code == sqlite3.ErrConstraint || s.Code == sqlite3.ErrMisuse):
		return errors.Mark(err, ErrWrite)
	}
	err = errors.Mark(errors.Wrap(err, "disk failed: start the process again"), ErrBroken)
	if d.fault.CompareAndSwap(nil, &err) {
		close(d.faulted)
	}
	return err
}

// isOutOfSpace reports whether a write was refused for lack of space. SQLite has a code for the end of the disk only; a quota
// and a limit on the size of files are failed writes, which unlike failed syncs leave nothing in doubt.
func isOutOfSpace(err sqlite3.Error) bool {
	if err.Code == sqlite3.ErrFull {
		return true
	}
	return err.ExtendedCode == sqlite3.ErrIoErrWrite && (err.SystemErrno == syscall.EDQUOT || err.SystemErrno == syscall.EFBIG)
}

// Err returns the fault after which the file takes no writes any more, nil while it does.
func (d *DB) Err() error {
	if b := d.fault.Load(); b != nil {
		return *b
	}
	return nil
}

// Failed returns a channel that is closed once Err is not nil. The process should then end: only opening the file again
// establishes what is on the disk.
func (d *DB) Failed() <-chan struct{} { return d.faulted }
