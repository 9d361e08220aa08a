package proxy

import (
	"fmt"
	"strings"
	"testing"

	"larchrouter/internal/tier/discovery"
)

// A host whose address another one has (421) is ejected.
func TestMisdirectedHostIsEjected(t *testing.T) {
	misdirected := newHost(t, "i-1", func(c *call) bool { c.respond(421, "", ""); return true })
	f := newFront(t, misdirected, newHost(t, "i-2", respondsOK("yes")))
	for i := range 12 {
		want(t, "status", f.do("POST", "/order/x", fmt.Sprint("a", i), timeLeft, "x").status, 200)
	}
	if n := misdirected.calls.Load(); n > 1 {
		t.Errorf("the misdirected host got %d calls", n)
	}
}

// A host that closes its connection with every response is avoided, although it is still listed as ready.
func TestHostThatClosesIsAvoided(t *testing.T) {
	closing := newHost(t, "i-1", func(c *call) bool { c.respond(200, "Connection: close\r\n", ""); return false })
	f := newFront(t, closing, newHost(t, "i-2", respondsOK("")))
	for i := range 15 {
		want(t, "status", f.do("POST", "/order/x", fmt.Sprint("a", i), timeLeft, "x").status, 200)
	}
	if n := closing.calls.Load(); n > 2 {
		t.Errorf("the host that closes got %d calls", n)
	}
}

// A host that is listed as draining completes its calls in flight and gets no new ones, also not on idle connections; another
// incarnation at its address has its own connections.
func TestDrainingHostGetsNoCalls(t *testing.T) {
	release := make(chan bool)
	begun := make(chan bool, 1)
	script := func(c *call) bool {
		if c.id() == "slow" {
			begun <- true
			<-release
		}
		c.respond(200, "Keep-Alive: timeout=20\r\n", "")
		return true
	}
	h := newHost(t, "i-1", script)
	f := newFront(t, h)
	slow := f.dial()
	slow.send(requestText("POST", "/calm/high/x", "slow", timeLeft, "x"))
	wait(t, begun, "call")
	want(t, "status", f.do("POST", "/order/x", "a", timeLeft, "x").status, 200)
	f.dispatcher.mu.Lock()
	of := f.dispatcher.endpoints["i-1"].connections
	f.dispatcher.mu.Unlock()
	want(t, "connections", of.OpenConns(), 2)
	h.phase = discovery.Draining
	f.setHosts(h)
	eventually(t, "idle connection closed", func() bool { return of.OpenConns() == 1 })
	want(t, "status with all hosts draining", f.do("POST", "/order/x", "b", timeLeft, "x").status, 503)
	again := &host{id: "i-2", addr: h.addr, capacity: 4} // at the same address
	f.setHosts(h, again)
	eventually(t, "the new incarnation is known", func() bool {
		f.dispatcher.mu.Lock()
		defer f.dispatcher.mu.Unlock()
		return f.dispatcher.endpoints["i-2"] != nil
	})
	want(t, "status", f.do("POST", "/order/x", "c", timeLeft, "x").status, 200)
	if got := h.lastRequest(); !strings.Contains(got, "X-Target-Instance: i-2\r\n") {
		t.Errorf("the host got %q", got)
	}
	close(release)
	want(t, "status of the call in flight", slow.read().status, 200)
	eventually(t, "no connection is kept alive", func() bool { return of.OpenConns() == 0 })
}
