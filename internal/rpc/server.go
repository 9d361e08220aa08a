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

// acceptBackoff follows an Accept that failed, as it does while the process has no file descriptors left.
const acceptBackoff = 10 * time.Millisecond

// Handler executes a call and returns its response, a struct or nil; the caller gets an error's text as ErrRemote. Each
// call has a goroutine of its own. Notifications of a connection are handled in its reader, one after the other, and what
// is returned for them is dropped. ctx ends when the connection or the server is closed. The handler owns body.
type Handler func(ctx context.Context, body []byte) (response any, err error)

// Server takes connections and passes their calls to handlers. It is safe for concurrent use.
type Server struct {
	handlers map[Method]Handler
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	wg       sync.WaitGroup // connections, calls, and one for each Serve

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a server for the methods that have a handler; calls of others end in ErrRemote. The map must not
// be changed any more.
func NewServer(handlers map[Method]Handler) *Server {
	s := &Server{handlers: handlers, conns: map[net.Conn]bool{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Serve takes connections until Close is called or the listener is closed, and closes the listener.
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
		if err != nil {
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

// start runs a goroutine that Close waits for, and registers the connection that it serves, if any. It reports whether
// it did so: not after Close.
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

// Close closes all connections and listeners and waits for the handlers, whose contexts end.
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

// serveConn reads frames until the connection fails.
func (s *Server) serveConn(c net.Conn) {
	setSocketOptions(c)
	ctx, stop := context.WithCancel(s.ctx)
	var writing sync.Mutex
	defer func() {
		stop()
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, readBuffer)
	for {
		f, err := readFrame(r)
		if err != nil {
			return
		}
		if f.kind == kindNotification {
			if handler := s.handlers[f.method]; handler != nil {
				_, _ = handler(ctx, f.body) // here, so that notifications keep their order
			}
			continue
		}
		s.wg.Go(func() {
			response := s.respond(ctx, f).encode()
			writing.Lock()
			defer writing.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.Write(response); err != nil {
				c.Close()
			}
		})
	}
}

// respond executes a call and returns the frame that answers it.
func (s *Server) respond(ctx context.Context, call frame) frame {
	response := frame{kindError, call.method, call.number, nil}
	handler := s.handlers[call.method]
	if handler == nil {
		response.body = []byte(unknownMethodText)
		return response
	}
	result, err := handler(ctx, call.body)
	if err != nil {
		response.body = []byte(err.Error())
		return response
	}
	body := Encode(result)
	if len(body) > MaxFrame {
		response.body = fmt.Appendf(nil, "answer of %d bytes: ask for less than %d", len(body), MaxFrame)
		return response
	}
	response.kind, response.body = kindResponse, body
	return response
}
