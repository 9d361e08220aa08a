package rpc

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Server takes calls.
type Server struct {
	handlers map[Method]Handler
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	wg       sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewServer serves the given calls.
func NewServer(handlers map[Method]Handler) *Server {
	s := &Server{handlers: handlers, conns: map[net.Conn]bool{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Serve takes connections until Close, or until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	defer l.Close()
	if !s.start(func() { <-s.ctx.Done(); l.Close() }, nil) {
		return
	}
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // descriptors ran out for a moment
			select {
			case <-time.After(acceptBackoff):
				continue
			case <-s.ctx.Done():
				return
			}
		}
		if !s.start(func() { s.serveConn(c) }, c) {
			c.Close()
			return
		}
	}
}

// start runs a goroutine that Close waits for, for a connection or none; false once Close was called.
func (s *Server) start(run func(), c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if c != nil {
		s.conns[c] = true
	}
	s.wg.Go(run)
	return true
}

// Close ends all connections and waits for the handlers.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) serveConn(c net.Conn) {
	setSocketOptions(c)
	ctx, stop := context.WithCancel(s.ctx)
	var writes sync.Mutex
	defer func() {
		stop()
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 16<<10)
	for {
		kind, m, number, body, err := readFrame(r)
		if err != nil {
			return
		}
		h := s.handlers[m]
		if kind == kindNotification {
			if h != nil {
				_, _ = h(ctx, body) // in the order of their coming
			}
			continue
		}
		s.wg.Go(func() {
			var out []byte
			if h == nil {
				out = frame(kindError, m, number, []byte("unknown call: the two sides differ in version"))
			} else if answer, err := h(ctx, body); err != nil {
				out = frame(kindError, m, number, []byte(err.Error()))
			} else if body := Encode(answer); len(body) > MaxFrame {
				out = frame(kindError, m, number, fmt.Appendf(nil, "answer of %d bytes: ask for less than %d", len(body), MaxFrame))
			} else {
				out = frame(kindResponse, m, number, body)
			}
			writes.Lock()
			defer writes.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.Write(out); err != nil {
				c.Close()
			}
		})
	}
}
