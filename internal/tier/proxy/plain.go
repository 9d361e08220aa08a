package proxy

import (
	"io"
	"strconv"

	"larchrouter/internal/tier/upstream"
)

// plain serves a request whose answer is no stream.
func (r *request) plain() {
	f := &forwarder{request: r, query: r.query(), repeatable: r.route.Kind == "idempotent"}
	if len(r.body) > 0 {
		f.body = [][]byte{r.body}
	}
	p := bodies.Get().(*[]byte)
	b := (*p)[:0]
	defer func() { giveBack(p, b) }()
	for t := f.next(); t != nil; t = f.next() {
		a := t.Response
		var err error
		for b = b[:0]; len(b) <= keptBody && err == nil; {
			if len(b) == cap(b) {
				b = append(b, 0)[:len(b)]
			}
			var n int
			n, err = a.Read(b[len(b):cap(b)])
			b = b[:len(b)+n]
		}
		switch {
		case is(err, io.EOF):
			r.served(t)
			r.sendWhole(a, b)
			return
		case err == nil:
			a.SetDeadline(r.until)
			r.relay(t, b)
			return
		}
		if f.failed(t, err) { // before anything was passed on
			return
		}
	}
}

// relay sends on a long answer as it comes. One that breaks off does not look complete.
func (r *request) relay(t *attempt, begun []byte) {
	err := r.copyAnswer(t.Response, begun)
	if err != nil {
		r.broke(t, err)
		r.client.abort()
		return
	}
	r.served(t)
	if t.Response.Length < 0 {
		r.send([]byte(endChunk))
	} else {
		r.keepAlive = !r.closeAfter
	}
}

// copyAnswer passes on an answer, with its head and what of it has come, up to the end of its body.
func (r *request) copyAnswer(a *upstream.Response, begun []byte) error {
	p := bodies.Get().(*[]byte)
	out := r.headOf((*p)[:0], a, a.Length)
	defer func() { giveBack(p, out) }()
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
		if err != nil && !is(err, io.EOF) {
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
