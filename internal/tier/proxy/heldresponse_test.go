package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"larchrouter/internal/membudget"
)

// pausingHost returns a host that responds to a request without a body in two parts, and writes the second one once goOn is closed. To
// others it responds at once.
func pausingHost(t *testing.T, first, second string, inChunks bool, goOn <-chan struct{}) *host {
	return newHost(t, "i-1", func(c *call) bool {
		if c.body != "" {
			return respondsOK("yes")(c)
		}
		head := fmt.Sprintf("HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\nX-Host-Seal: seal\r\n", c.id())
		if inChunks {
			c.raw(head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(first))
			<-goOn
			c.raw(chunk(second) + lastChunk)
			return true
		}
		c.raw(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(first)+len(second)) + first)
		<-goOn
		c.raw(second)
		return true
	})
}

// Ordinary requests were refused while a host made a pause in a long response: what was read of it held the memory and gave way to
// nobody. It must be passed on, and its client must get all of it.
func TestResponseOfPausingHostGivesWay(t *testing.T) {
	const size, clients = 90 << 10, 5
	first, second := strings.Repeat("a", 200<<10), strings.Repeat("b", 40<<10)
	for name, inChunks := range map[string]bool{"with its length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			goOn := make(chan struct{})
			f := newFrontWithOptions(t, Options{Ledger: &ledger{}, Memory: membudget.New(membudget.Options{Limit: 600 << 10, Small: 20 << 10})},
				pausingHost(t, first, second, inChunks, goOn))
			resume := sync.OnceFunc(func() { close(goOn) })
			t.Cleanup(resume) // before the host is closed
			paused := f.dial()
			paused.send(requestText("GET", "/order/x", "paused", timeLeft, ""))
			eventually(t, "the response is held", func() bool { return f.options.Memory.Usage().Used >= int64(len(first)) })
			var stalled []*conn
			for i := range clients {
				stalled = append(stalled, stall(f, fmt.Sprint("stalled-", i), size, false))
			}
			eventually(t, "all bodies are held, and only they", func() bool { return f.options.Memory.Usage().Used == clients*size })
			for _, c := range stalled {
				c.send("x")
				want(t, "status of a body that went on", c.read().status, http.StatusOK)
			}
			resume()
			response := paused.read()
			want(t, "status of the paused response", response.status, http.StatusOK)
			if response.err != nil || response.body != first+second {
				t.Errorf("its body has %d bytes, err=%v", len(response.body), response.err)
			}
		})
	}
}

// A host that breaks off a response of which the beginning was passed on to make room must not make it look complete, and no other host
// may be asked.
func TestBrokenResponseThatGaveWayIsNotCompleted(t *testing.T) {
	const size, clients = 90 << 10, 5
	goOn := make(chan struct{})
	h := newHost(t, "i-1", func(c *call) bool {
		if c.body != "" {
			return respondsOK("yes")(c)
		}
		c.raw(fmt.Sprintf("HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\nX-Host-Seal: seal\r\nContent-Length: %d\r\n\r\n", c.id(), 240<<10) +
			strings.Repeat("a", 200<<10))
		<-goOn
		return false
	})
	f := newFrontWithOptions(t, Options{Ledger: &ledger{}, Memory: membudget.New(membudget.Options{Limit: 600 << 10, Small: 20 << 10})}, h)
	breakOff := sync.OnceFunc(func() { close(goOn) })
	t.Cleanup(breakOff) // before the host is closed
	broken := f.dial()
	broken.send(requestText("GET", "/order/x", "broken", timeLeft, ""))
	eventually(t, "the response is held", func() bool { return f.options.Memory.Usage().Used >= 200<<10 })
	for i := range clients {
		stall(f, fmt.Sprint("stalled-", i), size, false)
	}
	eventually(t, "all bodies are held, and only they", func() bool { return f.options.Memory.Usage().Used == clients*size })
	breakOff()
	if response := broken.read(); response.err == nil {
		t.Errorf("the response looks complete: status %d, %d bytes", response.status, len(response.body))
	}
	want(t, "calls to the host", int(h.calls.Load()), 1)
}
