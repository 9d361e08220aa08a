package sqlitelog

import (
	"context"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const limitedProcess = "SQLITELOG_TEST_LIMITED"

// limitFiles bounds the size of the files that this process writes.
func limitFiles(t *testing.T, size uint64) {
	t.Helper()
	var l unix.Rlimit
	requireNoError(t, unix.Getrlimit(unix.RLIMIT_FSIZE, &l))
	l.Cur = min(size, l.Max)
	requireNoError(t, unix.Setrlimit(unix.RLIMIT_FSIZE, &l))
}

// A write that the system rejects for a limit other than the end of the disk (a quota, a limit on the size of files) is
// ErrFull: nothing of it is made, reads are served, and writes succeed once there is space, without reopening. The test
// limits the size of all files of its process, so it runs in a child process.
func TestWriteBeyondFileSizeLimitIsErrFull(t *testing.T) {
	if os.Getenv(limitedProcess) == "" {
		child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		child.Env = append(os.Environ(), limitedProcess+"=1")
		if out, err := child.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		return
	}
	signal.Ignore(syscall.SIGXFSZ) // so that the write itself fails
	ctx := context.Background()
	dir := t.TempDir()
	d := open(t, dir, 0)
	requireNoError(t, d.Commit(ctx, put("a", "1", "one")))
	st, err := os.Stat(filepath.Join(dir, "data.db-wal"))
	requireNoError(t, err)
	large := strings.Repeat("x", 50*pageSize)
	limitFiles(t, uint64(st.Size())+2*pageSize) // in the middle of the transaction's log
	for range 3 {
		if err := d.Commit(ctx, put("a", "2", large)); !errors.Is(err, ErrFull) {
			t.Fatalf("a write beyond the limit: %v", err)
		}
	}
	if v, err := d.Get("a", []byte("1")); err != nil || string(v) != "one" {
		t.Errorf("read while writes are rejected: %q %v", v, err)
	}
	limitFiles(t, unix.RLIM_INFINITY)
	requireNoError(t, d.Commit(ctx, put("a", "2", large)))
	requireNoError(t, d.Err())
	requireNoError(t, d.Close())
	again := open(t, dir, 0)
	for key, want := range map[string]string{"1": "one", "2": large} {
		if v, err := again.Get("a", []byte(key)); err != nil || string(v) != want {
			t.Errorf("row %s after reopening: %d bytes, %v", key, len(v), err)
		}
	}
}
