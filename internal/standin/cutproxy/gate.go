package cutproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// chunk is how many bytes pass at once: small beside what a slow link carries in a tick of the tests.
const chunk = 16 << 10

// gate lets the bytes of one direction pass or holds them back.
type gate struct {
	buckets []*Bucket

	mu   sync.Mutex
	open chan struct{} // closed while bytes may pass
}

func newGate(buckets []*Bucket) *gate {
	g := &gate{buckets: buckets, open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default:
	}
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// wait returns true once bytes may pass, false if end comes before.
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

// pump passes bytes on until one side ends. A half that was closed in order closes the other in order as well.
func pump(g *gate, p *pair, from, to net.Conn) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if n > 0 && !take(g.buckets, n, p.end) {
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

// Bucket bounds the bytes a second of all that shares it: the link of a machine.
type Bucket struct {
	mu   sync.Mutex
	rate float64   // bytes a second, 0 for no bound
	free time.Time // when what was taken has passed
}

// NewBucket makes a bucket of a rate in bytes a second; 0 is no bound.
func NewBucket(rate float64) *Bucket { return &Bucket{rate: rate} }

// SetRate bounds the bytes a second from now on; 0 is no bound.
func (b *Bucket) SetRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = rate
}

// reserve takes the time in which n more bytes pass, and gives its end.
func (b *Bucket) reserve(now time.Time, n int) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return now
	}
	if b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(time.Duration(float64(n) / b.rate * float64(time.Second)))
	return b.free
}

// take waits until n more bytes have passed all the buckets, which they do at one time; false if end comes before.
func take(buckets []*Bucket, n int, end <-chan struct{}) bool {
	now := time.Now()
	until := now
	for _, b := range buckets {
		if at := b.reserve(now, n); at.After(until) {
			until = at
		}
	}
	if !until.After(now) {
		return true
	}
	t := time.NewTimer(until.Sub(now))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-end:
		return false
	}
}
