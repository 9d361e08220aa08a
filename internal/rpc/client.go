package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout   = 600 * time.Millisecond
	redialBackoff = 50 * time.Millisecond // after a dial that failed
)

// Client makes calls to one address, over one connection that it keeps. It is safe for concurrent use.
type Client struct {
	addr     string
	dialFunc DialFunc
	// redialInterval is the time after which a dial that has not ended is made once more.
	redialInterval time.Duration

	dialing   chan struct{}      // has one element while a caller looks for the connection or dials
	reachable chan struct{}      // has one element after NoteReachable, until a dial that is under way takes it
	ctx       context.Context    // ends with Close
	cancel    context.CancelFunc // under mu
	wg        sync.WaitGroup     // readers of connections

	mu       sync.Mutex
	conn     *clientConn // the last one, which may have failed; nil before the first
	nextDial time.Time   // no dial before it
}

// NewClient returns a client for an address HOST:PORT. It connects with the first call.
func NewClient(addr string) *Client { return newClient(addr, dialTCP) }

func newClient(addr string, dial DialFunc) *Client {
	c := &Client{addr: addr, dialFunc: dial, redialInterval: redialInterval, dialing: make(chan struct{}, 1), reachable: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// NoteReachable records that the client's address was heard from just now: a dial that hangs is made once more at once. It does
// nothing while no dial is under way, and never blocks.
func (c *Client) NoteReachable() {
	if len(c.dialing) == 0 {
		return
	}
	select {
	case c.reachable <- struct{}{}:
	default:
	}
}

// Close closes the connection for good. Calls in flight end in ErrLost, later ones in ErrUnsent.
func (c *Client) Close() {
	c.mu.Lock()
	c.cancel()
	if c.conn != nil {
		c.conn.socket.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// Call makes a call with a request, which is a struct, a pointer to one, or nil. It decodes the response into the struct that
// response points to; nil drops it. An error is of one of the classes ErrUnsent, ErrLost and ErrRemote.
func (c *Client) Call(ctx context.Context, m Method, request, response any) error {
	conn, err := c.connection(ctx)
	if err != nil {
		return err
	}
	number, replies, err := conn.add()
	if err != nil {
		return err
	}
	if err := conn.write(ctx, frame{kindCall, m, number, Encode(request)}); err != nil {
		conn.remove(number)
		return err
	}
	select {
	case r := <-replies:
		if r.err != nil || response == nil {
			return r.err
		}
		if err := Decode(r.body, response); err != nil {
			return errors.Mark(err, ErrLost)
		}
		return nil
	case <-ctx.Done():
		conn.remove(number)
		return errors.Mark(ctx.Err(), ErrLost)
	}
}

// Notify sends a notification: a call without a response. It may be lost even if Notify returns nil; those that arrive
// over one connection are handled in the order in which they were sent.
func (c *Client) Notify(ctx context.Context, m Method, body any) error {
	conn, err := c.connection(ctx)
	if err != nil {
		return err
	}
	return conn.write(ctx, frame{kindNotification, m, 0, Encode(body)})
}

// connection returns a connection that has not failed yet; it dials where there is none. One caller at a time does so,
// the others wait for it. Its errors are ErrUnsent.
func (c *Client) connection(ctx context.Context) (*clientConn, error) {
	if ctx.Err() != nil {
		return nil, errors.Mark(ctx.Err(), ErrUnsent)
	}
	select {
	case c.dialing <- struct{}{}:
		defer func() { <-c.dialing }()
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrUnsent)
	}
	c.mu.Lock()
	conn, nextDial := c.conn, c.nextDial
	c.mu.Unlock()
	if conn != nil && conn.usable() {
		return conn, nil
	}
	if time.Now().Before(nextDial) {
		return nil, errors.Mark(errors.Newf("%s did not answer a moment ago: try again in %v", c.addr, redialBackoff), ErrUnsent)
	}
	return c.connect(ctx)
}

// connect dials and puts the new connection in place of the last one.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	select {
	case <-c.reachable: // a note from before this dial
	default:
	}
	socket, err := dialOverlapping(ctx, c.dialFunc, c.addr, c.redialInterval, c.reachable)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		if err == nil {
			socket.Close()
		}
		return nil, errors.Mark(errors.Newf("the client of %s is closed: make another one", c.addr), ErrUnsent)
	}
	if err != nil {
		c.nextDial = time.Now().Add(redialBackoff)
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrUnsent)
	}
	setSocketOptions(socket)
	c.conn = newClientConn(socket)
	c.wg.Go(c.conn.readReplies)
	return c.conn, nil
}
