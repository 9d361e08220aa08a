package upstream

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Call is one call to a host. The zero value is ready for use; it is used once.
type Call struct {
	mu            sync.Mutex
	conn          *conn // that the call has now; nil for none
	cancelledFlag bool
}

// Cancel cancels the call: its connection is closed, so that the host stops its work. It may be called from any goroutine,
// at any time; after the end of the call it does nothing.
func (k *Call) Cancel() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancelledFlag = true; k.conn != nil {
		k.conn.close()
	}
}

// bindConn sets the connection that Cancel closes; nil for none. It returns false, and sets nothing, if the call is cancelled.
func (k *Call) bindConn(c *conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancelledFlag && c != nil {
		return false
	}
	k.conn = c
	return true
}

func (k *Call) cancelled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cancelledFlag
}

// Result is the end of a call, or the head of its response.
type Result struct {
	// Outcome is what the result proves.
	Outcome Outcome
	// Err is marked with one of the kinds of errors; nil if there is a Response.
	Err error
	// Response is not nil with Answered, and with NotRun if the host rejected the request; then it is finished and has the
	// RefusalBody.
	Response *Response
	// ResponseStarted reports whether any byte of a response came.
	ResponseStarted bool
	// ConnReused reports whether the call went out on a connection that was used before.
	ConnReused bool
}

// Do makes a call. The complete response has to be read by the deadline; Response.SetDeadline moves it.
func (k *Call) Do(h *Host, r *Request, deadline time.Time) Result {
	for {
		conn, err := h.acquire(r, deadline)
		if err != nil {
			return Result{Outcome: NotRun, Err: err}
		}
		if !k.bindConn(conn) {
			conn.discard()
			return Result{Outcome: NotRun, Err: ErrCancelled}
		}
		if h.disabled.Load() { // since the connection was dialled
			k.bindConn(nil)
			conn.discard()
			return Result{Outcome: NotRun, Err: ErrHostDisabled}
		}
		_ = conn.SetDeadline(deadline)
		exchanged := conn.exchange(r, deadline)
		if exchanged.requestSent || exchanged.responseStarted {
			return k.result(conn, exchanged, deadline)
		}
		reused := conn.reused
		k.bindConn(nil)
		conn.discard()
		switch {
		case k.cancelled():
			return Result{Outcome: NotRun, Err: ErrCancelled}
		case errors.Is(exchanged.err, os.ErrDeadlineExceeded):
			return Result{Outcome: NotRun, Err: ErrDeadline, ConnReused: reused}
		case reused: // the host had closed it before: no call yet
			continue
		}
		return Result{Outcome: NotRun, Err: errors.Mark(exchanged.err, ErrNotSent)}
	}
}

// result returns what an exchange proves whose request was sent completely, or for which a response started.
func (k *Call) result(conn *conn, exchanged exchange, deadline time.Time) Result {
	reused := conn.reused // read now: once the connection is kept, another call may have it
	if exchanged.response == nil {
		k.bindConn(nil)
		res := Result{Outcome: MayHaveRun, Err: errors.Mark(exchanged.err, ErrBroken),
			ResponseStarted: exchanged.responseStarted, ConnReused: reused}
		if k.cancelled() {
			res.Err = ErrCancelled
		} else if errors.Is(exchanged.err, os.ErrDeadlineExceeded) {
			res.Err = ErrDeadline
		}
		conn.discard()
		return res
	}
	response := exchanged.response
	response.call, response.deadline = k, deadline
	if response.Status == http.StatusMisdirectedRequest || response.Header.Get("X-Not-Executed") != "" {
		// The head is the proof, also if the short body breaks off or stalls.
		response.limitDrain()
		response.RefusalBody, _ = io.ReadAll(io.LimitReader(response, maxRefusalBytes+1))
		response.RefusalTooLong = len(response.RefusalBody) > maxRefusalBytes
		response.Finish()
		return Result{Outcome: NotRun, Response: response, ResponseStarted: true, ConnReused: reused}
	}
	return Result{Outcome: Answered, Response: response, ResponseStarted: true, ConnReused: reused}
}
