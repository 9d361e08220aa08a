package proxy

import (
	"io"
	"maps"
	"net/http"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/eventstream"
	"larchrouter/internal/tier/upstream"
)

const streamBufferSize = 4 << 10 // bytes of a stream that are passed on at once

// streamRelay passes the event stream of a response on to the client. If the route is resumable, it goes on at another host where
// the stream breaks off.
type streamRelay struct {
	*request
	forwarder *forwarder
	splicer   *eventstream.Splicer // nil if the route is not resumable: then bytes are passed on as they come
	parser    *eventstream.Parser  // of what was passed on
	version   string               // Versions of the first response, for the runs that continue it
	out       []byte               // bytes for the client that are not written yet
	started   bool                 // some bytes were written
	memory    streamMemory         // of the splicer and the parser
}

// newStreamRelay returns a relay for the stream of a turn. The caller releases its memory.
func newStreamRelay(r *request, f *forwarder, turn *openTurn) *streamRelay {
	s := &streamRelay{request: r, forwarder: f}
	s.memory.request = r
	limits := eventstream.Limits{MaxEvents: r.maxEvents(), Memory: &s.memory}
	if r.route.Retained {
		limits.MaxOutput = r.maxOutput(turn)
	}
	if r.route.Resumable && r.server().options.Retries.Resume {
		s.splicer = eventstream.NewSplicer(r.get("Last-Event-Id"), r.route.Retained, limits)
		s.parser = s.splicer.Parser()
	} else {
		s.parser = eventstream.NewParser(r.route.Retained, limits)
	}
	return s
}

// relay passes on the stream of an attempt and, where that breaks off, of the attempts that continue it. It returns the last one,
// which has succeeded. After an error no attempt is left.
func (s *streamRelay) relay(attempt *attempt) (last *attempt, err error) {
	s.version = attempt.Response.Header.Get("Versions")
	for {
		if err := s.copyEvents(attempt); err == nil {
			s.attemptSucceeded(attempt)
			return attempt, nil
		} else if s.streamFailed(attempt, err); !s.prepareResume(err) {
			return nil, err
		}
		if attempt = s.resume(); attempt == nil {
			return nil, errors.Mark(errors.New("no host continues the stream"), upstream.ErrBroken)
		}
	}
}

// copyEvents writes a stream to the client as it comes, behind out, and parses its events. What is left in out at the end is not
// written yet. The error is upstream.ErrCancelled if the client does not take them.
func (s *streamRelay) copyEvents(attempt *attempt) error {
	var buffer [streamBufferSize]byte
	long := longResponse{request: s.request, attempt: attempt}
	defer long.close()
	for began := false; ; long.wait() {
		n, err := attempt.Response.Read(buffer[:])
		if n > 0 {
			if !began {
				began = true
				s.requestBegan()
			}
			if err := s.pass(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return s.finish()
		default:
			return err
		}
	}
}

// pass passes on the next bytes of a stream, those of an incomplete event only if the stream is not resumable.
func (s *streamRelay) pass(b []byte) error {
	var err error
	if s.splicer == nil {
		err = s.parser.Write(b)
	} else {
		b, err = s.splicer.Write(b)
	}
	if err != nil {
		return markBroken(err)
	}
	if len(b) == 0 { // an empty chunk would be the last one
		return nil
	}
	s.out = appendChunk(s.out, b)
	if !s.started {
		s.started = true
		s.logIfLate()
	}
	_, err = s.client.Write(s.out)
	s.out = s.out[:0]
	if err != nil {
		return upstream.ErrCancelled
	}
	return nil
}

// finish ends a stream that is complete.
func (s *streamRelay) finish() error {
	var rest []byte
	var err error
	if s.splicer == nil {
		err = s.parser.Finish()
	} else {
		rest, err = s.splicer.Finish()
	}
	if err != nil {
		return markBroken(err)
	}
	if len(rest) > 0 {
		s.out = appendChunk(s.out, rest)
	}
	return nil
}

// prepareResume prepares the forwarder for a run that continues a stream which broke off with an error. It reports whether there
// may be one: if some of the stream was passed on, and the route and the events permit it.
func (s *streamRelay) prepareResume(err error) bool {
	if !s.started || s.splicer == nil || errors.Is(err, upstream.ErrCancelled) || errors.Is(err, eventstream.ErrTooManyEvents) {
		return false
	}
	lastEventID, ok := s.splicer.LastEventID()
	if !ok {
		return false
	}
	s.splicer.BeginRun()
	f := s.forwarder
	f.mayHaveRun, f.lastErr, f.headSent = true, err, true
	f.header = maps.Clone(s.header)
	if lastEventID != "" {
		f.header["Last-Event-Id"] = []string{lastEventID}
	}
	if version := s.currentVersion(); version != "" {
		f.header["Expect-Version"] = []string{version}
	}
	return true
}

// currentVersion returns the version of the weights that gave the last event; empty if no host named one.
func (s *streamRelay) currentVersion() string {
	if version := s.splicer.Version(); version != "" {
		return version
	}
	return s.version
}

// resume makes attempts until a host continues the stream. It returns nil if none does; then the connection ends.
func (s *streamRelay) resume() *attempt {
	for {
		attempt := s.forwarder.forward()
		if attempt == nil {
			return nil
		}
		if attempt.Response.Status == http.StatusOK {
			return attempt
		}
		if s.forwarder.handleFailure(attempt, upstream.ErrBroken) {
			return nil
		}
	}
}
