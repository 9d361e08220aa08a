package proxy

import (
	"testing"
)

// When the client disconnects, the connection to the host is closed and the slot released.
func TestDisconnectCancelsCall(t *testing.T) {
	for _, path := range []string{"/calm/high/x", "/stream/x"} {
		ended := make(chan bool, 1)
		h := newHost(t, "i-1", func(c *call) bool {
			_, err := c.in.Peek(1)
			ended <- err != nil
			return false
		})
		f := newFront(t, h)
		c := f.dial()
		c.send(requestText("POST", path, "a", "X-Time-Left-Ms: 60000\r\n", "x"))
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
