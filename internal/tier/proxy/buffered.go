package proxy

import (
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/routing"
	"larchrouter/internal/tier/upstream"
)

// serveBuffered serves a request whose response is no event stream. The response is buffered, so that a retry can replace it if
// it breaks off; one longer than maxBufferedBody is relayed as it comes.
func (r *request) serveBuffered() {
	f := &forwarder{request: r, info: r.pickInfo(), header: r.header, body: r.body, idempotent: r.mayRepeat()}
	p := bufferPool.Get().(*[]byte)
	b := (*p)[:0]
	defer func() { putBuffer(p, b) }()
	for attempt := f.forward(); attempt != nil; attempt = f.forward() {
		response := attempt.Response
		var err error
		b, err = r.readBuffered(response, b[:0])
		switch {
		case errors.Is(err, io.EOF):
			r.attemptSucceeded(attempt)
			if response.Status >= http.StatusInternalServerError {
				r.logLoss(causeHostFailed, response.Status)
			} else {
				r.logIfLate()
			}
			r.respondBuffered(response, b)
			return
		case err == nil:
			response.SetDeadline(r.deadline)
			beginning := b
			b = nil // relayLong drops it once it is written
			r.relayLong(attempt, beginning)
			return
		}
		if f.handleFailure(attempt, err) { // nothing was passed on yet
			return
		}
	}
}

// mayRepeat reports whether the request may be repeated after an attempt that may have run.
func (r *request) mayRepeat() bool {
	if !r.server().options.Retries.Idempotent {
		return false
	}
	return r.route.Kind == routing.Idempotent || r.route.Kind == routing.Streaming && r.route.Resumable
}

// readBuffered appends the body of a response to b until its end (io.EOF), an error, or as many bytes as are buffered (nil): more than
// maxBufferedBody, or what there is memory for.
func (r *request) readBuffered(response *upstream.Response, b []byte) ([]byte, error) {
	var err error
	for len(b) <= maxBufferedBody && err == nil {
		if len(b) == cap(b) {
			if !r.servingAccount().TryDraw(int64(cap(b))) {
				return b, nil
			}
			b = append(b, 0)[:len(b)]
		}
		var n int
		n, err = response.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
	}
	return b, err
}

// relayLong relays a response of which the beginning was read. If it breaks off the connection is closed, so that it does not
// look complete.
func (r *request) relayLong(attempt *attempt, beginning []byte) {
	err := r.copyResponse(attempt.Response, beginning)
	if err != nil {
		r.attemptFailed(attempt, err)
		r.logLoss(errorCause(err), 0)
		r.client.abort()
		return
	}
	r.attemptSucceeded(attempt)
	if attempt.Response.Length < 0 {
		r.writeFinal([]byte(lastChunk))
	} else {
		r.keepAlive = !r.closeAfter
	}
}

// copyResponse writes the head of a response, the beginning of its body, and the rest as it comes, except for the last chunk.
func (r *request) copyResponse(response *upstream.Response, beginning []byte) error {
	p := bufferPool.Get().(*[]byte)
	out := r.appendResponseHead((*p)[:0], response, response.Length)
	defer func() { putBuffer(p, out) }()
	data := beginning
	for {
		if len(data) > 0 { // an empty chunk would be the last one
			if err := r.writePart(out, data, response.Length < 0); err != nil {
				return upstream.ErrCancelled
			}
			out = out[:0]
		}
		if response.Complete() {
			return nil
		}
		if cap(data) > relayBufferSize || cap(data) == 0 {
			data = make([]byte, 0, relayBufferSize)
		}
		n, err := response.Read(data[:cap(data)])
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		data = data[:n]
	}
}

// writePart writes the bytes before a part of a response body and the part, which is one chunk if the body is in chunks.
func (r *request) writePart(before, part []byte, inChunks bool) error {
	parts := net.Buffers{before, part}
	if inChunks {
		before = strconv.AppendInt(before, int64(len(part)), 16)
		parts = net.Buffers{append(before, "\r\n"...), part, []byte("\r\n")}
	}
	return r.writeParts(parts)
}

// writeParts writes a part of a response. A client that does not read it gives way to others.
func (r *request) writeParts(parts net.Buffers) error {
	r.beginResponse()
	_, err := parts.WriteTo(r.client.Conn)
	if !r.endResponse() {
		return errGaveWay
	}
	return err
}

// relayBufferSize is the size in bytes of the parts in which the rest of a long response is relayed.
const relayBufferSize = 32 << 10

// errGaveWay reports that the client did not read its response while others needed the memory.
var errGaveWay = errors.New("the client did not read its response while others needed the memory")

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// appendChunk appends data as one chunk.
func appendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}
