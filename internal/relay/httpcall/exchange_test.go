package httpcall

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/standin/reservedport"
)

// net/http's Transport resends a request with an Idempotency-Key by itself if a reused connection breaks. A call
// must not, with a body or without.
func TestNoResendAfterReset(t *testing.T) {
	for _, body := range []string{"hello", ""} {
		var got atomic.Int32
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					for in := bufio.NewReader(conn); ; {
						req, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						io.Copy(io.Discard, req.Body)
						if got.Add(1) == 2 {
							return // read completely, never answered
						}
						fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}()
			}
		}()
		p := newTestPool()
		c := oneCall(l.Addr().String(), body)
		want(t, "first outcome", outcome(p, context.Background(), c), choice.Served)
		want(t, "outcome of a call that breaks", outcome(p, context.Background(), c), choice.Spoilt)
		want(t, "requests on the wire", got.Load(), 2)
	}
}

// A refused connection proves that the message did not run, unlike a reset.
func TestRefusedConnectionIsNoConnection(t *testing.T) {
	port, err := reservedport.Reserve() // no process listens there, nor can begin to
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	want(t, "outcome", outcome(newTestPool(), context.Background(), oneCall(port.Addr(), "x")), choice.NoConnection)
}

// A call is not sent on a connection that came up only after its host began to drain.
func TestHostClosedWhileDialling(t *testing.T) {
	var got atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) }))
	defer s.Close()
	p := newTestPool()
	c := oneCall(s.Listener.Addr().String(), "x")
	dial := p.dial
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c.Host.closed.Store(true)
		return dial(ctx, network, addr)
	}
	want(t, "outcome", outcome(p, context.Background(), c), choice.NotSent)
	want(t, "requests", got.Load(), 0)
}

// A call without a response ends as a time-out or as cancelled, by the cause of its context.
func TestOutcomeWithoutResponse(t *testing.T) {
	received := make(chan bool, 10)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		received <- true
		<-req.Context().Done()
	}))
	defer s.Close()
	p := newTestPool()
	c := oneCall(s.Listener.Addr().String(), "x")
	c.Timeout = 50 * time.Millisecond
	if o := outcome(p, context.Background(), c); o != choice.Timeout {
		// On a busy machine the request may not be written in time, which proves that it never ran.
		want(t, "outcome", o, choice.NoConnection)
	} else {
		wait(t, received, "call")
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	c.Timeout = time.Minute
	go func() { <-received; cancel(ErrCalledOff) }()
	want(t, "outcome", outcome(p, ctx, c), choice.Cancelled)
}

// A malformed response proves nothing, except that a status line with 200 proves a single message served. Its
// connection is closed at once, not at the call's time-out.
func TestMalformedResponses(t *testing.T) {
	for text, o := range map[string]choice.Outcome{
		"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n":                                           choice.Served,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok":                                     choice.Served,
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 2\r\n\r\nok":               choice.Served,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n":                        choice.Served,
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<20): choice.Served,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Y: z\r\n", 1<<17):                          choice.Served,
		"HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n":                                       choice.Spoilt,
		"HTTP/1.1 OK 200\r\nContent-Length: 0\r\n\r\n":                                       choice.Spoilt,
		"\x00\x01noise\r\n\r\n":                                                              choice.Spoilt,
		"no end of the line":                                                                 choice.Spoilt,
		strings.Repeat("y", 1<<20):                                                           choice.Spoilt,
		"HTTP/1.1 429 No\r\nRetry-After: 1\r\nContent-Length: 9\r\n\r\nx":                    choice.Spoilt,
		"HTTP/1.1 503 No\r\nContent-Length: x\r\n\r\n":                                       choice.Spoilt,
		"HTTP/1.1 504 No\r\nContent-Length: 1\r\n\r\nx and noise":                            choice.Spoilt,
		"HTTP/1.1 410 No\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx":                        choice.Spoilt,
		"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n":                                       choice.Refused,
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100) + okResponse:                    choice.Spoilt,
	} {
		addr, ended := rawHost(t, text)
		p, c := newTestPool(), oneCall(addr, "x")
		c.Timeout = time.Hour
		want(t, fmt.Sprintf("outcome of %.60q", text), outcome(p, context.Background(), c), o)
		if o != choice.Refused {
			wait(t, ended, "close after a malformed response")
		}
	}
}

// A call that was decided before its host asked for no calls, and whose connection came up after, is not sent. The
// same holds for a host that shares the wait, and not for one that does not.
func TestRetryAfterStopsDecidedCalls(t *testing.T) {
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			w.Header().Set("Retry-After", "20")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}))
	defer s.Close()
	addr := s.Listener.Addr().String()
	p := newTestPool()
	defer p.CloseIdle()
	up := make(chan bool) // closed when connections may come up
	plain := p.dial
	shared := new(Waits)
	first, late, sharing, apart := oneCall(addr, "a"), oneCall(addr, "b"), oneCall(addr, "c"), oneCall(addr, "d")
	late.Host = first.Host
	first.Host.Waits, sharing.Host.Waits = shared, shared
	p.dial = func(ctx context.Context, network, to string) (net.Conn, error) {
		<-up
		return plain(ctx, network, to)
	}
	ends := make(chan End, 2)
	for _, c := range []*Call{late, sharing} {
		go func() {
			e, _, left := p.Exchange(t.Context(), c)
			if left <= 0 {
				t.Error("the wait is not returned with a call that it stopped")
			}
			ends <- e[0]
		}()
	}
	p2 := newTestPool()
	defer p2.CloseIdle()
	want(t, "outcome of the first", outcome(p2, t.Context(), first), choice.Refused)
	close(up)
	for range 2 {
		want(t, "outcome of a call decided before the wait", wait(t, ends, "end").Outcome, choice.NotSent)
	}
	want(t, "outcome of a host that does not share the wait", outcome(p2, t.Context(), apart), choice.Served)
}
