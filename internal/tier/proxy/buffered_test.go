package proxy

import (
	"fmt"
	"strings"
	"testing"
)

func TestRequestAndResponsePassUnchanged(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool {
		c.respond(201, "X-Host-Load: 1,0,4\r\nX-Other: a b\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n", "the bytes")
		return true
	})
	f := newFront(t, h)
	a := f.do("POST", "/order/a%2Fb;x/../c?q=%zz&r=1", "a1", timeLeft+"X-Model: m\r\nConnection: X-Mine\r\nX-Mine: 1\r\nKeep-Alive: 5\r\nX-Target-Instance: forged\r\n", "body\x00\r\n")
	want(t, "status", a.status, 201)
	want(t, "body", a.body, "the bytes")
	want(t, "seal", a.header.Get("X-Host-Seal"), "seal")
	want(t, "id", a.header.Get("X-Attempt-Id"), "a1")
	want(t, "other header", a.header.Get("X-Other"), "a b")
	want(t, "header of the host's connection", a.header.Get("X-Hop"), "")
	got := h.lastRequest()
	for _, has := range []string{"POST /order/a%2Fb;x/../c?q=%zz&r=1 HTTP/1.1\r\n", "\r\nHost: shop.example\r\n", "\r\nX-Attempt-Id: a1\r\n",
		"\r\nX-Target-Instance: i-1\r\n", "\r\nX-Model: m\r\n", "\r\nContent-Length: 7\r\n", "\r\n\r\nbody\x00\r\n"} {
		if !strings.Contains(got, has) {
			t.Errorf("the host got %q, without %q", got, has)
		}
	}
	for _, no := range []string{"X-Mine", "Keep-Alive", "forged", "Connection"} {
		if strings.Contains(got, no) {
			t.Errorf("the host got %q, with %q", got, no)
		}
	}
}

func TestChunkedBodiesAndLongResponses(t *testing.T) {
	long := strings.Repeat("0123456789", 60_000)
	h := newHost(t, "i-1", func(c *call) bool {
		switch c.body {
		case "length":
			c.respond(200, "", long)
		case "chunks":
			c.raw("HTTP/1.1 200 OK\r\nX-Host-Seal: seal\r\nX-Attempt-Id: " + c.id() + "\r\nTransfer-Encoding: chunked\r\n\r\n")
			for i := 0; i < len(long); i += 100_000 {
				c.raw(fmt.Sprintf("%x\r\n%s\r\n", 100_000, long[i:i+100_000]))
			}
			c.raw("0\r\nX-Trailer: 1\r\n\r\n")
		}
		return true
	})
	f := newFront(t, h)
	c := f.dial()
	for _, kind := range []string{"length", "chunks"} {
		c.send("POST /tool/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + kind + "\r\nTransfer-Encoding: Chunked\r\n\r\n" +
			"3;ext=1\r\n" + kind[:3] + "\r\n3\r\n" + kind[3:] + "\r\n0\r\nX-Trailer: 1\r\n\r\n")
		a := c.read()
		want(t, "status", a.status, 200)
		want(t, "error", a.err, nil)
		if a.body != long {
			t.Errorf("%s: %d bytes came, not those sent", kind, len(a.body))
		}
		if got := h.lastRequest(); !strings.HasSuffix(got, "\r\n\r\n"+kind) || !strings.Contains(got, "\r\nContent-Length: 6\r\n") || strings.Contains(got, "X-Trailer") {
			t.Errorf("the host got %q", got)
		}
	}
	want(t, "connections to the host", h.conns.Load(), 1)
}

func TestResponsesWithoutBody(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool {
		switch c.req.Method {
		case "HEAD":
			c.raw("HTTP/1.1 200 OK\r\nX-Host-Seal: seal\r\nX-Attempt-Id: " + c.id() + "\r\nContent-Length: 12\r\n\r\n")
		default:
			c.raw("HTTP/1.1 204 X\r\nX-Host-Seal: seal\r\nX-Attempt-Id: " + c.id() + "\r\n\r\n")
		}
		return true
	})
	f := newFront(t, h)
	c := f.dial()
	c.send(requestText("HEAD", "/tool/x", "a", "", ""))
	eventually(t, "head", func() bool { _, err := c.in.Peek(1); return err == nil })
	var b strings.Builder
	for !strings.HasSuffix(b.String(), "\r\n\r\n") {
		line, err := c.in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		b.WriteString(line)
	}
	if !strings.Contains(b.String(), "\r\nContent-Length: 12\r\n") {
		t.Errorf("the head is %q, without the length", b.String())
	}
	c.send(requestText("DELETE", "/tool/x", "b", "", "")) // nothing is left of the response before
	a := c.read()
	want(t, "status", a.status, 204)
	want(t, "length", a.header.Get("Content-Length"), "")
}

// A long response that is truncated does not look complete.
func TestTruncatedLongResponse(t *testing.T) {
	some := strings.Repeat("x", maxHeldResponse+10_000)
	for name, head := range map[string]string{"length": "Content-Length: 9000000\r\n\r\n" + some,
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(some), some)} {
		for _, path := range []string{"/tool/x", "/order/x"} {
			h := newHost(t, "i-1", func(c *call) bool {
				c.raw("HTTP/1.1 200 OK\r\nX-Host-Seal: seal\r\nX-Attempt-Id: " + c.id() + "\r\n" + head)
				return false
			})
			f := newFront(t, h)
			a := f.do("POST", path, "a", timeLeft, "x")
			if a.err == nil {
				t.Errorf("%s on %s looks complete: %d, %d bytes", name, path, a.status, len(a.body))
			}
			want(t, "calls", h.calls.Load(), 1)
		}
	}
}
