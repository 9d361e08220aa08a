package upstream

import (
	"bufio"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Host is one incarnation. Its connections are its own: another at the same address gets none of them.
type Host struct {
	ID        string
	Addr      string
	connLimit atomic.Int32
	disabled  atomic.Bool
	dial      Dial

	mu   sync.Mutex
	open int
	idle []*conn // the one used last at the end
}

// NewHost is a host with so many connections from here at most.
func NewHost(id, addr string, limit int) *Host { return NewHostWithDial(dial, id, addr, limit) }

// NewHostWithDial is one whose connections are made in another way than by TCP.
func NewHostWithDial(dial Dial, id, addr string, limit int) *Host {
	h := &Host{ID: id, Addr: addr, dial: dial}
	h.SetConnLimit(limit)
	return h
}

// SetConnLimit bounds the connections.
func (h *Host) SetConnLimit(limit int) { h.connLimit.Store(int32(max(1, limit))) }

// SetDisabled has nothing new go there from now on, and closes the idle connections; or has it go again. It binds calls
// that wait for their connection as well.
func (h *Host) SetDisabled(closed bool) {
	h.disabled.Store(closed)
	if closed {
		h.CloseIdleConns()
	}
}

// CloseIdleConns closes the idle connections.
func (h *Host) CloseIdleConns() {
	for c := h.takeIdle(); c != nil; c = h.takeIdle() {
		c.discard()
	}
}

// CloseExpiredConns closes connections that have been idle for too long to be used.
func (h *Host) CloseExpiredConns(now time.Time) {
	h.mu.Lock()
	var old []*conn
	keep := h.idle[:0]
	for _, c := range h.idle {
		if now.Sub(c.idleSince) < c.idleLimit {
			keep = append(keep, c)
		} else {
			old = append(old, c)
		}
	}
	clear(h.idle[len(keep):])
	h.idle = keep
	h.mu.Unlock()
	for _, c := range old {
		c.discard()
	}
}

// OpenConns is how many connections are open or coming up.
func (h *Host) OpenConns() int { h.mu.Lock(); defer h.mu.Unlock(); return h.open }

func (h *Host) takeIdle() *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.idle)
	if n == 0 {
		return nil
	}
	c := h.idle[n-1]
	h.idle[n-1] = nil
	h.idle = h.idle[:n-1]
	return c
}

// acquire returns a kept connection, or a new one.
func (h *Host) acquire(preferNew bool, until time.Time) (*conn, error) {
	for {
		if h.disabled.Load() {
			return nil, ErrHostDisabled
		}
		c := h.takeIdle()
		if c == nil {
			break
		}
		age, life := time.Since(c.idleSince), c.idleLimit
		if age >= life || !c.nothingReceived() {
			c.discard()
			continue
		}
		if preferNew {
			if life /= 2; !c.idleLimitAdvertised {
				life = preferNewAfter
			}
			if age >= life && h.putBack(c) {
				break // it is for others: a new one
			}
		}
		c.reused = true
		return c, nil
	}
	h.mu.Lock()
	if h.open >= int(h.connLimit.Load()) {
		h.mu.Unlock()
		return nil, ErrConnectionLimit
	}
	h.open++
	h.mu.Unlock()
	within := min(dialTimeout, time.Until(until))
	if within <= 0 {
		h.connFailed()
		return nil, ErrDeadline
	}
	nc, err := h.dial(h.Addr, within)
	if err != nil {
		h.connFailed()
		for _, own := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
			if errors.Is(err, own) {
				return nil, errors.Mark(err, ErrConnectionLimit)
			}
		}
		if within < dialTimeout && isTimeout(err) { // for a while that says nothing about the host
			return nil, errors.Mark(err, ErrDeadline)
		}
		return nil, errors.Mark(err, ErrConnect)
	}
	c := &conn{Conn: nc, host: h}
	c.limitedReader.R = nc
	c.reader = readerPool.Get().(*bufio.Reader)
	c.reader.Reset(&c.limitedReader)
	return c, nil
}

// putBack puts an idle connection back where there is room for a new one.
func (h *Host) putBack(c *conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open >= int(h.connLimit.Load()) || h.disabled.Load() {
		return false
	}
	h.idle = append(h.idle, c)
	return true
}

func (h *Host) connFailed() { h.mu.Lock(); h.open--; h.mu.Unlock() }

// keepIdle keeps a connection whose answer was read whole, with nothing behind it.
func (h *Host) keepIdle(c *conn) {
	if c.SetDeadline(time.Time{}) != nil || h.disabled.Load() {
		c.discard()
		return
	}
	c.idleSince = time.Now()
	h.mu.Lock()
	h.idle = append(h.idle, c)
	h.mu.Unlock()
	if h.disabled.Load() { // closed meanwhile
		h.SetDisabled(true)
	}
}
