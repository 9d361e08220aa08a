package proxy

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
)

// Guards against an order that runs twice, or runs and is answered 503: the only host rejects it, runs it when it is sent again,
// and meanwhile sends its rejection a second time on the connection that the first send used.
func TestLateCopyOfRejectionIsNotTakenForNextSend(t *testing.T) {
	for _, e := range exchanges {
		if e.proof != proofNotRun || e.act == nil {
			continue
		}
		for _, r := range routes {
			t.Run(e.name+strings.ReplaceAll(r.path, "/", " "), func(t *testing.T) {
				rec := newRecord()
				x := &exchangeHost{host: "i-1", record: rec}
				var mu sync.Mutex
				var rejected net.Conn // the connection of the first send, if it is kept
				sends := 0
				h := newHost(t, "i-1", func(c *call) bool {
					mu.Lock()
					defer mu.Unlock()
					rec.recordReceived(c.id(), "i-1")
					if sends++; sends == 1 {
						rejected = c.Conn
						return e.act(x, c)
					}
					x.recordRun(c)
					if c.Conn == rejected {
						e.act(x, c)
					}
					return x.respond(c, 200, "", "second")
				})
				f := newFront(t, h)
				a := f.do("POST", r.path, "x", timeLeft, "the body")
				rec.recordObserved(observed{"x", r.kind, r.maxAttempts, a})
				f.Server.Close()
				h.close()
				for _, fault := range rec.violations() {
					t.Error(fault)
				}
				want(t, "response", a.summary(), "200 second")
				want(t, "sends", sends, 2)
			})
		}
	}
}

// drawCopy returns a surplus response to a request, drawn by a hash: one of the statuses that a host may have given.
func drawCopy(hash uint64, id string) string {
	const rejection = "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno"
	switch hash % 5 {
	case 0:
		return fmt.Sprintf(rejection, 503, id)
	case 1:
		return fmt.Sprintf(rejection, 429, id)
	case 2:
		return fmt.Sprintf(rejection, 421, id)
	case 3:
		return fmt.Sprintf("HTTP/1.1 500 X\r\nX-Attempt-Id: %s\r\nX-Host-Seal: forged\r\nContent-Length: 3\r\n\r\nnot", id)
	}
	return fmt.Sprintf(forged200, id)
}
