package upstream

import (
	"bufio"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"larchrouter/internal/peek"
)

// conn is a connection to a host. It belongs to one call at a time, or is in Host.idle.
type conn struct {
	net.Conn
	raw                 syscall.RawConn // of Conn; set with the second use
	host                *Host
	limitedReader       io.LimitedReader // of Conn; bounds the heads that reader reads
	reader              *bufio.Reader    // of limitedReader; nil once discarded
	reused              bool             // used by an earlier call
	sentHead            bool             // some request on it was HEAD
	sent                sentRequests     // all requests on it
	idleSince           time.Time
	idleLimit           time.Duration // for which it may be idle and still be used
	idleLimitAdvertised bool          // idleLimit is by the host's Keep-Alive
	closeOnce           sync.Once
}

// readerPool has readers of connections, of *bufio.Reader.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// close closes the connection. It may be called from any goroutine and more than once.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Conn.Close()
		c.host.mu.Lock()
		c.host.open--
		c.host.mu.Unlock()
	})
}

// discard closes the connection and returns its reader to the pool. Only the owner of the connection may call it.
func (c *conn) discard() {
	c.close()
	if c.reader != nil {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
}

// usableFor reports whether an idle connection is young enough for a call; a call that prefers a new connection asks for a
// younger one.
func (c *conn) usableFor(preferNew bool, now time.Time) bool {
	limit := c.idleLimit
	switch {
	case preferNew && c.idleLimitAdvertised:
		limit /= 2
	case preferNew:
		limit = min(limit, preferNewAfter)
	}
	return now.Sub(c.idleSince) < limit
}

// nothingReceived reports whether an idle connection is usable: neither its end was received, nor bytes that would be taken
// for the next response.
func (c *conn) nothingReceived() bool {
	if c.raw == nil {
		sys, ok := c.Conn.(syscall.Conn)
		if !ok {
			return false
		}
		raw, err := sys.SyscallConn()
		if err != nil {
			return false
		}
		c.raw = raw
	}
	return peek.Quiet(c.raw)
}
