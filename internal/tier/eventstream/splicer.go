package eventstream

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrNoContinuation marks the error of a run that does not go on behind the last event of the run before: it starts anew, leaves
// events out, or has an event without a number. Nothing of it may be passed on.
var ErrNoContinuation = errors.New("the stream does not go on behind the last event")

// maxPendingBytes bounds the bytes of an incomplete event that a Splicer holds back. A stream with a longer event is passed on as it
// comes and cannot be continued by another run.
const maxPendingBytes = 256 << 10

// Splicer joins the streams of several runs of one request into the stream of one answer. It passes on complete events only, so
// that a run can break off anywhere, and the next one goes on behind the last event that was passed on.
//
// A stream can be continued while each of its events has a number as its id, one above the id before. A run that continues it must
// begin with the number that is due.
type Splicer struct {
	parser   *Parser // of what was passed on
	pending  buffer  // bytes of the current run that Write has not returned, behind those that it returned last
	returned int     // bytes of pending that Write returned last
	scanned  int     // bytes of pending that were searched for the end of an event
	splicerState
}

// splicerState is what a Splicer knows of the events that were passed on.
type splicerState struct {
	passThrough  bool   // an event is too long to be held back
	unnumbered   bool   // an event that was passed on does not follow the one before by its number
	last         int64  // number of the last event that was passed on
	hasLast      bool   // there is one
	version      string // of the weights, by the last event that named one; empty for none
	continuation bool   // the current run continues another one and has had no event yet
}

// NewSplicer returns a splicer for a stream whose first run begins at its start, or behind the event lastEventID if that is not
// empty. keepOutput keeps the output of the stream. What the splicer holds back is drawn from the memory of the limits as well.
func NewSplicer(lastEventID string, keepOutput bool, limits Limits) *Splicer {
	s := &Splicer{parser: NewParser(keepOutput, limits), pending: buffer{memory: limits.Memory}}
	s.last, s.hasLast = parseEventID([]byte(lastEventID))
	s.unnumbered = lastEventID != "" && !s.hasLast
	return s
}

// Parser returns the parser of what was passed on.
func (s *Splicer) Parser() *Parser { return s.parser }

// LastEventID returns the id behind which the next run has to go on; empty for a run from the start. ok is false if no run can
// continue the stream.
func (s *Splicer) LastEventID() (id string, ok bool) {
	switch {
	case s.passThrough || s.unnumbered:
		return "", false
	case !s.hasLast:
		return "", true
	}
	return strconv.FormatInt(s.last, 10), true
}

// Version returns the version of the weights that the last change within the stream named; empty if there was none.
func (s *Splicer) Version() string { return s.version }

// BeginRun begins the next run, which goes on behind LastEventID. What the run before had begun is dropped.
func (s *Splicer) BeginRun() {
	s.pending.bytes, s.returned, s.scanned = s.pending.bytes[:0], 0, 0
	s.continuation = s.hasLast
}

// Write takes the next bytes of the current run and returns the bytes that may be passed on, which are valid until the next call.
// An error is marked with ErrNoContinuation, or is one of Parser.Write: then none of the bytes may be passed on, and another run can
// continue the stream behind the event before.
func (s *Splicer) Write(b []byte) (complete []byte, err error) {
	before := s.splicerState
	if complete, err = s.write(b); err != nil {
		s.splicerState = before
	}
	return complete, err
}

func (s *Splicer) write(b []byte) (complete []byte, err error) {
	s.pending.bytes = append(s.pending.bytes[:0], s.pending.bytes[s.returned:]...)
	s.returned = 0
	if err := s.pending.append(b...); err != nil {
		return nil, err
	}
	if !s.passThrough {
		if err := s.takeEvents(); err != nil {
			return nil, err
		}
	}
	tooLong := len(s.pending.bytes)-s.returned > maxPendingBytes
	if tooLong && s.continuation {
		return nil, errors.Mark(errors.Newf("the first event is longer than %d bytes", maxPendingBytes), ErrNoContinuation)
	}
	if s.passThrough || tooLong {
		s.passThrough, s.returned = true, len(s.pending.bytes)
	}
	s.scanned -= min(s.scanned, s.returned)
	complete = s.pending.bytes[:s.returned]
	return complete, s.parser.Write(complete)
}

// takeEvents moves returned behind the last complete event of pending.
func (s *Splicer) takeEvents() error {
	for {
		end := eventEnd(s.pending.bytes, s.returned, s.scanned)
		if end < 0 {
			s.scanned = len(s.pending.bytes)
			return nil
		}
		if err := s.takeEvent(s.pending.bytes[s.returned:end]); err != nil {
			return err
		}
		s.returned, s.scanned = end, end
	}
}

// takeEvent checks the number of an event, if it has data.
func (s *Splicer) takeEvent(event []byte) error {
	fields := parseFields(event)
	if !fields.hasData && fields.id == nil { // a comment
		return nil
	}
	number, numbered := parseEventID(fields.id)
	follows := numbered && (!s.hasLast || number == s.last+1)
	if s.continuation && !follows {
		return errors.Mark(errors.Newf("event %q behind event %d", fields.id, s.last), ErrNoContinuation)
	}
	s.continuation = false
	s.unnumbered = s.unnumbered || !follows
	s.last, s.hasLast = number, numbered
	if fields.version != nil {
		s.version = string(fields.version)
	}
	return nil
}

// Finish ends the stream with the end of the current run, which is complete. It returns the last bytes that may be passed on.
func (s *Splicer) Finish() (rest []byte, err error) {
	rest = s.pending.bytes[s.returned:]
	if parseFields(rest).hasData && !s.passThrough {
		if err := s.takeEvent(rest); err != nil {
			return nil, err
		}
	}
	if err := s.parser.Write(rest); err != nil {
		return nil, err
	}
	s.returned = len(s.pending.bytes)
	return rest, s.parser.Finish()
}

// eventEnd returns the end of the event that begins at start, behind its empty line; -1 if it is incomplete. The bytes up to scanned
// have no end of an event.
func eventEnd(b []byte, start, scanned int) int {
	line := start
	if i := bytes.LastIndexByte(b[start:max(start, scanned)], '\n'); i >= 0 {
		line = start + i + 1
	}
	for {
		n := bytes.IndexByte(b[line:], '\n')
		if n < 0 {
			return -1
		}
		if len(bytes.TrimSuffix(b[line:line+n], []byte("\r"))) == 0 {
			return line + n + 1
		}
		line += n + 1
	}
}

// fields are what a Splicer reads of an event; nil for fields that it does not have.
type fields struct {
	id      []byte
	version []byte
	hasData bool
}

func parseFields(event []byte) (f fields) {
	for line := range bytes.Lines(event) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "id":
			f.id = bytes.TrimPrefix(value, []byte(" "))
		case "versions":
			f.version = bytes.TrimSpace(value)
		case "data":
			f.hasData = true
		}
	}
	return f
}

// parseEventID returns the number that an id is.
func parseEventID(id []byte) (number int64, ok bool) {
	number, err := strconv.ParseInt(string(id), 10, 64)
	return number, err == nil && number >= 0
}
