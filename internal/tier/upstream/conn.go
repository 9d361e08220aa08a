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

// conn is a connection to a host.
type conn struct {
	net.Conn
	raw                 syscall.RawConn // made with its second use
	host                *Host
	limitedReader       io.LimitedReader // bounds what in reads
	reader              *bufio.Reader
	reused              bool // from an earlier call
	sentHead            bool // a HEAD request went out on it
	idleSince           time.Time
	idleLimit           time.Duration // that it may be idle
	idleLimitAdvertised bool          // by its host
	closeOnce           sync.Once
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		_ = c.Conn.Close()
		c.host.mu.Lock()
		c.host.open--
		c.host.mu.Unlock()
	})
}

// discard closes the connection; its reader is not used any more.
func (c *conn) discard() {
	c.close()
	if c.reader != nil {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
}

// nothingReceived tells whether nothing has come on an idle connection: neither its end, nor bytes that would pass for the next
// answer.
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
