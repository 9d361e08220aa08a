// Package vfs is the layer between durable records and a file system: the few operations that a journal needs, so
// that tests can put one with faults in its place (package faultfs).
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

// System is a folder's files. Names have no separators.
type System interface {
	// Names are those of all files in the folder, in order.
	Names() ([]string, error)
	// Read returns all of a file.
	Read(name string) ([]byte, error)
	// Create makes a file that did not exist, for writing.
	Create(name string) (File, error)
	// Remove removes a file; one that does not exist is no error.
	Remove(name string) error
	// Truncate cuts a file.
	Truncate(name string, size int64) error
	// Available is how many bytes the disk has left, as far as can be told at little cost; a quota may be less.
	Available() int64
	// SyncFile has a file's bytes, whoever wrote them, outlast a loss of power.
	SyncFile(name string) error
	// SyncDir has the folder's entries outlast a loss of power.
	SyncDir() error
}

// File is a file open for writing.
type File interface {
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	// Allocate takes so many bytes on the disk without writing them.
	Allocate(size int64) error
	// Sync has what was written outlast a loss of power: fdatasync(2). After an error nothing is known of it.
	Sync() error
}

// IsNoSpace tells whether an error says that there is no room: ENOSPC, or a quota used up.
func IsNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Dir is a folder of the operating system.
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

func (d Dir) sync(name string) error {
	f, err := os.Open(filepath.Join(string(d), name))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

type osFile struct{ *os.File }

func (f osFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }

func (f osFile) Allocate(size int64) error {
	err := unix.Fallocate(int(f.Fd()), 0, 0, size)
	if errors.Is(err, unix.EOPNOTSUPP) { // then it is written
		_, err = f.WriteAt(make([]byte, size), 0)
	}
	return err
}
