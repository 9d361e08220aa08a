package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Cancel closes the connection to the host; after the end of the call it does not affect the next call on a reused connection.
func TestCancel(t *testing.T) {
	begun := make(chan bool, 1)
	s := newStandin(t, func(l *line) bool {
		if l.id == "a" {
			begun <- true
			_, _ = l.in.Peek(1)
			return false
		}
		l.ok("yes")
		return true
	})
	var k Call
	end := make(chan Result, 1)
	go func() { end <- k.Do(s.Host, get("a"), time.Now().Add(patient)) }()
	wait(t, begun, "call")
	k.Cancel()
	res := wait(t, end, "end")
	want(t, "outcome", res.Outcome, MayHaveRun)
	want(t, "cancelled", errors.Is(res.Err, ErrCancelled), true)
	want(t, "connection that ended", wait(t, s.closed, "close"), 1)

	var cancelled Call
	cancelled.Cancel()
	res = cancelled.Do(s.Host, get("b"), time.Now().Add(patient))
	want(t, "outcome when cancelled before", res.Outcome, NotRun)

	var over Call
	res = over.Do(s.Host, get("c"), time.Now().Add(patient))
	_, _ = io.ReadAll(res.Response)
	res.Response.Finish()
	over.Cancel()
	want(t, "connections kept", s.OpenConns(), 1)
	_, body, err := make1(s.Host, get("d"), patient)
	want(t, "error", err, nil)
	want(t, "body", body, "yes")
}

// A call that ends while its connection is dialled sends nothing on it.
func TestCallEndsDuringDial(t *testing.T) {
	for name, c := range map[string]struct {
		do  func(s *standin, k *Call)
		err error
	}{
		"the host is disabled": {func(s *standin, _ *Call) { s.SetDisabled(true) }, ErrHostDisabled},
		"cancelled":            {func(_ *standin, k *Call) { k.Cancel() }, ErrCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandin(t, func(l *line) bool { l.ok("yes"); return true })
			var k Call
			s.dial = func(addr string, within time.Duration) (net.Conn, error) {
				c.do(s, &k)
				return dial(addr, within)
			}
			res := k.Do(s.Host, get("a"), time.Now().Add(patient))
			want(t, "outcome", res.Outcome, NotRun)
			want(t, "its kind", errors.Is(res.Err, c.err), true)
			want(t, "open", s.OpenConns(), 0)
			want(t, "calls", s.calls.Load(), 0)
		})
	}
}
