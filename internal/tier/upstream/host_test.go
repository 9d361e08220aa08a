package upstream

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// PreferNewConn does not use a connection that was idle for long; CloseExpiredConns closes those that no request may use.
func TestExpiredConnections(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.raw(ok(l.id, "Keep-Alive: timeout=10\r\n", "yes")); return true })
	age := func(d time.Duration) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.idle[0].idleSince = time.Now().Add(-d)
	}
	call := func(id string, preferNew bool) {
		r := get(id)
		r.PreferNewConn = preferNew
		_, _, err := make1(s.Host, r, patient)
		want(t, "error", err, nil)
	}
	call("a", true)
	age(2 * time.Second)
	call("b", true)
	want(t, "connections", s.conns.Load(), 1)
	age(4 * time.Second) // over half of the 6 s
	call("c", false)
	want(t, "connections", s.conns.Load(), 1)
	age(4 * time.Second)
	call("d", true) // on a new one; the old one stays for others
	want(t, "connections", s.conns.Load(), 2)
	want(t, "open", s.OpenConns(), 2)
	s.SetConnLimit(2)
	s.mu.Lock()
	s.idle[1].idleSince = time.Now().Add(-4 * time.Second)
	s.mu.Unlock()
	call("e", true) // the limit allows no new one
	want(t, "connections", s.conns.Load(), 2)
	s.CloseExpiredConns(time.Now())
	want(t, "open", s.OpenConns(), 2)
	s.CloseExpiredConns(time.Now().Add(6 * time.Second))
	want(t, "open after all have expired", s.OpenConns(), 0)
}

func TestConnectionLimit(t *testing.T) {
	release := make(chan bool)
	s := newStandin(t, func(l *line) bool { <-release; l.ok("yes"); return true })
	s.SetConnLimit(2)
	ends := make(chan error, 2)
	for _, id := range []string{"a", "b"} {
		go func() { _, _, err := make1(s.Host, get(id), patient); ends <- err }()
	}
	for end := time.Now().Add(patient); s.calls.Load() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the host does not get the calls")
		}
	}
	res, _, err := make1(s.Host, get("c"), patient)
	want(t, "outcome", res.Outcome, NotRun)
	want(t, "connection limit", errors.Is(err, ErrConnectionLimit), true)
	close(release)
	for range 2 {
		want(t, "error", wait(t, ends, "end"), nil)
	}
	_, _, err = make1(s.Host, get("d"), patient)
	want(t, "error once there is a connection", err, nil)
	want(t, "connections", s.conns.Load(), 2)
}

// A disabled host gets no calls, also not on open connections.
func TestDisabledHost(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok("yes"); return true })
	_, _, err := make1(s.Host, get("a"), patient)
	want(t, "error", err, nil)
	want(t, "open", s.OpenConns(), 1)
	s.SetDisabled(true)
	want(t, "open when disabled", s.OpenConns(), 0)
	res, _, err := make1(s.Host, get("b"), patient)
	want(t, "outcome", res.Outcome, NotRun)
	want(t, "closed", errors.Is(err, ErrHostDisabled), true)
	want(t, "calls", s.calls.Load(), 1)
	s.SetDisabled(false)
	_, _, err = make1(s.Host, get("c"), patient)
	want(t, "error once enabled", err, nil)
}

// A host is disabled while its response is read: the connection is not kept.
func TestHostDisabledDuringCall(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok("yes"); return true })
	var k Call
	res := k.Do(s.Host, get("a"), time.Now().Add(patient))
	want(t, "outcome", res.Outcome, Answered)
	s.SetDisabled(true)
	b, err := io.ReadAll(res.Response)
	want(t, "error", err, nil)
	want(t, "body", string(b), "yes")
	res.Response.Finish()
	want(t, "open", s.OpenConns(), 0)
}

// A lack of descriptors of this process says nothing about a host.
func TestOutOfDescriptorsIsConnectionLimit(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok("yes"); return true })
	s.dial = func(string, time.Duration) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	res, _, err := make1(s.Host, get("a"), patient)
	want(t, "outcome", res.Outcome, NotRun)
	want(t, "connection limit", errors.Is(err, ErrConnectionLimit), true)
	want(t, "no connection", errors.Is(err, ErrConnect), false)
}
