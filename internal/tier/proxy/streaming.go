package proxy

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/eventstream"
	"larchrouter/internal/tier/upstream"
)

const streamBufferSize = 4 << 10 // bytes of a stream that are passed on at once

// serveStream serves a request whose response is an event stream: a turn of a program, whose tokens count against the budget.
func (r *request) serveStream() {
	var turn openTurn
	f := &forwarder{request: r, info: r.pickInfo()}
	if r.needsLedger() {
		if !r.openTurn(&turn) {
			return
		}
		if len(turn.opened.History) > 0 {
			f.body = append(f.body, turn.opened.History)
		}
		if generation := f.info.Generation; generation != nil {
			generation.CacheHost, generation.CachedTokens = turn.opened.CacheHost, turn.opened.ContextTokens
		}
	}
	if len(r.body) > 0 {
		f.body = append(f.body, r.body)
	}
	attempt := f.forward()
	switch {
	case attempt == nil:
		r.settleTurn(&turn, 0)
	case attempt.Response.Status != http.StatusOK:
		r.relayNonStream(attempt, f)
		r.settleTurn(&turn, 0)
	default:
		r.relayStream(&turn, attempt, f)
	}
}

// relayStream relays an event stream. A retained turn is recorded before the end of its stream is passed on. A stream that breaks off
// ends with the connection, so that it does not look complete.
func (r *request) relayStream(turn *openTurn, attempt *attempt, f *forwarder) {
	parser := eventstream.NewParser(r.route.Retained)
	p := bufferPool.Get().(*[]byte)
	out := r.appendResponseHead((*p)[:0], attempt.Response, -1)
	defer func() { putBuffer(p, out) }()
	out, started, err := r.copyEvents(attempt.Response, parser, out)
	if err != nil {
		r.streamFailed(attempt, err)
		if r.settleTurn(turn, r.usedTokens(parser)); started {
			r.client.abort()
		} else {
			f.mayHaveRun, f.lastErr = true, err
			f.respondFailure(0)
		}
		return
	}
	parser.Finish()
	r.attemptSucceeded(attempt)
	if !r.endTurn(turn, attempt, parser) {
		r.client.abort()
		return
	}
	if r.method != http.MethodHead { // the response to HEAD ends with its head
		out = append(out, lastChunk...)
	}
	r.writeFinal(out)
}

// copyEvents writes a stream to the client as it comes, ahead of it out, and parses its events. It returns the bytes that
// are not written yet and whether any were. The error is upstream.ErrCancelled if the client does not take them.
func (r *request) copyEvents(response *upstream.Response, parser *eventstream.Parser, out []byte) (
	left []byte, started bool, err error) {
	var buffer [streamBufferSize]byte
	for {
		n, err := response.Read(buffer[:])
		if n > 0 {
			parser.Write(buffer[:n])
			out = appendChunk(out, buffer[:n])
			started = true
			_, writeErr := r.client.Write(out)
			out = out[:0]
			if writeErr != nil {
				return out, started, upstream.ErrCancelled
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return out, started, nil
		default:
			return out, started, err
		}
	}
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

// relayNonStream passes on a response that is no event stream, such as an error.
func (r *request) relayNonStream(attempt *attempt, f *forwarder) {
	body, err := io.ReadAll(io.LimitReader(attempt.Response, maxBufferedBody+1))
	if err == nil && len(body) > maxBufferedBody {
		r.relayLong(attempt, body)
		return
	}
	if err != nil {
		f.handleFailure(attempt, err)
		return
	}
	r.attemptSucceeded(attempt)
	r.respondBuffered(attempt.Response, body)
}
