package controlnode

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/membudget"
)

const (
	orderBodyTimeout = 15 * time.Second // for a body to be read
	firstOrderPart   = 16 << 10         // bytes that are allocated for a body ahead of it
	orderCopies      = 2                // that are made of a body until it is decided, such as by its parser
)

// maxConfigBody returns the size of a configuration, at most, in bytes.
func (s *Server) maxConfigBody() int64 {
	if s.settings.Limits.MemoryMB <= 0 {
		return maxConfigBody
	}
	return min(maxConfigBody, int64(s.settings.Limits.MemoryMB*(1<<20))/configMemoryPart)
}

// getMemory serves GET /api/memory: what the memory for callers is used for.
func (s *Server) getMemory(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.memory.Usage())
}

// orderBody is the body of an operator's order, and the account of what it makes the node hold.
type orderBody struct {
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	account    *membudget.Account
}

// newOrderBody returns the body of a request, of which nothing is read. The caller releases it.
func (s *Server) newOrderBody(w http.ResponseWriter, r *http.Request) *orderBody {
	b := &orderBody{w: w, r: r, controller: http.NewResponseController(w)}
	b.account = s.memory.Open(func() { _ = b.controller.SetReadDeadline(time.Unix(1, 0)) })
	return b
}

func (b *orderBody) release() { b.account.Release() }

// read reads the body, of at most so many bytes, as the memory allows. A longer one ends in a http.MaxBytesError.
func (b *orderBody) read(maxBytes int64) ([]byte, error) {
	if b.r.ContentLength > maxBytes {
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	_ = b.controller.SetReadDeadline(time.Now().Add(orderBodyTimeout)) // before the first draw, as an eviction sets it as well
	body, err := b.readAll(http.MaxBytesReader(b.w, b.r.Body, maxBytes), int(maxBytes))
	if err == nil {
		err = b.account.Draw(orderCopies * int64(len(body)))
	}
	if !b.account.Complete() && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		err = membudget.ErrEvicted
	}
	if err == nil {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return body, err
}

// readAll reads to the end of a source that ends after maxBytes at most. What is allocated grows with what has come, up to maxBytes.
func (b *orderBody) readAll(source io.Reader, maxBytes int) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) && len(body) < maxBytes {
			more := min(max(firstOrderPart, cap(body)), maxBytes-cap(body))
			if err := b.account.Draw(int64(more)); err != nil {
				return nil, err
			}
			larger := make([]byte, len(body), cap(body)+more)
			copy(larger, body)
			body = larger
		}
		next := body[len(body):cap(body)]
		if len(next) == 0 {
			next = make([]byte, 1) // for the end alone
		}
		n, err := source.Read(next)
		body = body[:min(len(body)+n, cap(body))]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
