package proxy

import (
	"io"
	"net/http"

	"larchrouter/internal/tier/upstream"
)

// streamBufferSize is how much of a stream is passed on at once.
const streamBufferSize = 4 << 10

// serveStream serves a request whose answer is a series of events.
func (r *request) serveStream() {
	var tn retainedTurn
	f := &forwarder{request: r, info: r.pickInfo()}
	if r.route.Retained {
		if !r.openTurn(&tn) {
			return
		}
		if len(tn.opened.History) > 0 {
			f.body = append(f.body, tn.opened.History)
		}
		if w := f.info.Generation; w != nil {
			w.CacheHost, w.CachedTokens = tn.opened.CacheHost, tn.opened.ContextTokens
		}
	}
	if len(r.body) > 0 {
		f.body = append(f.body, r.body)
	}
	t := f.forward()
	switch {
	case t == nil:
		r.settleTurn(&tn, 0)
	case t.Response.Status != http.StatusOK:
		r.relayNonStream(t, f)
		r.settleTurn(&tn, 0)
	default:
		r.relayStream(&tn, t, f)
	}
}

// relayStream passes on a stream of events, and has a turn kept before its end is passed on.
func (r *request) relayStream(tn *retainedTurn, t *attempt, f *forwarder) {
	e := &eventParser{keepOutput: r.route.Retained}
	p := bufferPool.Get().(*[]byte)
	out := r.appendResponseHead((*p)[:0], t.Response, -1)
	defer func() { putBuffer(p, out) }()
	out, begun, err := r.copyEvents(t.Response, e, out)
	if err != nil {
		r.streamFailed(t, err)
		if r.settleTurn(tn, r.usedTokens(e)); begun {
			r.client.abort()
		} else {
			f.mayHaveRun, f.lastErr = true, err
			f.respondFailure(0)
		}
		return
	}
	e.finish()
	r.attemptSucceeded(t)
	if r.route.Retained && !r.closeTurn(tn, t, e) {
		r.client.abort()
		return
	}
	if r.method != http.MethodHead { // the answer to HEAD ends with its head
		out = append(out, lastChunk...)
	}
	r.writeFinal(out)
}

// copyEvents passes on the pieces of a stream as they come; out goes ahead of the first. left is what has not gone out by
// the end, begun tells whether anything has.
func (r *request) copyEvents(a *upstream.Response, e *eventParser, out []byte) (left []byte, begun bool, err error) {
	var piece [streamBufferSize]byte
	for {
		n, err := a.Read(piece[:])
		if n > 0 {
			e.write(piece[:n])
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

// streamFailed ends an attempt whose stream broke off, on either side.
func (r *request) streamFailed(t *attempt, err error) {
	if is(err, upstream.ErrCancelled) {
		r.mu.Lock()
		r.call.Cancel() // so that the host stops
		r.mu.Unlock()
	}
	r.attemptFailed(t, err)
}

// relayNonStream passes on an answer that is no stream of events.
func (r *request) relayNonStream(t *attempt, f *forwarder) {
	body, err := io.ReadAll(io.LimitReader(t.Response, maxBufferedBody+1))
	if err == nil && len(body) > maxBufferedBody {
		r.relayLong(t, body)
		return
	}
	if err != nil {
		f.handleFailure(t, err)
		return
	}
	r.attemptSucceeded(t)
	r.respondBuffered(t.Response, body)
}
