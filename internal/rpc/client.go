package rpc

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Client makes calls to one address, over one connection that it keeps.
type Client struct {
	addr     string
	dialFunc DialFunc
	mu       sync.Mutex
	conn     *clientConn
	nextDial time.Time // no dial before it
	dialing  chan struct{}
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

type clientConn struct {
	socket     net.Conn
	writing    chan struct{} // held by the one that writes
	mu         sync.Mutex
	pending    map[uint64]chan reply
	lastNumber uint64
	err        error
}

type reply struct {
	body []byte
	err  error
}

// DialFunc opens a connection to an address, within the context's time.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// dialTCP is the DialFunc where none is given.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", addr)
}

// NewClient makes calls to an address.
func NewClient(addr string) *Client { return newClient(addr, dialTCP) }

func newClient(addr string, open DialFunc) *Client {
	c := &Client{addr: addr, dialFunc: open, dialing: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close ends the connection for good; calls under way end in ErrLost, later ones in ErrUnsent.
func (c *Client) Close() {
	c.mu.Lock()
	c.cancel()
	if c.conn != nil {
		c.conn.socket.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

func (c *Client) connection(ctx context.Context) (*clientConn, error) {
	if ctx.Err() != nil {
		return nil, errors.Mark(ctx.Err(), ErrUnsent)
	}
	select { // one dials, the others wait
	case c.dialing <- struct{}{}:
		defer func() { <-c.dialing }()
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrUnsent)
	}
	c.mu.Lock()
	l, next := c.conn, c.nextDial
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
		return nil, errors.Mark(errors.Newf("%s did not answer a moment ago: try again in %v", c.addr, redialBackoff), ErrUnsent)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	nc, err := c.dialFunc(ctx, c.addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		if err == nil {
			nc.Close()
		}
		return nil, errors.Mark(errors.Newf("the client of %s is closed: make another one", c.addr), ErrUnsent)
	}
	if err != nil {
		c.nextDial = time.Now().Add(redialBackoff)
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrUnsent)
	}
	setSocketOptions(nc)
	l = &clientConn{socket: nc, writing: make(chan struct{}, 1), pending: map[uint64]chan reply{}}
	c.conn = l
	c.wg.Go(l.readReplies)
	return l, nil
}

func (l *clientConn) readReplies() {
	r := bufio.NewReaderSize(l.socket, 16<<10)
	for {
		kind, _, number, body, err := readFrame(r)
		if err != nil {
			l.fail(err)
			return
		}
		l.mu.Lock()
		ch := l.pending[number]
		delete(l.pending, number)
		l.mu.Unlock()
		if ch == nil {
			continue // its caller has gone
		}
		if kind == kindError {
			ch <- reply{err: errors.Mark(errors.New(string(body)), ErrRemote)}
		} else {
			ch <- reply{body: body}
		}
	}
}

func (l *clientConn) fail(err error) {
	l.socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = err
	}
	for n, ch := range l.pending {
		delete(l.pending, n)
		ch <- reply{err: errors.Mark(l.err, ErrLost)}
	}
}

// write sends one frame. Its error is ErrUnsent if nothing of it has gone, else ErrLost.
func (l *clientConn) write(ctx context.Context, kind byte, m Method, number uint64, body []byte) error {
	if len(body) > MaxFrame {
		return errors.Mark(errors.Newf("a call of %d bytes: send at most %d", len(body), MaxFrame), ErrUnsent)
	}
	select {
	case l.writing <- struct{}{}:
		defer func() { <-l.writing }()
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrUnsent)
	}
	until := time.Now().Add(writeTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(until) {
		until = d.Add(writeGrace)
	}
	_ = l.socket.SetWriteDeadline(until)
	n, err := l.socket.Write(frame(kind, m, number, body))
	if err == nil {
		return nil
	}
	l.fail(err) // part of it may have gone: the connection is of no use
	if n == 0 {
		return errors.Mark(err, ErrUnsent)
	}
	return errors.Mark(err, ErrLost)
}

// Call makes one call and reads its answer into answer (a pointer to a struct, or nil).
func (c *Client) Call(ctx context.Context, m Method, body, answer any) error {
	l, err := c.connection(ctx)
	if err != nil {
		return err
	}
	ch := make(chan reply, 1)
	l.mu.Lock()
	if l.err != nil {
		l.mu.Unlock()
		return errors.Mark(l.err, ErrUnsent)
	}
	l.lastNumber++
	number := l.lastNumber
	l.pending[number] = ch
	l.mu.Unlock()
	if err := l.write(ctx, kindCall, m, number, Encode(body)); err != nil {
		l.remove(number)
		return err
	}
	select {
	case r := <-ch:
		if r.err != nil || answer == nil {
			return r.err
		}
		if err := Decode(r.body, answer); err != nil {
			return errors.Mark(err, ErrLost)
		}
		return nil
	case <-ctx.Done():
		l.remove(number)
		return errors.Mark(ctx.Err(), ErrLost)
	}
}

func (l *clientConn) remove(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, number)
}

// Notify sends a notice. It may be lost; notices that arrive are handled in their order.
func (c *Client) Notify(ctx context.Context, m Method, body any) error {
	l, err := c.connection(ctx)
	if err != nil {
		return err
	}
	return l.write(ctx, kindNotification, m, 0, Encode(body))
}
