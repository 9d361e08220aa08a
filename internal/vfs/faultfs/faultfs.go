// Package faultfs is a vfs.System in memory with injected faults: errors and short writes, a full disk, a crash of the process
// at any operation, and a loss of power after which unsynced data is lost in part. All random choices follow from a seed.
package faultfs

import (
	"errors"
	"io/fs"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"larchrouter/internal/vfs"
)

// ErrCrashed is returned by every operation after the injected crash.
var ErrCrashed = errors.New("faulty: the process has ended")

// sectorSize is the unit that a disk writes atomically in most cases, in bytes.
const sectorSize = 512

// Dir is a directory. It is not safe for concurrent use. Operations are numbered from 1.
type Dir struct {
	// CrashAt is the number of the operation during which the process crashes; 0 for never. A write in progress is done
	// in part.
	CrashAt int
	// Fail has the errors of operations by their number. A write that fails is done in part.
	Fail map[int]error
	// FailSync has the errors of file syncs by their own number, from 1. A failed sync leaves the data unsynced.
	FailSync map[int]error
	// Space is the size of the disk in bytes; negative for no limit.
	Space int64

	opCount, syncCount int
	crashed            bool
	random             *rand.Rand
	current            map[string]*inode
	durable            map[string]*inode // names that survive a loss of power
}

// inode is the contents of a file: as written, and as synced.
type inode struct {
	data      []byte
	synced    []byte
	allocated int64 // reserved size in bytes, from the start of the file
}

// New returns an empty directory whose random choices follow from a seed.
func New(seed uint64) *Dir {
	return &Dir{Space: -1, random: rand.New(rand.NewPCG(seed, 7)), current: map[string]*inode{}, durable: map[string]*inode{}}
}

// Ops returns the number of operations so far.
func (d *Dir) Ops() int { return d.opCount }

// Crashed reports whether the injected crash happened.
func (d *Dir) Crashed() bool { return d.crashed }

// Used returns the size of all files, in bytes.
func (d *Dir) Used() (sum int64) {
	for _, n := range d.current {
		sum += max(int64(len(n.data)), n.allocated)
	}
	return sum
}

// Restart returns the directory as the next process finds it. After a loss of power, unsynced changes are there in part:
// created or removed names, complete or torn sectors, and sizes without their data.
func (d *Dir) Restart(power bool) *Dir {
	next := New(d.random.Uint64())
	next.Space = d.Space
	names := map[string]bool{}
	for _, all := range []map[string]*inode{d.current, d.durable} {
		for name := range all {
			names[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		n, durable := d.current[name], d.durable[name]
		if power && durable != n && d.random.IntN(2) == 0 {
			n = durable
		}
		if n == nil {
			continue
		}
		survivor := &inode{data: slices.Clone(n.data), allocated: n.allocated}
		if power {
			survivor.data = d.tornContents(n)
		}
		survivor.synced = slices.Clone(survivor.data)
		next.current[name], next.durable[name] = survivor, survivor
	}
	return next
}

// tornContents returns the contents that a loss of power leaves of a file.
func (d *Dir) tornContents(n *inode) []byte {
	size := len(n.synced)
	if len(n.data) != size {
		size = min(size, len(n.data)) + d.random.IntN(max(len(n.data), size)-min(size, len(n.data))+1)
	}
	out := make([]byte, size) // zeros where the size was written and the data was not
	copy(out, n.synced)
	for at := 0; at < size; at += sectorSize {
		end := min(at+sectorSize, size, len(n.data))
		if at >= end || d.random.IntN(2) == 0 {
			continue
		}
		if d.random.IntN(8) == 0 {
			end = at + d.random.IntN(end-at+1)
		}
		// Synced data that was not written since is equal in both, and survives.
		copy(out[at:end], n.data[at:end])
	}
	return out
}

// nextOp counts an operation and returns its injected error.
func (d *Dir) nextOp() error {
	if d.crashed {
		return ErrCrashed
	}
	d.opCount++
	if d.opCount == d.CrashAt {
		d.crashed = true
		return ErrCrashed
	}
	return d.Fail[d.opCount]
}

// Names implements vfs.System.
func (d *Dir) Names() ([]string, error) { return slices.Sorted(maps.Keys(d.current)), d.nextOp() }

// Read implements vfs.System.
func (d *Dir) Read(name string) ([]byte, error) {
	if err := d.nextOp(); err != nil {
		return nil, err
	}
	n := d.current[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Create implements vfs.System.
func (d *Dir) Create(name string) (vfs.File, error) {
	if err := d.nextOp(); err != nil {
		return nil, err
	}
	if d.current[name] != nil {
		return nil, fs.ErrExist
	}
	n := new(inode)
	d.current[name] = n
	return &file{d, n}, nil
}

// Remove implements vfs.System.
func (d *Dir) Remove(name string) error {
	if err := d.nextOp(); err != nil {
		return err
	}
	delete(d.current, name)
	return nil
}

// Truncate implements vfs.System.
func (d *Dir) Truncate(name string, size int64) error {
	if n := d.current[name]; n != nil {
		return (&file{d, n}).Truncate(size)
	}
	return fs.ErrNotExist
}

// Available implements vfs.System.
func (d *Dir) Available() int64 {
	if d.Space < 0 {
		return math.MaxInt64
	}
	return max(0, d.Space-d.Used())
}

// SyncFile implements vfs.System.
func (d *Dir) SyncFile(name string) error {
	if n := d.current[name]; n != nil {
		return (&file{d, n}).Sync()
	}
	return fs.ErrNotExist
}

// SyncDir implements vfs.System.
func (d *Dir) SyncDir() error {
	if err := d.nextOp(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.current)
	return nil
}
