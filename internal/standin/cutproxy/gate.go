package cutproxy

import (
	"errors"
	"io"
	"net"
	"sync"
)

// chunkBytes is the most that is relayed at once: little compared with what a slow link carries in a tick of the tests.
const chunkBytes = 16 << 10

// gate blocks or relays the bytes of one direction, within the rate of its buckets.
type gate struct {
	buckets []*Bucket

	mu   sync.Mutex
	open chan struct{} // closed while the gate is open
}

// newGate returns an open gate.
func newGate(buckets []*Bucket) *gate {
	g := &gate{buckets: buckets, open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) block() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default:
	}
}

func (g *gate) unblock() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// wait waits until the gate is open. It returns false if end is closed before.
func (g *gate) wait(end <-chan struct{}) bool {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
		return true
	default:
	}
	select {
	case <-open:
		return true
	case <-end:
		return false
	}
}

// relayBytes relays bytes until one side ends. An orderly close of one half (FIN) is passed on to the other.
func relayBytes(g *gate, p *pair, from, to net.Conn) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !waitForRate(g.buckets, n, p.end) {
			return
		}
		if !g.wait(p.end) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			to.Close()
			return
		}
	}
}
