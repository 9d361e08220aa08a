package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"larchrouter/internal/standin/reservedport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patient = 10 * time.Second

func want[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

func wait[T any](t *testing.T, ch <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-ch:
	case <-time.After(patient):
		t.Fatalf("%s does not come", what)
	}
	return v
}

// line is one request at a stand-in, on its connection.
type line struct {
	net.Conn
	in   *bufio.Reader
	id   string
	body string
	conn int // the connection's number, from 1
	nth  int // on its connection, from 1
}

func (l *line) raw(s string) { _, _ = io.WriteString(l.Conn, s) }

func (l *line) ok(body string) { l.raw(ok(l.id, "", body)) }

func (l *line) reset() { _ = l.Conn.(*net.TCPConn).SetLinger(0) }

func ok(id, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, header, len(body), body)
}

// standin is a host whose script answers each request, and returns false to close the connection.
type standin struct {
	*Host
	conns, calls atomic.Int32
	closed       chan int // numbers of connections that ended
}

func newStandin(t *testing.T, script func(l *line) bool) *standin {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standin{Host: NewHost("i-1", l.Addr().String(), 8), closed: make(chan int, 100)}
	var wg sync.WaitGroup
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	wg.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			number := int(s.conns.Add(1))
			mu.Lock()
			open[nc] = true
			mu.Unlock()
			wg.Go(func() {
				defer func() { nc.Close(); s.closed <- number }()
				in := bufio.NewReader(nc)
				for nth := 1; ; nth++ {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					b, err := io.ReadAll(req.Body)
					if err != nil {
						return
					}
					s.calls.Add(1)
					if !script(&line{nc, in, req.Header.Get("X-Attempt-Id"), string(b), number, nth}) {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		s.SetDisabled(true)
		l.Close()
		mu.Lock()
		for nc := range open {
			nc.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return s
}

func get(id string) *Request {
	return &Request{Method: "GET", URI: "/x", Host: "shop.example", ID: id, Header: http.Header{"X-Attempt-Id": {id}}, Deadline: time.Now().Add(time.Hour)}
}

// make1 makes one call and reads its answer whole.
func make1(h *Host, r *Request, within time.Duration) (res Result, body string, err error) {
	var k Call
	res = k.Do(h, r, time.Now().Add(within))
	if res.Response == nil {
		return res, "", res.Err
	}
	if res.Outcome == NotRun {
		return res, string(res.Response.RefusalBody), nil
	}
	b, err := io.ReadAll(res.Response)
	res.Response.Finish()
	return res, string(b), err
}

// What each way to end a call proves. The stand-in makes the ending; the second column is what is told.
func TestWhatOutcomesProve(t *testing.T) {
	for name, c := range map[string]struct {
		script  func(l *line) bool
		outcome Outcome
		err     error // kind, of the call or of its answer's body
		body    string
		begun   bool
	}{
		"an answer": {func(l *line) bool { l.ok("yes"); return true }, Answered, nil, "yes", true},
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
		"another host, behind interim and extra answers": {func(l *line) bool {
			l.raw("HTTP/1.1 100 X\r\n\r\n" + ok("old", "", "no") + "HTTP/1.1 103 X\r\n\r\n")
			l.raw("HTTP/1.1 421 X\r\nX-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n")
			return true
		}, NotRun, nil, "", true},
		"another host, by another's id, ahead of an answer": {func(l *line) bool {
			l.raw("HTTP/1.1 421 X\r\nX-Attempt-Id: b\r\nContent-Length: 0\r\n\r\n")
			l.ok("yes")
			return true
		}, Answered, nil, "yes", true},
		"not executed, by another's id, ahead of silence": {func(l *line) bool {
			l.raw("HTTP/1.1 503 X\r\nX-Attempt-Id: b\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return false
		}, MayHaveRun, ErrBroken, "", true},
		"an end that is not known, reset": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nConnection: close\r\n\r\nyes")
			l.reset()
			return false
		}, MayHaveRun, ErrBroken, "", true},
		"an extra answer that ends with its connection": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\nConnection: close\r\n\r\n" + ok("a", "", "no"))
			return false
		}, MayHaveRun, ErrBroken, "", true},
		"an answer of HTTP/1.0 without length": {func(l *line) bool {
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
		"interim answers ahead":  {func(l *line) bool { l.raw("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\n"); l.ok("yes"); return true }, Answered, nil, "yes", true},
		"a surplus answer ahead": {func(l *line) bool { l.raw(ok("old", "", "no")); l.ok("yes"); return true }, Answered, nil, "yes", true},
		"a surplus answer in chunks": {func(l *line) bool {
			l.raw("HTTP/1.1 500 X\r\nX-Attempt-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n")
			l.ok("yes")
			return true
		}, Answered, nil, "yes", true},
		"a surplus answer alone": {func(l *line) bool { l.raw(ok("old", "", "no")); return false }, MayHaveRun, ErrBroken, "", true},
		"an answer of no id ahead": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
			l.ok("yes")
			return true
		}, MayHaveRun, ErrBroken, "", true},
		"half a surplus answer": {func(l *line) bool {
			l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nContent-Length: 9\r\n\r\nno")
			return false
		}, MayHaveRun, ErrBroken, "", true},
		"surplus answers without end": {func(l *line) bool { l.raw(strings.Repeat(ok("old", "", "no"), 9)); l.ok("yes"); return false }, MayHaveRun, ErrBroken, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandin(t, c.script)
			res, body, err := make1(s.Host, get("a"), patient)
			want(t, "outcome", res.Outcome, c.outcome)
			want(t, "of its kind", errors.Is(err, c.err), true)
			want(t, "body", body, c.body)
			want(t, "begun", res.ResponseStarted, c.begun)
			want(t, "calls", s.calls.Load(), 1)
		})
	}
}

func TestSilenceProvesNothing(t *testing.T) {
	end := make(chan bool)
	s := newStandin(t, func(l *line) bool { <-end; return false })
	defer close(end)
	res, _, err := make1(s.Host, get("a"), 20*time.Millisecond)
	want(t, "outcome", res.Outcome, MayHaveRun)
	want(t, "time-out", errors.Is(err, ErrDeadline), true)
	want(t, "connections", s.OpenConns(), 0)
}

func TestSilenceAmidABodyIsATimeOut(t *testing.T) {
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

func TestDeadPortNeverRan(t *testing.T) {
	port, err := reservedport.Reserve() // nobody listens there, and nobody comes to
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

// brittle is a connection whose writes stop after so many bytes.
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

// A request whose last byte was not handed on has not run. On a kept connection it goes out once more on another; on a
// new one that is told.
func TestWriteThatFailsNeverRan(t *testing.T) {
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
			t.Errorf("the second call is %q, want the whole of it on another connection", call)
		}
	}
}

// quietly is brittle, but lets the look for bytes that came through.
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

// A host closes a kept connection just as it is used: what was written may have run.
func TestKeptConnectionEndsAsItIsUsed(t *testing.T) {
	s := newStandin(t, func(l *line) bool {
		if l.nth == 1 {
			l.ok("yes")
			return true
		}
		l.reset()
		return false
	})
	_, _, err := make1(s.Host, get("a"), patient)
	want(t, "error", err, nil)
	res, _, _ := make1(s.Host, get("b"), patient)
	want(t, "outcome", res.Outcome, MayHaveRun)
	want(t, "kept", res.ConnReused, true)
	want(t, "begun", res.ResponseStarted, false)
	want(t, "calls", s.calls.Load(), 2) // not sent again
}

// The end of an idle connection is seen before it is used.
func TestEndOfAnIdleConnectionIsSeen(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok("yes"); return false })
	for i, id := range []string{"a", "b", "c"} {
		res, body, err := make1(s.Host, get(id), patient)
		want(t, "error", err, nil)
		want(t, "outcome", res.Outcome, Answered)
		want(t, "body", body, "yes")
		want(t, "connection that ended", wait(t, s.closed, "close"), i+1)
	}
}

// Bytes behind a whole answer belong to no request: with it, or while the connection is idle.
func TestBytesBehindAnAnswer(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "later": true} {
		t.Run(name, func(t *testing.T) {
			more, sent := make(chan bool), make(chan bool)
			s := newStandin(t, func(l *line) bool {
				behind := ok("b", "", "forged")
				if l.conn == 2 {
					l.ok("true")
				} else if !late {
					l.raw(ok("a", "", "yes") + behind)
				} else {
					l.ok("yes")
					<-more
					l.raw(behind)
					close(sent)
				}
				return true
			})
			_, body, err := make1(s.Host, get("a"), patient)
			want(t, "error", err, nil)
			want(t, "body", body, "yes")
			if late {
				want(t, "connections kept", s.OpenConns(), 1)
				close(more)
				wait(t, sent, "surplus")
				s.mu.Lock()
				c := s.idle[0]
				s.mu.Unlock()
				for end := time.Now().Add(patient); c.quiet1(); time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("the surplus does not come")
					}
				}
			} else {
				want(t, "connections kept", s.OpenConns(), 0)
			}
			_, body, err = make1(s.Host, get("b"), patient)
			want(t, "error", err, nil)
			want(t, "body", body, "true")
			want(t, "connections", s.conns.Load(), 2)
		})
	}
}

// quiet1 looks without reading: whether nothing has come.
func (c *conn) quiet1() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer c.SetReadDeadline(time.Time{})
	raw, _ := c.Conn.(*net.TCPConn).SyscallConn()
	quiet := true
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := recvPeek(int(fd), b[:])
		quiet = n <= 0 && err != nil
	})
	return quiet
}

func TestConnectionsAreKeptAndClosed(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		kept   bool
	}{
		"nothing told":     {"", true},
		"long enough":      {"Keep-Alive: timeout=9, max=100\r\n", true},
		"close":            {"Connection: close\r\n", false},
		"a time of none":   {"Keep-Alive: timeout=0\r\n", false},
		"a time unread":    {"Keep-Alive: timeout=soon\r\n", false},
		"close among more": {"Connection: x, Close\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandin(t, func(l *line) bool { l.raw(ok(l.id, c.header, "yes")); return true })
			for _, id := range []string{"a", "b"} {
				_, _, err := make1(s.Host, get(id), patient)
				want(t, "error", err, nil)
			}
			conns := int32(2)
			if c.kept {
				conns = 1
			}
			want(t, "connections", s.conns.Load(), conns)
		})
	}
}

func TestLifeOfAConnection(t *testing.T) {
	for header, life := range map[string]time.Duration{"": defaultIdleLimit, "timeout=1": 600 * time.Millisecond, "max=5, TIMEOUT=10": 6 * time.Second,
		"timeout=4000": maxIdleLimit, "timeout=0": 0, "timeout=-3": 0, "max=9": defaultIdleLimit} {
		d, _ := idleLimitOf(header)
		want(t, "life by "+header, d, life)
	}
}

// A connection that was idle for longer than a request dares is not used; the sweep closes what nobody may use.
func TestOldConnections(t *testing.T) {
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
	call("d", true) // on a new one; the old one is for others
	want(t, "connections", s.conns.Load(), 2)
	want(t, "open", s.OpenConns(), 2)
	s.SetConnLimit(2)
	s.mu.Lock()
	s.idle[1].idleSince = time.Now().Add(-4 * time.Second)
	s.mu.Unlock()
	call("e", true) // there is no room for a new one
	want(t, "connections", s.conns.Load(), 2)
	s.CloseExpiredConns(time.Now())
	want(t, "open", s.OpenConns(), 2)
	s.CloseExpiredConns(time.Now().Add(6 * time.Second))
	want(t, "open after the sweep", s.OpenConns(), 0)
}

func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan bool)
	s := newStandin(t, func(l *line) bool { <-release; l.ok("yes"); return true })
	s.SetConnLimit(2)
	ends := make(chan error, 2)
	for _, id := range []string{"a", "b"} {
		go func() { _, _, err := make1(s.Host, get(id), patient); ends <- err }()
	}
	for end := time.Now().Add(patient); s.calls.Load() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the calls do not come")
		}
	}
	res, _, err := make1(s.Host, get("c"), patient)
	want(t, "outcome", res.Outcome, NotRun)
	want(t, "no room", errors.Is(err, ErrConnectionLimit), true)
	close(release)
	for range 2 {
		want(t, "error", wait(t, ends, "end"), nil)
	}
	_, _, err = make1(s.Host, get("d"), patient)
	want(t, "error once there is room", err, nil)
	want(t, "connections", s.conns.Load(), 2)
}

// A host that drains gets nothing, also where its connection came up before.
func TestClosedHost(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok("yes"); return true })
	_, _, err := make1(s.Host, get("a"), patient)
	want(t, "error", err, nil)
	want(t, "open", s.OpenConns(), 1)
	s.SetDisabled(true)
	want(t, "open when closed", s.OpenConns(), 0)
	res, _, err := make1(s.Host, get("b"), patient)
	want(t, "outcome", res.Outcome, NotRun)
	want(t, "closed", errors.Is(err, ErrHostDisabled), true)
	want(t, "calls", s.calls.Load(), 1)
	s.SetDisabled(false)
	_, _, err = make1(s.Host, get("c"), patient)
	want(t, "error once open", err, nil)
}

// A host drains while its answer is read: the connection is not kept.
func TestHostClosesDuringACall(t *testing.T) {
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

// Giving up closes the host's connection, and a later giving up does not touch the next call on a kept one.
func TestGivingUp(t *testing.T) {
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
	want(t, "given up", errors.Is(res.Err, ErrCancelled), true)
	want(t, "connection that ended", wait(t, s.closed, "close"), 1)

	var early Call
	early.Cancel()
	res = early.Do(s.Host, get("b"), time.Now().Add(patient))
	want(t, "outcome when given up before", res.Outcome, NotRun)

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

func TestBodiesOfAllSizes(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok(l.body); return true })
	for _, sizes := range [][]int{{}, {0}, {1}, {10, 5}, {maxJoinedBody, 1}, {1 << 20, 3, 200 << 10}} {
		r, all := get("a"), ""
		for i, n := range sizes {
			p := strings.Repeat(string(rune('a'+i)), n)
			r.Body = append(r.Body, []byte(p))
			all += p
		}
		_, body, err := make1(s.Host, r, patient)
		want(t, "error", err, nil)
		if body != all {
			t.Errorf("parts of %v: %d bytes came back, not the %d that were sent", sizes, len(body), len(all))
		}
	}
	want(t, "connections", s.conns.Load(), 1)
}

func TestLoad(t *testing.T) {
	for header, c := range map[string]struct {
		running, waiting, slots int
		ok                      bool
	}{"3,0,8": {3, 0, 8, true}, " 3, 2 ,8": {3, 2, 8, true}, "": {}, "3,1": {}, "x,1,2": {}, "-1,0,8": {}} {
		a := &Response{Header: http.Header{"X-Host-Load": {header}}}
		running, waiting, slots, ok := a.ReportedLoad()
		if want(t, "told by "+header, ok, c.ok); c.ok {
			want(t, "running", running, c.running)
			want(t, "waiting", waiting, c.waiting)
			want(t, "slots", slots, c.slots)
		}
	}
}

// What belongs to one connection stays there; the headers that decide what runs are passed on, whatever Connection names.
func TestHop(t *testing.T) {
	named := []string{"x-mine, Keep-Alive", "x-attempt-id,Budget,program,previous"}
	for name, dropped := range map[string]bool{"Connection": true, "X-Mine": true, "Transfer-Encoding": true, "Content-Length": true,
		"X-Target-Instance": true, "X-Attempt-Id": false, "Budget": false, "Program": false, "Previous": false, "X-Model": false} {
		want(t, name+" dropped", IsHopByHop(name, named), dropped)
	}
}

// What happens while a connection comes up still binds the call: nothing goes out on it.
func TestCallEndsWhileItsConnectionComesUp(t *testing.T) {
	for name, c := range map[string]struct {
		do  func(s *standin, k *Call)
		err error
	}{
		"the host drains":     {func(s *standin, _ *Call) { s.SetDisabled(true) }, ErrHostDisabled},
		"the client has gone": {func(_ *standin, k *Call) { k.Cancel() }, ErrCancelled},
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

// The descriptors of this process say nothing about a host.
func TestOwnShortageIsNotTheHosts(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok("yes"); return true })
	s.dial = func(string, time.Duration) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	res, _, err := make1(s.Host, get("a"), patient)
	want(t, "outcome", res.Outcome, NotRun)
	want(t, "no room", errors.Is(err, ErrConnectionLimit), true)
	want(t, "no connection", errors.Is(err, ErrConnect), false)
}

// lying is a connection whose writes end in an error though every byte went out.
type lying struct{ *net.TCPConn }

func (l lying) Write(p []byte) (int, error) {
	n, _ := l.TCPConn.Write(p)
	return n, syscall.ECONNRESET
}

// A request whose last byte was handed on may have run, whatever error came with it: it is not sent again.
func TestWriteThatFailsBehindItsLastByte(t *testing.T) {
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

// An answer that is finished is not read: its connection may be another call's.
func TestFinishedAnswerIsNotRead(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok(l.id + " has this"); return true })
	var k Call
	first := k.Do(s.Host, get("a"), time.Now().Add(patient))
	first.Response.Finish()
	res, body, err := make1(s.Host, get("b"), patient)
	want(t, "error", err, nil)
	want(t, "body", body, "b has this")
	want(t, "outcome", res.Outcome, Answered)
	n, err := first.Response.Read(make([]byte, 9))
	want(t, "bytes of the first", n, 0)
	want(t, "refused", errors.Is(err, errFinished), true)
}

// Whether a body follows a surplus answer depends on the method of its own request, so that none is read past a HEAD.
func TestSurplusAnswerAheadOfHead(t *testing.T) {
	s := newStandin(t, func(l *line) bool {
		l.raw("HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nContent-Length: 66\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 9\r\nX-Forged: 1\r\n\r\n")
		return false
	})
	r := get("a")
	r.Method = http.MethodHead
	res, _, _ := make1(s.Host, r, patient)
	want(t, "outcome", res.Outcome, MayHaveRun)
}
