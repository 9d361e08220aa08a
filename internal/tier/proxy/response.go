package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"larchrouter/internal/tier/upstream"
)

const (
	maxPooledBuffer   = 256 << 10 // bytes
	maxJoinedResponse = 16 << 10  // bytes of a body up to which it is written together with the head
)

// bufferPool has buffers for responses to clients, of *[]byte.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 8<<10); return &b }}

// putBuffer returns a buffer to the pool. b is what was made of *p by appending.
func putBuffer(p *[]byte, b []byte) {
	if cap(b) <= maxPooledBuffer {
		*p = b[:0]
		bufferPool.Put(p)
	}
}

// statusPromisesNotRun reports whether a status states that the request has not run and will not. From a host such a status is
// passed on only with a proof; otherwise the client gets an error of the proxy, without the host's seal.
func statusPromisesNotRun(status int) bool {
	switch status {
	case http.StatusPaymentRequired, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// hasRequiredSeal reports whether a response may be passed on as that of a host: a success needs the seal of a host.
func hasRequiredSeal(response *upstream.Response) bool {
	return response.Status/100 != 2 || response.Header.Get("X-Host-Seal") != ""
}

// appendStatusLine appends the status line of a response.
func appendStatusLine(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, "\r\n"...)
}

// appendEndToEndHeader appends the header of a host's response without hop-by-hop fields.
func appendEndToEndHeader(b []byte, header http.Header) []byte {
	named := header["Connection"]
	for name, values := range header {
		if upstream.IsHopByHop(name, named) {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// endResponseHead appends the fields of the client's connection and the end of the head. It decides whether the connection ends
// with the response.
func (r *request) endResponseHead(b []byte) []byte {
	if r.closeAfter = r.closeAfter || r.client.closing(); r.closeAfter {
		return append(b, "Connection: close\r\n\r\n"...)
	}
	if seconds := int64(r.idleTimeout / time.Second); seconds > 0 { // rounded down: never more than the client gets
		b = append(b, "Keep-Alive: timeout="...)
		b = strconv.AppendInt(b, seconds, 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// appendResponseHead appends the head for a host's response with a body of so many bytes; -1 for one in chunks.
func (r *request) appendResponseHead(b []byte, response *upstream.Response, length int64) []byte {
	b = appendStatusLine(b, response.Status)
	b = appendEndToEndHeader(b, response.Header)
	switch {
	case r.method == http.MethodHead:
		if v := response.Header.Get("Content-Length"); v != "" {
			b = append(append(append(b, "Content-Length: "...), v...), "\r\n"...)
		}
	case response.Status == http.StatusNoContent || response.Status == http.StatusNotModified:
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	default:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, length, 10)
		b = append(b, "\r\n"...)
	}
	return r.endResponseHead(b)
}

// writeFinal writes the bytes that complete a response.
func (r *request) writeFinal(b []byte) {
	_, err := r.client.Write(b)
	r.keepAlive = err == nil && !r.closeAfter
}

// respondShort passes on a host's response whose body is short and complete.
func (r *request) respondShort(response *upstream.Response, body []byte) {
	p := bufferPool.Get().(*[]byte)
	b := r.appendResponseHead((*p)[:0], response, int64(len(body)))
	b = append(b, body...)
	r.writeFinal(b)
	putBuffer(p, b)
}

// respondError answers with an error of the proxy: a line of text, and Retry-After if retryAfter is above 0.
func (r *request) respondError(status int, retryAfter time.Duration, text string) {
	p := bufferPool.Get().(*[]byte)
	b := appendStatusLine((*p)[:0], status)
	if r.head != nil {
		if id := r.get("X-Attempt-Id"); id != "" {
			b = append(append(append(b, "X-Attempt-Id: "...), id...), "\r\n"...)
		}
	}
	if retryAfter > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, retryAfter.Seconds(), 'f', 3, 64)
		b = append(b, "\r\n"...)
	}
	b = append(b, "Content-Type: text/plain\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(text)+1), 10)
	b = append(b, "\r\n"...)
	b = r.endResponseHead(b)
	if r.head == nil || r.method != http.MethodHead {
		b = append(append(b, text...), '\n')
	}
	if r.deadline.IsZero() {
		_ = r.client.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout))
	}
	r.writeFinal(b)
	putBuffer(p, b)
}
