package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/routing"
)

var (
	errTooLarge  = errors.New("too large")
	errBadChunks = errors.New("the body's chunks cannot be read: send them as HTTP/1.1 has them")
)

func isTimeout(err error) bool {
	return err != nil && errors.Is(err, os.ErrDeadlineExceeded)
}

var headEnd = []byte("\r\n\r\n")

// readRequest reads a request. On nil it was refused, or its client has gone.
func (c *client) readRequest() *request {
	limits := c.server.limits()
	begin := c.endIdle(limits)
	r := &request{client: c, arrivedAt: c.nextArrivedAt, idleTimeout: limits.IdleTimeout}
	if !r.readHead(limits) {
		return nil
	}
	_ = c.SetReadDeadline(begin.Add(max(limits.HeaderTimeout, minBodyTimeout)))
	if !r.readBody(limits) {
		return nil
	}
	_ = c.SetReadDeadline(time.Time{})
	c.advertisedIdle = limits.IdleTimeout
	return r
}

// readHead reads the head. On false the request was refused, or its client has gone.
func (r *request) readHead(limits routing.Limits) bool {
	b, err := r.client.peekHead(limits.MaxHeader)
	switch {
	case errors.Is(err, errTooLarge):
		r.client.reject(r, http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the header is over %d bytes: send less", limits.MaxHeader))
		return false
	case isTimeout(err):
		r.client.reject(r, http.StatusRequestTimeout, fmt.Sprintf("the header was not in after %v: send it at once", limits.HeaderTimeout))
		return false
	case err != nil:
		return false
	}
	h, err := parseHead(b)
	switch {
	case errors.Is(err, errVersion):
		r.client.reject(r, http.StatusHTTPVersionNotSupported, err.Error())
		return false
	case err != nil:
		r.client.reject(r, http.StatusBadRequest, err.Error())
		return false
	}
	r.head = h
	_, _ = r.client.reader.Discard(len(b))
	return true
}

// readBody reads the body. On false the request was refused, or its client has gone.
func (r *request) readBody(limits routing.Limits) bool {
	var err error
	r.body, err = r.client.readBody(r.head, limits.MaxBody)
	switch {
	case err == nil:
		return true
	case errors.Is(err, errTooLarge):
		r.client.reject(r, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is over %d bytes: send less", limits.MaxBody))
	case errors.Is(err, errBadChunks):
		r.client.reject(r, http.StatusBadRequest, err.Error())
	case isTimeout(err):
		r.client.reject(r, http.StatusRequestTimeout, "the body did not come: send it at once")
	}
	return false
}

// peekHead looks at the next head, with its blank line, and leaves it in the reader.
func (c *client) peekHead(most int) ([]byte, error) {
	for old := 0; ; {
		seen, _ := c.reader.Peek(c.reader.Buffered())
		from := max(0, old-len(headEnd)+1)
		if i := bytes.Index(seen[from:], headEnd); i >= 0 {
			if n := from + i + len(headEnd); n <= most {
				return seen[:n], nil
			}
			return nil, errTooLarge
		}
		if old = len(seen); old > most {
			return nil, errTooLarge
		}
		if old == c.reader.Size() { // seldom: a larger reader, with what the old one holds
			c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(seen)), &c.source), most+readBufferSize)
			if _, err := c.reader.Peek(old); err != nil {
				return nil, err
			}
			continue
		}
		if _, err := c.reader.Peek(old + 1); err != nil {
			return nil, err
		}
	}
}

// readBody reads the whole body.
func (c *client) readBody(h *head, most int) ([]byte, error) {
	if h.length == 0 {
		return nil, nil
	}
	if h.length > int64(most) {
		return nil, errTooLarge
	}
	if h.expectContinue && c.reader.Buffered() == 0 {
		_ = c.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout)) // that of an earlier request may have passed
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	if h.length > 0 {
		b := make([]byte, h.length)
		_, err := io.ReadFull(c.reader, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.reader), int64(most)+1))
	switch {
	case len(b) > most:
		return nil, errTooLarge
	case err != nil && !isTimeout(err) && !errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errors.Mark(err, errBadChunks)
	case err != nil:
		return nil, err
	}
	for n := 0; ; { // trailers concern this connection only
		line, err := c.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, errBadChunks
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 2 && line[0] == '\r' {
			return b, nil
		}
		if n += len(line); n > readBufferSize || len(line) < 2 || line[len(line)-2] != '\r' {
			return nil, errBadChunks
		}
	}
}
