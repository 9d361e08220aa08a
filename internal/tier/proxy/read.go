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

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

func isTimeout(err error) bool {
	return err != nil && errors.Is(err, os.ErrDeadlineExceeded)
}

// readRequest reads a request. It returns nil if the request was rejected or the client has disconnected.
func (c *client) readRequest() *request {
	limits := c.server.limits()
	startedAt := c.endIdle(limits)
	r := &request{client: c, arrivedAt: c.nextArrivedAt, idleTimeout: limits.IdleTimeout}
	if !r.readHead(limits) {
		return nil
	}
	_ = c.SetReadDeadline(startedAt.Add(max(limits.HeaderTimeout, minBodyTimeout)))
	if !r.readBody(limits) {
		return nil
	}
	_ = c.SetReadDeadline(time.Time{})
	c.advertisedIdle = limits.IdleTimeout
	return r
}

// readHead reads the head. It returns false if the request was rejected or the client has disconnected.
func (r *request) readHead(limits routing.Limits) bool {
	b, err := r.client.peekHead(limits.MaxHeader)
	switch {
	case errors.Is(err, errTooLarge):
		r.client.reject(r, http.StatusRequestHeaderFieldsTooLarge,
			fmt.Sprintf("the header is over %d bytes: send less", limits.MaxHeader))
		return false
	case isTimeout(err):
		r.client.reject(r, http.StatusRequestTimeout,
			fmt.Sprintf("the header was not in after %v: send it at once", limits.HeaderTimeout))
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

// readBody reads the body. It returns false if the request was rejected or the client has disconnected.
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

// peekHead returns the next head, with headEnd, of at most so many bytes, and leaves it in the reader. It returns
// errTooLarge for a longer one.
func (c *client) peekHead(maxBytes int) ([]byte, error) {
	for searched := 0; ; {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		from := max(0, searched-len(headEnd)+1)
		if i := bytes.Index(buffered[from:], headEnd); i >= 0 {
			if n := from + i + len(headEnd); n <= maxBytes {
				return buffered[:n], nil
			}
			return nil, errTooLarge
		}
		if searched = len(buffered); searched > maxBytes {
			return nil, errTooLarge
		}
		if searched == c.reader.Size() { // rare: replaced by a larger reader that starts with the bytes of the old one
			source := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), &c.source)
			c.reader = bufio.NewReaderSize(source, maxBytes+readBufferSize)
			if _, err := c.reader.Peek(searched); err != nil {
				return nil, err
			}
			continue
		}
		if _, err := c.reader.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// readBody reads the complete body, of at most so many bytes. It returns errTooLarge for a longer one and an error marked with
// errBadChunks for chunks that cannot be parsed.
func (c *client) readBody(h *head, maxBytes int) ([]byte, error) {
	if h.length == 0 {
		return nil, nil
	}
	if h.length > int64(maxBytes) {
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
	b, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.reader), int64(maxBytes)+1))
	switch {
	case len(b) > maxBytes:
		return nil, errTooLarge
	case err != nil && !isTimeout(err) && !errors.Is(err, io.ErrUnexpectedEOF):
		return nil, errors.Mark(err, errBadChunks)
	case err != nil:
		return nil, err
	}
	if err := c.discardTrailers(); err != nil {
		return nil, err
	}
	return b, nil
}

// discardTrailers reads the trailers behind the last chunk, which are hop-by-hop, and the blank line that ends them.
func (c *client) discardTrailers() error {
	for n := 0; ; {
		line, err := c.reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return errBadChunks
		}
		if err != nil {
			return err
		}
		if len(line) == 2 && line[0] == '\r' {
			return nil
		}
		if n += len(line); n > readBufferSize || len(line) < 2 || line[len(line)-2] != '\r' {
			return errBadChunks
		}
	}
}
