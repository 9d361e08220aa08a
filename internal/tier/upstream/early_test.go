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

// newEarly returns a host in virtual time that reads the head of a request and then calls answer with its connection.
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

// A host responds when it has read a part of a long request. The response is used at once; the connection is not kept.
func TestEarlyResponse(t *testing.T) {
	hang := func(_ net.Conn, _ *bufio.Reader, end <-chan bool) { <-end }
	closes := func(net.Conn, *bufio.Reader, <-chan bool) {}
	const complete200 = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 3\r\n\r\nyes"
	for name, c := range map[string]struct {
		text    string
		then    func(c net.Conn, in *bufio.Reader, end <-chan bool)
		outcome Outcome
		err     error
		body    string
		kept    int // connections
	}{
		"ran, hangs":  {complete200, hang, Answered, nil, "yes", 0},
		"ran, closes": {complete200, closes, Answered, nil, "yes", 0},
		"ran, reads the rest": {complete200, func(_ net.Conn, in *bufio.Reader, _ <-chan bool) {
			synctest.Wait() // the response is read, and the write is blocked
			_, _ = io.Copy(io.Discard, in)
		}, Answered, nil, "yes", 0},
		"not executed, hangs": {"HTTP/1.1 503 X\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 3\r\n\r\nnot", hang, NotRun, nil, "not", 0},
		"half a head, close":  {complete200[:30], closes, MayHaveRun, ErrBroken, "", 0},
		"close":               {"", closes, NotRun, ErrNotSent, "", 0},
		"interim response, the rest, a response": {"HTTP/1.1 102 X\r\n\r\n", func(c net.Conn, in *bufio.Reader, end <-chan bool) {
			_, _ = io.CopyN(io.Discard, in, 1<<20)
			_, _ = io.WriteString(c, complete200)
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

// A host that responds before the last bytes of a request does not get them, and its connection is not kept.
func TestEarlyResponseStopsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 1 << 20
		got := make(chan int64, 1)
		h := newEarly(func(c net.Conn, in *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, in, size-lastWriteBytes-1)
			_, _ = io.WriteString(c, ok("a", "", "yes"))
			synctest.Wait() // the response is read
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

// paused blocks a long write until the write deadline is set, then reports all of it as written. It counts what is written
// after that.
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

// The same if all but the last bytes are written before the response is seen, as with large socket buffers.
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
		want(t, "bytes sent after the response", conn.after.Load(), 0)
		want(t, "connections", h.OpenConns(), 0)
	})
}
