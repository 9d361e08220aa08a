// Package statedir locks a relay's state directory for one process: two relays that shared a journal would send messages
// twice. The lock is flock(2) on the file "lock" in the directory, and is released when the process ends.
package statedir

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// lockName is shared by all versions of the program and must not change.
const lockName = "lock"

// ErrInUse reports that another process has locked the directory.
var ErrInUse = errors.New("in use by another relay")

// Lock creates the state directory if it is missing, and locks it until the returned file is closed or the process ends. It
// fails with ErrInUse if another process has locked it.
func Lock(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state folder cannot be written: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		owner := make([]byte, 20)
		n, _ := f.Read(owner)
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("state folder %s is %w, process %s", dir, ErrInUse, strings.TrimSpace(string(owner[:n])))
		}
		return nil, fmt.Errorf("state folder %s cannot be locked: %w", dir, err)
	}
	// The process id is for operators only: failing to write it, as on a full disk, must not prevent the start.
	if f.Truncate(0) == nil {
		f.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	}
	return f, nil
}

// InUse reports whether a process has locked the directory.
func InUse(dir string) bool {
	f, err := os.Open(filepath.Join(dir, lockName))
	if err != nil {
		return false
	}
	defer f.Close()
	return errors.Is(syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB), syscall.EWOULDBLOCK)
}
