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

var errEarlyResponse = errors.New("response or end of the connection before the end of the request")

// exchange is a request that was written and the head of its response.
type exchange struct {
	requestSent     bool      // the last byte of the request was written
	response        *Response // nil if there is none
	responseStarted bool      // some byte of a response came
	err             error     // if there is no response
}

// exchange sends a request and reads the head of its response.
func (c *conn) exchange(r *Request, deadline time.Time) exchange {
	c.sent.add(r.ID)
	if r.bodySize() > maxJoinedBody {
		return c.exchangeLong(r, deadline)
	}
	sent, err := r.write(c)
	if !sent {
		return exchange{err: err}
	}
	return c.readResponse(r)
}

// exchangeLong reads while it writes a long request: a host may respond, or close its connection, when it has read a part.
// Then nothing more is written, and the connection serves no other request, since the host may expect the rest of this one.
func (c *conn) exchangeLong(r *Request, deadline time.Time) exchange {
	var received atomic.Bool // the reading goroutine has a response, or an error
	result := make(chan exchange, 1)
	go func() {
		exchanged := c.readResponse(r)
		received.Store(true)
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // ends a write in progress
		result <- exchanged
	}()
	sent, writeErr := r.writeLong(c, &received)
	early := !sent && received.Load()
	if !sent && !early { // a response ahead of the failure of the connection has been received by now
		_ = c.SetReadDeadline(earlierOf(deadline, time.Now().Add(drainTimeout)))
	}
	exchanged := <-result
	exchanged.requestSent = sent
	if !sent && !early {
		exchanged.err = writeErr
	}
	if exchanged.response != nil {
		exchanged.response.beforeRequestEnd = !sent
		_ = c.SetReadDeadline(deadline)
	}
	return exchanged
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// readResponse reads the head of the response to a request. Interim responses, and a few responses to other requests, are
// skipped.
func (c *conn) readResponse(r *Request) (exchanged exchange) {
	exchanged.requestSent = true
	c.sentHead = c.sentHead || r.Method == http.MethodHead
	c.limitedReader.N = maxHeadBytes // with the interim responses ahead
	for surplus := 0; ; {
		if _, exchanged.err = c.reader.Peek(1); exchanged.err != nil {
			return exchanged
		}
		exchanged.responseStarted = true
		var response *http.Response
		if response, exchanged.err = c.readHead(r.Method); exchanged.err != nil {
			return exchanged
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		headBytes := max(0, maxHeadBytes-int(c.limitedReader.N)-c.reader.Buffered())
		c.limitedReader.N = math.MaxInt64
		ids := response.Header["X-Attempt-Id"]
		if len(ids) == 1 && ids[0] == r.ID {
			exchanged.response, exchanged.err = c.newResponse(r, response)
			if exchanged.response != nil {
				exchanged.response.HeadBytes = headBytes
			}
			return exchanged
		}
		surplus++
		if len(ids) != 1 || ids[0] == "" || surplus > maxSurplusResponses {
			exchanged.err = errors.New("response to another request")
			return exchanged
		}
		if exchanged.err = c.discardSurplus(response); exchanged.err != nil {
			return exchanged
		}
		c.limitedReader.N = maxHeadBytes
	}
}

// readHead reads the head of one response.
func (c *conn) readHead(method string) (*http.Response, error) {
	status := peek.Status(peek.FirstLine(c.reader))
	switch status {
	case 0:
		return nil, errors.New("no HTTP response")
	case http.StatusSwitchingProtocols:
		return nil, errors.New("unexpected protocol switch")
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// discardSurplus reads the response to another request. Whether a body follows its head depends on the method of that request,
// so it is an error if any request on the connection was HEAD.
func (c *conn) discardSurplus(response *http.Response) error {
	if c.sentHead || response.ContentLength > maxSurplusBytes {
		return errors.New("response to another request")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes+1))
	if err != nil || n > maxSurplusBytes || response.Close {
		return errors.Newf("surplus response is incomplete: %v", err)
	}
	return nil
}

// newResponse returns the response by its head. It is an error if the end of its body is not known by its framing.
func (c *conn) newResponse(r *Request, response *http.Response) (*Response, error) {
	res := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		ConnClose: response.Close, body: response.Body, conn: c}
	switch {
	case r.Method == http.MethodHead || res.Status == http.StatusNoContent || res.Status == http.StatusNotModified:
		res.Length, res.body = 0, http.NoBody
	case response.ContentLength < 0 && len(response.TransferEncoding) == 0:
		return nil, errors.New("response without a known end")
	}
	return res, nil
}
