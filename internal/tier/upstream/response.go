package upstream

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Response is a host's answer. Read gives its body; io.EOF comes only where it is whole by its framing.
type Response struct {
	Status           int
	Header           http.Header
	Length           int64  // -1 where it comes in chunks
	RefusalBody      []byte // the body, where the call was not run
	body             io.Reader
	conn             *conn
	call             *Call
	deadline         time.Time
	ConnClose        bool // the host closes the connection behind it
	beforeRequestEnd bool // it came ahead of the end of its request
	eof              bool
	finished         bool
}

var errFinished = errors.New("the answer is finished: read it before Finish")

// Complete tells whether the body was read to its end.
func (a *Response) Complete() bool { return a.eof }

// Read reads the body as it comes.
func (a *Response) Read(p []byte) (int, error) {
	if a.finished { // the connection may be another call's by now
		return 0, errFinished
	}
	n, err := a.body.Read(p)
	switch {
	case err == nil:
	case err == io.EOF:
		a.eof = true
	case a.call.cancelled():
		err = ErrCancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrDeadline
	default:
		err = errors.Mark(err, ErrBroken)
	}
	return n, err
}

// SetDeadline moves the time at which the answer is cut.
func (a *Response) SetDeadline(t time.Time) {
	a.deadline = t
	_ = a.conn.SetDeadline(t)
}

// limitDrain has the answer cut after a moment, if it is not in by then.
func (a *Response) limitDrain() {
	if soon := time.Now().Add(drainTimeout); soon.Before(a.deadline) {
		a.SetDeadline(soon)
	}
}

// ReportedLoad is what the host told of its own load.
func (a *Response) ReportedLoad() (running, waiting, slots int, ok bool) {
	first, rest, _ := strings.Cut(a.Header.Get("X-Host-Load"), ",")
	second, third, _ := strings.Cut(rest, ",")
	var errs [3]error
	running, errs[0] = strconv.Atoi(strings.TrimSpace(first))
	waiting, errs[1] = strconv.Atoi(strings.TrimSpace(second))
	slots, errs[2] = strconv.Atoi(strings.TrimSpace(third))
	return running, waiting, slots, errs == [3]error{} && running >= 0 && waiting >= 0
}

// Finish ends the call: the connection is kept if the answer was read to its end with nothing behind it, else closed.
func (a *Response) Finish() {
	if a.finished {
		return
	}
	a.finished = true
	c := a.conn
	a.call.bindConn(nil)
	if a.call.cancelled() || !a.eof || a.ConnClose || a.beforeRequestEnd || c.reader.Buffered() > 0 {
		c.discard()
		return
	}
	c.idleLimit, c.idleLimitAdvertised = idleLimitOf(a.Header.Get("Keep-Alive"))
	c.host.keepIdle(c)
}

// idleLimitOf is how long a connection may be idle and still be used: well before its host closes it.
func idleLimitOf(keepAlive string) (d time.Duration, told bool) {
	for part := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s > 0 {
				return min(maxIdleLimit, time.Duration(s)*time.Second*6/10), true
			}
			return 0, true
		}
	}
	return defaultIdleLimit, false
}

// Drain reads away a short body that comes at once, so that the connection may be kept.
func (a *Response) Drain() {
	a.limitDrain()
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxJoinedBody))
}
