package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// A host resets a connection just as it is reused: the request may have run.
func TestReusedConnectionIsReset(t *testing.T) {
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
	want(t, "reused", res.ConnReused, true)
	want(t, "response started", res.ResponseStarted, false)
	want(t, "calls", s.calls.Load(), 2) // not sent again
}

// A connection that the host closed while it was idle is not used.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	s := newStandin(t, func(l *line) bool { l.ok("yes"); return false })
	for i, id := range []string{"a", "b", "c"} {
		res, body, err := make1(s.Host, get(id), patient)
		want(t, "error", err, nil)
		want(t, "outcome", res.Outcome, Answered)
		want(t, "body", body, "yes")
		want(t, "connection that ended", wait(t, s.closed, "close"), i+1)
	}
}

// Bytes behind a complete response belong to no request, whether they come with it or while the connection is idle.
func TestBytesBehindResponse(t *testing.T) {
	for name, whileIdle := range map[string]bool{"with the response": false, "while idle": true} {
		t.Run(name, func(t *testing.T) {
			more, sent := make(chan bool), make(chan bool)
			s := newStandin(t, func(l *line) bool {
				behind := ok("b", "", "forged")
				if l.conn == 2 {
					l.ok("true")
				} else if !whileIdle {
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
			if whileIdle {
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

// quiet1 reports whether nothing was received, without reading it.
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

func TestKeepAlive(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		kept   bool
	}{
		"nothing advertised": {"", true},
		"long enough":        {"Keep-Alive: timeout=9, max=100\r\n", true},
		"close":              {"Connection: close\r\n", false},
		"no idle time":       {"Keep-Alive: timeout=0\r\n", false},
		"an invalid time":    {"Keep-Alive: timeout=soon\r\n", false},
		"close among more":   {"Connection: x, Close\r\n", false},
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

func TestIdleLimit(t *testing.T) {
	for header, limit := range map[string]time.Duration{"": defaultIdleLimit, "timeout=1": 600 * time.Millisecond, "max=5, TIMEOUT=10": 6 * time.Second,
		"timeout=4000": maxIdleLimit, "timeout=0": 0, "timeout=-3": 0, "max=9": defaultIdleLimit} {
		d, _ := idleLimitOf(header)
		want(t, "idle limit by "+header, d, limit)
	}
}

// A finished response cannot be read: another call may have its connection.
func TestFinishedResponseIsNotRead(t *testing.T) {
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
	want(t, "error", errors.Is(err, errFinished), true)
}
