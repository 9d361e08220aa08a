package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/upstream"
)

const maxBufferedBody = 256 << 10 // of an answer that can still be replaced by another host's

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 8<<10); return &b }}

func putBuffer(p *[]byte, b []byte) {
	if cap(b) <= maxBufferedBody {
		*p = b[:0]
		bufferPool.Put(p)
	}
}

func is(err, kind error) bool { return errors.Is(err, kind) }

// statusPromisesNotRun tells whether a status says that the request has not run and never will. A host that proved nothing may have
// run it, so that no client is told such a status of its; and where a client is told another, the host's seal stays away.
func statusPromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired:
		return true
	}
	return false
}

// hasRequiredSeal tells whether an answer may be passed on for a host's: a success without the host's seal is none.
func hasRequiredSeal(a *upstream.Response) bool {
	return a.Status/100 != 2 || a.Header.Get("X-Host-Seal") != ""
}

// endResponseHead ends the head of an answer.
func (r *request) endResponseHead(b []byte) []byte {
	if r.closeAfter = r.closeAfter || r.client.closing(); r.closeAfter {
		return append(b, "Connection: close\r\n\r\n"...)
	}
	if seconds := int64(r.idleTimeout / time.Second); seconds > 0 { // a client is never told more than it gets
		b = append(b, "Keep-Alive: timeout="...)
		b = strconv.AppendInt(b, seconds, 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

func appendEndToEndHeader(b []byte, h http.Header) []byte {
	named := h["Connection"]
	for name, values := range h {
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

// writeFinal writes the bytes that end an answer.
func (r *request) writeFinal(b []byte) {
	_, err := r.client.Write(b)
	r.keepAlive = err == nil && !r.closeAfter
}

// respondError answers by ourselves.
func (r *request) respondError(status int, wait time.Duration, text string) {
	p := bufferPool.Get().(*[]byte)
	b := appendStatusLine((*p)[:0], status)
	if r.head != nil {
		if id := r.get("X-Attempt-Id"); id != "" {
			b = append(append(append(b, "X-Attempt-Id: "...), id...), "\r\n"...)
		}
	}
	if wait > 0 {
		b = append(b, "Retry-After: "...)
		b = strconv.AppendFloat(b, wait.Seconds(), 'f', 3, 64)
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

// appendResponseHead is the head of an answer with a length, -1 for one in chunks.
func (r *request) appendResponseHead(b []byte, a *upstream.Response, length int64) []byte {
	b = appendStatusLine(b, a.Status)
	b = appendEndToEndHeader(b, a.Header)
	switch {
	case r.method == http.MethodHead:
		if v := a.Header.Get("Content-Length"); v != "" {
			b = append(append(append(b, "Content-Length: "...), v...), "\r\n"...)
		}
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	default:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, length, 10)
		b = append(b, "\r\n"...)
	}
	return r.endResponseHead(b)
}

// respondBuffered passes an answer on that is in whole.
func (r *request) respondBuffered(a *upstream.Response, body []byte) {
	p := bufferPool.Get().(*[]byte)
	b := r.appendResponseHead((*p)[:0], a, int64(len(body)))
	b = append(b, body...)
	r.writeFinal(b)
	putBuffer(p, b)
}
