package rpc

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// writeGrace is how long a write may last past the deadline of its call: a write that is given up closes the connection
// for all calls.
const writeGrace = 100 * time.Millisecond

// clientConn is one connection of a Client. Once it has failed it stays so.
type clientConn struct {
	socket  net.Conn
	writing chan struct{} // has one element while a frame is written

	mu         sync.Mutex
	pending    map[uint64]chan reply // calls without a reply, by number; each channel has room for one
	lastNumber uint64
	err        error // why the connection failed; nil before
}

// reply is how a call ends: a body, or an error with its class.
type reply struct {
	body []byte
	err  error
}

func newClientConn(socket net.Conn) *clientConn {
	return &clientConn{socket: socket, writing: make(chan struct{}, 1), pending: map[uint64]chan reply{}}
}

// usable reports whether the connection has not failed yet.
func (c *clientConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil
}

// add registers a call and returns its number and the channel on which its reply comes.
func (c *clientConn) add() (number uint64, replies <-chan reply, err error) {
	ch := make(chan reply, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, nil, errors.Mark(c.err, ErrUnsent)
	}
	c.lastNumber++
	c.pending[c.lastNumber] = ch
	return c.lastNumber, ch, nil
}

// remove drops a call whose caller does not wait any more.
func (c *clientConn) remove(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}

// readReplies passes replies to their callers until the connection fails.
func (c *clientConn) readReplies() {
	r := bufio.NewReaderSize(c.socket, readBuffer)
	for {
		f, err := readFrame(r)
		if err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		ch := c.pending[f.number]
		delete(c.pending, f.number)
		c.mu.Unlock()
		if ch == nil {
			continue // its caller does not wait any more
		}
		if f.kind == kindError {
			ch <- reply{err: remoteError(string(f.body))}
		} else {
			ch <- reply{body: f.body}
		}
	}
}

// remoteError returns the error that a server returned.
func remoteError(text string) error {
	err := errors.Mark(errors.New(text), ErrRemote)
	if text == unknownMethodText {
		err = errors.Mark(err, ErrUnknownMethod)
	}
	return err
}

// fail closes the connection; calls without a reply end in ErrLost.
func (c *clientConn) fail(err error) {
	c.socket.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	for number, ch := range c.pending {
		delete(c.pending, number)
		ch <- reply{err: errors.Mark(c.err, ErrLost)}
	}
}

// write sends one frame. Its error is ErrUnsent if no byte of it was sent, else ErrLost.
func (c *clientConn) write(ctx context.Context, f frame) error {
	if len(f.body) > MaxFrame {
		return errors.Mark(errors.Newf("a call of %d bytes: send at most %d", len(f.body), MaxFrame), ErrUnsent)
	}
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), ErrUnsent)
	}
	deadline := time.Now().Add(writeTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d.Add(writeGrace)
	}
	_ = c.socket.SetWriteDeadline(deadline)
	n, err := f.writeTo(c.socket)
	if err == nil {
		return nil
	}
	c.fail(err) // a frame that was sent in part ends the connection
	if n == 0 {
		return errors.Mark(err, ErrUnsent)
	}
	return errors.Mark(err, ErrLost)
}
