package proxy

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"larchrouter/internal/tier/routing"
)

const (
	readBufferSize   = 4 << 10
	lingerTimeout    = 300 * time.Millisecond // for which a rejected request is still read
	maxLingerBytes   = 1 << 20                // up to which it is
	minBodyTimeout   = 10 * time.Second       // for a body to be read, at least
	finalPeekTimeout = 5 * time.Millisecond   // of the last look for a request before an idle connection is closed
	maxLingering     = 64                     // rejected requests that are still read, at a time
)

// defaultLimits apply where the configuration sets none: sizes in bytes.
var defaultLimits = routing.Limits{
	MaxHeader:     16 << 10,
	MaxBody:       4 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// readerPool has readers of client connections, of *bufio.Reader with readBufferSize.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// client is a connection of a client. Requests on it are served one after the other by serve.
type client struct {
	server *Server
	net.Conn
	source           countingReader // reads from Conn
	reader           *bufio.Reader  // of source; owned by the watch while watching, else by serve
	watchDone        chan error     // result of the watch: nil for more bytes, else the client has disconnected
	nextArrivedAt    time.Time      // when the first byte of the next request was seen
	nextArrivedCount int64          // bytes of source by then

	watching       bool          // a watch was started whose result was not taken from watchDone
	pipelined      bool          // the next request had begun when the watch was started
	advertisedIdle time.Duration // by Keep-Alive of the last response
	acceptedAt     time.Time
	evictable      evictable // of server.evictable

	mu            sync.Mutex
	gaveWay       bool     // by giveWay: a time-out of reading is none of the client's
	inFlight      *request // being served; nil if there is none
	idle          bool     // between requests
	idleSince     time.Time
	finalPeekDone bool   // the idle time was extended by finalPeekTimeout
	watchStopped  bool   // by stopWatch: a time-out of the watch is no disconnect
	onDisconnect  func() // of the request being served; nil if there is none
	disconnected  bool
}

func newClient(s *Server, nc net.Conn) *client {
	c := &client{server: s, Conn: nc, reader: readerPool.Get().(*bufio.Reader), watchDone: make(chan error, 1),
		acceptedAt: time.Now()}
	c.source.Reader = nc
	c.reader.Reset(&c.source)
	return c
}

// serve serves the requests of the connection, one after the other, until it ends.
func (c *client) serve() {
	defer c.release()
	for c.awaitRequest() == nil {
		r := c.readRequest()
		if r == nil {
			return
		}
		c.watch()
		r.handle()
		r.releaseMemory()
		c.setOnDisconnect(nil)
		c.setInFlight(nil)
		if !r.keepAlive {
			return
		}
	}
}

// release closes the connection, waits for the watch and returns the reader to its pool.
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
	c.server.evictable.setIdle(c)
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

// beginIdle begins an idle period. The time-out is that of the configuration and no less than the last response advertised.
func (c *client) beginIdle(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.idleSince, c.finalPeekDone = true, time.Now(), false
	if c.server.draining() {
		timeout = min(timeout, drainIdleTimeout)
	}
	_ = c.SetReadDeadline(c.idleSince.Add(timeout))
}

// endIdle ends an idle period and sets the read deadline for the head of a request. It returns the time.
func (c *client) endIdle(l routing.Limits) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	now := time.Now()
	_ = c.SetReadDeadline(now.Add(l.HeaderTimeout))
	return now
}

// setInFlight sets the request being served, whose id and arrival time no longer change; nil for none.
func (c *client) setInFlight(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = r
}

// requestInFlight returns the request being served, nil if there is none.
func (c *client) requestInFlight() *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// drain begins the graceful shutdown of the connection: if idle it is closed after drainIdleTimeout, else with its next
// response (see closing).
func (c *client) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.SetReadDeadline(c.idleSince.Add(drainIdleTimeout))
	}
}

// closing reports whether the connection ends with the response being made.
func (c *client) closing() bool { return c.server.draining() }

// abort closes the connection at once, so that a partial response does not look complete.
func (c *client) abort() { c.Conn.Close() }

// reject answers a request that was not read completely and closes the connection.
func (c *client) reject(r *request, status int, text string) { c.rejectUntil(r, status, 0, text) }

// rejectUntil is reject with a Retry-After, if that is above 0. To close with unread bytes would reset the connection, which could
// destroy the response on its way; so what still comes is read for lingerTimeout, of maxLingering connections at a time, but not of one
// whose place is needed.
func (c *client) rejectUntil(r *request, status int, retryAfter time.Duration, text string) {
	r.releaseMemory()
	r.closeAfter = true
	r.respondError(status, retryAfter, text)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	if c.server.lingering.Add(1) <= maxLingering && !c.server.evictable.mustClose(c) {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c.reader, maxLingerBytes)
	}
	c.server.lingering.Add(-1)
}

// limits returns the limits of the configuration, with defaults for those it does not set. A body is no longer than the memory for
// requests has room for.
func (s *Server) limits() routing.Limits {
	l := defaultLimits
	if t := s.options.Source.Tables(); t.Config != nil {
		configured := &t.Config.Limits
		if configured.MaxHeader > 0 {
			l.MaxHeader = configured.MaxHeader
		}
		if configured.MaxBody > 0 {
			l.MaxBody = configured.MaxBody
		}
		if configured.HeaderTimeout > 0 {
			l.HeaderTimeout = configured.HeaderTimeout
		}
		if configured.IdleTimeout > 0 {
			l.IdleTimeout = configured.IdleTimeout
		}
	}
	if most := s.options.Memory.MaxDraw() - maxBodyPart; most > 0 {
		l.MaxBody = int(min(int64(l.MaxBody), most))
	}
	return l
}
