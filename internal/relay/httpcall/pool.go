package httpcall

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// errNoDescriptor means that this process, not the host, lacks the means for another connection.
var errNoDescriptor = errors.New("no descriptor is free for a connection")

// Pool keeps the connections to hosts. net/http's Transport does not serve: it pools connections by address, so
// that a new host inherits those of a removed one at the same address; it passes surplus bytes after a response
// on to the next call; and it does not report whether the last byte of a request was written.
type Pool struct {
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	idleTimeout time.Duration // a connection that is idle for this long is closed
	maxConns    int           // bound of open

	mu        sync.Mutex            // guards the fields below, and of each idle connection the idle fields
	open      int                   // connections that are open or being dialled
	idle      map[*Host][]*hostConn // most recently used last; no empty lists
	idleTrust idleTrust
}

// NewPool returns a pool of at most maxConns connections, counting those being dialled. A dial fails after
// dialTimeout; a connection that is idle for idleTimeout is closed.
func NewPool(dialTimeout, idleTimeout time.Duration, maxConns int) *Pool {
	return &Pool{
		dial:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		idleTimeout: idleTimeout,
		maxConns:    maxConns,
		idle:        map[*Host][]*hostConn{},
	}
}

// get returns an idle connection to a host, or else a new one. The context bounds the dial and, afterwards, the
// use of the connection: it is closed when the context ends.
func (p *Pool) get(ctx context.Context, h *Host) (*hostConn, error) {
	for c := p.popIdle(h); c != nil; c = p.popIdle(h) {
		if p.trusts(c) && c.quiet() {
			c.reused, c.idleBeforeCall = true, time.Since(c.idleSince)
			c.bindContext(ctx)
			return c, nil
		}
		c.Close()
	}
	if !p.reserve() {
		return nil, errNoDescriptor
	}
	begin := time.Now()
	conn, err := p.dial(ctx, "tcp", h.Addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		for _, local := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
			if errors.Is(err, local) {
				return nil, errNoDescriptor
			}
		}
		return nil, err
	}
	c := &hostConn{Conn: conn, pool: p, host: h, dialTime: time.Since(begin)}
	c.limit.R = conn
	c.reader = bufio.NewReader(&c.limit)
	c.bindContext(ctx)
	return c, nil
}

// trusts reports whether a connection has been idle for a time after which connections are still reused.
func (p *Pool) trusts(c *hostConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.idleTrust.trusts(now.Sub(c.idleSince), now)
}

// popIdle takes the most recently used idle connection to a host out of the pool; nil if there is none.
func (p *Pool) popIdle(h *Host) *hostConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[h]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.removeIdle(c)
	return c
}

// removeIdle takes an idle connection out of the pool. The caller holds the lock.
func (p *Pool) removeIdle(c *hostConn) {
	c.idleTimer.Stop()
	conns := p.idle[c.host]
	for i := range conns {
		if conns[i] == c {
			conns = append(conns[:i:i], conns[i+1:]...)
			break
		}
	}
	if p.idle[c.host] = conns; len(conns) == 0 {
		delete(p.idle, c.host)
	}
}

// reserve counts one more connection and reports whether the bound allows it. At the bound it closes the
// connection that has been idle for longest, if there is one.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	var oldest *hostConn
	if p.open >= p.maxConns {
		for _, conns := range p.idle {
			if oldest == nil || conns[0].idleSince.Before(oldest.idleSince) {
				oldest = conns[0]
			}
		}
		if oldest == nil {
			p.mu.Unlock()
			return false
		}
		p.removeIdle(oldest)
	}
	p.open++
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return true
}

// put returns a connection to the pool. Its last response was read completely, with no surplus bytes. The
// connection is closed instead if its context has ended or its host is closed.
func (p *Pool) put(c *hostConn) {
	if !c.unbindContext() || c.SetReadDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	keep := !c.host.closed.Load()
	if keep {
		c.idleSince = time.Now()
		c.idleTimer = time.AfterFunc(p.idleTimeout, func() { p.expire(c) })
		p.idle[c.host] = append(p.idle[c.host], c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// expire closes a connection whose idle time-out has passed, unless a call has taken it meanwhile.
func (p *Pool) expire(c *hostConn) {
	p.mu.Lock()
	idle := false
	for _, other := range p.idle[c.host] {
		idle = idle || other == c
	}
	if idle {
		p.removeIdle(c)
	}
	p.mu.Unlock()
	if idle {
		c.Close()
	}
}

// Shut closes the idle connections of a host that gets no further calls. The caller has set the host closed
// before, so that no connection in use returns to the pool afterwards.
func (p *Pool) Shut(h *Host) {
	for c := p.popIdle(h); c != nil; c = p.popIdle(h) {
		c.Close()
	}
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	for {
		p.mu.Lock()
		var first *hostConn
		for _, conns := range p.idle {
			first = conns[0]
			p.removeIdle(first)
			break
		}
		p.mu.Unlock()
		if first == nil {
			return
		}
		first.Close()
	}
}

// Open returns the number of connections that are open or being dialled.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
