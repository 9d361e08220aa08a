package rpc

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/membudget"
)

// acceptBackoff follows an Accept that failed, as it does while the process has no file descriptors left.
const acceptBackoff = 10 * time.Millisecond

// longBodyTimeout bounds the time in which a long body of a call is read: the caller gives up its write sooner.
const longBodyTimeout = 2 * writeTimeout

// Handler executes a call and returns its response, a struct or nil; the caller gets an error's text as ErrRemote. Each
// call has a goroutine of its own. Notifications of a connection are handled in its reader, one after the other, and what
// is returned for them is dropped. ctx ends when the connection or the server is closed. The handler owns body.
type Handler func(ctx context.Context, body []byte) (response any, err error)

// Server takes connections and passes their calls to handlers. It is safe for concurrent use.
type Server struct {
	// Memory bounds what callers make the server hold: long bodies of calls, and what handlers draw. Default: no limit. It must be
	// set before Serve.
	Memory *membudget.Budget

	// BodyCost is how many bytes a call holds for each byte of a long body, with the copies that its handler makes. Default: 1. It must
	// be set before Serve.
	BodyCost int

	// MaxConns is the number of connections, at most; 0 for no limit. For a further one, that connection gives way on which no frame
	// has come for the longest time. It must be set before Serve.
	MaxConns int

	handlers map[Method]Handler
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	wg       sync.WaitGroup // connections, calls, and one for each Serve

	mu     sync.Mutex
	conns  map[*serverConn]bool
	closed bool
}

// NewServer returns a server for the methods that have a handler; calls of others end in ErrRemote. The map must not
// be changed any more.
func NewServer(handlers map[Method]Handler) *Server {
	s := &Server{handlers: handlers, conns: map[*serverConn]bool{}, Memory: membudget.New(membudget.Options{})}
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
		conn := &serverConn{Conn: c}
		conn.lastFrame.Store(time.Now().UnixNano())
		if !s.start(func() { s.serveConn(conn) }, conn) {
			c.Close()
			return
		}
	}
}

// start runs a goroutine that Close waits for, and registers the connection that it serves, if any. It reports whether
// it did so: not after Close.
func (s *Server) start(run func(), c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if c != nil {
		if s.MaxConns > 0 && len(s.conns) >= s.MaxConns {
			s.evictOldest()
		}
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

// evictOldest closes the connection on which no frame has come for the longest time. mu must be held.
func (s *Server) evictOldest() {
	var oldest *serverConn
	for c := range s.conns {
		if oldest == nil || c.lastFrame.Load() < oldest.lastFrame.Load() {
			oldest = c
		}
	}
	oldest.Close()
	delete(s.conns, oldest)
}

// serverConn is a connection of a caller.
type serverConn struct {
	net.Conn
	lastFrame atomic.Int64 // Unix time in nanoseconds when the last frame was complete, or the connection was accepted
	writing   sync.Mutex
}

// serveConn reads frames until the connection fails.
func (s *Server) serveConn(c *serverConn) {
	setSocketOptions(c.Conn)
	ctx, stop := context.WithCancel(s.ctx)
	defer func() {
		stop()
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, readBuffer)
	for {
		memory := &callMemory{budget: s.Memory, cost: max(1, s.BodyCost)}
		f, err := s.readCall(r, c, memory)
		if err != nil {
			memory.release()
			return
		}
		c.lastFrame.Store(time.Now().UnixNano())
		if f.kind == kindNotification {
			if handler := s.handlers[f.method]; handler != nil {
				_, _ = handler(ctx, f.body) // here, so that notifications keep their order
			}
			memory.release()
			continue
		}
		s.wg.Go(func() {
			defer memory.release()
			s.respondOn(c, s.respond(context.WithValue(ctx, callMemoryKey{}, memory), f))
		})
	}
}

// readCall reads one frame. A long body must come within longBodyTimeout, and gives way to others if the memory is
// exhausted.
func (s *Server) readCall(r *bufio.Reader, c *serverConn, memory *callMemory) (frame, error) {
	f, n, err := readHeader(r)
	if err != nil {
		return frame{}, err
	}
	if n <= shortBody {
		f.body, err = readBody(r, n, nil)
		return f, err
	}
	_ = c.SetReadDeadline(time.Now().Add(longBodyTimeout))
	memory.open(func() { c.Close() })
	if f.body, err = readBody(r, n, memory.bodyDraws(n)); err != nil {
		return frame{}, err
	}
	if !memory.account.Complete() {
		return frame{}, membudget.ErrExhausted
	}
	return f, c.SetReadDeadline(time.Time{})
}

// respondOn writes a response.
func (s *Server) respondOn(c *serverConn, response frame) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := response.writeTo(c.Conn); err != nil {
		c.Close()
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
