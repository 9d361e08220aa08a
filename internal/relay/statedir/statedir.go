// Package statedir holds a relay's state folder for one process: two that shared a journal would send messages
// twice.
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

const lockName = "lock"

// ErrInUse says that another process holds the folder.
var ErrInUse = errors.New("in use by another relay")

// Lock makes the state folder, and holds it until the file is closed or the process ends. Where another process
// has it the error is ErrInUse.
func Lock(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state folder cannot be written: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		holder := make([]byte, 20)
		n, _ := f.Read(holder)
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("state folder %s is %w, process %s", dir, ErrInUse, strings.TrimSpace(string(holder[:n])))
		}
		return nil, fmt.Errorf("state folder %s cannot be locked: %w", dir, err)
	}
	// The number is for people: that it cannot be written, as on a full disk, is no reason to stay down.
	if f.Truncate(0) == nil {
		f.WriteAt([]byte(strconv.Itoa(os.Getpid())+"\n"), 0)
	}
	return f, nil
}

// InUse tells whether a process holds a folder.
func InUse(dir string) bool {
	f, err := os.Open(filepath.Join(dir, lockName))
	if err != nil {
		return false
	}
	defer f.Close()
	return errors.Is(syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB), syscall.EWOULDBLOCK)
}
