package controlnode

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
)

// errOutcomeUnknown reports that the outcome of an order is unknown: it may be in effect, now or later. The order may
// be sent again, as orders are idempotent.
var errOutcomeUnknown = errors.New("no majority of the core nodes has answered in time: send the same again, it is taken once")

// httpStatusByDecision maps each kind of decision to an HTTP status.
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

// replyFor returns the operator API's reply for a decision.
func replyFor(decision orders.Decision) *feed.OperatorResponse {
	reply := &feed.OperatorResponse{Status: httpStatusByDecision[decision.Kind], Text: decision.Reason, Body: decision.Body}
	switch decision.Kind {
	case orders.Serving:
		reply.Body = []byte(`{"phase":"serving"}`)
	case orders.Complete:
		reply.Body = []byte(`{"phase":"complete"}`)
	}
	return reply
}

// headStatusQuery asks which node decides orders, as far as this node knows.
type headStatusQuery struct {
	isHead   bool   // this node decides orders
	headAddr string // empty if no head is known
}

func (q *headStatusQuery) handle(s *Server) {
	q.isHead, q.headAddr = s.node.IsActiveHead(), s.node.HeadAddr()
}

// headStatus reports whether this node decides orders, and the address of the node that does, as far as this node
// knows.
func (s *Server) headStatus() (isHead bool, headAddr string, err error) {
	query := &headStatusQuery{}
	if !s.runOnLoop(query) {
		return false, "", errNoHead
	}
	return query.isHead, query.headAddr, nil
}

// decideAtHeadRequest decides an order based on all entries of this head, committed or not. It completes once the
// entries to append are committed; if there are none, once the index that the decision depends on is committed and the
// epoch is confirmed.
type decideAtHeadRequest struct {
	order    orders.Order
	decision orders.Decision
	err      error
}

func (r *decideAtHeadRequest) start(s *Server, requestID int64) Ready {
	r.decision, r.err = orders.Decide(s.node.Chain().State().Entries, s.settings.FaultTolerance(), r.order)
	switch {
	case r.err != nil || !s.node.IsActiveHead():
		return Ready{Completed: []Completion{{RequestID: requestID, Outcome: OutcomeUnknown}}}
	case r.decision.Kind == orders.Accept:
		return s.appendEntries(requestID, r.decision.Append)
	}
	return s.node.Confirm(s.now(), requestID, r.decision.DependsOn)
}

// decideAtHead decides an order at this node, the head, and returns the decision once it may be reported.
func (s *Server) decideAtHead(ctx context.Context, order orders.Order) (orders.Decision, error) {
	request := &decideAtHeadRequest{order: order}
	completion, ok := s.submit(ctx, request)
	switch {
	case !ok:
		return orders.Decision{}, errOutcomeUnknown
	case request.err != nil:
		return orders.Decision{}, request.err
	case completion.Outcome != Committed:
		return orders.Decision{}, errOutcomeUnknown
	}
	return request.decision, nil
}

// appendEntries appends entries in order. The request completes once the last of them is committed. It runs on the event
// loop.
func (s *Server) appendEntries(requestID int64, writes []orders.Write) (all Ready) {
	for i, w := range writes {
		writeID := requestID
		if i < len(writes)-1 {
			s.lastRequestID++ // no caller waits for this ID
			writeID = s.lastRequestID
		}
		ready := s.node.Write(s.now(), writeID, w.Key, w.Value)
		all.MustSync = all.MustSync || ready.MustSync
		all.Messages = append(all.Messages, ready.Messages...)
		all.Completed = append(all.Completed, ready.Completed...)
	}
	return all
}

// readIndexRequest completes once the committed state of this node includes everything that was acknowledged before the
// request.
type readIndexRequest struct{}

func (readIndexRequest) start(s *Server, requestID int64) Ready {
	return s.node.ReadIndex(s.now(), requestID)
}

// decideCommittedQuery decides a read-only order based on the committed entries.
type decideCommittedQuery struct {
	order    orders.Order
	decision orders.Decision
	err      error
}

func (q *decideCommittedQuery) handle(s *Server) {
	q.decision, q.err = orders.Decide(s.node.Chain().Committed(0), s.settings.FaultTolerance(), q.order)
}

// decideAtTail decides a read-only order based on the committed entries, if this node is the tail. Otherwise it returns
// the address of the tail, empty if unknown.
func (s *Server) decideAtTail(ctx context.Context, order orders.Order) (d orders.Decision, tail string, err error) {
	completion, _ := s.submit(ctx, readIndexRequest{})
	switch completion.Outcome {
	case NotOwner:
		return d, completion.RedirectTo, nil
	case OutcomeUnknown:
		return d, "", errOutcomeUnknown
	}
	query := &decideCommittedQuery{order: order}
	if !s.runOnLoop(query) {
		return orders.Decision{}, "", errOutcomeUnknown
	}
	return query.decision, "", query.err
}

// retryUntilTimeout repeats a call until there is a reply or requestTimeout has passed. In the latter case the reply is
// 503 with the error of the last attempt, which is also logged.
func (s *Server) retryUntilTimeout(
	ctx context.Context, order string, call func(ctx context.Context) (*feed.OperatorResponse, error),
) *feed.OperatorResponse {
	callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var cause error
	for {
		reply, err := call(callCtx)
		if err == nil {
			return reply
		}
		if cause == nil || callCtx.Err() == nil { // the error of an attempt cut off by the time-out is not the cause
			cause = err
		}
		timer := time.NewTimer(retryInterval)
		select {
		case <-timer.C:
		case <-callCtx.Done():
			timer.Stop()
			return s.unknownOutcomeReply(ctx, order, cause)
		}
	}
}

// unknownOutcomeReply returns the reply to an order that was not decided in time. It logs the cause, unless the caller
// has disconnected.
func (s *Server) unknownOutcomeReply(ctx context.Context, order string, cause error) *feed.OperatorResponse {
	text := errOutcomeUnknown.Error()
	if !errors.Is(cause, errOutcomeUnknown) {
		text += " (last: " + cause.Error() + ")"
	}
	if ctx.Err() == nil {
		s.log.Info("order undecided", "order", order, "cause", cause)
	}
	return &feed.OperatorResponse{Status: http.StatusServiceUnavailable, Text: text}
}
