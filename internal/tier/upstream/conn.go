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
	raw       syscall.RawConn // made with its second use
	host      *Host
	bound     io.LimitedReader // bounds what in reads
	in        *bufio.Reader
	kept      bool // from an earlier call
	sentHead  bool // a HEAD request went out on it
	idleSince time.Time
	idleLimit time.Duration // that it may be idle
	limitTold bool          // by its host
	once      sync.Once
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

func (c *conn) close() {
	c.once.Do(func() {
		_ = c.Conn.Close()
		c.host.mu.Lock()
		c.host.open--
		c.host.mu.Unlock()
	})
}

// release closes the connection; its reader is not used any more.
func (c *conn) release() {
	c.close()
	if c.in != nil {
		c.in.Reset(nil)
		readers.Put(c.in)
		c.in = nil
	}
}

// quiet tells whether nothing has come on an idle connection: neither its end, nor bytes that would pass for the next
// answer.
func (c *conn) quiet() bool {
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
