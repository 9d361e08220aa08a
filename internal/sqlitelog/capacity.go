package sqlitelog

import (
	"database/sql/driver"
	"fmt"
)

// vacuum returns free pages to the file system, once they are a quarter of the file.
func (d *DB) vacuum() error {
	free, err := d.queryInt("PRAGMA freelist_count")
	if err != nil || free < vacuumPages {
		return err
	}
	pages, err := d.queryInt("PRAGMA page_count")
	if err != nil || free*4 < pages {
		return err
	}
	rows, err := d.conn.Query(fmt.Sprintf("PRAGMA incremental_vacuum(%d)", min(free/2, maxVacuumPages)), nil)
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

// Capacity returns how many bytes may still be written and the limit of the file, both 0 where it has no limit. Free space of the
// file system bounds left as well, since other files may fill the disk before the limit is reached.
func (d *DB) Capacity() (left, most int64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return 0, 0, ErrClosed
	}
	var n [3]int64
	for i, q := range []string{"PRAGMA max_page_count", "PRAGMA page_count", "PRAGMA freelist_count"} {
		if n[i], err = d.queryInt(q); err != nil {
			return 0, 0, err
		}
	}
	if n[0] >= unlimitedPages {
		return 0, 0, nil
	}
	unused := n[2] * pageSize
	most = n[0] * pageSize
	left = most - n[1]*pageSize + unused
	grows := min(d.freeBytes(), most)
	return min(left, grows+unused), most, nil
}
