package httpcall

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/standin/reservedport"
)

func caller() *Pool { return NewPool(time.Second, time.Minute, 64) }

func oneCall(addr, body string) *Call {
	return NewCall(&Host{Addr: addr}, 20*time.Second, Message{ID: "m1", Key: "k", Body: []byte(body)})
}

func outcome(p *Pool, ctx context.Context, c *Call) choice.Outcome {
	ends, _, _ := p.Exchange(ctx, c)
	return ends[0].Outcome
}

func wait[T any](t *testing.T, ch chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(30 * time.Second):
		t.Fatalf("no %s came", what)
		panic("unreachable")
	}
}

func want[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s is %v, want %v", what, got, want)
	}
}

// Guards against net/http sending a request again by itself: one with an Idempotency-Key goes out
// twice if its connection was kept from before and breaks. An empty body needs the guard too.
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
							return // read whole, never answered
						}
						fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}()
			}
		}()
		r := caller()
		c := oneCall(l.Addr().String(), body)
		want(t, "first outcome", outcome(r, context.Background(), c), choice.Served)
		want(t, "outcome of a call that breaks", outcome(r, context.Background(), c), choice.Spoilt)
		want(t, "requests on the wire", got.Load(), 2)
	}
}

// Guards against calling it a reset where nothing can have run.
func TestRefusedConnectionNeverRan(t *testing.T) {
	port, err := reservedport.Reserve() // nobody listens there, and nobody comes to
	if err != nil {
		t.Fatal(err)
	}
	defer port.Close()
	want(t, "outcome", outcome(caller(), context.Background(), oneCall(port.Addr(), "x")), choice.NoConnection)
}

// Guards against sending over a connection that came up only after its host began to drain.
func TestDrainWhileConnecting(t *testing.T) {
	var got atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { got.Add(1) }))
	defer s.Close()
	r := caller()
	c := oneCall(s.Listener.Addr().String(), "x")
	dial := r.dial
	r.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c.Host.closed.Store(true)
		return dial(ctx, network, addr)
	}
	want(t, "outcome", outcome(r, context.Background(), c), choice.NotSent)
	want(t, "requests", got.Load(), 0)
}

// Guards against mixing up the ends of a call that nobody answers.
func TestUnansweredCalls(t *testing.T) {
	came := make(chan bool, 10)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		io.Copy(io.Discard, req.Body)
		came <- true
		<-req.Context().Done()
	}))
	defer s.Close()
	r := caller()
	c := oneCall(s.Listener.Addr().String(), "x")
	c.Timeout = 50 * time.Millisecond
	if o := outcome(r, context.Background(), c); o != choice.Timeout {
		// A machine so busy that the request was not even written in time proves it never ran.
		want(t, "outcome", o, choice.NoConnection)
	} else {
		wait(t, came, "call")
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	c.Timeout = time.Minute
	go func() { <-came; cancel(ErrCalledOff) }()
	want(t, "outcome", outcome(r, ctx, c), choice.Cancelled)
}

func TestStatuses(t *testing.T) {
	for status, o := range map[int]End{200: {Outcome: choice.Served}, 500: {Outcome: choice.Error}, 429: {Outcome: choice.Refused},
		503: {Outcome: choice.Refused}, 504: {Outcome: choice.NotSent}, 410: {Outcome: choice.NotSent, Done: true}, 418: {Outcome: choice.Error}} {
		want(t, fmt.Sprint("end after ", status), singleEnd(response{status: status, complete: true}, false), o)
		if status != 200 {
			want(t, fmt.Sprint("end after a spoilt ", status), singleEnd(response{status: status}, false), End{Outcome: choice.Spoilt})
		}
	}
	over := response{status: 503, complete: true, header: http.Header{"X-Over-Slots": {"1"}}}
	want(t, "end without a slot", singleEnd(over, false), End{Outcome: choice.NotSent})
	want(t, "end of a call too large", singleEnd(response{status: 413, complete: true}, true), End{Outcome: choice.NotSent})
}

// Guards against a connection for each message.
func TestConnectionsAreKept(t *testing.T) {
	var conns atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("x", 10000))
	}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	r := caller()
	c := oneCall(s.Listener.Addr().String(), "x")
	for range 5 {
		want(t, "outcome", outcome(r, context.Background(), c), choice.Served)
	}
	want(t, "connections", conns.Load(), 1)
}

// Guards against taking a message for safe to repeat that a garbled answer says nothing sure of.
func FuzzBatchEnds(f *testing.F) {
	f.Add("a ok\r\nb later\r\n")
	f.Add("a  gone\nb")
	f.Add("\x00 ok\r\na exhausted")
	f.Fuzz(func(t *testing.T, body string) {
		ids := []string{"a", "b"}
		ends := batchEnds(response{complete: true, body: []byte(body)}, ids)
		if len(ends) != len(ids) {
			t.Fatalf("%d ends for %d messages", len(ends), len(ids))
		}
		for i, e := range ends {
			if e.Outcome != choice.Spoilt && !strings.Contains(body, ids[i]) {
				t.Fatalf("%q is %v without being named", ids[i], e)
			}
		}
	})
}

// rawHost reads each request whole and answers with the bytes that the test gives for it, in turn.
func rawHost(t *testing.T, answers ...string) (addr string, ended chan bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended = make(chan bool, 100) // connections that the relay closed
	left := make(chan string, len(answers))
	for _, a := range answers {
		left <- a
	}
	t.Cleanup(func() { l.Close() })
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
						ended <- true
						return
					}
					io.Copy(io.Discard, req.Body)
					io.WriteString(conn, <-left)
				}
			}()
		}
	}()
	return l.Addr().String(), ended
}

const (
	okAnswer  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	badAnswer = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
)

// Guards against mixed-up answers: what lies behind one is not the answer to the next call.
func TestSurplusIsNotTheNextAnswer(t *testing.T) {
	for _, behind := range []string{okAnswer, "noise", okAnswer[:20]} {
		for _, ahead := range []string{"", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
			addr, ended := rawHost(t, ahead+okAnswer+behind, badAnswer)
			r, c := caller(), oneCall(addr, "x")
			want(t, "first outcome", outcome(r, context.Background(), c), choice.Served)
			want(t, "next outcome", outcome(r, context.Background(), c), choice.Error)
			wait(t, ended, "close of the spoilt connection")
		}
	}
}

// Guards the same where the surplus comes only when its connection stands idle.
func TestSurplusOnAnIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := NewPool(time.Second, time.Minute, 2)
	h := &Host{Addr: l.Addr().String()}
	c, err := s.get(t.Context(), h)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	s.put(c)
	again, err := s.get(t.Context(), h)
	if err != nil || again != c {
		t.Fatalf("got %p, %v, want the connection that was kept", again, err)
	}
	io.WriteString(peer, okAnswer)
	c.limit.N = 1
	if _, err := c.reader.Peek(1); err != nil { // a part of it has come, the rest with it
		t.Fatal(err)
	}
	s.put(c)
	again, err = s.get(t.Context(), h)
	if err != nil || again == c {
		t.Fatalf("got the same connection, %v, want another", err)
	}
	want(t, "connections open", s.open, 1)
}

// Guards against spoilt answers that prove too much, or that hold a slot until the time-out: only a
// first line of 200 to a single message is sure.
func TestSpoiltAnswers(t *testing.T) {
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
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100) + okAnswer:                      choice.Spoilt,
	} {
		addr, ended := rawHost(t, text)
		r, c := caller(), oneCall(addr, "x")
		c.Timeout = time.Hour
		want(t, fmt.Sprintf("outcome of %.60q", text), outcome(r, context.Background(), c), o)
		if o != choice.Refused {
			wait(t, ended, "close after a spoilt answer")
		}
	}
}

func TestSpoiltBatchProvesNothing(t *testing.T) {
	ids := []string{"a", "b"}
	for _, body := range []string{"a ok\r\n", "a ok\r\nb ok\r\nc ok\r\n", "a later\r\na later\r\nb ok\r\n", "a ok\r\nb o", "", "noise"} {
		for i, e := range batchEnds(response{complete: true, body: []byte(body)}, ids) {
			want(t, fmt.Sprintf("%s after %q", ids[i], body), e, End{Outcome: choice.Spoilt})
		}
	}
	cut := response{body: []byte("a later\r\nb later\r\n")}
	want(t, "an answer that is not whole", batchEnds(cut, ids)[0], End{Outcome: choice.Spoilt})
}

// Guards against telling the relay's own want of descriptors as a host's failure, and against more
// connections than the limit allows.
func TestConnectionsAreBounded(t *testing.T) {
	addr, ended := rawHost(t, okAnswer, okAnswer)
	r := NewPool(time.Second, time.Minute, 1)
	one, two := oneCall(addr, "x"), oneCall(addr, "x")
	want(t, "outcome", outcome(r, context.Background(), one), choice.Served)
	want(t, "outcome at another host", outcome(r, context.Background(), two), choice.Served)
	wait(t, ended, "close of the idle one")
	c, err := r.get(t.Context(), two.Host)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "outcome while all are in use", outcome(r, context.Background(), one), choice.NotSent)
	c.Close()
	want(t, "connections open", r.open, 0)
}

// Guards against idle connections that outlast the time after which hosts end them.
func TestIdleConnectionExpires(t *testing.T) {
	addr, ended := rawHost(t, okAnswer)
	r := NewPool(time.Second, time.Millisecond, 4)
	want(t, "outcome", outcome(r, context.Background(), oneCall(addr, "x")), choice.Served)
	wait(t, ended, "close")
}

// Guards against calls lost on connections that are dropped on the way after a short rest: once some
// broke, no connection that rested for so long is used, until it is worth another look.
func TestStaleConnectionsAreLearnt(t *testing.T) {
	now := time.Now()
	var s idleTrust
	for range 100 {
		s.record(10*time.Millisecond, false, now)
		s.record(150*time.Millisecond, false, now)
	}
	for range 5 {
		s.record(150*time.Millisecond, true, now)
	}
	want(t, "5 of 105 broke: still used", s.trusts(time.Second, now), true)
	for range minResets {
		s.record(300*time.Millisecond, true, now)
	}
	want(t, "used after 300 ms", s.trusts(300*time.Millisecond, now), false)
	want(t, "used after a second", s.trusts(time.Second, now), false)
	want(t, "used after 100 ms", s.trusts(100*time.Millisecond, now), true)
	want(t, "used once more later", s.trusts(time.Second, now.Add(2*distrustPeriod)), true)

	answers := slices.Repeat([]string{okAnswer}, 10)
	addr, ended := rawHost(t, answers...)
	r, c := caller(), oneCall(addr, "x")
	want(t, "outcome", outcome(r, context.Background(), c), choice.Served)
	r.idleTrust.distrustUntil = time.Now().Add(time.Hour) // nothing that rested is trusted
	want(t, "outcome", outcome(r, context.Background(), c), choice.Served)
	wait(t, ended, "close of the connection that rested")
}

func TestRetryAfter(t *testing.T) {
	for text, d := range map[string]time.Duration{"1": time.Second, "0.25": 250 * time.Millisecond,
		"0.0001": time.Millisecond, "": 0, "x": 0, "-1": 0, "NaN": 0, "1e99": time.Hour} {
		want(t, "wait for "+text, retryAfter(http.Header{"Retry-After": {text}}), d)
	}
}

// Guards against a call that was decided before its host told to wait, and whose connection came up after: it
// must not go out. The same holds for a host that shares the wait, and not for one that does not.
func TestWaitBindsCallsOnTheirWay(t *testing.T) {
	var calls atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			w.Header().Set("Retry-After", "20")
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}))
	defer s.Close()
	addr := s.Listener.Addr().String()
	p := caller()
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
				t.Error("the wait is not told with a call that it held back")
			}
			ends <- e[0]
		}()
	}
	p2 := caller()
	defer p2.CloseIdle()
	want(t, "outcome of the first", outcome(p2, t.Context(), first), choice.Refused)
	close(up)
	for range 2 {
		want(t, "outcome of a call decided before the wait", wait(t, ends, "end").Outcome, choice.NotSent)
	}
	want(t, "outcome of one apart", outcome(p2, t.Context(), apart), choice.Served)
}
