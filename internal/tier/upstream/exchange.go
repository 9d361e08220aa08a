package upstream

import (
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/peek"
)

var errEarlyResponse = errors.New("the host answered, or ended the connection, ahead of the end of the request")

// exchange is a request that went out, and the head of what came.
type exchange struct {
	requestSent     bool // the last byte of the request was handed over
	response        *Response
	responseStarted bool  // something of an answer came
	err             error // where there is no answer
}

// exchange sends a request and reads the head of its answer.
func (c *conn) exchange(r *Request, until time.Time) exchange {
	if r.bodySize() > maxJoinedBody {
		return c.exchangeLong(r, until)
	}
	whole, err := r.write(c)
	if !whole {
		return exchange{err: err}
	}
	return c.readResponse(r)
}

// exchangeLong reads while a long request is written: a host may answer, or end its connection, when it has read a part.
// Nothing more is sent then, and the connection serves no other request, since the host may wait for the rest of this one.
func (c *conn) exchangeLong(r *Request, until time.Time) exchange {
	var ahead atomic.Bool
	come := make(chan exchange, 1)
	go func() {
		e := c.readResponse(r)
		ahead.Store(true)
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // a write under way ends
		come <- e
	}()
	whole, writeErr := r.writeLong(c, &ahead)
	early := !whole && ahead.Load()
	if !whole && !early { // what came ahead of the end of the connection is there by now
		_ = c.SetReadDeadline(earlierOf(until, time.Now().Add(drainTimeout)))
	}
	e := <-come
	e.requestSent = whole
	if !whole && !early {
		e.err = writeErr
	}
	if e.response != nil {
		e.response.beforeRequestEnd = !whole
		_ = c.SetReadDeadline(until)
	}
	return e
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// readResponse reads the head of the answer to a request, past interim answers and those of other requests.
func (c *conn) readResponse(r *Request) (e exchange) {
	e.requestSent = true
	c.sentHead = c.sentHead || r.Method == http.MethodHead
	c.limitedReader.N = maxHeadBytes // the interim answers ahead count, too
	for surplus := 0; ; {
		if _, e.err = c.reader.Peek(1); e.err != nil {
			return e
		}
		e.responseStarted = true
		var response *http.Response
		if response, e.err = c.readHead(r.Method); e.err != nil {
			return e
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		c.limitedReader.N = math.MaxInt64
		ids := response.Header["X-Attempt-Id"]
		if len(ids) == 1 && ids[0] == r.ID {
			e.response, e.err = c.newResponse(r, response)
			return e
		}
		surplus++
		if len(ids) != 1 || ids[0] == "" || surplus > maxSurplusResponses {
			e.err = errors.New("an answer to no request of ours")
			return e
		}
		if e.err = c.discardSurplus(response); e.err != nil {
			return e
		}
		c.limitedReader.N = maxHeadBytes
	}
}

// readHead reads the head of one answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	status := peek.Status(peek.FirstLine(c.reader))
	switch status {
	case 0:
		return nil, errors.New("bytes that are no answer")
	case http.StatusSwitchingProtocols:
		return nil, errors.New("the host switched protocols unasked")
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// discardSurplus reads away the answer to another request. Whether a body follows its head depends on the method of that request,
// so that none is skipped where it may have been HEAD.
func (c *conn) discardSurplus(response *http.Response) error {
	if c.sentHead || response.ContentLength > maxSurplusBytes {
		return errors.New("an answer to no request of ours")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes+1))
	if err != nil || n > maxSurplusBytes || response.Close {
		return errors.Newf("a surplus answer that does not end: %v", err)
	}
	return nil
}

// newResponse is the newResponse by its head; its end has to be known.
func (c *conn) newResponse(r *Request, response *http.Response) (*Response, error) {
	a := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, body: response.Body, conn: c, ConnClose: response.Close}
	switch {
	case r.Method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
		a.Length, a.body = 0, http.NoBody
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0:
		return nil, errors.New("an answer whose end would not be known")
	}
	return a, nil
}
