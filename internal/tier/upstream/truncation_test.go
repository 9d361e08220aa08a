package upstream

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// A request that is truncated after any of its bytes but the last has not run: on a new connection that is the outcome, on a
// reused one it is sent again on another. Truncated after the last byte it may have run.
func TestTruncatedRequestNotRun(t *testing.T) {
	r := get("b")
	r.Body = [][]byte{[]byte("history,"), []byte("input")}
	size := len(r.appendHead(nil, "i-1", 13)) + 13
	for _, kept := range []bool{false, true} {
		for cut := range size + 1 {
			ran := make(chan string, 4)
			s := newStandin(t, func(l *line) bool { ran <- l.id + l.body; l.ok("yes"); return l.id == "a" })
			calls := int32(0)
			if kept {
				_, _, err := make1(s.Host, get("a"), patient)
				want(t, "error of the call ahead", err, nil)
				calls = 1
				s.mu.Lock()
				s.idle[0].Conn = &quietly{brittle{s.idle[0].Conn, cut}, s.idle[0].Conn.(*net.TCPConn)}
				s.mu.Unlock()
			} else {
				s.dial = func(addr string, within time.Duration) (net.Conn, error) {
					nc, err := dial(addr, within)
					if err != nil {
						return nil, err
					}
					return &quietly{brittle{nc, cut}, nc.(*net.TCPConn)}, nil
				}
			}
			res, body, err := make1(s.Host, r, patient)
			switch {
			case cut >= size || kept:
				want(t, "outcome", res.Outcome, Answered)
				want(t, "body", body, "yes")
				calls++
			default:
				want(t, "outcome", res.Outcome, NotRun)
				want(t, "of its kind", errors.Is(err, ErrNotSent), true)
			}
			s.CloseIdleConns()
			want(t, "calls", s.calls.Load(), calls)
			if t.Failed() {
				t.Fatalf("truncated after byte %d of %d, kept %v", cut, size, kept)
			}
		}
	}
}

// The same for a long request, truncated around the ends of its writes.
func TestTruncatedLongRequestNotRun(t *testing.T) {
	r := get("b")
	r.Body = [][]byte{[]byte(strings.Repeat("h", maxJoinedBody)), []byte(strings.Repeat("i", lastWriteBytes/2))}
	size := r.bodySize()
	head := len(r.appendHead(nil, "i-1", size))
	for _, cut := range []int{0, head - 1, head, head + 1, head + maxJoinedBody, head + size - lastWriteBytes, head + size - lastWriteBytes + 1, head + size - 1, head + size} {
		s := newStandin(t, func(l *line) bool { l.ok(l.body); return false })
		s.dial = func(addr string, within time.Duration) (net.Conn, error) {
			nc, err := dial(addr, within)
			if err != nil {
				return nil, err
			}
			return &brittle{nc, cut}, nil
		}
		res, body, err := make1(s.Host, r, patient)
		if cut == head+size {
			want(t, "error", err, nil)
			want(t, "bytes that came back", len(body), size)
		} else {
			want(t, "of its kind", errors.Is(err, ErrNotSent), true)
			want(t, "outcome", res.Outcome, NotRun)
			want(t, "calls", s.calls.Load(), 0)
		}
		if t.Failed() {
			t.Fatalf("truncated after byte %d of %d", cut, head+size)
		}
	}
}

// A host that does not read does not delay a call beyond its deadline, and does not get the complete request.
func TestHostThatDoesNotReadTimesOut(t *testing.T) {
	begun := make(chan bool)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		defer close(begun)
		if nc, err := l.Accept(); err == nil {
			defer nc.Close()
			<-begun
		}
	}()
	h := NewHost("i-1", l.Addr().String(), 8)
	h.dial = func(addr string, within time.Duration) (net.Conn, error) {
		nc, err := dial(addr, within)
		if err == nil {
			_ = nc.(*net.TCPConn).SetWriteBuffer(4 << 10)
		}
		return nc, err
	}
	r := get("a")
	r.Body = [][]byte{[]byte(strings.Repeat("x", 64<<20))}
	res, _, err := make1(h, r, 50*time.Millisecond)
	want(t, "outcome", res.Outcome, NotRun)
	want(t, "time-out", errors.Is(err, ErrDeadline), true)
	begun <- true
	<-begun
}

var _ syscall.Conn = (*quietly)(nil)
