package httpcall

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"larchrouter/choice"
)

// ErrCalledOff is the cause with which a caller cancels the context of a call that it no longer wants.
var ErrCalledOff = errors.New("called off")

// Errors of a call that was not sent, by no fault of the host's. See also errNoDescriptor.
var (
	errHostClosed  = errors.New("host drains or is removed")
	errHostWaiting = errors.New("host asked for no calls meanwhile")
	errNoMessages  = errors.New("no message is left in the call, or would arrive in time")
)

var errTimeout = errors.New("time-out")

// decisionStaleAfter is the age of a decision above which a call gives the readers of other responses time to
// run before it is written: if this process was starved of CPU, a response that asks for no calls may be
// unread. A call may still go out within 100 ms of such a response.
const decisionStaleAfter = 20 * time.Millisecond

// Exchange makes one call. It returns the end of each message in the order of Call.Messages, the time that the
// call took, and the remaining time for which the host asked for no calls (0 for none).
//
// The call ends with the context. If its cause is ErrCalledOff, the outcomes are Cancelled, or NotSent if no
// request was written. A message that was withdrawn in time is NotSent. The time is taken here, so that a delay
// of the caller's event loop does not count as latency.
func (p *Pool) Exchange(ctx context.Context, c *Call) (ends []End, took, wait time.Duration) {
	ctx, stop := context.WithTimeoutCause(ctx, c.Timeout, errTimeout)
	defer stop()
	begin := time.Now()
	conn, indexes, err := p.send(ctx, c)
	if err != nil {
		outcome := unsentOutcome(ctx, err)
		ends = slices.Repeat([]End{{Outcome: outcome, Dialled: outcome == choice.NoConnection}}, len(c.Messages))
		return ends, time.Since(begin), c.Host.waits().Left()
	}
	dialled := !conn.reused // read before put, after which another call may own the connection
	resp := conn.readResponse()
	took = time.Since(begin)
	if resp.started { // recorded before put as well
		conn.recordUse(false)
	}
	if resp.reusable {
		p.put(conn)
	} else {
		conn.Close()
	}
	ends = slices.Repeat([]End{{Outcome: choice.NotSent}}, len(c.Messages)) // of the withdrawn ones
	if !resp.started {
		fillEnds(ends, indexes, End{Outcome: unansweredOutcome(ctx, conn), Dialled: dialled})
		return ends, took, 0
	}
	if resp.status != 0 {
		took = resp.receivedAt.Sub(begin)
	}
	fillEnds(ends, indexes, singleEnd(resp, len(indexes) > 1))
	if len(indexes) > 1 && resp.status == http.StatusOK {
		c.fillBatchEnds(ends, indexes, resp)
	}
	for _, i := range indexes {
		ends[i].Dialled = dialled
	}
	return ends, took, resp.retryAfter
}

// fillEnds sets the ends with the given indexes to the same value.
func fillEnds(ends []End, indexes []int, end End) {
	for _, i := range indexes {
		ends[i] = end
	}
}

// fillBatchEnds sets the ends with the given indexes from the lines of a batch's response.
func (c *Call) fillBatchEnds(ends []End, indexes []int, resp response) {
	ids := make([]string, len(indexes))
	for n, i := range indexes {
		ids[n] = c.Messages[i].ID
	}
	for n, end := range batchEnds(resp, ids) {
		ends[indexes[n]] = end
	}
}

// unsentOutcome returns the outcome of a call whose request was not written completely.
func unsentOutcome(ctx context.Context, err error) choice.Outcome {
	for _, local := range []error{errHostClosed, errHostWaiting, errNoMessages, errNoDescriptor} {
		if errors.Is(err, local) {
			return choice.NotSent
		}
	}
	if errors.Is(context.Cause(ctx), ErrCalledOff) {
		return choice.NotSent
	}
	return choice.NoConnection
}

// unansweredOutcome returns the outcome of a call that was written and got no byte of a response. The call
// still owns the connection.
func unansweredOutcome(ctx context.Context, conn *hostConn) choice.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), ErrCalledOff):
		return choice.Cancelled
	case errors.Is(context.Cause(ctx), errTimeout):
		return choice.Timeout
	}
	conn.recordUse(true)
	if conn.reused { // a middlebox may have dropped it, which says nothing of the host's health
		return choice.Spoilt
	}
	return choice.Reset
}

// send gets a connection and writes the request on it. It returns the connection and the indexes of the
// messages that were written. On an error the last byte of the request was not written, which proves that it
// has not run.
func (p *Pool) send(ctx context.Context, c *Call) (conn *hostConn, indexes []int, err error) {
	for {
		if conn, err = p.get(ctx, c.Host); err != nil {
			return nil, nil, err
		}
		// While the connection came up, the host may have begun to drain or asked for no calls.
		if time.Since(c.Decided) > decisionStaleAfter {
			time.Sleep(time.Millisecond)
		}
		if c.Host.closed.Load() {
			conn.Close()
			return nil, nil, errHostClosed
		}
		if c.Host.waits().Left() > 0 {
			p.put(conn)
			return nil, nil, errHostWaiting
		}
		if indexes, err = c.write(conn); err == nil {
			return conn, indexes, nil
		}
		if errors.Is(err, errNoMessages) {
			p.put(conn)
			return nil, nil, err
		}
		conn.Close()
		// A write that fails on a reused connection, which had ended before, is no attempt: the next connection
		// is tried.
		if !conn.reused || ctx.Err() != nil {
			return nil, nil, err
		}
	}
}
