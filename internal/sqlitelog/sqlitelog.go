// Package sqlitelog is an embedded key-value store with group commit on SQLite: one writer goroutine commits all queued
// writes in one transaction, syncs once, and then reports the outcome to their callers.
//
// A write whose outcome is nil is on disk; the writes of one call are atomic, and calls are committed in their order. An
// error of kind ErrFull, ErrBusy or ErrWrite leaves nothing of the call's writes, and the file goes on. ErrBroken is
// final: the caller must end the process and open the file again. Reads see committed writes only and wait while a
// transaction is committed, as there is one connection. The process locks the file exclusively.
package sqlitelog

import (
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/mattn/go-sqlite3"
)

// The kinds of errors.
var (
	// ErrFull marks a write that exceeds the file's limit or the space on the disk. Nothing of it was written.
	ErrFull = errors.New("data file is full")
	// ErrNewer marks a file of a newer build.
	ErrNewer = errors.New("data file is of a newer version")
	// ErrInUse marks a file that another process has open. It is known at once, without a wait.
	ErrInUse = errors.New("data file is open in another process")
	// ErrDamaged marks a file whose contents are not those of a data file.
	ErrDamaged = errors.New("data file is damaged")
	// ErrClosed marks a call after Close.
	ErrClosed = errors.New("data file is closed")
	// ErrBroken marks a file whose disk failed a write or sync: its contents are not known until it is opened again.
	ErrBroken = errors.New("data file failed")
	// ErrBusy marks writes that were rejected, as too many are queued.
	ErrBusy = errors.New("too many writes wait for the disk")
	// ErrWrite marks a write that is invalid, such as one to an unknown table. Nothing of it was written.
	ErrWrite = errors.New("write refused")
)

const (
	schemaVersion     = 1
	pageSize          = 4096
	walPages          = 512                // in the write-ahead log, after which it is checkpointed
	walReserve        = 6 << 20            // bytes of the limit for the write-ahead log
	unlimitedPages    = 1 << 30            // more pages than any limit that is set
	minLimit          = walReserve + 2<<20 // bytes; lower limits are raised to it
	maxGroupBytes     = 1 << 20            // keys and values in one transaction
	maxGroupRequests  = 1024               // calls in one transaction, and in the queue
	pageRows          = 256                // read under one lock of the connection
	pageBytes         = 1 << 20            // read under one lock of the connection
	vacuumPages       = 64                 // deletions before a vacuum, and free pages that it needs
	maxVacuumPages    = 512                // returned with one commit
	incrementalVacuum = 2                  // value of PRAGMA auto_vacuum
	identityKey       = "\x00identity"     // row of datalogger_facts
)

// Write sets the value of a key. A nil value deletes the key.
type Write struct {
	Table      string
	Key, Value []byte
}

// DB is one file. It is safe for concurrent use.
type DB struct {
	identity  string
	fresh     bool
	freeBytes func() int64 // free bytes of the file system

	requests chan *request
	stop     chan struct{}
	done     chan struct{}
	closing  sync.Once
	commits  atomic.Int64
	fault    atomic.Pointer[error]
	faulted  chan struct{}

	mu           sync.Mutex // guards the connection and what follows
	conn         *sqlite3.SQLiteConn
	beginStmt    *sqlite3.SQLiteStmt
	commitStmt   *sqlite3.SQLiteStmt
	rollbackStmt *sqlite3.SQLiteStmt
	tables       map[string]*table
	deletedRows  int // since the last vacuum
	closed       bool
}

// table is the prepared statements of one table. They are of the driver's own type, whose Exec and Query take plain values and
// start no goroutine for a context.
type table struct{ put, del, get, scan, tail *sqlite3.SQLiteStmt }

// Identity returns the random identity that the file got when it was created; fresh reports whether this Open created it.
func (d *DB) Identity() (id string, fresh bool) { return d.identity, d.fresh }

// Commits returns the number of transactions that were synced.
func (d *DB) Commits() int64 { return d.commits.Load() }

// Close ends the writer after the current transaction and closes the file. Queued writes end in ErrClosed.
func (d *DB) Close() error {
	var err error
	d.closing.Do(func() {
		close(d.stop)
		<-d.done
		d.mu.Lock()
		defer d.mu.Unlock()
		d.closed = true
		for _, s := range []*sqlite3.SQLiteStmt{d.beginStmt, d.commitStmt, d.rollbackStmt} {
			_ = s.Close()
		}
		for _, t := range d.tables {
			for _, s := range []*sqlite3.SQLiteStmt{t.put, t.del, t.get, t.scan, t.tail} {
				_ = s.Close()
			}
		}
		err = d.conn.Close()
	})
	return err
}
