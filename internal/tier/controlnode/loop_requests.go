package controlnode

import (
	"context"
)

// loopRequest is work that another goroutine passes to the event loop. The types that implement it are next to the
// functions that submit them: their names end in Request if they change something, in Query if they only read. Results
// are fields of the request; the caller reads them once runOnLoop has returned true.
type loopRequest interface {
	// handle runs on the event loop. It may use all state that the loop owns, and must not block.
	handle(s *Server)
}

// queuedRequest is a request on its way to the event loop.
type queuedRequest struct {
	request loopRequest
	// synced has a buffer of one and may be nil. It gets true once everything that the request could read is on disk, or
	// false if the request was rejected.
	synced chan bool
}

// reject ends a request without handling it, as the disk is full.
func (q queuedRequest) reject() {
	if q.synced != nil {
		q.synced <- false
	}
	if p, ok := q.request.(*submission); ok {
		p.completed <- Completion{Outcome: OutcomeUnknown}
	}
}

// runOnLoop makes the event loop handle a request, and waits until the batch of the request is on disk: the caller may
// then report what the request has read. It returns false if the server stops or its disk is full; the request may have
// run nevertheless, or may run later, so its results must not be used.
func (s *Server) runOnLoop(request loopRequest) bool {
	synced := make(chan bool, 1)
	select {
	case s.requests <- queuedRequest{request: request, synced: synced}:
	case <-s.ctx.Done():
		return false
	}
	select {
	case ok := <-synced:
		return ok
	case <-s.ctx.Done():
		return false
	}
}

// handleRequest handles a request on the event loop. Its caller is woken by deliver after the batch is synced.
func (s *Server) handleRequest(q queuedRequest) {
	q.request.handle(s)
	if q.synced != nil {
		s.awaitingSync = append(s.awaitingSync, q.synced)
	}
}

// nodeRequest is a request to the node that ends in a Completion with its request ID.
type nodeRequest interface {
	// start passes the request to the node. It runs on the event loop.
	start(s *Server, requestID int64) Ready
}

// submission is a nodeRequest on its way to the event loop, with the caller that waits for its completion.
type submission struct {
	ctx       context.Context // of the call; the caller has abandoned the request once it ends
	request   nodeRequest
	completed chan Completion // buffer of one
}

// handle starts the request, unless its caller has abandoned it.
func (p *submission) handle(s *Server) {
	if p.ctx.Err() == nil {
		s.mergeReady(p.request.start(s, s.newRequestID(p.ctx, p.completed)))
	}
}

// submit passes a request to the node and waits for its completion, for requestTimeout at most. If ok is false, it did
// not complete in time; the request may still run, so its fields must not be read.
func (s *Server) submit(ctx context.Context, request nodeRequest) (completion Completion, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	p := &submission{ctx: ctx, request: request, completed: make(chan Completion, 1)}
	select {
	case s.requests <- queuedRequest{request: p}:
	case <-ctx.Done():
		return Completion{Outcome: OutcomeUnknown}, false
	case <-s.ctx.Done():
		return Completion{Outcome: OutcomeUnknown}, false
	}
	select {
	case completion = <-p.completed:
		return completion, true
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return Completion{Outcome: OutcomeUnknown}, false
}

// pendingRequest is a request with a caller that waits for its completion.
type pendingRequest struct {
	completed chan Completion
	ctx       context.Context // of the call; the caller has abandoned the request once it ends
}

// newRequestID returns the ID of a new request. Its completion is sent to the channel unless the call has ended by then.
// It runs on the event loop.
func (s *Server) newRequestID(ctx context.Context, completed chan Completion) int64 {
	s.dropAbandoned()
	s.lastRequestID++
	s.pendingRequests[s.lastRequestID] = pendingRequest{completed, ctx}
	return s.lastRequestID
}

// dropAbandoned removes the pending requests whose callers have abandoned them. It runs on the event loop.
func (s *Server) dropAbandoned() {
	for requestID, p := range s.pendingRequests {
		if p.ctx.Err() != nil {
			delete(s.pendingRequests, requestID)
		}
	}
}
