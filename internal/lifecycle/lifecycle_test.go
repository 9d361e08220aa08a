package lifecycle

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/process"
	"larchrouter/internal/sqlitelog"
)

// errPasses and errFinal are errors of a step, of which the first one passes.
var (
	errPasses = errors.Mark(errors.New("no space left"), sqlitelog.ErrFull)
	errFinal  = errors.New("another fault")
)

// steps returns a step with these outcomes, one after the other, and its number of attempts.
func steps(outcomes ...error) (step func() error, attempts *int) {
	attempts = new(int)
	return func() error { *attempts++; return outcomes[*attempts-1] }, attempts
}

func TestAwaitRetriesUntilConditionPasses(t *testing.T) {
	var out bytes.Buffer
	step, attempts := steps(errPasses, errPasses, nil)
	if err := Await(t.Context(), process.NewLogger(&out), step); err != nil || *attempts != 3 {
		t.Errorf("%v after %d attempts", err, *attempts)
	}
	for _, part := range []string{"the start waits", "cause=disk_full", "no space left", "the start goes on"} {
		if strings.Count(out.String(), part) == 0 {
			t.Errorf("%q is not in the log:\n%s", part, &out)
		}
	}
	if n := strings.Count(out.String(), "the start waits"); n != 1 {
		t.Errorf("one condition is logged %d times", n)
	}
}

func TestAwaitReturnsFinalError(t *testing.T) {
	step, attempts := steps(errPasses, errFinal)
	if err := Await(t.Context(), process.NewLogger(new(bytes.Buffer)), step); !errors.Is(err, errFinal) || *attempts != 2 {
		t.Errorf("%v after %d attempts", err, *attempts)
	}
}

func TestAwaitEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	step, attempts := steps(errPasses)
	stopping := func() error { cancel(); return step() }
	if err := Await(ctx, process.NewLogger(new(bytes.Buffer)), stopping); !errors.Is(err, ErrStopped) || *attempts != 1 {
		t.Errorf("%v after %d attempts", err, *attempts)
	}
}

func TestAwaitGivesUp(t *testing.T) {
	w := &waiter{log: process.NewLogger(new(bytes.Buffer)), timeout: 3 * retryInterval, passes: func(error) bool { return true }}
	began := time.Now()
	err := w.run(t.Context(), func() error { return errPasses })
	if !errors.Is(err, sqlitelog.ErrFull) || time.Since(began) < w.timeout {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	if cause := CauseOf(err); cause != DiskFull {
		t.Errorf("the cause is %v", cause)
	}
}

func TestListenTakesAllAddressesOrNone(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	var listening sync.WaitGroup
	var listeners []net.Listener
	listening.Go(func() {
		listeners, err = Listen(t.Context(), process.NewLogger(new(bytes.Buffer)), free.Addr().String(), taken.Addr().String())
	})
	time.Sleep(3 * retryInterval)
	if conn, dialErr := net.Dial("tcp4", free.Addr().String()); dialErr == nil {
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(4 * retryInterval))
		if _, readErr := conn.Read(make([]byte, 1)); errors.Is(readErr, os.ErrDeadlineExceeded) {
			t.Error("it listens at one address while the other one is taken")
		}
	}
	taken.Close()
	listening.Wait()
	if err != nil || len(listeners) != 2 {
		t.Fatalf("%d listeners, %v", len(listeners), err)
	}
	for _, l := range listeners {
		l.Close()
	}
}

func TestCauseOf(t *testing.T) {
	damaged := t.TempDir()
	if err := os.WriteFile(filepath.Join(damaged, "x.db"), bytes.Repeat([]byte("damaged"), 4096), 0o600); err != nil {
		t.Fatal(err)
	}
	_, damagedErr := sqlitelog.Open(damaged, "x.db", 0, "t")
	_, parseErr := process.Parse([]byte("node_name: ["))
	for _, c := range []struct {
		err  error
		want Cause
	}{
		{nil, Stopped},
		{errFinal, Other},
		{errors.Wrap(syscall.EADDRINUSE, "listen"), Address},
		{&net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRNOTAVAIL)}, Address},
		{&os.PathError{Op: "mkdir", Path: "data", Err: syscall.ENOSPC}, DiskFull},
		{errPasses, DiskFull},
		{&os.PathError{Op: "open", Path: "data", Err: syscall.EMFILE}, Descriptors},
		{errors.Mark(errors.New("schema"), sqlitelog.ErrNewer), DataNewer},
		{errors.Mark(errors.New("sync"), sqlitelog.ErrBroken), DiskFailed},
		{damagedErr, DiskFailed},
		{parseErr, WrongSettings},
	} {
		if got := CauseOf(c.err); got != c.want {
			t.Errorf("%v: cause %v, want %v", c.err, got, c.want)
		}
	}
}

func TestCausesHaveNames(t *testing.T) {
	for _, c := range errorCauses {
		if c.cause.String() == "" || c.cause.ExitCode() < int(Address) {
			t.Errorf("cause %d has name %q", c.cause, c.cause)
		}
	}
}
