package teletype

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// The kinds of errors that a call ends in. ErrUnsent proves that the other side has not had the call.
var (
	ErrUnsent = errors.New("call not sent")
	ErrLost   = errors.New("no answer to the call")
	ErrRemote = errors.New("call refused by the other side")
)

// MaxFrame bounds one message: the largest configuration, or one turn with its history, with room to spare.
const MaxFrame = 64 << 20

const (
	kindCall = iota
	kindAnswer
	kindError
	kindNotice // a call without an answer
)

const (
	headerSize  = 4 + 1 + 1 + 8 // length of the rest, kind, method, number
	dialTime    = 600 * time.Millisecond
	deadAfter   = 1500 * time.Millisecond // unacknowledged bytes
	writeTime   = 2 * time.Second
	redialPause = 50 * time.Millisecond
)

// Method numbers a call.
type Method uint8

// Handler answers a call; an error's text goes back to the caller as ErrRemote. It runs on a goroutine of its own.
// For a notice the answer is dropped.
type Handler func(ctx context.Context, body []byte) (answer any, err error)

func frame(kind byte, m Method, number uint64, body []byte) []byte {
	b := make([]byte, headerSize+len(body))
	binary.BigEndian.PutUint32(b, uint32(headerSize-4+len(body)))
	b[4], b[5] = kind, byte(m)
	binary.BigEndian.PutUint64(b[6:], number)
	copy(b[headerSize:], body)
	return b
}

func readFrame(r *bufio.Reader) (kind byte, m Method, number uint64, body []byte, err error) {
	var h [headerSize]byte
	if _, err = io.ReadFull(r, h[:]); err != nil {
		return
	}
	n := int(binary.BigEndian.Uint32(h[:])) - (headerSize - 4)
	if n < 0 || n > MaxFrame {
		err = errors.Newf("a frame of %d bytes: the other side speaks something else", n)
		return
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return h[4], Method(h[5]), binary.BigEndian.Uint64(h[6:]), body, err
}

// tune has a connection to a machine that says nothing any more end in bounded time.
func tune(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2})
	if raw, err := t.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadAfter.Milliseconds()))
		})
	}
}

// Server takes calls.
type Server struct {
	handlers map[Method]Handler
	mu       sync.Mutex
	open     map[net.Conn]bool
	closed   bool
	wg       sync.WaitGroup
	ctx      context.Context
	stop     context.CancelFunc
}

// NewServer serves the given calls.
func NewServer(handlers map[Method]Handler) *Server {
	s := &Server{handlers: handlers, open: map[net.Conn]bool{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Serve takes connections until Close.
func (s *Server) Serve(l net.Listener) {
	s.wg.Go(func() { <-s.ctx.Done(); l.Close() })
	for {
		c, err := l.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond) // descriptors ran out for a moment
			continue
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			c.Close()
			return
		}
		s.open[c] = true
		s.mu.Unlock()
		s.wg.Go(func() { s.serve(c) })
	}
}

// Close ends all connections and waits for the handlers.
func (s *Server) Close() {
	s.stop()
	s.mu.Lock()
	s.closed = true
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) serve(c net.Conn) {
	tune(c)
	ctx, stop := context.WithCancel(s.ctx)
	var writes sync.Mutex
	defer func() {
		stop()
		c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 16<<10)
	for {
		kind, m, number, body, err := readFrame(r)
		if err != nil {
			return
		}
		h := s.handlers[m]
		if kind == kindNotice {
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
			} else {
				out = frame(kindAnswer, m, number, Encode(answer))
			}
			writes.Lock()
			defer writes.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(writeTime))
			if _, err := c.Write(out); err != nil {
				c.Close()
			}
		})
	}
}

// Client makes calls to one address, over one connection that it keeps.
type Client struct {
	addr string
	mu   sync.Mutex
	link *link
	next time.Time // no dial before it
	dial chan struct{}
}

type link struct {
	c      net.Conn
	writes sync.Mutex
	mu     sync.Mutex
	calls  map[uint64]chan result
	number uint64
	err    error
}

type result struct {
	body []byte
	err  error
}

// NewClient makes calls to an address.
func NewClient(addr string) *Client { return &Client{addr: addr, dial: make(chan struct{}, 1)} }

// Close ends the connection; calls under way end in ErrLost.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		c.link.c.Close()
	}
}

func (c *Client) get(ctx context.Context) (*link, error) {
	select { // one dials, the others wait
	case c.dial <- struct{}{}:
		defer func() { <-c.dial }()
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrUnsent)
	}
	c.mu.Lock()
	l, next := c.link, c.next
	c.mu.Unlock()
	if l != nil {
		l.mu.Lock()
		ok := l.err == nil
		l.mu.Unlock()
		if ok {
			return l, nil
		}
	}
	if time.Now().Before(next) {
		return nil, errors.Mark(errors.Newf("%s did not answer a moment ago", c.addr), ErrUnsent)
	}
	d := net.Dialer{Timeout: dialTime}
	nc, err := d.DialContext(ctx, "tcp4", c.addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.next = time.Now().Add(redialPause)
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrUnsent)
	}
	tune(nc)
	c.link = &link{c: nc, calls: map[uint64]chan result{}}
	go c.link.read()
	return c.link, nil
}

func (l *link) read() {
	r := bufio.NewReaderSize(l.c, 16<<10)
	for {
		kind, _, number, body, err := readFrame(r)
		if err != nil {
			l.fail(err)
			return
		}
		l.mu.Lock()
		ch := l.calls[number]
		delete(l.calls, number)
		l.mu.Unlock()
		if ch == nil {
			continue // its caller has gone
		}
		if kind == kindError {
			ch <- result{err: errors.Mark(errors.New(string(body)), ErrRemote)}
		} else {
			ch <- result{body: body}
		}
	}
}

func (l *link) fail(err error) {
	l.c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = err
	}
	for n, ch := range l.calls {
		delete(l.calls, n)
		ch <- result{err: errors.Mark(l.err, ErrLost)}
	}
}

func (l *link) write(kind byte, m Method, number uint64, body []byte, until time.Time) error {
	l.writes.Lock()
	defer l.writes.Unlock()
	most := time.Now().Add(writeTime)
	if !until.IsZero() && until.Before(most) {
		most = until.Add(100 * time.Millisecond)
	}
	_ = l.c.SetWriteDeadline(most)
	_, err := l.c.Write(frame(kind, m, number, body))
	if err != nil {
		l.fail(err) // part of it may have gone: the connection is of no use
	}
	return err
}

// Call makes one call and reads its answer into answer (a pointer to a struct, or nil).
func (c *Client) Call(ctx context.Context, m Method, body, answer any) error {
	l, err := c.get(ctx)
	if err != nil {
		return err
	}
	ch := make(chan result, 1)
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return errors.Mark(l.err, ErrUnsent)
	}
	l.number++
	number := l.number
	l.calls[number] = ch
	l.mu.Unlock()
	until, _ := ctx.Deadline()
	if err := l.write(kindCall, m, number, Encode(body), until); err != nil {
		return errors.Mark(err, ErrLost)
	}
	select {
	case r := <-ch:
		if r.err != nil || answer == nil {
			return r.err
		}
		return Decode(r.body, answer)
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.calls, number)
		l.mu.Unlock()
		return errors.Mark(ctx.Err(), ErrLost)
	}
}

// Notify sends a notice. It may be lost; notices that arrive are handled in their order.
func (c *Client) Notify(ctx context.Context, m Method, body any) error {
	l, err := c.get(ctx)
	if err != nil {
		return err
	}
	until, _ := ctx.Deadline()
	return l.write(kindNotice, m, 0, Encode(body), until)
}

// Clients keeps one Client for each address.
type Clients struct {
	mu  sync.Mutex
	all map[string]*Client
}

// To gives the client of an address.
func (c *Clients) To(addr string) *Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[string]*Client{}
	}
	if c.all[addr] == nil {
		c.all[addr] = NewClient(addr)
	}
	return c.all[addr]
}

// Close ends all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range c.all {
		one.Close()
	}
}
