package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"larchrouter/internal/tier/routing"
)

// client is one connection of a client: requests on it are served one after the other.
type client struct {
	server *Server
	net.Conn
	source           countingReader // below in
	reader           *bufio.Reader
	watchDone        chan error // what the watch beside a request ended with: nil for more bytes, else the client has gone
	nextArrivedAt    time.Time  // when the first byte of the next request was seen
	nextArrivedCount int64      // bytes that had come by then

	watching       bool          // beside the request that is served
	pipelined      bool          // the next request had begun when that was read
	advertisedIdle time.Duration // with the last answer

	mu            sync.Mutex
	idle          bool
	idleSince     time.Time // idle
	finalPeekDone bool      // once more, at the end of its idle time
	watchStopped  bool      // the watch, since the request is over
	onDisconnect  func()    // of the request under way
	disconnected  bool
}

const (
	readBufferSize   = 4 << 10
	lingerTimeout    = 300 * time.Millisecond
	minBodyTimeout   = 10 * time.Second     // for a body to come, at least
	finalPeekTimeout = 5 * time.Millisecond // at what has come, before an idle connection is closed
)

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

func newClient(s *Server, nc net.Conn) *client {
	c := &client{server: s, Conn: nc, reader: readerPool.Get().(*bufio.Reader), watchDone: make(chan error, 1)}
	c.source.Reader = nc
	c.reader.Reset(&c.source)
	return c
}

func (s *Server) limits() routing.Limits {
	l := defaultLimits
	if t := s.options.Source.Tables(); t.Config != nil {
		for _, one := range []struct{ to, from *int }{{&l.MaxHeader, &t.Config.Limits.MaxHeader}, {&l.MaxBody, &t.Config.Limits.MaxBody}} {
			if *one.from > 0 {
				*one.to = *one.from
			}
		}
		if d := t.Config.Limits.HeaderTimeout; d > 0 {
			l.HeaderTimeout = d
		}
		if d := t.Config.Limits.IdleTimeout; d > 0 {
			l.IdleTimeout = d
		}
	}
	return l
}

// drain closes a connection that has been idle for a while; others at their next answer.
func (c *client) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.SetReadDeadline(c.idleSince.Add(drainIdleTimeout))
	}
}

// abort ends the connection at once, so that nothing on it looks complete.
func (c *client) abort() { c.Conn.Close() }

// beginIdle begins an idle time: that of the configuration, and no less than the client was told with its last answer.
func (c *client) beginIdle(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince, c.finalPeekDone = true, time.Now(), false
	if c.server.draining.Load() {
		idle = min(idle, drainIdleTimeout)
	}
	_ = c.SetReadDeadline(c.idleSince.Add(idle))
}

func (c *client) endIdle(l routing.Limits) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	now := time.Now()
	_ = c.SetReadDeadline(now.Add(l.HeaderTimeout))
	return now
}

// serve serves the requests that come, one after the other, until the connection ends.
func (c *client) serve() {
	defer c.release()
	for c.awaitRequest() == nil {
		r := c.readRequest()
		if r == nil {
			return
		}
		c.watch()
		r.handle()
		c.setOnDisconnect(nil)
		if !r.keepAlive {
			return
		}
	}
}

// release closes the connection and gives its reader back.
func (c *client) release() {
	c.Conn.Close()
	if c.watching {
		<-c.watchDone
	}
	c.server.clientClosed(c)
	c.reader.Reset(nil)
	if c.reader.Size() == readBufferSize {
		readerPool.Put(c.reader)
	}
}

// awaitRequest waits for the first byte of the next request.
func (c *client) awaitRequest() error {
	if c.watching && c.pipelined {
		if err := c.stopWatch(); err != nil {
			return err
		}
	}
	c.beginIdle(max(c.advertisedIdle, c.server.limits().IdleTimeout))
	if c.watching {
		c.watching = false
		if err := <-c.watchDone; err != nil {
			return err
		}
	}
	if err := c.awaitBytes(1); err != nil {
		return err
	}
	c.markArrival()
	return nil
}

// reject answers a request that was not read whole, and ends the connection. Closing with unread bytes would reset it
// and could take the answer away, so that what still comes is read for a moment.
func (c *client) reject(rq *request, status int, text string) {
	rq.closeAfter = true
	rq.respondError(status, 0, text)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.reader, 1<<20)
}

// closing tells whether this connection ends with the answer under way.
func (c *client) closing() bool { return c.server.draining.Load() }

// appendStatusLine begins an answer.
func appendStatusLine(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, "\r\n"...)
}
