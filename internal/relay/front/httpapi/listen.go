package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedAllowance is the age up to which a connection that has sent nothing is not the first choice for closing.
const unusedAllowance = 200 * time.Millisecond

// Listener bounds the number of client connections. It accepts every connection, since a client that is not accepted
// gets neither a response nor a close. Above the bound it closes one connection for each that it accepts, but none with
// a request that was read completely and is not answered yet.
//
// Its http.Server must use WithClient and ClientState, and the handler must call RequestRead.
type Listener struct {
	*net.TCPListener
	maxConns int

	mu    sync.Mutex
	conns map[*clientConn]bool
}

// clientConn is a client's connection. Listener.mu guards the fields below listener.
type clientConn struct {
	*net.TCPConn // net/http needs its CloseWrite
	listener     *Listener

	idleSince      time.Time // when it was accepted, or its last request was answered
	servedBefore   bool      // a request was answered on it
	requestStarted bool      // bytes of a request have been read since idleSince
	requestPending bool      // a request was read completely and is not answered yet
	nextStarted    bool      // net/http, checking for a disconnect, read bytes of the next request during a pending one
	closing        bool      // reads fail unless a request has started
	readDeadline   time.Time // the last one that net/http set
}

// Listen listens on an address, for at most maxConns connections.
func Listen(addr string, maxConns int) (*Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return Adopt(l.(*net.TCPListener), maxConns), nil
}

// Adopt bounds the connections of an existing listener, for example one that another process passed on.
func Adopt(l *net.TCPListener, maxConns int) *Listener {
	return &Listener{TCPListener: l, maxConns: maxConns, conns: map[*clientConn]bool{}}
}

// Accept implements net.Listener.
func (s *Listener) Accept() (net.Conn, error) {
	conn, err := s.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: conn, listener: s, idleSince: time.Now()}
	s.mu.Lock()
	s.conns[c] = true
	var spare *clientConn
	if len(s.conns) > s.maxConns {
		spare = s.victim(c)
	}
	s.mu.Unlock()
	if spare != nil {
		spare.Close()
	}
	return c, nil
}

// victim returns the connection to close: the oldest that has sent nothing for longer than silentAllowance, else the
// oldest between two requests, else the oldest without a pending request, else the newest. The caller holds the lock.
func (s *Listener) victim(newest *clientConn) *clientConn {
	for _, eligible := range []func(*clientConn) bool{
		func(c *clientConn) bool {
			return !c.servedBefore && !c.requestStarted && newest.idleSince.Sub(c.idleSince) > unusedAllowance
		},
		func(c *clientConn) bool { return c.servedBefore && !c.requestStarted },
		func(c *clientConn) bool { return true },
	} {
		var oldest *clientConn
		for c := range s.conns {
			if !c.requestPending && eligible(c) && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
				oldest = c
			}
		}
		if oldest != nil {
			return oldest
		}
	}
	return newest
}

// Close closes the connection and removes it from the listener's count.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// SendAway closes the connections on which no request has started: those between two requests and, with includeNew,
// also those without a request so far, which clients may be about to use.
//
// A request of which a byte was read is read on and answered. http.Server's own closing of idle connections does not do
// that: it takes a connection for idle until a request's header is complete, and drops what it has read of it. A
// request that is still in the kernel's buffer is rejected by a reset, after which its client retries it.
func (s *Listener) SendAway(includeNew bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdleLocked(includeNew)
}

// closeIdleLocked implements SendAway. The caller holds the lock.
func (s *Listener) closeIdleLocked(includeNew bool) {
	for c := range s.conns {
		if (c.servedBefore || includeNew) && !c.requestStarted && !c.closing {
			c.closing = true
			c.TCPConn.SetReadDeadline(expiredDeadline)
		}
	}
}

// expiredDeadline is a read deadline that has passed.
var expiredDeadline = time.Unix(1, 0)

// Len returns the number of open connections.
func (s *Listener) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Begun returns the number of connections on which a request has started that is not answered yet.
func (s *Listener) Begun() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.requestStarted {
			n++
		}
	}
	return n
}

// Read records that a request has started. If the connection was being closed, it is not any more: the request is served.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.nextStarted = c.nextStarted || c.requestPending
		if c.requestStarted = true; c.closing {
			c.closing = false
			c.TCPConn.SetReadDeadline(c.readDeadline)
		}
	}
	return n, err
}

// SetReadDeadline sets the deadline at once, or, while the connection is being closed, only if a request starts.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.readDeadline = t; c.closing {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// clientConnKey is the context key of a request's *clientConn.
type clientConnKey struct{}

// WithClient is the http.Server.ConnContext for a Listener's connections.
func WithClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// RequestRead keeps a request's connection from being closed until its response is written. The handler calls it with
// the request's context once the request has been read completely.
func RequestRead(ctx context.Context) {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		c.listener.mu.Lock()
		c.requestPending = true
		c.listener.mu.Unlock()
	}
}

// ClientState is the http.Server.ConnState for a Listener's connections: it records that a response was written.
func ClientState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok || state != http.StateIdle {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.requestStarted, c.nextStarted = c.nextStarted, false
	c.requestPending, c.servedBefore, c.idleSince = false, true, time.Now()
}
