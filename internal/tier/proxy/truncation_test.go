package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// A request that its client truncates after any byte but the last is not forwarded; a complete one before it on the
// connection gets its response.
func TestTruncatedRequestIsNotForwarded(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool { c.respond(200, "", c.id()); return true })
	f := newFront(t, h)
	ahead := requestText("POST", "/order/x", "ahead", timeLeft, "x")
	for _, text := range []string{
		requestText("POST", "/order/x", "cut", timeLeft, "body"),
		"POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: cut\r\nTransfer-Encoding: chunked\r\n\r\n2;e=1\r\nbo\r\n2\r\ndy\r\n0\r\nX-T: 1\r\n\r\n",
	} {
		for cut := range len(text) {
			for _, before := range []string{"", ahead} {
				c := f.dial()
				c.send(before + text[:cut])
				if before != "" {
					a := c.read()
					want(t, "answer to the one ahead", fmt.Sprint(a.status, a.body), "200ahead")
				}
				_ = c.Conn.(*net.TCPConn).CloseWrite()
				if a := c.read(); a.status != 0 && a.status/100 != 4 {
					t.Errorf("cut behind byte %d: status %d", cut, a.status)
				}
				c.Close()
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, got := range h.requests {
		if strings.Contains(got, "X-Attempt-Id: cut") {
			t.Errorf("the host got %q", got)
		}
	}
}

// Pipelined requests with garbage behind them: those before the garbage are answered in their order, nothing after it runs.
func TestPipelinedRequestsBeforeGarbage(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool { c.respond(200, "", c.id()); return true })
	f := newFront(t, h)
	c := f.dial()
	c.send(requestText("POST", "/order/x", "a", timeLeft, "x") + requestText("GET", "/none/", "b", "", "") +
		requestText("DELETE", "/order/x", "c", timeLeft, "") + "GET /order/x HTTP/1.0\r\nHost: shop.example\r\nX-Attempt-Id: d\r\n\r\n" +
		requestText("POST", "/order/x", "e", timeLeft, "x"))
	for _, wanted := range []string{"200 a", "404 b", "200 c", "505 "} {
		a := c.read()
		want(t, "answer", fmt.Sprint(a.status, " ", a.header.Get("X-Attempt-Id")), wanted)
	}
	if a := c.read(); a.status != 0 {
		t.Errorf("an answer with status %d behind the last", a.status)
	}
	want(t, "calls", h.calls.Load(), 2)
}

// An endless trailer is rejected with a response.
func TestEndlessTrailerIsRejected(t *testing.T) {
	f := newFront(t, newHost(t, "i-1", respondsOK("ran")))
	c := f.dial()
	c.send("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + strings.Repeat("y", 2*readBufferSize))
	want(t, "status", c.read().status, 400)
}
