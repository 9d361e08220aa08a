package sqlitelog

import (
	"database/sql/driver"
	"fmt"
)

// vacuum gives back pages that are free once they are a quarter of the file.
func (d *DB) vacuum() error {
	free, err := d.number("PRAGMA freelist_count")
	if err != nil || free < vacuumPages {
		return err
	}
	pages, err := d.number("PRAGMA page_count")
	if err != nil || free*4 < pages {
		return err
	}
	rows, err := d.conn.Query(fmt.Sprintf("PRAGMA incremental_vacuum(%d)", min(free/2, vacuumMost)), nil)
	if err != nil {
		return err
	}
	defer rows.Close()
	for one := make([]driver.Value, len(rows.Columns())); ; {
		if err := rows.Next(one); err != nil {
			return nil // io.EOF at its end
		}
	}
}

// Room is how many bytes the file may still take up, and how many at most in all; 0 for both where it has no limit. What its
// file system has free counts as well: another's files may have filled the disk before the limit is reached.
func (d *DB) Room() (left, most int64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return 0, 0, ErrClosed
	}
	var n [3]int64
	for i, q := range []string{"PRAGMA max_page_count", "PRAGMA page_count", "PRAGMA freelist_count"} {
		if n[i], err = d.number(q); err != nil {
			return 0, 0, err
		}
	}
	if n[0] >= unlimitedPages {
		return 0, 0, nil
	}
	unused := n[2] * pageSize
	most = n[0] * pageSize
	left = most - n[1]*pageSize + unused
	grows := min(d.diskFree(), most)
	return min(left, grows+unused), most, nil
}
