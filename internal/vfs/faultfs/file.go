package faultfs

import (
	"slices"
	"syscall"
)

// file is an open file of a directory.
type file struct {
	dir   *Dir
	inode *inode
}

// WriteAt implements vfs.File. If it fails, a drawn part of p was written, or as much as fits on the disk.
func (f *file) WriteAt(p []byte, at int64) (int, error) {
	crashedBefore := f.dir.crashed
	err := f.dir.nextOp()
	if crashedBefore { // a write during which the process crashes is done in part
		return 0, err
	}
	n := len(p)
	if err != nil {
		n = f.dir.random.IntN(n + 1)
	}
	growth := at + int64(n) - max(int64(len(f.inode.data)), f.inode.allocated)
	if room := f.dir.Space - f.dir.Used(); f.dir.Space >= 0 && growth > room && growth > 0 {
		n = max(0, n-int(growth-max(0, room)))
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

// Truncate implements vfs.File.
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

// Allocate implements vfs.File.
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

// Sync implements vfs.File.
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

// Close implements vfs.File. It is not an operation that can fail.
func (f *file) Close() error { return nil }
