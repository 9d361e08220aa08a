package upstream

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Request is what goes to a host.
type Request struct {
	Method        string
	URI           string // path and query as the client sent them
	Host          string
	ID            string // X-Attempt-Id
	Header        http.Header
	Body          [][]byte
	Deadline      time.Time // what is left until then is told as X-Time-Left-Ms
	PreferNewConn bool      // prefers a new connection to one that may just be closing
}

// hopByHopHeaders are the headers that concern one connection only, and those that a call sets by itself.
var hopByHopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Host": true,
	"X-Target-Instance": true, "X-Time-Left-Ms": true}

// endToEndHeaders are the headers that decide what runs, or that prove whose answer it is: they are never of one connection.
var endToEndHeaders = map[string]bool{"X-Attempt-Id": true, "Program": true, "Previous": true, "Budget": true, "X-Host-Seal": true}

// IsHopByHop tells whether a header, by its canonical name, is not passed on. named is the client's own Connection header.
func IsHopByHop(name string, named []string) bool {
	if hopByHopHeaders[name] {
		return true
	}
	for _, list := range named {
		for one := range strings.SplitSeq(list, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(one)) == name {
				return !endToEndHeaders[name]
			}
		}
	}
	return false
}

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

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

// write sends a request whose body is written with its head. whole tells whether its last byte was handed to the
// connection, which an error does not rule out. Where it was not, the host has no whole request, and never will.
func (r *Request) write(c *conn) (whole bool, err error) {
	size := r.bodySize()
	buf := bufferPool.Get().(*[]byte)
	b := r.appendHead((*buf)[:0], c.host.ID, size)
	for _, part := range r.Body {
		b = append(b, part...)
	}
	n, err := c.Write(b)
	whole = n == len(b)
	if cap(b) <= 64<<10 {
		*buf = b[:0]
		bufferPool.Put(buf)
	}
	return whole, err
}

// writeLong sends a request with a long body, part by part, and its last bytes only if nothing has come from the host.
func (r *Request) writeLong(c *conn, ahead *atomic.Bool) (whole bool, err error) {
	size := r.bodySize()
	first, last := splitAt(r.Body, size-lastWriteBytes)
	parts := append(net.Buffers{r.appendHead(nil, c.host.ID, size)}, first...)
	if _, err := parts.WriteTo(c.Conn); err != nil {
		return false, err
	}
	if ahead.Load() {
		return false, errEarlyResponse
	}
	n, err := last.WriteTo(c.Conn)
	return n == lastWriteBytes, err
}

// splitAt divides parts behind so many bytes.
func splitAt(parts [][]byte, at int) (first, last net.Buffers) {
	for _, part := range parts {
		n := min(at, len(part))
		at -= n
		if n > 0 {
			first = append(first, part[:n])
		}
		if n < len(part) {
			last = append(last, part[n:])
		}
	}
	return first, last
}

// bodySize is that of the body.
func (r *Request) bodySize() (all int) {
	for _, part := range r.Body {
		all += len(part)
	}
	return all
}
