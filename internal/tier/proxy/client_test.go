package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/routing"
)

// What two parsers could take for different requests is rejected, and nothing of it runs.
func TestRequestSmugglingIsRejected(t *testing.T) {
	inner := "GET /order/inner HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: inner\r\n\r\n"
	head := "POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: outer\r\n"
	for name, text := range map[string]string{
		"length and chunks":           head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", 5+len(inner), inner),
		"chunks and length":           head + fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n0\r\n\r\n%s", 5+len(inner), inner),
		"two lengths":                 head + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"a list of lengths":           head + fmt.Sprintf("Content-Length: 0, %d\r\n\r\n%s", len(inner), inner),
		"a signed length":             head + fmt.Sprintf("Content-Length: +%d\r\n\r\n%s", len(inner), inner),
		"a length in hex":             head + "Content-Length: 0x10\r\n\r\n" + inner,
		"a negative length":           head + "Content-Length: -1\r\n\r\n" + inner,
		"an endless length":           head + "Content-Length: 99999999999999999999\r\n\r\n" + inner,
		"an empty length":             head + "Content-Length:\r\n\r\n" + inner,
		"another coding":              head + "Transfer-Encoding: identity\r\n\r\n" + inner,
		"codings":                     head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + inner,
		"a coding in two lines":       head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + inner,
		"a coding that is hidden":     head + "Transfer-Encoding: xchunked\r\n\r\n" + inner,
		"a space before the colon":    head + "Content-Length : 5\r\n\r\n" + inner,
		"a tab before the colon":      head + "Transfer-Encoding\t: chunked\r\n\r\n0\r\n\r\n" + inner,
		"a folded line":               head + "X-A: b\r\n Content-Length: 9\r\n\r\n" + inner,
		"a bare LF in a value":        head + "X-A: b\nContent-Length: 9\r\n\r\n" + inner,
		"a bare CR in a value":        head + "X-A: b\rContent-Length: 9\r\n\r\n" + inner,
		"a zero byte":                 head + "X-A: b\x00\r\n\r\n" + inner,
		"no colon":                    head + "Content-Length\r\n\r\n" + inner,
		"no name":                     head + ": 5\r\n\r\n" + inner,
		"two hosts":                   head + "Host: other.example\r\n\r\n" + inner,
		"no host":                     "POST /order/x HTTP/1.1\r\nX-Attempt-Id: outer\r\n\r\n" + inner,
		"two ids":                     head + "X-Attempt-Id: second\r\n\r\n" + inner,
		"another version":             strings.Replace(head, "1.1", "1.0", 1) + "\r\n" + inner,
		"no version":                  "POST /order/x\r\nHost: shop.example\r\n\r\n" + inner,
		"a space in the path":         "POST /order/x y HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: outer\r\n\r\n" + inner,
		"a whole URL":                 "POST http://shop.example/order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: outer\r\n\r\n" + inner,
		"a method of none":            " /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: outer\r\n\r\n" + inner,
		"a blank line ahead":          "\r\n" + head + "\r\n" + inner,
		"a chunk size that is none":   head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n" + inner,
		"a chunk size over all":       head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n\r\n" + inner,
		"a chunk without its end":     head + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" + inner,
		"a chunk size ending in LF":   head + "Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n" + inner,
		"a trailer line ending in LF": head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-T: 1\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, "i-1", respondsOK("ran"))
			f := newFront(t, h)
			c := f.dial()
			c.send(text)
			a := c.read()
			if a.status != 400 && a.status != 505 && a.status != 413 {
				t.Errorf("status is %d, want a refusal", a.status)
			}
			if _, err := c.in.ReadByte(); err == nil {
				t.Error("the connection goes on")
			}
			want(t, "calls", h.calls.Load(), 0)
		})
	}
}

func TestHopByHopHeadersOfClient(t *testing.T) {
	h := newHost(t, "i-1", respondsOK("ran"))
	f := newFront(t, h)
	c := f.dial()
	c.send(requestText("POST", "/order/x", "a", timeLeft+"Connection: close, X-Attempt-Id, Content-Length\r\nUpgrade: h2c\r\nTE: trailers\r\n", "x"))
	a := c.read()
	_ = c.SetReadDeadline(time.Now().Add(testTimeout)) // before the idle time-out
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("the connection ends with %v, want its end", err)
	}
	want(t, "status", a.status, 200)
	want(t, "connection is closed", a.close, true)
	if got := h.lastRequest(); !strings.Contains(got, "X-Attempt-Id: a\r\n") || strings.Contains(got, "Upgrade") || strings.Contains(got, "Te:") {
		t.Errorf("the host got %q", got)
	}
}

func TestKeepAliveAndPipelining(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool { c.respond(200, "", c.id()+c.body); return true })
	f := newFront(t, h)
	c := f.dial()
	for i := range 20 {
		c.send(requestText("POST", "/order/x", fmt.Sprint("a", i), timeLeft, "!"))
		a := c.read()
		want(t, "body", a.body, fmt.Sprint("a", i, "!"))
		want(t, "Keep-Alive", a.header.Get("Keep-Alive"), "timeout=15")
	}
	var all strings.Builder // pipelined requests are served in their order
	for i := range 5 {
		all.WriteString(requestText("POST", "/order/x", fmt.Sprint("b", i), timeLeft, "?"))
	}
	c.send(all.String())
	for i := range 5 {
		want(t, "body", c.read().body, fmt.Sprint("b", i, "?"))
	}
	want(t, "connections to the host", h.conns.Load(), 1)
}

func TestHeaderAndBodyLimits(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool { c.respond(200, "", fmt.Sprint(len(c.body))); return true })
	f := newFront(t, h)
	long := strings.Repeat("x", 5000) // more than the size of the reader, less than the limit
	a := f.do("POST", "/order/x", "a", "X-Long: "+long+"\r\n", "x")
	want(t, "status of a long header", a.status, 200)
	a = f.do("POST", "/order/x", "a", "X-Long: "+long+"\r\nX-More: "+long+"\r\n", "x")
	want(t, "status of one too long", a.status, 431)
	a = f.do("POST", "/order/x", "a", "", strings.Repeat("x", 100_000))
	want(t, "answer to a long body", fmt.Sprint(a.status, a.body), "200100000")
	a = f.do("POST", "/order/x", "a", "", strings.Repeat("x", 100_001))
	want(t, "status of one too long", a.status, 413)
	c := f.dial()
	c.send("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n186a1\r\n" + strings.Repeat("x", 100_001) + "\r\n0\r\n\r\n")
	want(t, "status of chunks too long", c.read().status, 413)
	want(t, "calls", h.calls.Load(), 2)
	// Long and short headers in turns on a kept-alive connection.
	c = f.dial()
	for i, header := range []string{"", "X-Long: " + long + "\r\n", "", "X-Long: " + long + "\r\n"} {
		c.send(requestText("POST", "/order/x", fmt.Sprint("k", i), header, "xy"))
		want(t, "body", c.read().body, "2")
	}
}

func withConfig(f *front, change func(c *routing.Config)) {
	f.source.set(func(tb *feed.Tables) {
		c := *tb.Config
		change(&c)
		tb.Config = &c
	})
}

func TestHeaderAndIdleTimeouts(t *testing.T) {
	f := newFront(t, newHost(t, "i-1", respondsOK("yes")))
	withConfig(f, func(c *routing.Config) {
		c.Limits.HeaderTimeout, c.Limits.IdleTimeout = 30*time.Millisecond, 60*time.Millisecond
	})
	c := f.dial()
	c.send("POST /order/x HT")
	want(t, "status of half a head", c.read().status, 408)
	idle := f.dial()
	idle.send(requestText("POST", "/order/x", "a", timeLeft, "x"))
	want(t, "status", idle.read().status, 200)
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ends with %v, want its end", err)
	}
}

func TestExpectContinue(t *testing.T) {
	f := newFront(t, newHost(t, "i-1", func(c *call) bool { c.respond(200, "", c.body); return true }))
	c := f.dial()
	c.send("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := c.in.ReadString('\n')
	want(t, "error", err, nil)
	want(t, "interim answer", line, "HTTP/1.1 100 Continue\r\n")
	_, _ = c.in.ReadString('\n')
	c.send("ok")
	want(t, "body", c.read().body, "ok")
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	h := newHost(t, "i-1", respondsOK("yes"))
	f := newFront(t, h)
	for name, c := range map[string]struct {
		path, id, header string
		status           int
		names            string
	}{
		"no route by path":  {"/nowhere/x", "a", "", 404, "route"},
		"no id":             {"/tool/x", "", "", 400, "X-Attempt-Id"},
		"time left of none": {"/tool/x", "a", "X-Time-Left-Ms: soon\r\n", 400, "X-Time-Left-Ms"},
		"no time left":      {"/tool/x", "a", "X-Time-Left-Ms: 0\r\n", 400, "X-Time-Left-Ms"},
		"finish of none":    {"/tool/x", "a", "Finish-Ms: x\r\n", 400, "Finish-Ms"},
		"no tokens":         {"/turn/x", "a", "X-Token-Usage: 5\r\n", 400, "X-Token-Usage"},
		"a budget of none":  {"/turn/x", "a", "Budget: much\r\n", 400, "Budget"},
	} {
		a := f.do("POST", c.path, c.id, c.header, "x")
		want(t, name, a.status, c.status)
		if !strings.Contains(a.body, c.names) {
			t.Errorf("%s: the response %q does not name %s", name, a.body, c.names)
		}
	}
	want(t, "calls", h.calls.Load(), 0)
	expired := f.do("POST", "/tool/x", "a", "Finish-Ms: -20\r\n", "x")
	want(t, "status of a program past its deadline", expired.status, 200)
}

func readiness(t *testing.T, f *front) int {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + f.ready + "/api/readiness")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Readiness needs the configuration, the host list, and the placement of the stores if there are retained routes.
func TestReadiness(t *testing.T) {
	h := newHost(t, "i-1", respondsOK("yes"))
	f := newFront(t, h)
	want(t, "readiness", readiness(t, f), 200)
	complete := *f.source.Tables()
	for name, take := range map[string]func(tb *feed.Tables){"configuration": func(tb *feed.Tables) { tb.Config = nil },
		"hosts": func(tb *feed.Tables) { tb.Hosts = nil }, "stores": func(tb *feed.Tables) { tb.Placement = nil }} {
		f.source.set(take)
		want(t, "readiness without "+name, readiness(t, f), 503)
		f.source.set(func(tb *feed.Tables) { *tb = complete })
	}
	f.source.set(func(tb *feed.Tables) {
		tb.Placement = nil
		c := *tb.Config
		c.Routes = c.Routes[:3]
		tb.Config = &c
	})
	want(t, "readiness without stores, with no turns to keep", readiness(t, f), 200)
	f.source.set(func(tb *feed.Tables) { tb.Config = nil })
	a := f.do("POST", "/order/x", "a", timeLeft, "x")
	want(t, "status without a configuration", a.status, 503)
	if a.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	f.source.set(func(tb *feed.Tables) { *tb = complete })
	want(t, "status with it", f.do("POST", "/order/x", "b", timeLeft, "x").status, 200)
}

// While draining the server is not ready, requests in flight and new ones are answered, connections end with their next
// response, and Drain returns when no client is left.
func TestDrainCompletesRequests(t *testing.T) {
	release := make(chan bool)
	h := newHost(t, "i-1", func(c *call) bool {
		if strings.HasPrefix(c.id(), "slow") {
			<-release
		}
		c.respond(200, "", "yes")
		return true
	})
	f := newFront(t, h)
	slow, idle, kept := f.dial(), f.dial(), f.dial()
	for _, c := range []*conn{idle, kept} {
		c.send(requestText("POST", "/order/x", "a", timeLeft, "x"))
		want(t, "it is closed", c.read().close, false)
	}
	slow.send(requestText("POST", "/order/x", "slow", timeLeft, "x"))
	eventually(t, "call", func() bool { return h.calls.Load() == 3 })
	done := make(chan bool)
	go func() { f.Drain(context.Background()); close(done) }()
	eventually(t, "not ready", func() bool { return readiness(t, f) == 503 })
	kept.send(requestText("POST", "/order/x", "b", timeLeft, "x")) // before its idle time-out
	a := kept.read()
	want(t, "status on a kept connection", a.status, 200)
	want(t, "it is closed", a.close, true)
	a = f.do("POST", "/order/x", "c", timeLeft, "x")
	want(t, "status on a new connection", a.status, 200)
	want(t, "it is closed", a.close, true)
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ends with %v, want its end", err)
	}
	select {
	case <-done:
		t.Fatal("the drain is over with a request under way")
	default:
	}
	close(release)
	a = slow.read()
	want(t, "status of the one under way", a.status, 200)
	want(t, "it is closed", a.close, true)
	wait(t, done, "end of the drain")
}

// Requests that are still in flight at the end of the grace period do not delay it, and get an error that does not say that
// they have not run.
func TestDrainEndsWithGracePeriod(t *testing.T) {
	end := make(chan bool)
	defer close(end)
	h := newHost(t, "i-1", func(c *call) bool { <-end; return false })
	f := newFront(t, h)
	c := f.dial()
	c.send(requestText("POST", "/order/x", "a", timeLeft, "x"))
	eventually(t, "call", func() bool { return h.calls.Load() == 1 })
	f.options.GracePeriod = 400 * time.Millisecond
	f.Drain(context.Background())
	f.Close()
	a := c.read()
	want(t, "status", a.status, 502)
	want(t, "error of the response", a.err, nil)
}

// While all connections that are permitted serve a request, a further one is closed unread. A connection that is idle, or whose request
// is not complete, gives way to it.
func TestClientConnectionLimit(t *testing.T) {
	end := make(chan bool)
	h := newHost(t, "i-1", func(c *call) bool { <-end; return respondsOK("yes")(c) })
	f := newFront(t, h)
	f.mu.Lock()
	f.options.MaxClientConns = 1
	f.mu.Unlock()
	serving := f.dial()
	serving.send(requestText("POST", "/order/x", "a", timeLeft, "x"))
	eventually(t, "call", func() bool { return h.calls.Load() == 1 })
	refused := f.dial()
	if _, err := bufio.NewReader(refused).ReadByte(); err == nil {
		t.Error("a connection beyond the bound is served")
	}
	close(end)
	want(t, "status of the one that was served", serving.read().status, 200)

	eventually(t, "idle connection", func() bool { f.evictable.mu.Lock(); defer f.evictable.mu.Unlock(); return f.evictable.idle.Len() == 1 })
	begun := f.dial()
	if _, err := bufio.NewReader(serving).ReadByte(); err == nil {
		t.Error("the idle connection does not give way")
	}
	begun.send("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: b\r\nContent-Length: 5\r\n\r\nx")
	eventually(t, "request that is being read", func() bool {
		f.evictable.mu.Lock()
		defer f.evictable.mu.Unlock()
		return f.evictable.reading.Len() == 1
	})
	want(t, "status of a further one", f.do("POST", "/order/x", "c", timeLeft, "x").status, 200)
	rejected := begun.read()
	want(t, "status of the one that was not complete", rejected.status, 503)
	eventually(t, "room", func() bool { f.mu.Lock(); defer f.mu.Unlock(); return len(f.clients) == 0 })
	want(t, "status once there is room", f.do("POST", "/order/x", "d", timeLeft, "x").status, 200)
}
