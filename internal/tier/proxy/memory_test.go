package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"larchrouter/internal/membudget"
)

// smallBudget has room for one body at the limit of the test's configuration, and for small ones besides.
func smallBudget() *membudget.Budget {
	return membudget.New(membudget.Options{Limit: 300 << 10, Reserved: 60 << 10, Small: 20 << 10})
}

// stall sends a request but for the last byte of its body of n bytes, in chunks or with its length, and returns its client.
func stall(f *front, id string, n int, inChunks bool) *conn {
	c := f.dial()
	body := strings.Repeat("x", n-1)
	if inChunks {
		c.send(fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s",
			id, timeLeft, n, body))
	} else {
		c.send(fmt.Sprintf("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			id, timeLeft, n, body))
	}
	return c
}

// A body that has stalled is rejected with 503 once others need the memory; it has not run. The others are served.
func TestStalledBodyGivesWay(t *testing.T) {
	for name, inChunks := range map[string]bool{"with its length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, "i-1", respondsOK("yes"))
			f := newFrontWithOptions(t, Options{Ledger: &ledger{}, Memory: smallBudget()}, h)
			const size = 90 << 10
			var stalled []*conn
			for i := range 2 {
				stalled = append(stalled, stall(f, fmt.Sprint("stalled-", i), size, inChunks))
				eventually(t, "the body is held", func() bool { return f.options.Memory.Usage().Used >= int64(i+1)*size })
			}
			want(t, "status of a small body", f.do("POST", "/order/x", "small", timeLeft, "x").status, 200)
			want(t, "status of a large body", f.do("POST", "/order/x", "large", timeLeft, strings.Repeat("x", 95<<10)).status, 200)
			first := stalled[0].read()
			want(t, "status of the one that stalled first", first.status, http.StatusServiceUnavailable)
			want(t, "its Retry-After", first.header.Get("Retry-After"), "0.500")
			want(t, "calls to the host", int(h.calls.Load()), 2)
			stalled[1].send("x")
			if inChunks {
				stalled[1].send("\r\n0\r\n\r\n")
			}
			want(t, "status of the one that went on", stalled[1].read().status, 200)
		})
	}
}

// A body of which some was announced holds no more than what has come of it, about.
func TestAnnouncedBodyIsNotHeldAhead(t *testing.T) {
	f := newFrontWithOptions(t, Options{Ledger: &ledger{}, Memory: smallBudget()}, newHost(t, "i-1", respondsOK("yes")))
	c := f.dial()
	c.send("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: a\r\n" + timeLeft + "Content-Length: 90000\r\n\r\nx")
	eventually(t, "the body is read", func() bool { return f.options.Memory.Usage().Accounts == 1 && f.options.Memory.Usage().Used > 0 })
	if used := f.options.Memory.Usage().Used; used > firstAnnouncedPart {
		t.Errorf("%d bytes are held for one", used)
	}
}

// The bodies of requests are passed on unchanged, whatever their parts.
func TestBodiesInParts(t *testing.T) {
	for _, size := range []int{1, firstChunkedPart - 1, firstChunkedPart, firstChunkedPart + 1, firstAnnouncedPart, firstAnnouncedPart + 1, 70_001, 100_000} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte('a' + i%23)
		}
		received := make(chan string, 1)
		f := newFront(t, newHost(t, "i-1", func(c *call) bool {
			received <- c.body
			return respondsOK("yes")(c)
		}))
		want(t, "status", f.do("POST", "/order/x", "length", timeLeft, string(body)).status, 200)
		if got := wait(t, received, "body"); got != string(body) {
			t.Errorf("a body of %d bytes with its length comes as %d bytes", size, len(got))
		}
		c := f.dial()
		c.send("POST /order/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: chunks\r\n" + timeLeft + "Transfer-Encoding: chunked\r\n\r\n")
		for rest := body; len(rest) > 0; {
			n := min(len(rest), 777)
			c.send(fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n]))
			rest = rest[n:]
		}
		c.send("0\r\n\r\n")
		want(t, "status of one in chunks", c.read().status, 200)
		if got := wait(t, received, "body in chunks"); got != string(body) {
			t.Errorf("a body of %d bytes in chunks comes as %d bytes", size, len(got))
		}
	}
}

// GET /api/memory at the address for the platform reports what is held.
func TestMemoryReport(t *testing.T) {
	f := newFrontWithOptions(t, Options{Ledger: &ledger{}, Memory: smallBudget()}, newHost(t, "i-1", respondsOK("yes")))
	response, err := http.Get("http://" + f.ready + "/api/memory")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	want(t, "report", strings.TrimSpace(string(body)), `{"limit_bytes":307200,"used_bytes":0,"accounts":0}`)
	http.DefaultClient.CloseIdleConnections()
}

// respondsLong responds with a body of so many bytes.
func respondsLong(size int) func(c *call) bool {
	return func(c *call) bool {
		c.respond(http.StatusOK, "", strings.Repeat("y", size))
		return true
	}
}

// A response that there is no memory to buffer is relayed as it comes.
func TestResponseIsRelayedWithoutMemory(t *testing.T) {
	const size = 150 << 10
	f := newFrontWithOptions(t, Options{Ledger: &ledger{}, Memory: membudget.New(membudget.Options{Limit: 10 << 10, Small: 10 << 10})},
		newHost(t, "i-1", respondsLong(size)))
	a := f.do("GET", "/order/x", "a", timeLeft, "")
	want(t, "status", a.status, 200)
	want(t, "length of the body", len(a.body), size)
	want(t, "error of the body", a.err, nil)
}

// A client that does not read its long response gives way to others.
func TestUnreadResponseGivesWay(t *testing.T) {
	f := newFrontWithOptions(t, Options{Ledger: &ledger{}, Memory: membudget.New(membudget.Options{Limit: 600 << 10, Small: 20 << 10})},
		newHost(t, "i-1", func(c *call) bool {
			if c.body != "" {
				return respondsOK("yes")(c)
			}
			return respondsLong(16 << 20)(c)
		}))
	unread := f.dial()
	_ = unread.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	unread.send(requestText("GET", "/order/x", "unread", timeLeft, ""))
	eventually(t, "the response is held", func() bool { return f.options.Memory.Usage().Used > 256<<10 })
	for i := range 4 {
		stall(f, fmt.Sprint("stalled-", i), 90<<10, false)
	}
	eventually(t, "the client that does not read is gone", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.clients) == 4 && f.options.Memory.Usage().Used <= 4*90<<10
	})
}

// A turn whose history there is no memory for is answered 503; it has not run, and its tokens are free again.
func TestTurnWithoutMemoryForHistory(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool { return streams(c, event(1, "x")) })
	l := &ledger{history: map[string]string{"long": strings.Repeat("h", 200<<10), "short": "h"}}
	f := newFrontWithOptions(t, Options{Ledger: l, Memory: membudget.New(membudget.Options{Limit: 100 << 10, Small: 20 << 10})}, h)
	a := f.do("POST", "/turn/x", "t1", timeLeft+"Program: p1\r\nPrevious: long\r\nX-Token-Usage: 50,6\r\n", "input")
	want(t, "status", a.status, http.StatusServiceUnavailable)
	want(t, "Retry-After", a.header.Get("Retry-After"), "0.500")
	want(t, "calls to the host", int(h.calls.Load()), 0)
	if !strings.HasSuffix(l.log(), " 0") || !strings.Contains(l.log(), "settle p1") {
		t.Errorf("the ledger's log is %q, want it to end with a settlement at 0", l.log())
	}
	a = f.do("POST", "/turn/x", "t2", timeLeft+"Program: p1\r\nPrevious: short\r\nX-Token-Usage: 50,6\r\n", "input")
	want(t, "status with a short history", a.status, http.StatusOK)
}
