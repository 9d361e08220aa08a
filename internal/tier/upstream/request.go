package upstream

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a request to a host.
type Request struct {
	Method string
	URI    string      // path and query as the client sent them
	Host   string      // of the Host field
	ID     string      // X-Attempt-Id; a response has to have the same
	Header http.Header // hop-by-hop fields are not sent
	Body   [][]byte    // in parts, sent one after the other
	// Deadline of the request. What is left until then when it is written is sent as X-Time-Left-Ms.
	Deadline time.Time
	// PreferNewConn prefers a new connection to one that the host may be about to close: idle for more than half of its
	// limit, or preferNewAfter if the host advertises none.
	PreferNewConn bool
}

// bufferPool has buffers for requests, of *[]byte.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// appendHead appends the head of a request to the host with an id.
func (r *Request) appendHead(b []byte, host string, size int) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	named := r.Header["Connection"]
	for name, values := range r.Header {
		if IsHopByHop(name, named) {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	b = append(b, "X-Target-Instance: "...)
	b = append(b, host...)
	b = append(b, "\r\nX-Time-Left-Ms: "...)
	b = strconv.AppendInt(b, max(1, time.Until(r.Deadline).Milliseconds()), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(size), 10)
	return append(b, "\r\n\r\n"...)
}

// write sends a request, head and body in one write. sent reports whether the last byte was written, which an error does not
// rule out. If not, the host has no complete request and never will.
func (r *Request) write(c *conn) (sent bool, err error) {
	size := r.bodySize()
	p := bufferPool.Get().(*[]byte)
	b := r.appendHead((*p)[:0], c.host.ID, size)
	for _, part := range r.Body {
		b = append(b, part...)
	}
	n, err := c.Write(b)
	sent = n == len(b)
	if cap(b) <= maxPooledBufferBytes {
		*p = b[:0]
		bufferPool.Put(p)
	}
	return sent, err
}

// writeLong sends a request with a long body in several writes, the last one only if nothing was received from the host.
// sent is that of write.
func (r *Request) writeLong(c *conn, received *atomic.Bool) (sent bool, err error) {
	size := r.bodySize()
	first, last := splitAt(r.Body, size-lastWriteBytes)
	parts := append(net.Buffers{r.appendHead(nil, c.host.ID, size)}, first...)
	if _, err := parts.WriteTo(c.Conn); err != nil {
		return false, err
	}
	if received.Load() {
		return false, errEarlyResponse
	}
	n, err := last.WriteTo(c.Conn)
	return n == lastWriteBytes, err
}

// splitAt splits parts behind n bytes.
func splitAt(parts [][]byte, n int) (first, last net.Buffers) {
	for _, part := range parts {
		k := min(n, len(part))
		n -= k
		if k > 0 {
			first = append(first, part[:k])
		}
		if k < len(part) {
			last = append(last, part[k:])
		}
	}
	return first, last
}

// bodySize returns the bytes of the body.
func (r *Request) bodySize() (size int) {
	for _, part := range r.Body {
		size += len(part)
	}
	return size
}
