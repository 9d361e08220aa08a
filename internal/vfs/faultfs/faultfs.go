// Package faultfs is a folder in memory that fails as disks and machines do: short writes, no room, errors, a process
// that ends at any operation, and power that goes while not all is synced. Everything it does follows from a seed.
package faultfs

import (
	"errors"
	"io/fs"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"syscall"

	"larchrouter/internal/vfs"
)

// ErrCrashed is what every operation returns once the process is held to have ended.
var ErrCrashed = errors.New("faulty: the process has ended")

// sectorSize is what a disk writes whole, mostly.
const sectorSize = 512

// Dir is a folder. It is not safe for concurrent use.
type Dir struct {
	// CrashAt ends the process in the operation with this number, the first being 1; 0 for never. A write that it
	// ends in is done in part.
	CrashAt int
	// Fail gives an operation an error; a write is done in part before.
	Fail map[int]error
	// FailSync gives the sync of a file with this number an error; its bytes are lost with the power.
	FailSync map[int]error
	// Space is how many bytes the files may take together; below 0 for no limit.
	Space int64

	opCount, syncCount int
	crashed            bool
	random             *rand.Rand
	current            map[string]*inode
	durable            map[string]*inode // entries that outlast a loss of power
}

type inode struct {
	data      []byte
	synced    []byte
	allocated int64 // allocated beyond data
}

// New is an empty folder.
func New(seed uint64) *Dir {
	return &Dir{Space: -1, random: rand.New(rand.NewPCG(seed, 7)), current: map[string]*inode{}, durable: map[string]*inode{}}
}

// Ops is how many operations there were.
func (d *Dir) Ops() int { return d.opCount }

// Crashed tells whether the process has ended.
func (d *Dir) Crashed() bool { return d.crashed }

// Used is what the files take, in bytes.
func (d *Dir) Used() (sum int64) {
	for _, n := range d.current {
		sum += max(int64(len(n.data)), n.allocated)
	}
	return sum
}

// Restart is the folder as the next process finds it. If power was lost, of what was not synced any part may be there:
// entries made or removed, sectors whole or torn, and sizes without their bytes.
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
		n, m := d.current[name], d.durable[name]
		if power && m != n && d.random.IntN(2) == 0 {
			n = m
		}
		if n == nil {
			continue
		}
		kept := &inode{data: slices.Clone(n.data), allocated: n.allocated}
		if power {
			kept.data = d.tornContents(n)
		}
		kept.synced = slices.Clone(kept.data)
		next.current[name], next.durable[name] = kept, kept
	}
	return next
}

// tornContents is what a loss of power leaves of a file.
func (d *Dir) tornContents(n *inode) []byte {
	size := len(n.synced)
	if len(n.data) != size {
		size = min(size, len(n.data)) + d.random.IntN(max(len(n.data), size)-min(size, len(n.data))+1)
	}
	out := make([]byte, size) // where a size was written and the bytes were not, there are zeros
	copy(out, n.synced)
	for at := 0; at < size; at += sectorSize {
		end := min(at+sectorSize, size, len(n.data))
		if at >= end || d.random.IntN(2) == 0 {
			continue
		}
		if d.random.IntN(8) == 0 {
			end = at + d.random.IntN(end-at+1)
		}
		// What was synced and not written since is there in any case, as it is the same in both.
		copy(out[at:end], n.data[at:end])
	}
	return out
}

// nextOp counts an operation, and says how it fails.
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

// Names implements files.System.
func (d *Dir) Names() ([]string, error) { return slices.Sorted(maps.Keys(d.current)), d.nextOp() }

// Read implements files.System.
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

// Create implements files.System.
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

// Remove implements files.System.
func (d *Dir) Remove(name string) error {
	if err := d.nextOp(); err != nil {
		return err
	}
	delete(d.current, name)
	return nil
}

// Truncate implements files.System.
func (d *Dir) Truncate(name string, size int64) error {
	if n := d.current[name]; n != nil {
		return (&file{d, n}).Truncate(size)
	}
	return fs.ErrNotExist
}

// Available implements files.System.
func (d *Dir) Available() int64 {
	if d.Space < 0 {
		return math.MaxInt64
	}
	return max(0, d.Space-d.Used())
}

// SyncFile implements files.System.
func (d *Dir) SyncFile(name string) error {
	if n := d.current[name]; n != nil {
		return (&file{d, n}).Sync()
	}
	return fs.ErrNotExist
}

// SyncDir implements files.System.
func (d *Dir) SyncDir() error {
	if err := d.nextOp(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.current)
	return nil
}

type file struct {
	dir   *Dir
	inode *inode
}

func (f *file) WriteAt(p []byte, at int64) (int, error) {
	before := f.dir.crashed
	err := f.dir.nextOp()
	if before {
		return 0, err
	}
	n := len(p)
	if err != nil {
		n = f.dir.random.IntN(n + 1)
	}
	grow := at + int64(n) - max(int64(len(f.inode.data)), f.inode.allocated)
	if room := f.dir.Space - f.dir.Used(); f.dir.Space >= 0 && grow > room && grow > 0 {
		n = max(0, n-int(grow-max(0, room)))
		if err == nil {
			err = syscall.ENOSPC
		}
	}
	if end := int(at) + n; end > len(f.inode.data) && n > 0 {
		f.inode.data = append(f.inode.data, make([]byte, end-len(f.inode.data))...)
	}
	copy(f.inode.data[min(int(at), len(f.inode.data)):], p[:n])
	return n, err
}

func (f *file) Truncate(size int64) error {
	if err := f.dir.nextOp(); err != nil {
		return err
	}
	if int(size) < len(f.inode.data) {
		f.inode.data = slices.Clip(f.inode.data[:size])
	}
	f.inode.allocated = 0
	return nil
}

func (f *file) Allocate(size int64) error {
	if err := f.dir.nextOp(); err != nil {
		return err
	}
	if room := f.dir.Space - f.dir.Used(); f.dir.Space >= 0 && size > room {
		return syscall.ENOSPC
	}
	f.inode.allocated = size
	return nil
}

func (f *file) Sync() error {
	if err := f.dir.nextOp(); err != nil {
		return err
	}
	f.dir.syncCount++
	if err := f.dir.FailSync[f.dir.syncCount]; err != nil {
		return err
	}
	f.inode.synced = slices.Clone(f.inode.data)
	return nil
}

func (f *file) Close() error { return nil }
