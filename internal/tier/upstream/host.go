package upstream

import (
	"bufio"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Host is one incarnation of a host with its connections. It is safe for concurrent use.
type Host struct {
	ID        string
	Addr      string
	connLimit atomic.Int32
	disabled  atomic.Bool
	dial      Dial

	mu   sync.Mutex
	open int     // connections that are open or being dialled
	idle []*conn // the one used last at the end
}

// NewHost returns a host with at most connLimit connections, by TCP.
func NewHost(id, addr string, connLimit int) *Host {
	return NewHostWithDial(dial, id, addr, connLimit)
}

// NewHostWithDial returns a host whose connections are made by dial.
func NewHostWithDial(dial Dial, id, addr string, connLimit int) *Host {
	h := &Host{ID: id, Addr: addr, dial: dial}
	h.SetConnLimit(connLimit)
	return h
}

// SetConnLimit sets the number of connections, at most; no less than 1. Open connections stay.
func (h *Host) SetConnLimit(connLimit int) { h.connLimit.Store(int32(max(1, connLimit))) }

// SetDisabled disables or enables the host. A disabled host gets no new calls, also not on connections that are being dialled;
// its idle connections are closed, others with the end of their call.
func (h *Host) SetDisabled(disabled bool) {
	h.disabled.Store(disabled)
	if disabled {
		h.CloseIdleConns()
	}
}

// CloseIdleConns closes the idle connections.
func (h *Host) CloseIdleConns() {
	for h.discardIdle() {
	}
}

// CloseExpiredConns closes connections that have been idle for too long to be used.
func (h *Host) CloseExpiredConns(now time.Time) {
	h.mu.Lock()
	var expired []*conn
	keep := h.idle[:0]
	for _, c := range h.idle {
		if now.Sub(c.idleSince) < c.idleLimit {
			keep = append(keep, c)
		} else {
			expired = append(expired, c)
		}
	}
	clear(h.idle[len(keep):])
	h.idle = keep
	h.mu.Unlock()
	for _, c := range expired {
		c.discard()
	}
}

// OpenConns returns the number of connections that are open or being dialled.
func (h *Host) OpenConns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// takeIdle takes the idle connection that was used last, of those that are eligible; nil for none.
func (h *Host) takeIdle(eligible func(c *conn) bool) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, c := range slices.Backward(h.idle) {
		if eligible(c) {
			h.idle = slices.Delete(h.idle, i, i+1)
			return c
		}
	}
	return nil
}

// discardIdle closes an idle connection, and reports whether there was one.
func (h *Host) discardIdle() bool {
	c := h.takeIdle(func(*conn) bool { return true })
	if c != nil {
		c.discard()
	}
	return c != nil
}

// acquire returns an idle connection, on which the request was not sent before, or else a new one. Errors are marked with
// their kind.
func (h *Host) acquire(r *Request, deadline time.Time) (*conn, error) {
	hash := hashOfID(r.ID)
	for {
		if h.disabled.Load() {
			return nil, ErrHostDisabled
		}
		conn := h.takeIdle(func(c *conn) bool { return !c.sent.has(hash) })
		if conn == nil {
			break
		}
		now := time.Now()
		if !conn.usableFor(false, now) || !conn.nothingReceived() {
			conn.discard()
			continue
		}
		if r.PreferNewConn && !conn.usableFor(true, now) && h.putBack(conn) {
			break // left for other calls
		}
		conn.reused = true
		return conn, nil
	}
	for {
		conn, err := h.connect(deadline)
		if !errors.Is(err, ErrConnectionLimit) || !h.discardIdle() {
			return conn, err
		}
	}
}

// HasIdle reports whether a call would go out on an idle connection, judged by its age alone.
func (h *Host) HasIdle(preferNew bool, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.idle)
	return n > 0 && h.idle[n-1].usableFor(preferNew, now)
}

// connect returns a new connection.
func (h *Host) connect(deadline time.Time) (*conn, error) {
	h.mu.Lock()
	if h.open >= int(h.connLimit.Load()) {
		h.mu.Unlock()
		return nil, ErrConnectionLimit
	}
	h.open++
	h.mu.Unlock()
	timeout := min(dialTimeout, time.Until(deadline))
	if timeout <= 0 {
		h.connFailed()
		return nil, ErrDeadline
	}
	nc, err := h.dial(h.Addr, timeout)
	if err != nil {
		h.connFailed()
		return nil, dialError(err, timeout)
	}
	conn := &conn{Conn: nc, host: h}
	conn.limitedReader.R = nc
	conn.reader = readerPool.Get().(*bufio.Reader)
	conn.reader.Reset(&conn.limitedReader)
	return conn, nil
}

// connFailed uncounts a connection that was not made.
func (h *Host) connFailed() {
	h.mu.Lock()
	h.open--
	h.mu.Unlock()
}

// putBack puts a connection that takeIdle returned back, if a new one may be made instead. It reports whether it did.
func (h *Host) putBack(c *conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open >= int(h.connLimit.Load()) || h.disabled.Load() {
		return false
	}
	h.idle = append(h.idle, c)
	return true
}

// keepIdle keeps a connection whose response was read to its end, with no bytes behind it.
func (h *Host) keepIdle(c *conn) {
	if c.SetDeadline(time.Time{}) != nil || h.disabled.Load() {
		c.discard()
		return
	}
	c.idleSince = time.Now()
	h.mu.Lock()
	h.idle = append(h.idle, c)
	h.mu.Unlock()
	if h.disabled.Load() { // since the look above: SetDisabled may have missed the connection
		h.SetDisabled(true)
	}
}
