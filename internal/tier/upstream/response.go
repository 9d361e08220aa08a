package upstream

import (
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Response is the response of a host. It is an io.Reader of its body.
type Response struct {
	Status      int
	Header      http.Header
	Length      int64  // of the body; -1 for one in chunks
	RefusalBody []byte // the body, or what came of it, if the request was rejected

	// RefusalTooLong reports that the request was rejected with a longer body than maxRefusalBytes.
	RefusalTooLong bool
	// HeadBytes is the size of the head, with the interim responses ahead of it.
	HeadBytes int

	body             io.Reader
	conn             *conn
	call             *Call
	deadline         time.Time
	ConnClose        bool // the host closes the connection after the response
	beforeRequestEnd bool // it came before the request was sent completely
	eof              bool // the body was read to its end
	finished         bool
	received         int64 // when it was finished
}

var errFinished = errors.New("response is finished: read it before Finish")

// Received returns the bytes of the response that have come, with the frames of its chunks.
func (r *Response) Received() int64 {
	if r.finished {
		return r.received
	}
	return math.MaxInt64 - r.conn.limitedReader.N
}

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool { return r.eof }

// Read reads the body as it comes. io.EOF comes only if the body is complete by its framing; any other error is marked with its
// kind.
func (r *Response) Read(p []byte) (int, error) {
	if r.finished { // another call may have the connection
		return 0, errFinished
	}
	n, err := r.body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		r.eof = true
	case r.call.cancelled():
		err = ErrCancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrDeadline
	default:
		err = errors.Mark(err, ErrBroken)
	}
	return n, err
}

// SetDeadline moves the deadline of the call.
func (r *Response) SetDeadline(t time.Time) {
	r.deadline = t
	_ = r.conn.SetDeadline(t)
}

// limitDrain moves the deadline forward to drainTimeout from now, if it is later.
func (r *Response) limitDrain() {
	if soon := time.Now().Add(drainTimeout); soon.Before(r.deadline) {
		r.SetDeadline(soon)
	}
}

// ReportedLoad returns the load that the host reported with the response: the calls it runs, those in its queue, and its
// slots. ok is false if it reported none.
func (r *Response) ReportedLoad() (running, waiting, slots int, ok bool) {
	first, rest, _ := strings.Cut(r.Header.Get("X-Host-Load"), ",")
	second, third, _ := strings.Cut(rest, ",")
	var errs [3]error
	running, errs[0] = strconv.Atoi(strings.TrimSpace(first))
	waiting, errs[1] = strconv.Atoi(strings.TrimSpace(second))
	slots, errs[2] = strconv.Atoi(strings.TrimSpace(third))
	return running, waiting, slots, errs == [3]error{} && running >= 0 && waiting >= 0
}

// Drain reads the rest of a short body for drainTimeout at most, so that the connection may be kept.
func (r *Response) Drain() {
	r.limitDrain()
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxJoinedBody))
}

// Finish ends the call. The connection is kept if the body was read to its end with nothing behind it, and more requests may
// be sent on it; else it is closed.
func (r *Response) Finish() {
	if r.finished {
		return
	}
	r.received, r.finished = r.Received(), true
	c := r.conn
	r.call.bindConn(nil)
	if r.call.cancelled() || !r.eof || r.ConnClose || r.beforeRequestEnd || c.reader.Buffered() > 0 || c.sent.full() {
		c.discard()
		return
	}
	c.idleLimit, c.idleLimitAdvertised = idleLimitOf(r.Header.Get("Keep-Alive"))
	c.host.keepIdle(c)
}

// idleLimitOf returns how long a connection may be idle and still be used: well below the time-out that the host advertises
// by Keep-Alive.
func idleLimitOf(keepAlive string) (limit time.Duration, advertised bool) {
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
