package controlnode

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
)

// errUnclear says that nothing is known of an order: it may be in force, now or later.
var errUnclear = errors.New("no majority of the core nodes has answered in time: send the same again, it is taken once")

// statuses are what operators are answered for each kind of decision.
var statuses = map[orders.Kind]int{
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

// replyTo puts a decision in the operator's terms.
func replyTo(d orders.Decision) *feed.Reply {
	r := &feed.Reply{Status: statuses[d.Kind], Text: d.Reason, Body: d.Body}
	switch d.Kind {
	case orders.Serving:
		r.Body = []byte(`{"phase":"serving"}`)
	case orders.Complete:
		r.Body = []byte(`{"phase":"complete"}`)
	}
	return r
}

// headNow tells whether this node decides orders, and otherwise who does, as far as it knows.
func (c *Core) headNow() (here bool, addr string, err error) {
	if !c.do(func() { here, addr = c.node.Leads(), c.node.HeadAddr() }) {
		return false, "", errNoHead
	}
	return here, addr, nil
}

// decideAtHead decides an order in the state as this node, the head, has it, and returns the decision once it may be
// told: once what is to be appended is committed, or what the decision rests on is committed and the epoch confirmed.
func (c *Core) decideAtHead(ctx context.Context, o orders.Order) (orders.Decision, error) {
	var d orders.Decision
	var err error
	done, heard := c.ask(ctx, func(requestID int64) Output {
		d, err = orders.Decide(c.node.Chain().State().Entries, c.set.FaultTolerance(), o)
		switch {
		case err != nil || !c.node.Leads():
			return Output{Done: []Done{{RequestID: requestID, Kind: Unclear}}}
		case d.Kind == orders.Accept:
			return c.appendAll(requestID, d.Append)
		}
		return c.confirm(requestID, d.DependsOn)
	})
	switch {
	case !heard:
		return orders.Decision{}, errUnclear
	case err != nil:
		return orders.Decision{}, err
	case done.Kind != Committed:
		return orders.Decision{}, errUnclear
	}
	return d, nil
}

// appendAll appends entries in their order. The request is done once the last of them is committed. It runs in the loop.
func (c *Core) appendAll(requestID int64, writes []orders.Write) (all Output) {
	for i, w := range writes {
		one := requestID
		if i < len(writes)-1 {
			c.lastRequestID++ // nobody waits for it
			one = c.lastRequestID
		}
		o := c.node.Write(c.now(), one, w.Key, w.Value)
		all.Dirty = all.Dirty || o.Dirty
		all.Send = append(all.Send, o.Send...)
		all.Done = append(all.Done, o.Done...)
	}
	return all
}

// confirm ends in a Done: Committed once the index is committed and a majority has confirmed the epoch since this call.
// It runs in the loop.
func (c *Core) confirm(requestID, index int64) Output {
	return c.node.Confirm(c.now(), requestID, index)
}

// decideAtTail decides an order that only asks, in what is committed: at the tail, or at this node passed on to it.
func (c *Core) decideAtTail(ctx context.Context, o orders.Order) (d orders.Decision, tail string, err error) {
	done, _ := c.ask(ctx, func(requestID int64) Output { return c.node.Read(c.now(), requestID) })
	switch done.Kind {
	case Elsewhere:
		return d, done.To, nil
	case Unclear:
		return d, "", errUnclear
	}
	if !c.do(func() {
		d, err = orders.Decide(c.node.Chain().Committed(0), c.set.FaultTolerance(), o)
	}) {
		return orders.Decision{}, "", errUnclear
	}
	return d, "", err
}

// caller is one that waits for the Done of a request.
type caller struct {
	done chan Done
	ctx  context.Context // of the call: the caller has given up once it ends
}

// newToken makes a request ID whose Done goes to a channel as long as the call lasts. It runs in the loop.
func (c *Core) newToken(ctx context.Context, done chan Done) int64 {
	c.dropAbandoned()
	c.lastRequestID++
	c.pending[c.lastRequestID] = caller{done, ctx}
	return c.lastRequestID
}

// dropAbandoned forgets the callers that have given up. It runs in the loop.
func (c *Core) dropAbandoned() {
	for requestID, w := range c.pending {
		if w.ctx.Err() != nil {
			delete(c.pending, requestID)
		}
	}
}

// ask begins something of the node that ends in a Done, for as long as callers wait. Where heard is false the caller
// waited in vain, and f may still run: what it changes must not be looked at.
func (c *Core) ask(ctx context.Context, f func(requestID int64) Output) (done Done, heard bool) {
	ctx, cancel := context.WithTimeout(ctx, answerIn)
	defer cancel()
	ch := make(chan Done, 1)
	begin := func() {
		if ctx.Err() == nil {
			c.add(f(c.newToken(ctx, ch)))
		}
	}
	select {
	case c.events <- begin:
	case <-ctx.Done():
		return Done{Kind: Unclear}, false
	case <-c.ctx.Done():
		return Done{Kind: Unclear}, false
	}
	select {
	case done = <-ch:
		return done, true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return Done{Kind: Unclear}, false
}

// patiently asks again until there is a reply or the caller would take the node for dead.
func patiently(ctx context.Context, ask func(ctx context.Context) (*feed.Reply, error)) *feed.Reply {
	ctx, done := context.WithTimeout(ctx, answerIn)
	defer done()
	for {
		reply, err := ask(ctx)
		if err == nil {
			return reply
		}
		t := time.NewTimer(retryWithin)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return &feed.Reply{Status: http.StatusServiceUnavailable, Text: errUnclear.Error()}
		}
	}
}
