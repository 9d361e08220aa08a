package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/routing"
)

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	h := newHost(t, "i-1", func(c *call) bool {
		c.answer(201, "X-Host-Load: 1,0,4\r\nX-Other: a b\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n", "the bytes")
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
	got := h.gotten()
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

func TestBodyInChunksAndLongAnswers(t *testing.T) {
	long := strings.Repeat("0123456789", 60_000)
	h := newHost(t, "i-1", func(c *call) bool {
		switch c.body {
		case "length":
			c.answer(200, "", long)
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
		if got := h.gotten(); !strings.HasSuffix(got, "\r\n\r\n"+kind) || !strings.Contains(got, "\r\nContent-Length: 6\r\n") || strings.Contains(got, "X-Trailer") {
			t.Errorf("the host got %q", got)
		}
	}
	want(t, "connections to the host", h.conns.Load(), 1)
}

func TestHeadAndEmptyAnswers(t *testing.T) {
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
	c.send(request1("HEAD", "/tool/x", "a", "", ""))
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
	c.send(request1("DELETE", "/tool/x", "b", "", "")) // the connection is in step
	a := c.read()
	want(t, "status", a.status, 204)
	want(t, "length", a.header.Get("Content-Length"), "")
}

// What the first host does, what the client then gets, and how often hosts were called, by the kind of route.
func TestRetriesByWhatIsProven(t *testing.T) {
	notRun := func(status int) func(c *call) bool {
		return func(c *call) bool { c.answer(status, "X-Not-Executed: 1\r\nRetry-After: 9\r\n", "no"); return true }
	}
	says := func(status int) func(c *call) bool {
		return func(c *call) bool { c.answer(status, "", "said"); return true }
	}
	for name, c := range map[string]struct {
		first func(c *call) bool
		tool  string // status and body on an idempotent route, calls
		order string // on one that is not
	}{
		"serves":                  {says(200), "200 said 1", "200 said 1"},
		"says 404":                {says(404), "404 said 1", "404 said 1"},
		"is full":                 {notRun(503), "200 two 2", "200 two 2"},
		"limits":                  {notRun(429), "200 two 2", "200 two 2"},
		"is another":              {func(c *call) bool { c.answer(421, "", ""); return true }, "200 two 2", "200 two 2"},
		"finds the request wrong": {notRun(400), "400 no 1", "400 no 1"},
		"fails":                   {says(500), "200 two 2", "500 said 1"},
		"promises without proof":  {says(503), "200 two 2", "502  1"},
		"limits without proof":    {says(429), "429: 502  1", "502  1"},
		"times out":               {says(504), "200 two 2", "504 said 1"},
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
					k.answer(200, "", "two")
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
					t.Error("a request that may have run is told when to come back")
				}
			})
		}
	}
}

// Each host is asked at most once in a row, as many as the route allows; then the client is told when to come back.
func TestNobodyHasRoom(t *testing.T) {
	full := func(c *call) bool { c.answer(503, "X-Not-Executed: 1\r\n", ""); return true }
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
			t.Errorf("host %s was asked %d times", h.id, n)
		}
	}
	want(t, "calls", calls, 3)
}

// A host that may have run a request is not asked again as long as there is another.
func TestRetryIsOnAnotherHost(t *testing.T) {
	bad := newHost(t, "i-1", func(c *call) bool { return false })
	bad.capacity = 99 // it is asked first
	f := newFront(t, bad, newHost(t, "i-2", serves("yes")))
	want(t, "status", f.do("GET", "/tool/x", "a", timeLeft, "").status, 200)
	want(t, "calls", bad.calls.Load(), 1)
}

func TestDeadHostsAreNoTries(t *testing.T) {
	dead := newHost(t, "i-0", nil)
	dead.close()
	dead.capacity = 99 // it is asked first
	f := newFront(t, dead, newHost(t, "i-1", serves("yes")))
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

// A host closes a connection just as it is used again.
func TestKeptConnectionEndsAsItIsUsed(t *testing.T) {
	for path, wanted := range map[string]int{"/tool/x": 200, "/order/x": 502} {
		h := newHost(t, "i-1", func(c *call) bool {
			if c.nth == 2 {
				_ = c.Conn.(*net.TCPConn).SetLinger(0)
				return false
			}
			c.answer(200, "Keep-Alive: timeout=20\r\n", "yes")
			return true
		})
		f := newFront(t, h)
		want(t, "status on "+path, f.do("POST", path, "a", timeLeft, "x").status, 200)
		want(t, "status on the kept one, "+path, f.do("POST", path, "b", timeLeft, "x").status, wanted)
	}
}

// Idempotent calls are cut at the edge and restarted, each time with more; the last allowed one and others run on.
func TestRestartAtTheEdge(t *testing.T) {
	var nth atomic.Int32
	end := make(chan bool)
	defer close(end)
	script := func(c *call) bool {
		if nth.Add(1) < 3 {
			<-end
			return false
		}
		c.answer(200, "", "third")
		return true
	}
	f := newFront(t, newHost(t, "i-1", script), newHost(t, "i-2", script), newHost(t, "i-3", script))
	f.oracle.edge = 15 * time.Millisecond
	a := f.do("GET", "/tool/x", "a", timeLeft, "")
	want(t, "answer", fmt.Sprint(a.status, a.body), "200third")
	f.oracle.mu.Lock()
	defer f.oracle.mu.Unlock()
	want(t, "questions", fmt.Sprint(f.oracle.given), "[0s 15ms]")
	want(t, "cuts", f.oracle.cuts, 2)
	want(t, "served", f.oracle.served, 1)
}

func TestOthersAreNotCut(t *testing.T) {
	end := make(chan bool)
	h := newHost(t, "i-1", func(c *call) bool { <-end; c.answer(200, "", "late"); return true })
	f := newFront(t, h)
	f.oracle.edge = time.Millisecond
	c := f.dial()
	c.send(request1("POST", "/order/x", "a", timeLeft, "x"))
	eventually(t, "call", func() bool { return h.calls.Load() == 1 })
	time.AfterFunc(30*time.Millisecond, func() { close(end) }) // long after the edge
	a := c.read()
	want(t, "answer", fmt.Sprint(a.status, a.body), "200late")
	f.oracle.mu.Lock()
	defer f.oracle.mu.Unlock()
	want(t, "questions", len(f.oracle.given), 0)
}

// The client has its answer a little before its time is up; nothing is promised.
func TestTimeIsUp(t *testing.T) {
	for path, header := range map[string]string{"/order/x": "X-Time-Left-Ms: 120\r\n", "/stream/x": "X-Time-Left-Ms: 120.5\r\n", "/tool/x": "X-Time-Left-Ms: 120\r\n"} {
		end := make(chan bool)
		h := newHost(t, "i-1", func(c *call) bool { <-end; return false })
		f := newFront(t, h)
		a := f.do("POST", path, "a", header, "x")
		want(t, "status on "+path, a.status, 504)
		var left int
		got := h.gotten()
		_, _ = fmt.Sscanf(got[strings.Index(got, "X-Time-Left-Ms:"):], "X-Time-Left-Ms: %d", &left)
		if left < 1 || left > 120 {
			t.Errorf("the host was told %d ms", left)
		}
		want(t, "calls", h.calls.Load(), 1)
		close(end)
	}
}

// A long answer that breaks off does not look complete.
func TestLongAnswerBreaksOff(t *testing.T) {
	some := strings.Repeat("x", maxBufferedBody+10_000)
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

// A host at whose address another answers gets nothing for a while.
func TestElsewhere(t *testing.T) {
	gone := newHost(t, "i-1", func(c *call) bool { c.answer(421, "", ""); return true })
	f := newFront(t, gone, newHost(t, "i-2", serves("yes")))
	for i := range 12 {
		want(t, "status", f.do("POST", "/order/x", fmt.Sprint("a", i), timeLeft, "x").status, 200)
	}
	if n := gone.calls.Load(); n > 1 {
		t.Errorf("the host that is gone was asked %d times", n)
	}
}

// A host that closes its connection with every answer is leaving, whatever the list says yet.
func TestHostThatIsLeaving(t *testing.T) {
	leaving := newHost(t, "i-1", func(c *call) bool { c.answer(200, "Connection: close\r\n", ""); return false })
	f := newFront(t, leaving, newHost(t, "i-2", serves("")))
	for i := range 15 {
		want(t, "status", f.do("POST", "/order/x", fmt.Sprint("a", i), timeLeft, "x").status, 200)
	}
	if n := leaving.calls.Load(); n > 2 {
		t.Errorf("the host that leaves was asked %d times", n)
	}
}

// The client goes: the host is told by the end of its connection.
func TestClientGoes(t *testing.T) {
	for _, path := range []string{"/calm/high/x", "/stream/x"} {
		ended := make(chan bool, 1)
		h := newHost(t, "i-1", func(c *call) bool {
			_, err := c.in.Peek(1)
			ended <- err != nil
			return false
		})
		f := newFront(t, h)
		c := f.dial()
		c.send(request1("POST", path, "a", "X-Time-Left-Ms: 60000\r\n", "x"))
		eventually(t, "call", func() bool { return h.calls.Load() == 1 })
		c.Close()
		want(t, "end of the host's connection, "+path, wait(t, ended, "end"), true)
		eventually(t, "slot given back", func() bool {
			f.dispatcher.mu.Lock()
			defer f.dispatcher.mu.Unlock()
			return f.dispatcher.balancer.InFlight("plain") == 0
		})
		want(t, "calls", h.calls.Load(), 1)
	}
}

// All hosts are full: calls wait for a slot in turns by rank, and who waits too long is refused early, with the time to
// come back in.
func TestOverload(t *testing.T) {
	release := make(chan bool)
	h := newHost(t, "i-1", func(c *call) bool { <-release; c.answer(200, "", c.id()); return true })
	f := newFront(t, h)
	var busy []*conn
	for i := range 4 { // its capacity
		c := f.dial()
		c.send(request1("POST", "/order/x", fmt.Sprint("busy", i), timeLeft, "x"))
		busy = append(busy, c)
	}
	eventually(t, "all slots taken", func() bool { return h.calls.Load() == 4 })
	over := f.dial() // offered to the host's own queue once it has waited
	over.send(request1("POST", "/order/x", "over", timeLeft, "x"))
	eventually(t, "call beyond the slots", func() bool { return h.calls.Load() == 5 })
	begin := time.Now()
	a := f.do("POST", "/order/x", "refused", timeLeft, "x")
	want(t, "status", a.status, 503)
	if a.header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	if took := time.Since(begin); took < 80*time.Millisecond {
		t.Errorf("refused after %v: it did not wait for a slot", took)
	}
	close(release)
	for _, c := range append(busy, over) {
		want(t, "status", c.read().status, 200)
	}
	want(t, "calls", h.calls.Load(), 5)
}

func TestWaitingByRank(t *testing.T) {
	release := make(chan bool)
	order := make(chan string, 10)
	h := newHost(t, "i-1", func(c *call) bool {
		order <- c.id()
		<-release
		c.answer(200, "", "")
		return true
	})
	f := newFront(t, h)
	var all []*conn
	send := func(path, id string) {
		c := f.dial()
		c.send(request1("POST", path, id, "", "x"))
		all = append(all, c)
	}
	for i := range 4 {
		send("/calm/high/x", fmt.Sprint("busy", i))
	}
	for range 4 {
		wait(t, order, "call")
	}
	queued := func(n int) {
		eventually(t, "queue", func() bool {
			f.dispatcher.mu.Lock()
			defer f.dispatcher.mu.Unlock()
			q := f.dispatcher.queues["plain"]
			return q != nil && q.Len() == n
		})
	}
	send("/calm/low/x", "low") // rank 1
	queued(1)
	send("/calm/high/x", "high") // rank 0
	queued(2)
	release <- true
	want(t, "first", wait(t, order, "call"), "high")
	release <- true
	want(t, "second", wait(t, order, "call"), "low")
	close(release)
	for _, c := range all {
		want(t, "status", c.read().status, 200)
	}
}

// A slot that is given back goes to who waits at once, not only at the next look.
func TestSlotGoesToWhoWaits(t *testing.T) {
	h := newHost(t, "i-1", serves(""))
	h.capacity = 1
	f := newFront(t, h)
	d := f.dispatcher
	d.mu.Lock()
	d.recheck = time.NewTimer(time.Hour) // nobody looks
	d.mu.Unlock()
	q := balancer.PickInfo{Service: "plain"}
	first, _ := d.acquire(q, admissionRequest{latencyTarget: time.Second, queueTimeout: time.Second})
	got := make(chan *endpoint, 1)
	go func() {
		e, _ := d.acquire(q, admissionRequest{latencyTarget: time.Second, queueTimeout: time.Hour})
		got <- e
	}()
	eventually(t, "one that waits", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.backlogged) == 1
	})
	d.release(first, balancer.Success)
	e := wait(t, got, "slot")
	want(t, "host", e, first)
	d.release(e, balancer.Success)
}

// A host that drains, by the list: what is under way there ends whole, nothing new goes there, also not on connections
// that were kept; and another incarnation at its address has its own.
func TestHostDrains(t *testing.T) {
	release := make(chan bool)
	begun := make(chan bool, 1)
	script := func(c *call) bool {
		if c.id() == "slow" {
			begun <- true
			<-release
		}
		c.answer(200, "Keep-Alive: timeout=20\r\n", "")
		return true
	}
	h := newHost(t, "i-1", script)
	f := newFront(t, h)
	slow := f.dial()
	slow.send(request1("POST", "/calm/high/x", "slow", timeLeft, "x"))
	wait(t, begun, "call")
	want(t, "status", f.do("POST", "/order/x", "a", timeLeft, "x").status, 200)
	f.dispatcher.mu.Lock()
	of := f.dispatcher.endpoints["i-1"].connections
	f.dispatcher.mu.Unlock()
	want(t, "connections", of.OpenConns(), 2)
	h.phase = discovery.Draining
	f.list(h)
	eventually(t, "idle connection closed", func() bool { return of.OpenConns() == 1 })
	want(t, "status with all hosts draining", f.do("POST", "/order/x", "b", timeLeft, "x").status, 503)
	again := &host{id: "i-2", addr: h.addr, capacity: 4} // at the same address
	f.list(h, again)
	eventually(t, "the new one known", func() bool {
		f.dispatcher.mu.Lock()
		defer f.dispatcher.mu.Unlock()
		return f.dispatcher.endpoints["i-2"] != nil
	})
	want(t, "status", f.do("POST", "/order/x", "c", timeLeft, "x").status, 200)
	if got := h.gotten(); !strings.Contains(got, "X-Target-Instance: i-2\r\n") {
		t.Errorf("the host got %q", got)
	}
	close(release)
	want(t, "status of the one under way", slow.read().status, 200)
	eventually(t, "no connection kept", func() bool { return of.OpenConns() == 0 })
}

// A slot that is free again, since a host is no longer full, goes to who waits and not to who comes just then.
func TestNobodyPassesTheQueue(t *testing.T) {
	h := newHost(t, "i-1", serves(""))
	h.capacity = 1
	f := newFront(t, h)
	d := f.dispatcher
	d.mu.Lock()
	d.recheck = time.NewTimer(time.Hour) // nobody looks
	d.mu.Unlock()
	q := balancer.PickInfo{Service: "plain"}
	full, _ := d.acquire(q, admissionRequest{latencyTarget: time.Second, queueTimeout: time.Second})
	d.release(full, balancer.AtCapacity)
	got := make(chan *endpoint, 1)
	go func() {
		e, _ := d.acquire(q, admissionRequest{latencyTarget: time.Second, queueTimeout: time.Hour})
		got <- e
	}()
	eventually(t, "one that waits", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.backlogged) == 1
	})
	eventually(t, "room again", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.balancer.Pick(q, time.Now()) != nil
	})
	late, _ := d.acquire(q, admissionRequest{latencyTarget: time.Second, queueTimeout: time.Millisecond})
	e := wait(t, got, "slot")
	want(t, "host", e, full)
	want(t, "calls out", e.host.InFlight(), 2) // the late one is in the host's own queue
	d.release(e, balancer.Success)
	d.release(late, balancer.Success)
}

// Calls that programs make are a kind of their own, so that they are not starved by others on their route.
func TestKindOfARequest(t *testing.T) {
	for header, c := range map[string]struct {
		retained bool
		called   bool
	}{"": {false, false}, "p": {false, true}, "turn": {true, false}} {
		r := &request{head: &head{header: http.Header{"Program": {header}}}, route: &routing.Route{Name: "r1", Retained: c.retained}}
		q := r.pickInfo()
		want(t, "kind", q.Class, "r1")
		want(t, "called", q.FromProgram, c.called)
	}
}
