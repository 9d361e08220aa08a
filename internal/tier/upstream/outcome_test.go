package upstream

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/reservedport"
)

// The outcome of each way in which a call can end.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		script  func(l *line) bool
		outcome Outcome
		err     error // kind, of the call or of the body of its response
		body    string
		started bool
	}{
		"a response": {func(l *line) bool { l.ok("yes"); return true }, Answered, nil, "yes", true},
		"a failure that ran": {func(l *line) bool {
			l.raw("HTTP/1.1 500 X\r\nX-Attempt-Id: a\r\nContent-Length: 1\r\n\r\n!")
			return true
		}, Answered, nil, "!", true},
		"503 without a proof": {func(l *line) bool {
			l.raw("HTTP/1.1 503 X\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n")
			return true
		}, Answered, nil, "", true},
		"not executed": {func(l *line) bool {
			l.raw("HTTP/1.1 503 X\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull")
			return true
		}, NotRun, nil, "full", true},
		"not executed, broken off": {func(l *line) bool {
			l.raw("HTTP/1.1 503 X\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nfu")
			return false
		}, NotRun, nil, "fu", true},
		"another host": {func(l *line) bool {
			l.raw("HTTP/1.1 421 X\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n")
			return true
		}, NotRun, nil, "", true},
		"another host, by another's id": {func(l *line) bool {
			l.raw("HTTP/1.1 421 X\r\nX-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n")
			return false
		}, MayHaveRun, ErrBroken, "", true},
		"not executed, of no id": {func(l *line) bool {
			l.raw("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return false
		}, MayHaveRun, ErrBroken, "", true},
		"another host, behind interim and extra responses": {func(l *line) bool {
			l.raw("HTTP/1.1 100 X\r\n\r\n" + ok("old", "", "no") + "HTTP/1.1 103 X\r\n\r\n")
			l.raw("HTTP/1.1 421 X\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n")
			return true
		}, NotRun, nil, "", true},
		"another host, by another's id, ahead of a response": {func(l *line) bool {
			l.raw("HTTP/1.1 421 X\r\nX-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n")
			l.ok("yes")
			return true
		}, Answered, nil, "yes", true},
		"not executed, by another's id, then the end": {func(l *line) bool {
			l.raw("HTTP/1.1 503 X\r\nX-Attempt-Id: b\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return false
		}, MayHaveRun, ErrBroken, "", true},
		"an end that is not known, reset": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nConnection: close\r\n\r\nyes")
			l.reset()
			return false
		}, MayHaveRun, ErrBroken, "", true},
		"an extra response that ends with its connection": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nConnection: close\r\n\r\n" + ok("a", "", "no"))
			return false
		}, MayHaveRun, ErrBroken, "", true},
		"a response of HTTP/1.0 without length": {func(l *line) bool {
			l.raw("HTTP/1.0 200 OK\r\nX-Attempt-Id: a\r\n\r\nyes")
			return false
		}, MayHaveRun, ErrBroken, "", true},
		"close":                    {func(l *line) bool { return false }, MayHaveRun, ErrBroken, "", false},
		"reset":                    {func(l *line) bool { l.reset(); return false }, MayHaveRun, ErrBroken, "", false},
		"garbage":                  {func(l *line) bool { l.raw("\x00\x01what\r\n\r\n"); return false }, MayHaveRun, ErrBroken, "", true},
		"half a head":              {func(l *line) bool { l.raw("HTTP/1.1 200 OK\r\nX-Att"); return false }, MayHaveRun, ErrBroken, "", true},
		"an end that is not known": {func(l *line) bool { l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\nyes"); return false }, MayHaveRun, ErrBroken, "", true},
		"an unasked switch":        {func(l *line) bool { l.raw("HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n"); return true }, MayHaveRun, ErrBroken, "", true},
		"half a body": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 9\r\n\r\nyes")
			return false
		}, Answered, ErrBroken, "yes", true},
		"chunks": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n")
			return true
		}, Answered, nil, "yes", true},
		"chunks without their end": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n")
			return false
		}, Answered, ErrBroken, "yes", true},
		"an end without its blank line": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n")
			return false
		}, Answered, ErrBroken, "yes", true},
		"interim responses ahead":  {func(l *line) bool { l.raw("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\n"); l.ok("yes"); return true }, Answered, nil, "yes", true},
		"a surplus response ahead": {func(l *line) bool { l.raw(ok("old", "", "no")); l.ok("yes"); return true }, Answered, nil, "yes", true},
		"a surplus response in chunks": {func(l *line) bool {
			l.raw("HTTP/1.1 500 X\r\nX-Attempt-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n")
			l.ok("yes")
			return true
		}, Answered, nil, "yes", true},
		"a surplus response alone": {func(l *line) bool { l.raw(ok("old", "", "no")); return false }, MayHaveRun, ErrBroken, "", true},
		"a response of no id ahead": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
			l.ok("yes")
			return true
		}, MayHaveRun, ErrBroken, "", true},
		"half a surplus response": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nContent-Length: 9\r\n\r\nno")
			return false
		}, MayHaveRun, ErrBroken, "", true},
		"surplus responses without end": {func(l *line) bool { l.raw(strings.Repeat(ok("old", "", "no"), 9)); l.ok("yes"); return false }, MayHaveRun, ErrBroken, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandin(t, c.script)
			res, body, err := make1(s.Host, get("a"), patient)
			want(t, "outcome", res.Outcome, c.outcome)
			want(t, "of its kind", errors.Is(err, c.err), true)
			want(t, "body", body, c.body)
			want(t, "response started", res.ResponseStarted, c.started)
			want(t, "calls", s.calls.Load(), 1)
		})
	}
}

func TestTimeoutMayHaveRun(t *testing.T) {
	end := make(chan bool)
	s := newStandin(t, func(l *line) bool { <-end; return false })
	defer close(end)
	res, _, err := make1(s.Host, get("a"), 20*time.Millisecond)
	want(t, "outcome", res.Outcome, MayHaveRun)
	want(t, "time-out", errors.Is(err, ErrDeadline), true)
	want(t, "connections", s.OpenConns(), 0)
}

func TestTimeoutInBody(t *testing.T) {
	end := make(chan bool)
	s := newStandin(t, func(l *line) bool {
		l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 9\r\n\r\nyes")
		<-end
		return false
	})
	defer close(end)
	res, body, err := make1(s.Host, get("a"), 30*time.Millisecond)
	want(t, "outcome", res.Outcome, Answered)
	want(t, "body", body, "yes")
	want(t, "time-out", errors.Is(err, ErrDeadline), true)
}

func TestFailedConnectionNotRun(t *testing.T) {
	port, err := reservedport.Reserve() // nothing listens on it
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	h := NewHost("i-1", port.Addr(), 8)
	res, _, err := make1(h, get("a"), patient)
	want(t, "outcome", res.Outcome, NotRun)
	want(t, "no connection", errors.Is(err, ErrConnect), true)
	want(t, "connections", h.OpenConns(), 0)
}

// brittle is a connection whose writes fail after so many bytes.
type brittle struct {
	net.Conn
	left int
}

func (b *brittle) Write(p []byte) (int, error) {
	if len(p) <= b.left {
		b.left -= len(p)
		return b.Conn.Write(p)
	}
	n, _ := b.Conn.Write(p[:b.left])
	b.left = 0
	return n, net.ErrClosed
}

// A request whose last byte was not written has not run. On a reused connection it is sent again on another; on a new one that is
// the outcome.
func TestFailedWriteNotRun(t *testing.T) {
	got := make(chan string, 10)
	s := newStandin(t, func(l *line) bool { got <- fmt.Sprint(l.id, l.conn, l.body); l.ok("yes"); return true })
	_, _, err := make1(s.Host, get("a"), patient)
	want(t, "error", err, nil)
	want(t, "first call", wait(t, got, "call"), "a1")
	for _, cut := range []int{0, 40} {
		s.mu.Lock()
		c := s.idle[0]
		c.Conn = &quietly{brittle{c.Conn, cut}, c.Conn.(*net.TCPConn)}
		s.mu.Unlock()
		r := get("b")
		r.Body = [][]byte{[]byte("history,"), []byte("input")}
		res, body, err := make1(s.Host, r, patient)
		want(t, "error", err, nil)
		want(t, "outcome", res.Outcome, Answered)
		want(t, "body", body, "yes")
		if call := wait(t, got, "call"); !strings.HasSuffix(call, "history,input") || strings.HasPrefix(call, "b1") {
			t.Errorf("the second call is %q, want the complete request on another connection", call)
		}
	}
}

// quietly is brittle, but a syscall.Conn, so that it can be looked at for received bytes.
type quietly struct {
	brittle
	*net.TCPConn
}

func (q *quietly) Write(p []byte) (int, error)        { return q.brittle.Write(p) }
func (q *quietly) Read(p []byte) (int, error)         { return q.TCPConn.Read(p) }
func (q *quietly) Close() error                       { return q.TCPConn.Close() }
func (q *quietly) LocalAddr() net.Addr                { return q.TCPConn.LocalAddr() }
func (q *quietly) RemoteAddr() net.Addr               { return q.TCPConn.RemoteAddr() }
func (q *quietly) SetDeadline(t time.Time) error      { return q.TCPConn.SetDeadline(t) }
func (q *quietly) SetReadDeadline(t time.Time) error  { return q.TCPConn.SetReadDeadline(t) }
func (q *quietly) SetWriteDeadline(t time.Time) error { return q.TCPConn.SetWriteDeadline(t) }

// lying is a connection whose writes return an error although every byte is written.
type lying struct{ *net.TCPConn }

func (l lying) Write(p []byte) (int, error) {
	n, _ := l.TCPConn.Write(p)
	return n, syscall.ECONNRESET
}

// A request whose last byte was written may have run, whatever error the write returned: it is not sent again.
func TestFailedWriteOfCompleteRequest(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok("yes"); return l.id == "a" })
	_, _, err := make1(s.Host, get("a"), patient)
	want(t, "error", err, nil)
	s.mu.Lock()
	c := s.idle[0]
	c.Conn = lying{c.Conn.(*net.TCPConn)}
	s.mu.Unlock()
	res, body, err := make1(s.Host, get("b"), patient)
	want(t, "error", err, nil)
	want(t, "outcome", res.Outcome, Answered)
	want(t, "body", body, "yes")
	want(t, "calls", s.calls.Load(), 2)
}
