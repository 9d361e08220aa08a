// Package cutproxy is a TCP relay for tests that simulates network partitions: it blocks bytes in one direction or in both,
// resets connections, refuses new ones, and limits the rate of links. It neither changes nor adds bytes.
//
// A relay connects callers with one address, so that a test with a relay for each ordered pair of nodes can partition any
// link between them. It differs from a real partition in two ways: the kernel still acknowledges bytes, so that a caller
// detects the partition by its own time-outs, never by those of TCP; and a new connection is accepted while bytes are
// blocked, but nothing is relayed on it.
package cutproxy

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Direction of bytes through a relay.
type Direction int

// The directions: from the caller to the target address, and back.
const (
	Forward Direction = iota
	Backward
)

// readBufferBytes limits what the kernel buffers of a connection, so that a writer blocks soon after the relay stops reading.
const readBufferBytes = 64 << 10

// Relay relays connections to one address. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	gates    [2]*gate // by Direction
	wg       sync.WaitGroup

	mu       sync.Mutex
	open     map[*pair]bool
	refusing bool
	closed   bool
}

// pair is an accepted connection and the one that it is relayed to.
type pair struct {
	near, far net.Conn      // far is nil until the relay has dialled; the relay's lock guards it
	end       chan struct{} // closed with the pair
	once      sync.Once
}

// New starts a relay to a target address on a free loopback port. The buckets of a direction limit its rate. The caller
// closes the relay.
func New(target string, forward, backward []*Bucket) (*Relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a relay: free some ports")
	}
	r := &Relay{listener: l, target: target, open: map[*pair]bool{}}
	r.gates = [2]*gate{newGate(forward), newGate(backward)}
	r.wg.Go(r.accept)
	return r, nil
}

// Addr returns the address on which the relay accepts connections.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Hold blocks the bytes of a direction. Connections stay open.
func (r *Relay) Hold(d Direction) { r.gates[d].block() }

// Release unblocks a direction: blocked bytes are delivered first.
func (r *Relay) Release(d Direction) { r.gates[d].unblock() }

// Reset closes all connections with a TCP reset. Blocked bytes are lost.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.open {
		p.reset()
	}
}

// Refuse sets whether new connections are reset as soon as they are accepted.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = on
}

// Close closes the relay and its connections, and waits for its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.listener.Close()
	for p := range r.open {
		p.reset()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		_ = near.(*net.TCPConn).SetReadBuffer(readBufferBytes)
		p := &pair{near: near, end: make(chan struct{})}
		r.mu.Lock()
		if r.closed || r.refusing {
			p.reset()
			r.mu.Unlock()
			continue
		}
		r.open[p] = true
		r.wg.Go(func() { r.relay(p) })
		r.mu.Unlock()
	}
}

// relay dials the target once the forward direction is open, and relays bytes until both directions have ended.
func (r *Relay) relay(p *pair) {
	defer func() {
		p.close(false)
		r.mu.Lock()
		delete(r.open, p)
		r.mu.Unlock()
	}()
	if !r.gates[Forward].wait(p.end) {
		return
	}
	far, err := net.Dial("tcp4", r.target)
	if err != nil {
		return
	}
	_ = far.(*net.TCPConn).SetReadBuffer(readBufferBytes)
	if !r.attach(p, far) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { relayBytes(r.gates[Forward], p, p.near, far) })
	directions.Go(func() { relayBytes(r.gates[Backward], p, far, p.near) })
	directions.Wait()
}

// attach sets the far connection. It closes the connection and returns false if the pair has ended in the meantime.
func (r *Relay) attach(p *pair, far net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-p.end:
		far.Close()
		return false
	default:
		p.far = far
		return true
	}
}

func (p *pair) reset() { p.close(true) }

// close closes both connections, with a TCP reset or in order. The caller has locked the relay or is the last to use the
// pair.
func (p *pair) close(reset bool) {
	p.once.Do(func() {
		close(p.end)
		for _, c := range []net.Conn{p.near, p.far} {
			if tcp, ok := c.(*net.TCPConn); ok && tcp != nil {
				if reset {
					_ = tcp.SetLinger(0)
				}
				tcp.Close()
			}
		}
	})
}
