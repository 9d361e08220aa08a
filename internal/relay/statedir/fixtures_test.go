package statedir

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
)

// All builds lock the same file, so that no two of them use a directory at the same time.
func TestLockFileIsAsFrozen(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "lock")
	if err := os.WriteFile(path, []byte("12345678901234567890\n"), 0o600); err != nil { // of an earlier process
		t.Fatal(err)
	}
	f, err := Lock(dir)
	if err != nil {
		t.Fatal(err)
	}
	if data, err := os.ReadFile(path); err != nil || string(data) != strconv.Itoa(os.Getpid())+"\n" {
		t.Errorf("the lock file contains %q, %v, want the id of this process", data, err)
	}
	f.Close()
	old, err := os.Open(path) // as another build locks it
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	if err := syscall.Flock(int(old.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		t.Fatal(err)
	}
	if f, err := Lock(dir); !errors.Is(err, ErrInUse) {
		t.Errorf("a directory locked by another process: %v, %v, want %v", f, err, ErrInUse)
	}
	if !InUse(dir) {
		t.Error("a directory locked by another process is reported as free")
	}
}
