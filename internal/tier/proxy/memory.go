package proxy

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/membudget"
	"larchrouter/internal/tier/upstream"
)

const (
	// memoryRetryAfter is the Retry-After of a request that is rejected as the memory for requests is exhausted.
	memoryRetryAfter = 500 * time.Millisecond

	// memoryLogInterval is the time between two lines about requests that were rejected for that reason.
	memoryLogInterval = time.Second
)

// memoryLog counts the requests that were rejected as the memory for requests, or the number of connections, was exhausted.
type memoryLog struct {
	rejected atomic.Int64
	loggedAt atomic.Int64 // Unix time in nanoseconds of the last line
}

// logMemoryRejection counts a rejected request and logs the count, once in memoryLogInterval.
func (s *Server) logMemoryRejection() {
	count := s.memoryLog.rejected.Add(1)
	now := time.Now().UnixNano()
	last := s.memoryLog.loggedAt.Load()
	if now-last < int64(memoryLogInterval) || !s.memoryLog.loggedAt.CompareAndSwap(last, now) {
		return
	}
	usage := s.options.Memory.Usage()
	s.options.Log.Info("requests rejected: no memory or connection left for them", "count", count, "used", usage.Used, "limit", usage.Limit)
}

// serveMemory serves what the memory for requests is used for, as JSON.
func (s *Server) serveMemory(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.options.Memory.Usage())
}

// account returns the account for what the request makes the process hold while it is read. releaseMemory releases it.
func (r *request) account() *membudget.Account {
	if r.memory == nil {
		r.memory = r.server().options.Memory.Open(r.client.giveWay)
	}
	return r.memory
}

// servingAccount returns the account of a request that was read completely.
func (r *request) servingAccount() *membudget.Account {
	if r.memory == nil {
		r.account().Complete() // it holds nothing yet, so that it has not given way
	}
	return r.memory
}

// freeHeadBytes is the size of a response's head up to which it is not counted, as a request's is not.
const freeHeadBytes = readBufferSize

// holdHead counts a long head of a response as what the request makes the process hold. If there is no memory for it, the attempt is one
// that may have run and has no response.
func (r *request) holdHead(attempt *attempt) {
	response := attempt.Response
	if response == nil {
		return
	}
	size := response.HeadBytes + len(response.RefusalBody)
	if size <= freeHeadBytes {
		return
	}
	if err := r.servingAccount().Draw(int64(size)); err != nil {
		response.Finish()
		attempt.Result = upstream.Result{Outcome: upstream.MayHaveRun, Err: errors.Mark(err, upstream.ErrCancelled),
			ResponseStarted: true, ConnReused: attempt.ConnReused}
	}
}

// releaseMemory releases what the request made the process hold.
func (r *request) releaseMemory() {
	r.body = nil
	if r.memory != nil {
		r.memory.Release()
		r.memory = nil
	}
}

// giveWay ends the reading of a request because others need the memory or the connection. It does not block.
func (c *client) giveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaveWay = true
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// hasGivenWay reports whether the connection was told to give way.
func (c *client) hasGivenWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gaveWay
}

// readUntil sets the read deadline for a request, unless the connection must give way. A zero time is no deadline.
func (c *client) readUntil(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gaveWay {
		_ = c.SetReadDeadline(deadline)
	}
}
