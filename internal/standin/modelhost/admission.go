package modelhost

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// defaultPriority is the priority of a request without the header Priority. Lower numbers are served first.
const defaultPriority = 5

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	admitted chan struct{} // closed when it gets a slot
}

// admit waits for a slot and returns the function that releases it. It returns false if the queue is full, the caller
// closed the connection or the request's deadline passed.
func (h *Host) admit(ctx context.Context, req *http.Request) (release func(), ok bool) {
	w := &waiter{priority: defaultPriority, admitted: make(chan struct{})}
	if priority, err := strconv.Atoi(req.Header.Get("Priority")); err == nil {
		w.priority = priority
	}
	h.mu.Lock()
	if h.running < h.opts.Capacity {
		h.running++
		close(w.admitted)
	} else if len(h.waiting) < h.opts.QueueLimit {
		behindEqual := func(a, b *waiter) int { return cmp.Or(cmp.Compare(a.priority, b.priority), -1) }
		i, _ := slices.BinarySearchFunc(h.waiting, w, behindEqual)
		h.waiting = slices.Insert(h.waiting, i, w)
	} else {
		h.mu.Unlock()
		return nil, false
	}
	h.mu.Unlock()
	select {
	case <-w.admitted:
		return h.release, true
	case <-ctx.Done():
	}
	h.mu.Lock()
	i := slices.Index(h.waiting, w)
	if i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
	}
	h.mu.Unlock()
	if i < 0 { // admitted at the same time
		h.release()
	}
	return nil, false
}

// release passes a slot on to the first waiter, or frees it.
func (h *Host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.waiting) > 0 {
		close(h.waiting[0].admitted)
		h.waiting = slices.Delete(h.waiting, 0, 1)
		return
	}
	h.running--
}

// requestContext returns a context that ends with the request's deadline, the connection or the host. The caller calls
// stop; until then nothing else may read from the connection.
func (h *Host) requestContext(c *conn, req *http.Request) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(h.ctx)
	endDeadline := func() {}
	if ms, err := strconv.Atoi(req.Header.Get("X-Time-Left-Ms")); err == nil {
		ctx, endDeadline = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := c.reader.Peek(1); err != nil && !isTimeout(err) {
			cancel(errClientClosed)
		}
	}()
	return ctx, func() {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // ends the Peek
		<-done
		_ = c.SetReadDeadline(time.Time{})
		endDeadline()
		cancel(nil)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// requestTokens returns the tokens of memory that a request needs while it runs.
func requestTokens(req *http.Request) int {
	in, out := parseTokenUsage(req.Header.Get("X-Token-Usage"))
	return in + out
}
