// Package httpapi is the front on which clients hand messages in by HTTP. So far it holds the listener that
// bounds their connections.
package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// silentAllowance is how long a new connection may stay silent while others are closed in its place.
const silentAllowance = 200 * time.Millisecond

// Listener bounds the connections of clients. It accepts always: where a limit on accepting
// would leave a client with neither an answer nor a close, one connection on which no
// request is open is closed for each that is too many.
type Listener struct {
	*net.TCPListener
	maxConns int
	mu       sync.Mutex
	conns    map[*clientConn]bool
}

type clientConn struct {
	*net.TCPConn   // net/http needs its CloseWrite
	listener       *Listener
	idleSince      time.Time // accepted, or last answered
	servedBefore   bool      // a request was answered here
	requestStarted bool      // bytes of one have been read since
	requestPending bool      // one was read whole and is not yet answered
	nextStarted    bool      // bytes of the next were read while one was open: net/http looks whether the client is there
	closing        bool      // the client is being sent away: unless a request has begun, reading fails
	readDeadline   time.Time // of reading, as net/http has it
}

// Listen listens on an address, for so many connections at most.
func Listen(addr string, most int) (*Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return Adopt(l.(*net.TCPListener), most), nil
}

// Adopt bounds the connections of a listener that is there.
func Adopt(l *net.TCPListener, most int) *Listener {
	return &Listener{TCPListener: l, maxConns: most, conns: map[*clientConn]bool{}}
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

// victim picks the connection to close: the oldest that has stayed silent, else the oldest
// between two requests, else the oldest with no request open whole, else the newest.
func (s *Listener) victim(newest *clientConn) *clientConn {
	for _, may := range []func(*clientConn) bool{
		func(c *clientConn) bool {
			return !c.servedBefore && !c.requestStarted && newest.idleSince.Sub(c.idleSince) > silentAllowance
		},
		func(c *clientConn) bool { return c.servedBefore && !c.requestStarted },
		func(c *clientConn) bool { return true },
	} {
		var oldest *clientConn
		for c := range s.conns {
			if !c.requestPending && may(c) && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
				oldest = c
			}
		}
		if oldest != nil {
			return oldest
		}
	}
	return newest
}

func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// SendAway ends the connections on which no request has begun: those between two requests, and all if new ones are meant
// as well, which clients may be about to use. A request of which a byte was read is read on and answered: net/http's
// own closing of idle connections takes a connection for idle until a request's head is whole, and would drop what it
// has read of it. One that is still in the kernel is refused by a reset: its client sends it once more.
func (s *Listener) SendAway(new bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeIdleLocked(new)
}

// closeIdleLocked is SendAway with the lock held.
func (s *Listener) closeIdleLocked(new bool) {
	for c := range s.conns {
		if (c.servedBefore || new) && !c.requestStarted && !c.closing {
			c.closing = true
			c.TCPConn.SetReadDeadline(expiredDeadline)
		}
	}
}

// expiredDeadline is before any time.
var expiredDeadline = time.Unix(1, 0)

// Len is how many connections are open.
func (s *Listener) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Begun is on how many of them a request has begun that is not answered yet.
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

// Read takes in that a request has begun. What was read before its client could be sent away is no longer refused.
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

// SetReadDeadline keeps a client that is being sent away from another deadline.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.readDeadline = t; c.closing {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

type clientConnKey struct{}

// WithClient is the http.Server's ConnContext for a Listener's connections.
func WithClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// RequestRead keeps the request's connection from being closed until its answer is written.
func RequestRead(ctx context.Context) {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		c.listener.mu.Lock()
		c.requestPending = true
		c.listener.mu.Unlock()
	}
}

// ClientState is the http.Server's ConnState for them: it takes in that an answer was written.
func ClientState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok || state != http.StateIdle {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.requestStarted, c.nextStarted, c.requestPending, c.servedBefore, c.idleSince = c.nextStarted, false, false, true, time.Now()
}
