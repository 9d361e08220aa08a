package proxy

import (
	"io"
	"strconv"

	"larchrouter/internal/tier/upstream"
)

// serveBuffered serves a request whose answer is no stream.
func (r *request) serveBuffered() {
	f := &forwarder{request: r, info: r.pickInfo(), idempotent: r.route.Kind == "idempotent"}
	if len(r.body) > 0 {
		f.body = [][]byte{r.body}
	}
	p := bufferPool.Get().(*[]byte)
	b := (*p)[:0]
	defer func() { putBuffer(p, b) }()
	for t := f.forward(); t != nil; t = f.forward() {
		a := t.Response
		var err error
		for b = b[:0]; len(b) <= maxBufferedBody && err == nil; {
			if len(b) == cap(b) {
				b = append(b, 0)[:len(b)]
			}
			var n int
			n, err = a.Read(b[len(b):cap(b)])
			b = b[:len(b)+n]
		}
		switch {
		case err == io.EOF:
			r.attemptSucceeded(t)
			r.respondBuffered(a, b)
			return
		case err == nil:
			a.SetDeadline(r.deadline)
			r.relayLong(t, b)
			return
		}
		if f.handleFailure(t, err) { // before anything was passed on
			return
		}
	}
}

// relayLong sends on a long answer as it comes. One that breaks off does not look complete.
func (r *request) relayLong(t *attempt, begun []byte) {
	err := r.copyResponse(t.Response, begun)
	if err != nil {
		r.attemptFailed(t, err)
		r.client.abort()
		return
	}
	r.attemptSucceeded(t)
	if t.Response.Length < 0 {
		r.writeFinal([]byte(lastChunk))
	} else {
		r.keepAlive = !r.closeAfter
	}
}

// copyResponse passes on an answer, with its head and what of it has come, up to the end of its body.
func (r *request) copyResponse(a *upstream.Response, begun []byte) error {
	p := bufferPool.Get().(*[]byte)
	out := r.appendResponseHead((*p)[:0], a, a.Length)
	defer func() { putBuffer(p, out) }()
	piece := begun
	for {
		if len(piece) > 0 { // a chunk of nothing would be the end
			if a.Length < 0 {
				out = appendChunk(out, piece)
			} else {
				out = append(out, piece...)
			}
			if _, err := r.client.Write(out); err != nil {
				return upstream.ErrCancelled
			}
			out = out[:0]
		}
		if a.Complete() {
			return nil
		}
		n, err := a.Read(piece[:cap(piece)])
		if err != nil && err != io.EOF {
			return err
		}
		piece = piece[:n]
	}
}

// appendChunk appends a piece of a body in chunks.
func appendChunk(b, piece []byte) []byte {
	b = strconv.AppendInt(b, int64(len(piece)), 16)
	b = append(b, "\r\n"...)
	b = append(b, piece...)
	return append(b, "\r\n"...)
}
