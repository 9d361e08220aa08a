package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"larchrouter/internal/peek"
)

const (
	maxHeaderBytes      = 32 << 10 // of a response
	maxBodyBytes        = 64 << 10 // of a response
	maxInterimResponses = 8        // responses with status 1xx ahead of the final one, which is counted as well

	// responseReadTimeout bounds the time from a response's first byte to its last.
	responseReadTimeout = 200 * time.Millisecond
)

// hostConn is a connection to a host. It belongs to one call, or is idle in the pool.
type hostConn struct {
	net.Conn
	pool          *Pool
	host          *Host
	limit         io.LimitedReader // bounds what reader takes from the connection for one response
	reader        *bufio.Reader
	reused        bool          // has carried an earlier call
	dialTime      time.Duration // a round trip at least
	unbindContext func() bool   // from the context of its call
	closeOnce     sync.Once

	idleSince      time.Time
	idleTimer      *time.Timer   // closes the connection after the pool's idle time-out
	idleBeforeCall time.Duration // how long it was idle before its current call
}

// recordUse records how a call on a reused connection ended: reset without a response, or not.
func (c *hostConn) recordUse(reset bool) {
	if c.reused {
		c.pool.mu.Lock()
		c.pool.idleTrust.record(c.idleBeforeCall, reset, time.Now())
		c.pool.mu.Unlock()
	}
}

// bindContext has the connection closed when the context ends, which aborts the call on it.
func (c *hostConn) bindContext(ctx context.Context) {
	c.unbindContext = context.AfterFunc(ctx, c.closeIgnoringError)
}

func (c *hostConn) closeIgnoringError() { c.Close() }

// Close closes the connection and removes it from the pool's count. Further calls do nothing.
func (c *hostConn) Close() (err error) {
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.pool.mu.Lock()
		c.pool.open--
		c.pool.mu.Unlock()
	})
	return err
}

// quiet reports whether nothing has arrived on an idle connection: neither its end, nor bytes that would be
// taken for the next response.
func (c *hostConn) quiet() bool {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	return peek.Quiet(raw)
}

// response is what was read of the response to one call, up to the point where reading ended or failed.
type response struct {
	started    bool      // at least one byte was read
	status     int       // of the final status line; 0 if none could be read
	receivedAt time.Time // when the first byte was read
	header     http.Header
	retryAfter time.Duration // time for which the host asks for no calls; 0 if it does not
	body       []byte
	complete   bool // header and body were read to their end
	// trailingGarbage means that bytes follow that do not begin another response, so that this one cannot be
	// trusted either.
	trailingGarbage bool
	reusable        bool // complete, nothing follows, and the host keeps the connection open
}

// readResponse reads the response to a call, skipping interim ones. However reading ends, it returns what was
// read until then.
func (c *hostConn) readResponse() (resp response) {
	for range maxInterimResponses {
		c.limit.N = maxHeaderBytes
		if _, err := c.reader.Peek(1); err != nil {
			return resp
		}
		resp.started, resp.receivedAt = true, time.Now()
		c.SetReadDeadline(resp.receivedAt.Add(responseReadTimeout))
		resp.status = peek.Status(peek.FirstLine(c.reader))
		if resp.status == 0 {
			return resp
		}
		parsed, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return resp
		}
		if resp.status/100 == 1 {
			resp.status = 0
			c.SetReadDeadline(time.Time{})
			continue
		}
		c.readBody(&resp, parsed)
		return resp
	}
	return resp
}

// readBody reads the rest of a response whose header has been parsed, and looks at what follows it.
func (c *hostConn) readBody(resp *response, parsed *http.Response) {
	c.limit.N = maxBodyBytes + maxHeaderBytes
	resp.header = parsed.Header
	if resp.retryAfter = retryAfter(resp.header); resp.retryAfter > 0 {
		c.host.waits().Tell(resp.retryAfter)
	}
	var err error
	resp.body, err = io.ReadAll(io.LimitReader(parsed.Body, maxBodyBytes+1))
	resp.complete = err == nil && len(resp.body) <= maxBodyBytes
	surplus, _ := c.reader.Peek(c.reader.Buffered())
	resp.trailingGarbage = len(surplus) > 0 && !bytes.HasPrefix(surplus, []byte("HTTP/1."))
	resp.reusable = resp.complete && !parsed.Close && len(surplus) == 0
}
