package httpcall

import (
	"context"
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
)

// Consecutive calls share one connection.
func TestConnectionsAreReused(t *testing.T) {
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
	p := newTestPool()
	c := oneCall(s.Listener.Addr().String(), "x")
	for range 5 {
		want(t, "outcome", outcome(p, context.Background(), c), choice.Served)
	}
	want(t, "connections", conns.Load(), 1)
}

// Surplus bytes after a response are not taken for the response to the next call.
func TestSurplusIsNotTheNextResponse(t *testing.T) {
	for _, behind := range []string{okResponse, "noise", okResponse[:20]} {
		for _, ahead := range []string{"", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"} {
			addr, ended := rawHost(t, ahead+okResponse+behind, errorResponse)
			p, c := newTestPool(), oneCall(addr, "x")
			want(t, "first outcome", outcome(p, context.Background(), c), choice.Served)
			want(t, "next outcome", outcome(p, context.Background(), c), choice.Error)
			wait(t, ended, "close of the connection")
		}
	}
}

// Nor are surplus bytes that arrive while the connection is idle.
func TestSurplusOnAnIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := NewPool(time.Second, time.Minute, 2)
	h := &Host{Addr: l.Addr().String()}
	c, err := p.get(t.Context(), h)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	p.put(c)
	again, err := p.get(t.Context(), h)
	if err != nil || again != c {
		t.Fatalf("got %p, %v, want the idle connection", again, err)
	}
	io.WriteString(peer, okResponse)
	c.limit.N = 1
	if _, err := c.reader.Peek(1); err != nil { // a part has arrived, and the rest with it
		t.Fatal(err)
	}
	p.put(c)
	again, err = p.get(t.Context(), h)
	if err != nil || again == c {
		t.Fatalf("got the same connection, %v, want another", err)
	}
	want(t, "connections open", p.open, 1)
}

// The pool stays within its bound, and a call that gets no connection for that is not the host's failure.
func TestConnectionsAreBounded(t *testing.T) {
	addr, ended := rawHost(t, okResponse, okResponse)
	p := NewPool(time.Second, time.Minute, 1)
	one, two := oneCall(addr, "x"), oneCall(addr, "x")
	want(t, "outcome", outcome(p, context.Background(), one), choice.Served)
	want(t, "outcome at another host", outcome(p, context.Background(), two), choice.Served)
	wait(t, ended, "close of the idle one")
	c, err := p.get(t.Context(), two.Host)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "outcome while all are in use", outcome(p, context.Background(), one), choice.NotSent)
	c.Close()
	want(t, "connections open", p.open, 0)
}

// An idle connection is closed after the pool's idle time-out.
func TestIdleConnectionExpires(t *testing.T) {
	addr, ended := rawHost(t, okResponse)
	p := NewPool(time.Second, time.Millisecond, 4)
	want(t, "outcome", outcome(p, context.Background(), oneCall(addr, "x")), choice.Served)
	wait(t, ended, "close")
}

// Once several connections were reset after an idle time, none that was idle for as long is reused, until the
// distrust period is over.
func TestIdleTimeOfResetsIsDistrusted(t *testing.T) {
	now := time.Now()
	var s idleTrust
	for range 100 {
		s.record(10*time.Millisecond, false, now)
		s.record(150*time.Millisecond, false, now)
	}
	for range 5 {
		s.record(150*time.Millisecond, true, now)
	}
	want(t, "reused after 5 of 105 resets", s.trusts(time.Second, now), true)
	for range minResets {
		s.record(300*time.Millisecond, true, now)
	}
	want(t, "reused after 300 ms", s.trusts(300*time.Millisecond, now), false)
	want(t, "reused after a second", s.trusts(time.Second, now), false)
	want(t, "reused after 100 ms", s.trusts(100*time.Millisecond, now), true)
	want(t, "reused after the distrust period", s.trusts(time.Second, now.Add(2*distrustPeriod)), true)

	addr, ended := rawHost(t, slices.Repeat([]string{okResponse}, 10)...)
	p, c := newTestPool(), oneCall(addr, "x")
	want(t, "outcome", outcome(p, context.Background(), c), choice.Served)
	p.idleTrust.distrustUntil = time.Now().Add(time.Hour) // no idle connection is trusted
	want(t, "outcome", outcome(p, context.Background(), c), choice.Served)
	wait(t, ended, "close of the idle connection")
}
