package proxy

import (
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/eventstream"
	"larchrouter/internal/tier/turnstore"
	"larchrouter/internal/tier/upstream"
)

var (
	// errLengthTooLong: the announced length is more than the link carries in the time that the request has left.
	errLengthTooLong = errors.New("the announced length is more than the link carries in the time that is left")

	// errNoEnd: the response took all that it may of the link and the processor, and did not end in time.
	errNoEnd = errors.New("the response took all that it may and did not end in time")

	// errRefusalTooLong: the host rejected the request with a body that is longer than any reason.
	errRefusalTooLong = errors.New("the rejection has too long a body")
)

// responseBounds are the bounds of responses, by the name under which they are counted.
var responseBounds = []struct {
	name string
	err  error
}{
	{"event_bytes", eventstream.ErrEventTooLong},
	{"events", eventstream.ErrTooManyEvents},
	{"output_bytes", eventstream.ErrOutputTooLong},
	{"length", errLengthTooLong},
	{"end", errNoEnd},
	{"rejection_bytes", errRefusalTooLong},
}

// exceededBound returns the name of the bound that an error reports as exceeded by a host; empty for none.
func exceededBound(err error) string {
	for _, bound := range responseBounds {
		if errors.Is(err, bound.err) {
			return bound.name
		}
	}
	return ""
}

// markBroken marks an error of a stream's parser or splicer with its kind: the host broke off the response, by a bound that it exceeded,
// or the front has no memory for it.
func markBroken(err error) error {
	if isOutOfMemory(err) {
		return errors.Mark(err, upstream.ErrCancelled)
	}
	return errors.Mark(err, upstream.ErrBroken)
}

// maxEvents returns the number of events that a stream may have, by the tokens that the request permits and those that the service's
// events hold; 0 if either is not stated.
func (r *request) maxEvents() int {
	tokens := r.service.EventTokens
	if r.maxTokens <= 0 || tokens <= 0 {
		return 0
	}
	return (r.maxTokens + tokens - 1) / tokens
}

// maxOutput returns the bytes that the output of a turn may have, so that the stores take its record.
func (r *request) maxOutput(turn *openTurn) int {
	return max(1, turnstore.MaxIncrementBytes-r.inputSize(turn))
}

// inputSize returns the bytes of a turn's record without its output.
func (r *request) inputSize(turn *openTurn) int {
	size := r.body.size()
	if turn.opened != nil && turn.opened.ForeignBase {
		size += len(turn.opened.History)
	}
	return size
}

// checkLength returns errLengthTooLong for a response whose announced length the link does not carry in the time that is left.
func (r *request) checkLength(response *upstream.Response) error {
	link := r.server().options.LinkBytesPerSecond
	if link <= 0 || response.Length <= 0 {
		return nil
	}
	if most := link * time.Until(r.deadline).Seconds(); float64(response.Length) > most {
		return errors.Mark(errors.Wrapf(errLengthTooLong, "%d bytes", response.Length), upstream.ErrBroken)
	}
	return nil
}
