package controlnode

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
)

// errOutcomeUnknown says that nothing is known of an order: it may be in force, now or later.
var errOutcomeUnknown = errors.New("no majority of the core nodes has answered in time: send the same again, it is taken once")

// httpStatusByDecision are what operators are answered for each kind of decision.
var httpStatusByDecision = map[orders.Kind]int{
	orders.Accept:          http.StatusOK,
	orders.AlreadyApplied:  http.StatusOK,
	orders.InProgress:      http.StatusOK,
	orders.Retired:         http.StatusOK,
	orders.Found:           http.StatusOK,
	orders.Serving:         http.StatusOK,
	orders.Complete:        http.StatusOK,
	orders.VersionMismatch: http.StatusPreconditionFailed,
	orders.Invalid:         http.StatusBadRequest,
	orders.NotFound:        http.StatusNotFound,
	orders.Conflict:        http.StatusConflict,
	orders.Unavailable:     http.StatusServiceUnavailable,
}

// replyFor puts a decision in the operator's terms.
func replyFor(d orders.Decision) *feed.Reply {
	r := &feed.Reply{Status: httpStatusByDecision[d.Kind], Text: d.Reason, Body: d.Body}
	switch d.Kind {
	case orders.Serving:
		r.Body = []byte(`{"phase":"serving"}`)
	case orders.Complete:
		r.Body = []byte(`{"phase":"complete"}`)
	}
	return r
}

// headStatus tells whether this node decides orders, and otherwise who does, as far as it knows.
func (c *Server) headStatus() (here bool, addr string, err error) {
	if !c.runOnLoop(func() { here, addr = c.node.IsActiveHead(), c.node.HeadAddr() }) {
		return false, "", errNoHead
	}
	return here, addr, nil
}

// decideAtHead decides an order in the state as this node, the head, has it, and returns the decision once it may be
// told: once what is to be appended is committed, or what the decision rests on is committed and the epoch confirmed.
func (c *Server) decideAtHead(ctx context.Context, o orders.Order) (orders.Decision, error) {
	var d orders.Decision
	var err error
	done, heard := c.submit(ctx, func(requestID int64) Ready {
		d, err = orders.Decide(c.node.Chain().State().Entries, c.settings.FaultTolerance(), o)
		switch {
		case err != nil || !c.node.IsActiveHead():
			return Ready{Completed: []Completion{{RequestID: requestID, Outcome: OutcomeUnknown}}}
		case d.Kind == orders.Accept:
			return c.appendEntries(requestID, d.Append)
		}
		return c.confirm(requestID, d.DependsOn)
	})
	switch {
	case !heard:
		return orders.Decision{}, errOutcomeUnknown
	case err != nil:
		return orders.Decision{}, err
	case done.Outcome != Committed:
		return orders.Decision{}, errOutcomeUnknown
	}
	return d, nil
}

// appendEntries appends entries in their order. The request is done once the last of them is committed. It runs in the loop.
func (c *Server) appendEntries(requestID int64, writes []orders.Write) (all Ready) {
	for i, w := range writes {
		one := requestID
		if i < len(writes)-1 {
			c.lastRequestID++ // nobody waits for it
			one = c.lastRequestID
		}
		o := c.node.Write(c.now(), one, w.Key, w.Value)
		all.MustSync = all.MustSync || o.MustSync
		all.Messages = append(all.Messages, o.Messages...)
		all.Completed = append(all.Completed, o.Completed...)
	}
	return all
}

// confirm ends in a Done: Committed once the index is committed and a majority has confirmed the epoch since this call.
// It runs in the loop.
func (c *Server) confirm(requestID, index int64) Ready {
	return c.node.Confirm(c.now(), requestID, index)
}

// decideAtTail decides an order that only asks, in what is committed: at the tail, or at this node passed on to it.
func (c *Server) decideAtTail(ctx context.Context, o orders.Order) (d orders.Decision, tail string, err error) {
	done, _ := c.submit(ctx, func(requestID int64) Ready { return c.node.ReadIndex(c.now(), requestID) })
	switch done.Outcome {
	case NotHere:
		return d, done.RedirectTo, nil
	case OutcomeUnknown:
		return d, "", errOutcomeUnknown
	}
	if !c.runOnLoop(func() {
		d, err = orders.Decide(c.node.Chain().Committed(0), c.settings.FaultTolerance(), o)
	}) {
		return orders.Decision{}, "", errOutcomeUnknown
	}
	return d, "", err
}

// pendingRequest is one that waits for the Done of a request.
type pendingRequest struct {
	done chan Completion
	ctx  context.Context // of the call: the caller has given up once it ends
}

// newRequestID makes a request ID whose Done goes to a channel as long as the call lasts. It runs in the loop.
func (c *Server) newRequestID(ctx context.Context, done chan Completion) int64 {
	c.dropAbandoned()
	c.lastRequestID++
	c.pendingRequests[c.lastRequestID] = pendingRequest{done, ctx}
	return c.lastRequestID
}

// dropAbandoned forgets the callers that have given up. It runs in the loop.
func (c *Server) dropAbandoned() {
	for requestID, w := range c.pendingRequests {
		if w.ctx.Err() != nil {
			delete(c.pendingRequests, requestID)
		}
	}
}

// submit begins something of the node that ends in a Done, for as long as callers wait. Where heard is false the caller
// waited in vain, and f may still run: what it changes must not be looked at.
func (c *Server) submit(ctx context.Context, f func(requestID int64) Ready) (done Completion, heard bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	ch := make(chan Completion, 1)
	begin := func() {
		if ctx.Err() == nil {
			c.mergeReady(f(c.newRequestID(ctx, ch)))
		}
	}
	select {
	case c.requests <- begin:
	case <-ctx.Done():
		return Completion{Outcome: OutcomeUnknown}, false
	case <-c.ctx.Done():
		return Completion{Outcome: OutcomeUnknown}, false
	}
	select {
	case done = <-ch:
		return done, true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return Completion{Outcome: OutcomeUnknown}, false
}

// retryUntilTimeout asks again until there is a reply or the caller would take the node for dead.
func retryUntilTimeout(ctx context.Context, ask func(ctx context.Context) (*feed.Reply, error)) *feed.Reply {
	ctx, done := context.WithTimeout(ctx, requestTimeout)
	defer done()
	for {
		reply, err := ask(ctx)
		if err == nil {
			return reply
		}
		t := time.NewTimer(retryInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return &feed.Reply{Status: http.StatusServiceUnavailable, Text: errOutcomeUnknown.Error()}
		}
	}
}
