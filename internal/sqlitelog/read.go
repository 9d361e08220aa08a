package sqlitelog

import (
	"database/sql/driver"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/mattn/go-sqlite3"
)

// table returns a table's statements.
func (d *DB) table(name string) (*table, error) {
	t := d.tables[name]
	if t == nil {
		return nil, errors.Mark(errors.Newf("table %q was not named when the file was opened", name), ErrWrite)
	}
	return t, nil
}

// getFirst returns the first column of the first row of a query by key, nil if there is no row.
func getFirst(s *sqlite3.SQLiteStmt, key []byte) ([]byte, error) {
	rows, err := s.Query([]driver.Value{key})
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	one := make([]driver.Value, 1)
	switch err := rows.Next(one); {
	case errors.Is(err, io.EOF):
		return nil, nil
	case err != nil:
		return nil, err
	}
	v, _ := one[0].([]byte)
	if v == nil {
		v = []byte{}
	}
	return v, nil
}

// GetMany returns the values of keys, nil for a key that has none, under one lock of the connection. It stops once the values
// have more than most bytes together, so that it may return fewer values than keys, but at least one.
func (d *DB) GetMany(table string, keys [][]byte, most int) ([][]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, ErrClosed
	}
	t, err := d.table(table)
	if err != nil {
		return nil, err
	}
	values := make([][]byte, 0, len(keys))
	for size := 0; len(values) < len(keys) && size <= most; {
		v, err := getFirst(t.get, keys[len(values)])
		if err != nil {
			return nil, err
		}
		values = append(values, v)
		size += len(v)
	}
	return values, nil
}

// Get returns the value of a key, nil if it has none. A stored empty value is not nil.
func (d *DB) Get(table string, key []byte) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, ErrClosed
	}
	t, err := d.table(table)
	if err != nil {
		return nil, err
	}
	return getFirst(t.get, key)
}

// Range calls f for each row of a table with from <= key < to, in the order of the keys; a nil from or to is no bound. f may
// keep the slices and may call the DB: no lock is held. Rows that are written concurrently may be included or not.
func (d *DB) Range(table string, from, to []byte, f func(key, value []byte) error) error {
	if from == nil {
		from = []byte{}
	}
	for {
		keys, values, err := d.readPage(table, from, to)
		if err != nil {
			return err
		}
		if len(keys) == 0 {
			return nil
		}
		for i, k := range keys {
			if err := f(k, values[i]); err != nil {
				return err
			}
		}
		last := keys[len(keys)-1]
		from = append(append(make([]byte, 0, len(last)+1), last...), 0)
	}
}

// readPage returns the next rows of a range, about pageBytes of them at most.
func (d *DB) readPage(table string, from, to []byte) (keys, values [][]byte, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, nil, ErrClosed
	}
	t, err := d.table(table)
	if err != nil {
		return nil, nil, err
	}
	s, args := t.tail, []driver.Value{from}
	if to != nil {
		s, args = t.scan, []driver.Value{from, to}
	}
	rows, err := s.Query(args)
	if err != nil {
		return nil, nil, err
	}
	defer rows.Close()
	row := make([]driver.Value, 2)
	for size := 0; len(keys) < pageRows && size < pageBytes; {
		if err := rows.Next(row); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, nil, err
		}
		k, _ := row[0].([]byte)
		v, _ := row[1].([]byte)
		if v == nil {
			v = []byte{}
		}
		keys, values = append(keys, k), append(values, v)
		size += len(k) + len(v)
	}
	return keys, values, nil
}
