package proxy

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/routing"
)

// serveBuffered serves a request whose response is no event stream. The response is held, so that a retry can replace it if it breaks
// off; one that is too long for that, or gives way to others, is relayed as it comes.
func (r *request) serveBuffered() {
	f := &forwarder{request: r, info: r.pickInfo(), header: r.header, body: r.body, idempotent: r.mayRepeat()}
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	held := r.newHeldResponse(*buffer)
	defer held.release()
	for attempt := f.forward(); attempt != nil; attempt = f.forward() {
		switch err := held.read(attempt); {
		case errors.Is(err, io.EOF) && held.isHeld():
			r.attemptSucceeded(attempt)
			if attempt.Response.Status >= http.StatusInternalServerError {
				r.logLoss(causeHostFailed, attempt.Response.Status)
			} else {
				r.logIfLate()
			}
			held.respond()
			return
		case err == nil || errors.Is(err, io.EOF):
			r.relayLong(attempt, held)
			return
		case f.handleFailure(attempt, err): // nothing was passed on yet
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

// relayLong relays a response of which the beginning is held, or was. If it breaks off the connection is closed, so that it does not
// look complete.
func (r *request) relayLong(attempt *attempt, held *heldResponse) {
	err := held.relay()
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

// relayBufferSize is the size in bytes of the parts in which the rest of a long response is relayed.
const relayBufferSize = 32 << 10

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// chunkEnd ends each chunk.
const chunkEnd = "\r\n"

// appendChunk appends data as one chunk.
func appendChunk(b, data []byte) []byte {
	b = appendChunkHeader(b, len(data))
	b = append(b, data...)
	return append(b, chunkEnd...)
}

// appendChunkHeader appends what comes before the data of a chunk.
func appendChunkHeader(b []byte, size int) []byte {
	b = strconv.AppendInt(b, int64(size), 16)
	return append(b, "\r\n"...)
}
