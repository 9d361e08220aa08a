package founding

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/sqlitelog"
)

// Disk keeps what a store remembers of the first start. *sqlitelog.DB implements it.
type Disk interface {
	Get(table string, key []byte) ([]byte, error)
	Commit(ctx context.Context, writes []sqlitelog.Write) error
}

// firstStartKey is the key of the seeds of the first start; part of the format on disk.
var firstStartKey = []byte("first_start")

// coreSeen takes the place of the seeds once the store has seen a founded core.
const coreSeen = "founded"

// FirstStart is what a store remembers of the system's first start. It is not safe for concurrent use.
type FirstStart struct {
	disk  Disk
	table string
	id    string
	seeds string // separated by spaces; empty if the store was not there, or coreSeen
}

// OpenFirstStart reads what a store remembers from a table of its disk. A store that is started with bootstrap and a disk on which
// nothing was stored yet remembers the seeds from now on.
func OpenFirstStart(ctx context.Context, disk Disk, table, id string, isFirst bool, seeds []string) (*FirstStart, error) {
	f := &FirstStart{disk: disk, table: table, id: id}
	stored, err := disk.Get(table, firstStartKey)
	if err != nil {
		return nil, errors.Wrap(err, "read what the store remembers of the first start")
	}
	f.seeds = string(stored)
	if f.seeds == "" && isFirst {
		return f, f.store(ctx, strings.Join(seeds, " "))
	}
	return f, nil
}

// Witness returns what the store says to seeds without a view. ok is false if it does not remember the first start, or has seen a
// founded core since.
func (f *FirstStart) Witness() (w Witness, ok bool) {
	if f.seeds == "" || f.seeds == coreSeen {
		return Witness{}, false
	}
	return Witness{ID: f.id, Seeds: strings.Fields(f.seeds)}, true
}

// SeeCore records that the store has seen a founded core.
func (f *FirstStart) SeeCore(ctx context.Context) error {
	if f.seeds == coreSeen {
		return nil
	}
	return f.store(ctx, coreSeen)
}

func (f *FirstStart) store(ctx context.Context, seeds string) error {
	err := f.disk.Commit(ctx, []sqlitelog.Write{{Table: f.table, Key: firstStartKey, Value: []byte(seeds)}})
	if err == nil {
		f.seeds = seeds
	}
	return errors.Wrap(err, "store what the store remembers of the first start")
}
