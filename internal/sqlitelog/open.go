package sqlitelog

import (
	"crypto/rand"
	"database/sql/driver"
	"encoding/hex"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/mattn/go-sqlite3"

	"larchrouter/internal/vfs"
)

var tableName = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// Open opens or creates a file in a folder, with the named tables (lower-case letters, digits and _). The file and its
// write-ahead log take at most limit bytes together (0: no limit); a write beyond it fails with ErrFull.
func Open(dir, file string, limit int64, tables ...string) (*DB, error) {
	path, err := filepath.Abs(filepath.Join(dir, file))
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "data folder: make it writable")
	}
	c, err := (&sqlite3.SQLiteDriver{}).Open(dataSource(path))
	if err != nil {
		return nil, openError(err, file)
	}
	d := &DB{
		conn:      c.(*sqlite3.SQLiteConn),
		requests:  make(chan *request, maxGroupRequests),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		faulted:   make(chan struct{}),
		tables:    map[string]*table{},
		freeBytes: vfs.Dir(dir).Available,
	}
	if err := d.prepare(limit, tables); err != nil {
		_ = d.conn.Close()
		return nil, openError(err, file)
	}
	go d.runWriter()
	return d, nil
}

// dataSource returns the name under which SQLite opens a file. unix-excl keeps the index of the write-ahead log in the heap instead of a
// shared mapping. The lock is not waited for: callers that wait can be stopped.
func dataSource(path string) string {
	return (&url.URL{Scheme: "file", Path: path, RawQuery: "vfs=unix-excl&_busy_timeout=0"}).String()
}

// openError marks an error of opening a file with its kind.
func openError(err error, file string) error {
	var s sqlite3.Error
	if errors.As(err, &s) {
		if kind := openErrorKind(s); kind != nil {
			err = errors.Mark(err, kind)
		}
	}
	return errors.Wrapf(err, "open %s", file)
}

// openErrorKind returns the kind of an error of SQLite while a file is opened, nil for none of them.
func openErrorKind(s sqlite3.Error) error {
	switch {
	case s.Code == sqlite3.ErrBusy || s.Code == sqlite3.ErrLocked:
		return ErrInUse
	case isOutOfSpace(s) || s.SystemErrno == syscall.ENOSPC:
		return ErrFull
	case s.Code == sqlite3.ErrCorrupt || s.Code == sqlite3.ErrNotADB:
		return ErrDamaged
	case s.SystemErrno == syscall.EMFILE || s.SystemErrno == syscall.ENFILE:
		return s.SystemErrno
	case s.Code == sqlite3.ErrIoErr:
		return ErrBroken
	default:
		return nil
	}
}

func (d *DB) prepare(limit int64, tables []string) error {
	for _, t := range tables {
		if !tableName.MatchString(t) {
			return errors.Newf("table name %q: use lower-case letters, digits and _", t)
		}
	}
	if err := d.configure(); err != nil {
		return err
	}
	if err := d.createTables(tables); err != nil {
		return err
	}
	if limit > 0 {
		if err := d.exec(fmt.Sprintf("PRAGMA max_page_count=%d", (max(limit, minLimit)-walReserve)/pageSize)); err != nil {
			return err
		}
	}
	if err := d.readIdentity(); err != nil {
		return err
	}
	return d.prepareStatements(tables)
}

// configure sets how the file is locked and synced. Properties that the file has already are not set again, as that writes,
// which fails on a full disk.
func (d *DB) configure() error {
	if err := d.exec("PRAGMA locking_mode=EXCLUSIVE"); err != nil {
		return err
	}
	vacuum, err := d.queryInt("PRAGMA auto_vacuum")
	if err != nil {
		return err
	}
	if vacuum != incrementalVacuum {
		if err := d.exec("PRAGMA auto_vacuum=INCREMENTAL"); err != nil {
			return err
		}
	}
	for _, q := range []string{
		"PRAGMA journal_mode=WAL",
		"PRAGMA synchronous=FULL",
		fmt.Sprintf("PRAGMA wal_autocheckpoint=%d", walPages),
		fmt.Sprintf("PRAGMA journal_size_limit=%d", walReserve),
		"PRAGMA cache_size=-1024",
		"PRAGMA temp_store=MEMORY",
	} {
		if err := d.exec(q); err != nil {
			return errors.Wrap(err, q)
		}
	}
	return nil
}

// createTables creates the missing tables, and the identity of a new file, in one transaction.
func (d *DB) createTables(tables []string) error {
	version, err := d.queryInt("PRAGMA user_version")
	if err != nil {
		return err
	}
	if version > schemaVersion {
		return errors.Mark(errors.Newf("its schema has version %d, this build knows %d: run the build that wrote it, or a newer one",
			version, schemaVersion), ErrNewer)
	}
	statements := []string{"BEGIN IMMEDIATE"}
	if version != schemaVersion {
		statements = append(statements, fmt.Sprintf("PRAGMA user_version=%d", schemaVersion))
	}
	const columns = " (k BLOB PRIMARY KEY NOT NULL, v BLOB NOT NULL) WITHOUT ROWID"
	statements = append(statements, "CREATE TABLE IF NOT EXISTS datalogger_facts"+columns)
	for _, t := range tables {
		statements = append(statements, "CREATE TABLE IF NOT EXISTS t_"+t+columns)
	}
	for _, q := range statements {
		if err := d.exec(q); err != nil {
			return errors.Wrap(err, q)
		}
	}
	if d.fresh, err = d.insertIdentity(); err != nil {
		return err
	}
	return d.exec("COMMIT")
}

// insertIdentity gives the file a random identity, unless it has one, and reports whether it did.
func (d *DB) insertIdentity() (inserted bool, err error) {
	id := make([]byte, 16)
	if _, err := rand.Read(id); err != nil {
		return false, err
	}
	row := []driver.Value{[]byte(identityKey), []byte(hex.EncodeToString(id))}
	r, err := d.conn.Exec("INSERT OR IGNORE INTO datalogger_facts(k,v) VALUES(?,?)", row)
	if err != nil {
		return false, err
	}
	n, err := r.RowsAffected()
	return n > 0, err
}

func (d *DB) readIdentity() error {
	known, err := d.prepareStmt("SELECT v FROM datalogger_facts WHERE k=?")
	if err != nil {
		return err
	}
	defer known.Close()
	v, err := getFirst(known, []byte(identityKey))
	if err != nil {
		return err
	}
	d.identity = string(v)
	return nil
}

func (d *DB) prepareStatements(tables []string) (err error) {
	statement := func(q string) (s *sqlite3.SQLiteStmt) {
		if err == nil {
			s, err = d.prepareStmt(q)
		}
		return s
	}
	d.beginStmt, d.commitStmt, d.rollbackStmt = statement("BEGIN IMMEDIATE"), statement("COMMIT"), statement("ROLLBACK")
	for _, t := range tables {
		d.tables[t] = &table{
			put:  statement("INSERT INTO t_" + t + "(k,v) VALUES(?,?) ON CONFLICT(k) DO UPDATE SET v=excluded.v"),
			del:  statement("DELETE FROM t_" + t + " WHERE k=?"),
			get:  statement("SELECT v FROM t_" + t + " WHERE k=?"),
			scan: statement("SELECT k,v FROM t_" + t + " WHERE k>=? AND k<? ORDER BY k"),
			tail: statement("SELECT k,v FROM t_" + t + " WHERE k>=? ORDER BY k"),
		}
	}
	return err
}

func (d *DB) prepareStmt(q string) (*sqlite3.SQLiteStmt, error) {
	s, err := d.conn.Prepare(q)
	if err != nil {
		return nil, err
	}
	return s.(*sqlite3.SQLiteStmt), nil
}

func (d *DB) exec(q string) error { _, err := d.conn.Exec(q, nil); return err }

func (d *DB) queryInt(q string) (int64, error) {
	rows, err := d.conn.Query(q, nil)
	if err != nil {
		return 0, err
	}
	defer rows.Close()
	one := make([]driver.Value, 1)
	if err := rows.Next(one); err != nil {
		return 0, err
	}
	n, _ := one[0].(int64)
	return n, nil
}
