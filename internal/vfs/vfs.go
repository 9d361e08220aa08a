// Package vfs has the few file operations that durable logs need, as an interface, so that tests can replace the file system
// by one with faults (package faultfs).
package vfs

import (
	"errors"
	"io"
	"math"
	"os"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"
)

// System is the files of one directory. Names have no path separators. An implementation need not be safe for concurrent use.
type System interface {
	// Names returns the names of all files in order.
	Names() ([]string, error)
	// Read returns the contents of a file.
	Read(name string) ([]byte, error)
	// Create creates a file for writing; it fails with fs.ErrExist if the file exists.
	Create(name string) (File, error)
	// Remove removes a file. It is no error if the file does not exist.
	Remove(name string) error
	// Truncate cuts a file to a smaller size, in bytes.
	Truncate(name string, size int64) error
	// Available returns the free bytes of the disk, or more if that is not known; a quota may allow less.
	Available() int64
	// SyncFile makes the contents of a file survive a loss of power, whichever process wrote them.
	SyncFile(name string) error
	// SyncDir makes the created and removed names survive a loss of power.
	SyncDir() error
}

// File is a file that is open for writing.
type File interface {
	io.WriterAt
	io.Closer
	// Truncate cuts the file to a smaller size, in bytes.
	Truncate(size int64) error
	// Allocate reserves size bytes on the disk without writing them.
	Allocate(size int64) error
	// Sync makes what was written survive a loss of power, as fdatasync(2). After an error the contents on the disk are
	// unknown, and a later success proves nothing about them.
	Sync() error
}

// IsNoSpace reports whether an error is caused by a full disk or an exhausted quota.
func IsNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Dir is the path of a directory of the operating system.
type Dir string

// Names implements System.
func (d Dir) Names() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	var all []string
	for _, e := range entries {
		all = append(all, e.Name())
	}
	return all, err
}

// Read implements System.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(string(d), name)) }

// Create implements System.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Remove implements System.
func (d Dir) Remove(name string) error {
	if err := os.Remove(filepath.Join(string(d), name)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// Truncate implements System.
func (d Dir) Truncate(name string, size int64) error {
	return os.Truncate(filepath.Join(string(d), name), size)
}

// Available implements System.
func (d Dir) Available() int64 {
	var s unix.Statfs_t
	if unix.Statfs(string(d), &s) != nil {
		return math.MaxInt64
	}
	return int64(s.Bavail) * s.Bsize
}

// SyncFile implements System.
func (d Dir) SyncFile(name string) error { return d.sync(name) }

// SyncDir implements System.
func (d Dir) SyncDir() error { return d.sync("") }

// sync syncs a file, or the directory itself if name is empty.
func (d Dir) sync(name string) error {
	f, err := os.Open(filepath.Join(string(d), name))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// osFile is an open file of the operating system.
type osFile struct{ *os.File }

// Sync implements File.
func (f osFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }

// Allocate implements File. Where the file system cannot reserve space it writes zeros.
func (f osFile) Allocate(size int64) error {
	err := unix.Fallocate(int(f.Fd()), 0, 0, size)
	if errors.Is(err, unix.EOPNOTSUPP) { // the file system cannot reserve: write zeros
		_, err = f.WriteAt(make([]byte, size), 0)
	}
	return err
}
