package proxy

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// By what the first host does and the kind of route: what the client gets, and the number of calls to hosts.
func TestRetriesByOutcome(t *testing.T) {
	notRun := func(status int) func(c *call) bool {
		return func(c *call) bool { c.respond(status, "X-Not-Executed: 1\r\nRetry-After: 9\r\n", "no"); return true }
	}
	responds := func(status int) func(c *call) bool {
		return func(c *call) bool { c.respond(status, "", "said"); return true }
	}
	for name, c := range map[string]struct {
		first func(c *call) bool
		tool  string // status and body on an idempotent route, calls
		order string // on one that is not
	}{
		"serves":                  {responds(200), "200 said 1", "200 said 1"},
		"responds 404":            {responds(404), "404 said 1", "404 said 1"},
		"is full":                 {notRun(503), "200 two 2", "200 two 2"},
		"limits":                  {notRun(429), "200 two 2", "200 two 2"},
		"is another":              {func(c *call) bool { c.respond(421, "", ""); return true }, "200 two 2", "200 two 2"},
		"finds the request wrong": {notRun(400), "400 no 1", "400 no 1"},
		"fails":                   {responds(500), "200 two 2", "500 said 1"},
		"503 without proof":       {responds(503), "200 two 2", "502  1"},
		"429 without proof":       {responds(429), "429: 502  1", "502  1"},
		"times out":               {responds(504), "200 two 2", "504 said 1"},
		"closes":                  {func(c *call) bool { return false }, "200 two 2", "502  1"},
		"sends garbage":           {func(c *call) bool { c.raw("what?\r\n\r\n"); return false }, "200 two 2", "502  1"},
		"breaks off": {func(c *call) bool {
			c.raw("HTTP/1.1 200 OK\r\nX-Host-Seal: seal\r\nX-Attempt-Id: " + c.id() + "\r\nContent-Length: 10\r\n\r\nhalf")
			return false
		}, "200 two 2", "502  1"},
		"answers another request": {func(c *call) bool { c.raw(reply("other", 200, "", "not yours")); return false }, "200 two 2", "502  1"},
	} {
		for path, wanted := range map[string]string{"/tool/x": c.tool, "/order/x": c.order} {
			if _, w, ok := strings.Cut(wanted, ": "); ok {
				wanted = w
			}
			t.Run(name+path, func(t *testing.T) {
				var nth atomic.Int32
				script := func(k *call) bool {
					if nth.Add(1) == 1 {
						return c.first(k)
					}
					k.respond(200, "", "two")
					return true
				}
				f := newFront(t, newHost(t, "i-1", script), newHost(t, "i-2", script))
				a := f.do("POST", path, "a", timeLeft, "x")
				body := a.body
				if a.status == 502 {
					if strings.Contains(body, "said") {
						want(t, "length of the body", len(body), len("said"))
					}
					body = ""
				}
				want(t, "answer", fmt.Sprintf("%d %s %d", a.status, body, nth.Load()), wanted)
				want(t, "error", a.err, nil)
				if a.status == 502 && a.header.Get("Retry-After") != "" {
					t.Error("Retry-After for a request that may have run")
				}
			})
		}
	}
}

// Each host gets at most one call, as many hosts as the route allows; then the client gets 503 with Retry-After.
func TestAllHostsAtCapacity(t *testing.T) {
	full := func(c *call) bool { c.respond(503, "X-Not-Executed: 1\r\n", ""); return true }
	hosts := []*host{newHost(t, "i-1", full), newHost(t, "i-2", full), newHost(t, "i-3", full), newHost(t, "i-4", full)}
	f := newFront(t, hosts...)
	a := f.do("POST", "/order/x", "a", timeLeft, "x")
	want(t, "status", a.status, 503)
	if wait := a.header.Get("Retry-After"); !strings.HasPrefix(wait, "0.") {
		t.Errorf("Retry-After is %q, want a part of a second", wait)
	}
	calls := int32(0)
	for _, h := range hosts {
		n := h.calls.Load()
		calls += n
		if n > 1 {
			t.Errorf("host %s got %d calls", h.id, n)
		}
	}
	want(t, "calls", calls, 3)
}

// A host that may have run a request does not get the retry if there is another.
func TestRetryIsOnAnotherHost(t *testing.T) {
	bad := newHost(t, "i-1", func(c *call) bool { return false })
	bad.capacity = 99 // it is picked first
	f := newFront(t, bad, newHost(t, "i-2", respondsOK("yes")))
	want(t, "status", f.do("GET", "/tool/x", "a", timeLeft, "").status, 200)
	want(t, "calls", bad.calls.Load(), 1)
}

func TestFailedConnectionsAreNotAttempts(t *testing.T) {
	dead := newHost(t, "i-0", nil)
	dead.close()
	dead.capacity = 99 // it is picked first
	f := newFront(t, dead, newHost(t, "i-1", respondsOK("yes")))
	for i := range 4 { // the route allows one host for each
		a := f.do("POST", "/calm/high/x", fmt.Sprint("a", i), timeLeft, "x")
		want(t, "status", a.status, 200)
	}
	f.oracle.mu.Lock()
	want(t, "cuts", f.oracle.cuts, 1)
	f.oracle.mu.Unlock()
	only := newFront(t, dead)
	a := only.do("POST", "/order/x", "b", timeLeft, "x")
	want(t, "status", a.status, 503)
	if a.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

// A host closes a connection just as it is reused.
func TestReusedConnectionIsReset(t *testing.T) {
	for path, wanted := range map[string]int{"/tool/x": 200, "/order/x": 502} {
		h := newHost(t, "i-1", func(c *call) bool {
			if c.number == 2 {
				_ = c.Conn.(*net.TCPConn).SetLinger(0)
				return false
			}
			c.respond(200, "Keep-Alive: timeout=20\r\n", "yes")
			return true
		})
		f := newFront(t, h)
		want(t, "status on "+path, f.do("POST", path, "a", timeLeft, "x").status, 200)
		want(t, "status on the reused one, "+path, f.do("POST", path, "b", timeLeft, "x").status, wanted)
	}
}

// Idempotent calls are restarted at the latency time-out, which grows each time; the last attempt has no such time-out.
func TestIdempotentRequestsAreRestarted(t *testing.T) {
	var nth atomic.Int32
	end := make(chan bool)
	defer close(end)
	script := func(c *call) bool {
		if nth.Add(1) < 3 {
			<-end
			return false
		}
		c.respond(200, "", "third")
		return true
	}
	f := newFront(t, newHost(t, "i-1", script), newHost(t, "i-2", script), newHost(t, "i-3", script))
	f.oracle.timeout = 15 * time.Millisecond
	a := f.do("GET", "/tool/x", "a", timeLeft, "")
	want(t, "answer", fmt.Sprint(a.status, a.body), "200third")
	f.oracle.mu.Lock()
	defer f.oracle.mu.Unlock()
	want(t, "questions", fmt.Sprint(f.oracle.lastTries), "[0s 15ms]")
	want(t, "cuts", f.oracle.cuts, 2)
	want(t, "served", f.oracle.served, 1)
}

func TestNonIdempotentRequestsAreNotRestarted(t *testing.T) {
	end := make(chan bool)
	h := newHost(t, "i-1", func(c *call) bool { <-end; c.respond(200, "", "late"); return true })
	f := newFront(t, h)
	f.oracle.timeout = time.Millisecond
	c := f.dial()
	c.send(requestText("POST", "/order/x", "a", timeLeft, "x"))
	eventually(t, "call", func() bool { return h.calls.Load() == 1 })
	time.AfterFunc(30*time.Millisecond, func() { close(end) }) // long after the latency time-out
	a := c.read()
	want(t, "answer", fmt.Sprint(a.status, a.body), "200late")
	f.oracle.mu.Lock()
	defer f.oracle.mu.Unlock()
	want(t, "questions", len(f.oracle.lastTries), 0)
}

// The client gets 504 a little before its deadline, without Retry-After.
func TestDeadlineExceeded(t *testing.T) {
	for path, header := range map[string]string{"/order/x": "X-Time-Left-Ms: 120\r\n", "/stream/x": "X-Time-Left-Ms: 120.5\r\n", "/tool/x": "X-Time-Left-Ms: 120\r\n"} {
		end := make(chan bool)
		h := newHost(t, "i-1", func(c *call) bool { <-end; return false })
		f := newFront(t, h)
		a := f.do("POST", path, "a", header, "x")
		want(t, "status on "+path, a.status, 504)
		var left int
		got := h.lastRequest()
		_, _ = fmt.Sscanf(got[strings.Index(got, "X-Time-Left-Ms:"):], "X-Time-Left-Ms: %d", &left)
		if left < 1 || left > 120 {
			t.Errorf("the host gets X-Time-Left-Ms: %d", left)
		}
		want(t, "calls", h.calls.Load(), 1)
		close(end)
	}
}
