package sqlitelog

import (
	"database/sql/driver"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/mattn/go-sqlite3"
)

// first gives the first column of the first row, nil if there is none.
func first(s *sqlite3.SQLiteStmt, key []byte) ([]byte, error) {
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

// GetMany gives the values of some keys, nil for one that has none, under one hold of the file: of the first keys only
// where their values are more than most bytes together.
func (d *DB) GetMany(table string, keys [][]byte, most int) ([][]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, ErrClosed
	}
	t := d.tables[table]
	if t == nil {
		return nil, errors.Mark(errors.Newf("table %q was not named when the file was opened", table), ErrWrite)
	}
	values := make([][]byte, 0, len(keys))
	for size := 0; len(values) < len(keys) && size <= most; {
		v, err := first(t.get, keys[len(values)])
		if err != nil {
			return nil, err
		}
		values = append(values, v)
		size += len(v)
	}
	return values, nil
}

// Get gives the value of a key, nil if it has none. A stored empty value is not nil.
func (d *DB) Get(table string, key []byte) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, ErrClosed
	}
	t := d.tables[table]
	if t == nil {
		return nil, errors.Mark(errors.Newf("table %q was not named when the file was opened", table), ErrWrite)
	}
	return first(t.get, key)
}

// Range calls f for each row from the key from on and before the key to (nil: to the end), in order. f may keep what it
// is given and may call the DB. Writes made meanwhile may be seen or not.
func (d *DB) Range(table string, from, to []byte, f func(key, value []byte) error) error {
	if from == nil {
		from = []byte{}
	}
	for {
		keys, values, err := d.page(table, from, to)
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

func (d *DB) page(table string, from, to []byte) (keys, values [][]byte, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil, nil, ErrClosed
	}
	t := d.tables[table]
	if t == nil {
		return nil, nil, errors.Mark(errors.Newf("table %q was not named when the file was opened", table), ErrWrite)
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
	for size := 0; len(keys) < rangeRows && size < rangeBytes; {
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
