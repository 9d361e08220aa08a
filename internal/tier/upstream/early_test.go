package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// newEarly is a host in virtual time that has read the head of a request when answer gets its connection.
func newEarly(answer func(c net.Conn, in *bufio.Reader)) *Host {
	h := NewHost("i-1", "", 8)
	h.dial = func(string, time.Duration) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			in := bufio.NewReader(far)
			if _, err := http.ReadRequest(in); err == nil {
				answer(far, in)
			}
		}()
		return near, nil
	}
	return h
}

// A host answers when it has read a part of a long request. What it says counts, at once; the connection is not kept.
func TestEarlyResponse(t *testing.T) {
	silence := func(_ net.Conn, _ *bufio.Reader, end <-chan bool) { <-end }
	closes := func(net.Conn, *bufio.Reader, <-chan bool) {}
	const sealed = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 3\r\n\r\nyes"
	for name, c := range map[string]struct {
		text    string
		then    func(c net.Conn, in *bufio.Reader, end <-chan bool)
		outcome Outcome
		err     error
		body    string
		kept    int // connections
	}{
		"it ran, silence": {sealed, silence, Answered, nil, "yes", 0},
		"it ran, close":   {sealed, closes, Answered, nil, "yes", 0},
		"it ran, the rest is read": {sealed, func(_ net.Conn, in *bufio.Reader, _ <-chan bool) {
			synctest.Wait() // the answer is read, and the write waits
			_, _ = io.Copy(io.Discard, in)
		}, Answered, nil, "yes", 0},
		"not executed, silence": {"HTTP/1.1 503 X\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 3\r\n\r\nnot", silence, NotRun, nil, "not", 0},
		"half a head, close":    {sealed[:30], closes, MayHaveRun, ErrBroken, "", 0},
		"close":                 {"", closes, NotRun, ErrNotSent, "", 0},
		"interim, the rest, an answer": {"HTTP/1.1 102 X\r\n\r\n", func(c net.Conn, in *bufio.Reader, end <-chan bool) {
			_, _ = io.CopyN(io.Discard, in, 1<<20)
			_, _ = io.WriteString(c, sealed)
			<-end
		}, Answered, nil, "yes", 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				end := make(chan bool)
				defer close(end)
				h := newEarly(func(nc net.Conn, in *bufio.Reader) {
					if c.text != "" {
						_, _ = io.WriteString(nc, c.text)
					}
					c.then(nc, in, end)
				})
				r := get("a")
				r.Method, r.Body = http.MethodPost, [][]byte{[]byte(strings.Repeat("x", 1<<20))}
				begin := time.Now()
				res, body, err := make1(h, r, patient)
				want(t, "outcome", res.Outcome, c.outcome)
				if !errors.Is(err, c.err) {
					t.Errorf("the error is %v, want %v", err, c.err)
				}
				want(t, "body", body, c.body)
				if took := time.Since(begin); took > drainTimeout {
					t.Errorf("it took %v, want no more than %v", took, drainTimeout)
				}
				want(t, "connections", h.OpenConns(), c.kept)
				h.CloseIdleConns()
			})
		})
	}
}

// A host that answers ahead of the last bytes of a request does not get them, and its connection is not kept.
func TestEarlyResponseStopsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 1 << 20
		got := make(chan int64, 1)
		h := newEarly(func(c net.Conn, in *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, in, size-lastWriteBytes-1)
			_, _ = io.WriteString(c, ok("a", "", "yes"))
			synctest.Wait() // the answer is read
			rest, _ := io.Copy(io.Discard, in)
			got <- size - lastWriteBytes - 1 + rest
		})
		r := get("a")
		r.Body = [][]byte{[]byte(strings.Repeat("x", size))}
		res, body, err := make1(h, r, patient)
		want(t, "error", err, nil)
		want(t, "outcome", res.Outcome, Answered)
		want(t, "body", body, "yes")
		want(t, "connections", h.OpenConns(), 0)
		if n := <-got; n > size-lastWriteBytes {
			t.Errorf("%d bytes were sent of %d, want at most %d", n, size, size-lastWriteBytes)
		}
	})
}

// paused has a long write end, with all of it taken, when the writer is told to stop, and counts what is written after that.
type paused struct {
	net.Conn
	once  sync.Once
	stop  chan bool
	after atomic.Int64
}

func (c *paused) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.stop) })
	return nil
}

func (c *paused) Write(p []byte) (int, error) {
	if len(p) > maxJoinedBody { // all but the last bytes of the body
		<-c.stop
		return len(p), nil
	}
	select {
	case <-c.stop:
		c.after.Add(int64(len(p)))
		return len(p), nil
	default:
		return c.Conn.Write(p) // the head
	}
}

// The same where the connection takes in all but the last bytes before the answer is seen, as sockets with room do.
func TestEarlyResponseStopsRequestWithSocketBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := make(chan bool)
		defer close(end)
		h := newEarly(func(c net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(c, ok("a", "", "yes"))
			<-end
		})
		var conn *paused
		pipe := h.dial
		h.dial = func(addr string, within time.Duration) (net.Conn, error) {
			nc, err := pipe(addr, within)
			conn = &paused{Conn: nc, stop: make(chan bool)}
			return conn, err
		}
		r := get("a")
		r.Body = [][]byte{[]byte(strings.Repeat("x", 1<<20))}
		res, body, err := make1(h, r, patient)
		want(t, "error", err, nil)
		want(t, "outcome", res.Outcome, Answered)
		want(t, "body", body, "yes")
		want(t, "bytes sent behind the answer", conn.after.Load(), 0)
		want(t, "connections", h.OpenConns(), 0)
	})
}
