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

// sector is what a disk writes whole, mostly.
const sector = 512

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

	ops, syncs int
	crashed    bool
	rand       *rand.Rand
	now        map[string]*inode
	durable    map[string]*inode // entries that outlast a loss of power
}

type inode struct {
	data   []byte
	synced []byte
	taken  int64 // allocated beyond data
}

// New is an empty folder.
func New(seed uint64) *Dir {
	return &Dir{Space: -1, rand: rand.New(rand.NewPCG(seed, 7)), now: map[string]*inode{}, durable: map[string]*inode{}}
}

// Ops is how many operations there were.
func (d *Dir) Ops() int { return d.ops }

// Crashed tells whether the process has ended.
func (d *Dir) Crashed() bool { return d.crashed }

// Used is what the files take, in bytes.
func (d *Dir) Used() (sum int64) {
	for _, n := range d.now {
		sum += max(int64(len(n.data)), n.taken)
	}
	return sum
}

// Restart is the folder as the next process finds it. If power was lost, of what was not synced any part may be there:
// entries made or removed, sectors whole or torn, and sizes without their bytes.
func (d *Dir) Restart(power bool) *Dir {
	next := New(d.rand.Uint64())
	next.Space = d.Space
	names := map[string]bool{}
	for _, all := range []map[string]*inode{d.now, d.durable} {
		for name := range all {
			names[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		n, m := d.now[name], d.durable[name]
		if power && m != n && d.rand.IntN(2) == 0 {
			n = m
		}
		if n == nil {
			continue
		}
		kept := &inode{data: slices.Clone(n.data), taken: n.taken}
		if power {
			kept.data = d.torn(n)
		}
		kept.synced = slices.Clone(kept.data)
		next.now[name], next.durable[name] = kept, kept
	}
	return next
}

// torn is what a loss of power leaves of a file.
func (d *Dir) torn(n *inode) []byte {
	size := len(n.synced)
	if len(n.data) != size {
		size = min(size, len(n.data)) + d.rand.IntN(max(len(n.data), size)-min(size, len(n.data))+1)
	}
	out := make([]byte, size) // where a size was written and the bytes were not, there are zeros
	copy(out, n.synced)
	for at := 0; at < size; at += sector {
		end := min(at+sector, size, len(n.data))
		if at >= end || d.rand.IntN(2) == 0 {
			continue
		}
		if d.rand.IntN(8) == 0 {
			end = at + d.rand.IntN(end-at+1)
		}
		// What was synced and not written since is there in any case, as it is the same in both.
		copy(out[at:end], n.data[at:end])
	}
	return out
}

// op counts an operation, and says how it fails.
func (d *Dir) op() error {
	if d.crashed {
		return ErrCrashed
	}
	d.ops++
	if d.ops == d.CrashAt {
		d.crashed = true
		return ErrCrashed
	}
	return d.Fail[d.ops]
}

// Names implements files.System.
func (d *Dir) Names() ([]string, error) { return slices.Sorted(maps.Keys(d.now)), d.op() }

// Read implements files.System.
func (d *Dir) Read(name string) ([]byte, error) {
	if err := d.op(); err != nil {
		return nil, err
	}
	n := d.now[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Create implements files.System.
func (d *Dir) Create(name string) (vfs.File, error) {
	if err := d.op(); err != nil {
		return nil, err
	}
	if d.now[name] != nil {
		return nil, fs.ErrExist
	}
	n := new(inode)
	d.now[name] = n
	return &file{d, n}, nil
}

// Remove implements files.System.
func (d *Dir) Remove(name string) error {
	if err := d.op(); err != nil {
		return err
	}
	delete(d.now, name)
	return nil
}

// Truncate implements files.System.
func (d *Dir) Truncate(name string, size int64) error {
	if n := d.now[name]; n != nil {
		return (&file{d, n}).Truncate(size)
	}
	return fs.ErrNotExist
}

// Room implements files.System.
func (d *Dir) Room() int64 {
	if d.Space < 0 {
		return math.MaxInt64
	}
	return max(0, d.Space-d.Used())
}

// SyncFile implements files.System.
func (d *Dir) SyncFile(name string) error {
	if n := d.now[name]; n != nil {
		return (&file{d, n}).Sync()
	}
	return fs.ErrNotExist
}

// SyncDir implements files.System.
func (d *Dir) SyncDir() error {
	if err := d.op(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.now)
	return nil
}

type file struct {
	d *Dir
	n *inode
}

func (f *file) WriteAt(p []byte, at int64) (int, error) {
	before := f.d.crashed
	err := f.d.op()
	if before {
		return 0, err
	}
	n := len(p)
	if err != nil {
		n = f.d.rand.IntN(n + 1)
	}
	grow := at + int64(n) - max(int64(len(f.n.data)), f.n.taken)
	if room := f.d.Space - f.d.Used(); f.d.Space >= 0 && grow > room && grow > 0 {
		n = max(0, n-int(grow-max(0, room)))
		if err == nil {
			err = syscall.ENOSPC
		}
	}
	if end := int(at) + n; end > len(f.n.data) && n > 0 {
		f.n.data = append(f.n.data, make([]byte, end-len(f.n.data))...)
	}
	copy(f.n.data[min(int(at), len(f.n.data)):], p[:n])
	return n, err
}

func (f *file) Truncate(size int64) error {
	if err := f.d.op(); err != nil {
		return err
	}
	if int(size) < len(f.n.data) {
		f.n.data = slices.Clip(f.n.data[:size])
	}
	f.n.taken = 0
	return nil
}

func (f *file) Allocate(size int64) error {
	if err := f.d.op(); err != nil {
		return err
	}
	if room := f.d.Space - f.d.Used(); f.d.Space >= 0 && size > room {
		return syscall.ENOSPC
	}
	f.n.taken = size
	return nil
}

func (f *file) Sync() error {
	if err := f.d.op(); err != nil {
		return err
	}
	f.d.syncs++
	if err := f.d.FailSync[f.d.syncs]; err != nil {
		return err
	}
	f.n.synced = slices.Clone(f.n.data)
	return nil
}

func (f *file) Close() error { return nil }
