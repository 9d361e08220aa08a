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

// firstIn is how long a new connection may stay silent while others are closed in its place.
const firstIn = 200 * time.Millisecond

// Listener bounds the connections of clients. It accepts always: where a limit on accepting
// would leave a client with neither an answer nor a close, one connection on which no
// request is open is closed for each that is too many.
type Listener struct {
	*net.TCPListener
	most int
	mu   sync.Mutex
	all  map[*client]bool
}

type client struct {
	*net.TCPConn // net/http needs its CloseWrite
	set          *Listener
	at           time.Time // accepted, or last answered
	asked        bool      // a request was answered here
	begun        bool      // bytes of one have been read since
	open         bool      // one was read whole and is not yet answered
	early        bool      // bytes of the next were read while one was open: net/http looks whether the client is there
	sent         bool      // the client is being sent away: unless a request has begun, reading fails
	until        time.Time // of reading, as net/http has it
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
	return &Listener{TCPListener: l, most: most, all: map[*client]bool{}}
}

// Accept implements net.Listener.
func (s *Listener) Accept() (net.Conn, error) {
	conn, err := s.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &client{TCPConn: conn, set: s, at: time.Now()}
	s.mu.Lock()
	s.all[c] = true
	var spare *client
	if len(s.all) > s.most {
		spare = s.spare(c)
	}
	s.mu.Unlock()
	if spare != nil {
		spare.Close()
	}
	return c, nil
}

// spare picks the connection to close: the oldest that has stayed silent, else the oldest
// between two requests, else the oldest with no request open whole, else the newest.
func (s *Listener) spare(newest *client) *client {
	for _, may := range []func(*client) bool{
		func(c *client) bool { return !c.asked && !c.begun && newest.at.Sub(c.at) > firstIn },
		func(c *client) bool { return c.asked && !c.begun },
		func(c *client) bool { return true },
	} {
		var oldest *client
		for c := range s.all {
			if !c.open && may(c) && (oldest == nil || c.at.Before(oldest.at)) {
				oldest = c
			}
		}
		if oldest != nil {
			return oldest
		}
	}
	return newest
}

func (c *client) Close() error {
	c.set.mu.Lock()
	delete(c.set.all, c)
	c.set.mu.Unlock()
	return c.TCPConn.Close()
}

// SendAway ends the connections on which no request has begun: those between two requests, and all if new ones are meant
// as well, which clients may be about to use. A request of which a byte was read is read on and answered: net/http's
// own closing of idle connections takes a connection for idle until a request's head is whole, and would drop what it
// has read of it. One that is still in the kernel is refused by a reset: its client sends it once more.
func (s *Listener) SendAway(new bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendAway(new)
}

// sendAway is SendAway with the lock held.
func (s *Listener) sendAway(new bool) {
	for c := range s.all {
		if (c.asked || new) && !c.begun && !c.sent {
			c.sent = true
			c.TCPConn.SetReadDeadline(past)
		}
	}
}

// past is before any time.
var past = time.Unix(1, 0)

// Len is how many connections are open.
func (s *Listener) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// Begun is on how many of them a request has begun that is not answered yet.
func (s *Listener) Begun() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		if c.begun {
			n++
		}
	}
	return n
}

// Read takes in that a request has begun. What was read before its client could be sent away is no longer refused.
func (c *client) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.set.mu.Lock()
		defer c.set.mu.Unlock()
		c.early = c.early || c.open
		if c.begun = true; c.sent {
			c.sent = false
			c.TCPConn.SetReadDeadline(c.until)
		}
	}
	return n, err
}

// SetReadDeadline keeps a client that is being sent away from another deadline.
func (c *client) SetReadDeadline(t time.Time) error {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.until = t; c.sent {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

type clientKey struct{}

// WithClient is the http.Server's ConnContext for a Listener's connections.
func WithClient(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, c)
}

// RequestRead keeps the request's connection from being closed until its answer is written.
func RequestRead(ctx context.Context) {
	if c, ok := ctx.Value(clientKey{}).(*client); ok {
		c.set.mu.Lock()
		c.open = true
		c.set.mu.Unlock()
	}
}

// ClientState is the http.Server's ConnState for them: it takes in that an answer was written.
func ClientState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*client)
	if !ok || state != http.StateIdle {
		return
	}
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.begun, c.early, c.open, c.asked, c.at = c.early, false, false, true, time.Now()
}
