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

	"larchrouter/internal/membudget"
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
	if !c.server.evictable.setReading(c) || !r.read(limits, startedAt) {
		r.releaseMemory()
		return nil
	}
	c.readUntil(time.Time{})
	c.advertisedIdle = limits.IdleTimeout
	return r
}

// read reads head and body. It returns false if the request was rejected or the client has disconnected.
func (r *request) read(limits routing.Limits, startedAt time.Time) bool {
	if !r.readHead(limits) {
		return false
	}
	r.client.readUntil(startedAt.Add(max(limits.HeaderTimeout, minBodyTimeout)))
	if !r.readBody(limits) {
		return false
	}
	r.client.shrinkReader()
	mayGoOn := r.memory == nil || r.memory.Complete()
	if !r.client.server.evictable.setServing(r.client) || !mayGoOn {
		r.rejectForMemory()
		return false
	}
	return true
}

// rejectForMemory rejects a request that was not read completely because others need the memory or the connection.
func (r *request) rejectForMemory() {
	r.server().logMemoryRejection()
	r.client.rejectUntil(r, http.StatusServiceUnavailable, memoryRetryAfter,
		"this front has no memory or no connection left for the request: come back after Retry-After")
}

// gaveWay reports whether reading failed because others need the memory or the connection.
func (r *request) gaveWay(err error) bool {
	return errors.Is(err, membudget.ErrExhausted) || isTimeout(err) && r.client.hasGivenWay()
}

// readHead reads the head. It returns false if the request was rejected or the client has disconnected.
func (r *request) readHead(limits routing.Limits) bool {
	b, err := r.peekHead(limits.MaxHeader)
	switch {
	case r.gaveWay(err):
		r.rejectForMemory()
		return false
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
	r.body, err = r.receiveBody(limits.MaxBody)
	switch {
	case err == nil:
		return true
	case r.gaveWay(err):
		r.rejectForMemory()
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
func (r *request) peekHead(maxBytes int) ([]byte, error) {
	c := r.client
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
		if searched == c.reader.Size() { // rare
			larger := min(2*searched, maxBytes+readBufferSize)
			if err := r.account().Draw(int64(larger)); err != nil {
				return nil, err
			}
			if err := c.replaceReader(larger); err != nil {
				return nil, err
			}
			continue
		}
		if _, err := c.reader.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// replaceReader replaces the reader by one of another size, which must have room for the bytes that are buffered, and starts with them.
func (c *client) replaceReader(size int) error {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	var reader *bufio.Reader
	if size == readBufferSize {
		reader = readerPool.Get().(*bufio.Reader)
	} else {
		reader = bufio.NewReaderSize(nil, size)
	}
	reader.Reset(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), &c.source))
	_, err := reader.Peek(len(buffered))
	c.reader = reader
	return err
}

// shrinkReader replaces a reader that was enlarged for a long head, unless it has too many bytes of the next request.
func (c *client) shrinkReader() {
	if c.reader.Size() > readBufferSize && c.reader.Buffered() <= readBufferSize {
		_ = c.replaceReader(readBufferSize) // comes again with the next read
	}
}

// receiveBody reads the complete body, of at most so many bytes. It returns errTooLarge for a longer one and an error marked with
// errBadChunks for chunks that cannot be parsed.
func (r *request) receiveBody(maxBytes int) (body, error) {
	c, h := r.client, r.head
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
		return r.readBodyParts(c.reader, int(h.length), maxBytes)
	}
	read, err := r.readBodyParts(httputil.NewChunkedReader(c.reader), -1, maxBytes)
	switch {
	case err == nil:
	case errors.Is(err, errTooLarge), errors.Is(err, membudget.ErrExhausted), isTimeout(err), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, err
	default:
		return nil, errors.Mark(err, errBadChunks)
	}
	if err := c.discardTrailers(); err != nil {
		return nil, err
	}
	return read, nil
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
