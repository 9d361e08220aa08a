package upstream

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Call is one call to a host. Cancel may come from another goroutine.
type Call struct {
	mu            sync.Mutex
	conn          *conn
	cancelledFlag bool
}

// Cancel gives the call up: its connection is closed, so that the host stops work.
func (k *Call) Cancel() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancelledFlag = true; k.conn != nil {
		k.conn.close()
	}
}

func (k *Call) bindConn(c *conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cancelledFlag && c != nil {
		return false
	}
	k.conn = c
	return true
}

func (k *Call) cancelled() bool { k.mu.Lock(); defer k.mu.Unlock(); return k.cancelledFlag }

// Result is the end of a call, or the head of its answer.
type Result struct {
	Outcome         Outcome
	Err             error     // its kind; nil where there is an answer
	Response        *Response // where Answered; with NotRun, what the host said instead, read whole, or nil
	ResponseStarted bool      // something of an answer came
	ConnReused      bool      // the call went out on a kept connection
}

// Do makes a call. The whole answer is in by until or it is cut; more time may be given with Response.SetDeadline.
func (k *Call) Do(h *Host, r *Request, until time.Time) Result {
	for {
		c, err := h.acquire(r.PreferNewConn, until)
		if err != nil {
			return Result{Outcome: NotRun, Err: err}
		}
		if !k.bindConn(c) {
			c.discard()
			return Result{Outcome: NotRun, Err: ErrCancelled}
		}
		if h.disabled.Load() { // while the connection came up
			k.bindConn(nil)
			c.discard()
			return Result{Outcome: NotRun, Err: ErrHostDisabled}
		}
		_ = c.SetDeadline(until)
		e := c.exchange(r, until)
		if e.requestSent || e.responseStarted {
			return k.result(c, e, until)
		}
		kept := c.reused
		k.bindConn(nil)
		c.discard()
		switch {
		case k.cancelled():
			return Result{Outcome: NotRun, Err: ErrCancelled}
		case errors.Is(e.err, os.ErrDeadlineExceeded):
			return Result{Outcome: NotRun, Err: ErrDeadline, ConnReused: kept}
		case kept: // it had ended before: no call yet, once more on another
			continue
		}
		return Result{Outcome: NotRun, Err: errors.Mark(e.err, ErrNotSent)}
	}
}

// result tells what an exchange proves whose request was sent whole, or to which something came.
func (k *Call) result(c *conn, e exchange, until time.Time) Result {
	kept := c.reused // read now: once it is put back, another call may have the connection
	if e.response == nil {
		k.bindConn(nil)
		res := Result{Outcome: MayHaveRun, Err: errors.Mark(e.err, ErrBroken), ResponseStarted: e.responseStarted, ConnReused: kept}
		if k.cancelled() {
			res.Err = ErrCancelled
		} else if errors.Is(e.err, os.ErrDeadlineExceeded) {
			res.Err = ErrDeadline
		}
		c.discard()
		return res
	}
	a := e.response
	a.call, a.deadline = k, until
	if a.Status == http.StatusMisdirectedRequest || a.Header.Get("X-Not-Executed") != "" {
		// The head proves it. The body is short; where it breaks off or stalls, the proof stands.
		a.limitDrain()
		a.RefusalBody, _ = io.ReadAll(io.LimitReader(a, maxSurplusBytes))
		a.Finish()
		return Result{Outcome: NotRun, Response: a, ResponseStarted: true, ConnReused: kept}
	}
	return Result{Outcome: Answered, Response: a, ResponseStarted: true, ConnReused: kept}
}
