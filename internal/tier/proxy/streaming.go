package proxy

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/upstream"
)

// serveStream serves a request whose response is an event stream: a turn of a program, whose tokens count against the budget.
// A resumable stream may run at several hosts, one after the other.
func (r *request) serveStream() {
	var turn openTurn
	f := &forwarder{request: r, info: r.pickInfo(), header: r.header, idempotent: r.mayRepeat()}
	if r.needsLedger() {
		if !r.openTurn(&turn) {
			return
		}
		if !r.checkInputSize(&turn) {
			return
		}
		if history := turn.opened.History; len(history) > 0 {
			if !r.holdHistory(&turn) {
				return
			}
			f.body = append(f.body, history)
		}
		if generation := f.info.Generation; generation != nil {
			generation.CacheHost, generation.CachedTokens = turn.opened.CacheHost, turn.opened.ContextTokens
		}
	}
	f.body = append(f.body, r.body...)
	for done := false; !done; {
		attempt := f.forward()
		switch {
		case attempt == nil:
			r.settleTurn(&turn, 0)
			done = true
		case attempt.Response.Status != http.StatusOK:
			if done = r.relayNonStream(attempt, f); done {
				r.settleTurn(&turn, 0)
			}
		default:
			done = r.relayStream(&turn, attempt, f)
		}
	}
}

// relayStream relays an event stream. A retained turn is recorded before the end of its stream is passed on. A stream that breaks
// off for good ends with the connection, so that it does not look complete. done is false if nothing was passed on and a retry may
// follow.
func (r *request) relayStream(turn *openTurn, attempt *attempt, f *forwarder) (done bool) {
	s := newStreamRelay(r, f, turn)
	defer s.memory.release()
	p := bufferPool.Get().(*[]byte)
	s.out = r.appendResponseHead((*p)[:0], attempt.Response, -1)
	defer func() { putBuffer(p, s.out) }()
	last, err := s.relay(attempt)
	switch {
	case err == nil:
	case s.started:
		r.settleTurn(turn, r.usedTokens(s.parser))
		r.logLoss(s.lossCause(err), 0)
		r.client.abort()
		return true
	case f.idempotent && !errors.Is(err, upstream.ErrCancelled):
		f.mayHaveRun, f.lastErr = true, err
		return false
	default:
		r.settleTurn(turn, 0)
		f.mayHaveRun, f.lastErr = true, err
		f.respondFailure(0)
		return true
	}
	if !r.endTurn(turn, last, s.parser) {
		r.logLoss(causeNotRecorded, 0)
		r.client.abort()
		return true
	}
	if r.method != http.MethodHead { // the response to HEAD ends with its head
		s.out = append(s.out, lastChunk...)
	}
	r.writeFinal(s.out)
	return true
}

// lossCause returns the cause of the loss of a stream by its error.
func (s *streamRelay) lossCause(err error) string {
	if s.memory.gaveWay.Load() {
		return causeNoMemory
	}
	return errorCause(err)
}

// streamFailed ends an attempt whose stream broke off on either side.
func (r *request) streamFailed(attempt *attempt, err error) {
	if errors.Is(err, upstream.ErrCancelled) {
		r.mu.Lock()
		r.call.Cancel() // so that the host stops decoding
		r.mu.Unlock()
	}
	r.attemptFailed(attempt, err)
}

// relayNonStream passes on a response that is no event stream, such as an error. done is false if it broke off and a retry may
// follow.
func (r *request) relayNonStream(attempt *attempt, f *forwarder) (done bool) {
	held := r.newHeldResponse(make([]byte, 0, streamBufferSize))
	defer held.release()
	switch err := held.read(attempt); {
	case errors.Is(err, io.EOF) && held.isHeld():
		r.attemptSucceeded(attempt)
		held.respond()
	case err == nil || errors.Is(err, io.EOF):
		r.relayLong(attempt, held)
	default:
		return f.handleFailure(attempt, err)
	}
	return true
}
