package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// newVirtual returns a host in virtual time: dialing takes a while, and answer gets each connection with its first request.
func newVirtual(t *testing.T, dialing time.Duration, answer func(c net.Conn, r *http.Request)) *Host {
	t.Helper()
	h := NewHost("i-1", "", 8)
	h.dial = func(string, time.Duration) (net.Conn, error) {
		time.Sleep(dialing)
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			r, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			answer(far, r)
		}()
		return near, nil
	}
	return h
}

// X-Time-Left-Ms is the time that is left when the request is written, not before its connection was dialled.
func TestTimeLeftAtWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timeLeft := ""
		h := newVirtual(t, 300*time.Millisecond, func(c net.Conn, r *http.Request) {
			timeLeft = r.Header.Get("X-Time-Left-Ms")
			_, _ = io.WriteString(c, ok("a", "", "yes"))
		})
		r := get("a")
		r.Deadline = time.Now().Add(5 * time.Second)
		_, _, err := make1(h, r, patient)
		want(t, "error", err, nil)
		want(t, "time left", timeLeft, strconv.Itoa(4700))
	})
}

// The head of a rejection is the proof: a host that stalls in the body delays the request by drainTimeout only.
func TestStalledRejection(t *testing.T) {
	for name, text := range map[string]string{
		"not executed": "HTTP/1.1 503 X\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\n",
		"misdirected":  "HTTP/1.1 421 X\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newVirtual(t, 0, func(c net.Conn, _ *http.Request) {
					_, _ = io.WriteString(c, text+"ful")
					_, _ = c.Read(make([]byte, 1))
				})
				begin := time.Now()
				res, body, err := make1(h, get("a"), patient)
				want(t, "error", err, nil)
				want(t, "outcome", res.Outcome, NotRun)
				want(t, "its text", body, "ful")
				want(t, "its end", res.Response.Complete(), false)
				want(t, "took", time.Since(begin), drainTimeout)
				want(t, "connections", h.OpenConns(), 0)
			})
		})
	}
}

// Drain takes no longer, either.
func TestStalledDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newVirtual(t, 0, func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 X\r\nX-Attempt-Id: a\r\nContent-Length: 9\r\n\r\nfai")
			_, _ = c.Read(make([]byte, 1))
		})
		begin := time.Now()
		res := new(Call).Do(h, get("a"), begin.Add(patient))
		want(t, "outcome", res.Outcome, Answered)
		res.Response.Drain()
		res.Response.Finish()
		want(t, "took", time.Since(begin), drainTimeout)
		want(t, "connections", h.OpenConns(), 0)
	})
}

// A rejection just before the deadline does not extend it.
func TestRejectionKeepsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within = time.Second
		h := newVirtual(t, 0, func(c net.Conn, _ *http.Request) {
			time.Sleep(within - drainTimeout/4)
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nful")
			_, _ = c.Read(make([]byte, 1))
		})
		begin := time.Now()
		res, _, _ := make1(h, get("a"), within)
		want(t, "outcome", res.Outcome, NotRun)
		want(t, "took", time.Since(begin), within)
	})
}

// A dial that times out because the call has little time says nothing about the host.
func TestDialTimeoutKind(t *testing.T) {
	for within, kind := range map[time.Duration]error{time.Millisecond: ErrDeadline, dialTimeout / 2: ErrDeadline, dialTimeout: ErrConnect, time.Second: ErrConnect} {
		t.Run(within.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewHost("i-1", "", 8)
				h.dial = func(_ string, within time.Duration) (net.Conn, error) {
					time.Sleep(within)
					return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
				}
				begin := time.Now()
				res, _, _ := make1(h, get("a"), within)
				want(t, "outcome", res.Outcome, NotRun)
				if !errors.Is(res.Err, kind) {
					t.Errorf("within %v the error is %v, want %v", within, res.Err, kind)
				}
				want(t, "took", time.Since(begin), min(within, dialTimeout))
				want(t, "connections", h.OpenConns(), 0)
			})
		})
	}
}
