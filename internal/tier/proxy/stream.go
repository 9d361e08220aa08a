package proxy

import (
	"io"
	"net/http"

	"larchrouter/internal/tier/upstream"
)

// pieceBytes is how much of a stream is passed on at once.
const pieceBytes = 4 << 10

// stream serves a request whose answer is a series of events.
func (r *request) stream() {
	var tn turn
	f := &forwarder{request: r, query: r.query()}
	if r.route.Retained {
		if !r.openTurn(&tn) {
			return
		}
		if len(tn.opened.History) > 0 {
			f.body = append(f.body, tn.opened.History)
		}
		if w := f.query.Generation; w != nil {
			w.CacheHost, w.CachedTokens = tn.opened.CacheHost, tn.opened.ContextTokens
		}
	}
	if len(r.body) > 0 {
		f.body = append(f.body, r.body)
	}
	t := f.next()
	switch {
	case t == nil:
		r.settle(&tn, 0)
	case t.Response.Status != http.StatusOK:
		r.unstreamed(t, f)
		r.settle(&tn, 0)
	default:
		r.streamed(&tn, t, f)
	}
}

// streamed passes on a stream of events, and has a turn kept before its end is passed on.
func (r *request) streamed(tn *turn, t *attempt, f *forwarder) {
	e := &events{keep: r.route.Retained}
	p := bodies.Get().(*[]byte)
	out := r.headOf((*p)[:0], t.Response, -1)
	defer func() { giveBack(p, out) }()
	out, begun, err := r.copyEvents(t.Response, e, out)
	if err != nil {
		r.cutStream(t, err)
		if r.settle(tn, r.used(e)); begun {
			r.client.abort()
		} else {
			f.mayHaveRun, f.err = true, err
			f.giveUp(0)
		}
		return
	}
	e.end()
	r.served(t)
	if r.route.Retained && !r.closeTurn(tn, t, e) {
		r.client.abort()
		return
	}
	if r.method != http.MethodHead { // the answer to HEAD ends with its head
		out = append(out, endChunk...)
	}
	r.send(out)
}

// copyEvents passes on the pieces of a stream as they come; out goes ahead of the first. left is what has not gone out by
// the end, begun tells whether anything has.
func (r *request) copyEvents(a *upstream.Response, e *events, out []byte) (left []byte, begun bool, err error) {
	var piece [pieceBytes]byte
	for {
		n, err := a.Read(piece[:])
		if n > 0 {
			e.feed(piece[:n])
			out = appendChunk(out, piece[:n])
			begun = true
			_, writeErr := r.client.Write(out)
			out = out[:0]
			if writeErr != nil {
				return out, begun, upstream.ErrCancelled
			}
		}
		switch err {
		case nil:
		case io.EOF:
			return out, begun, nil
		default:
			return out, begun, err
		}
	}
}

// cutStream ends an attempt whose stream broke off, on either side.
func (r *request) cutStream(t *attempt, err error) {
	if is(err, upstream.ErrCancelled) {
		r.mu.Lock()
		r.call.Cancel() // so that the host stops
		r.mu.Unlock()
	}
	r.broke(t, err)
}

// unstreamed passes on an answer that is no stream of events.
func (r *request) unstreamed(t *attempt, f *forwarder) {
	body, err := io.ReadAll(io.LimitReader(t.Response, keptBody+1))
	if err == nil && len(body) > keptBody {
		r.relay(t, body)
		return
	}
	if err != nil {
		f.failed(t, err)
		return
	}
	r.served(t)
	r.sendWhole(t.Response, body)
}
