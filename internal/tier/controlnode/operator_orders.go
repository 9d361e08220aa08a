package controlnode

import (
	"context"
	"sync"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/orders"
	"larchrouter/internal/tier/routing"
)

// putOrder returns a function that creates the order of a request at its first call, since parsing a large
// configuration takes time.
func putOrder(request *feed.PutConfigRequest) func() orders.PutConfig {
	return sync.OnceValue(func() orders.PutConfig {
		order := orders.PutConfig{IfMatch: request.IfMatch, Digest: orders.Digest(request.Body), Body: request.Body}
		if config, err := routing.Parse(request.Body); err != nil {
			order.Invalid = err.Error()
		} else {
			order.Version = config.Version
		}
		return order
	})
}

// handlePut handles a configuration that another node has forwarded.
func (s *Server) handlePut(ctx context.Context, request *feed.PutConfigRequest) (*feed.OperatorResponse, error) {
	return s.put(ctx, request, putOrder(request))
}

// put decides an order for a configuration if this node is the head. Otherwise it forwards the request to the head, or
// redirects the caller if the body is large.
func (s *Server) put(ctx context.Context, request *feed.PutConfigRequest, order func() orders.PutConfig) (*feed.OperatorResponse, error) {
	isHead, head, err := s.headStatus()
	switch {
	case err != nil:
		return nil, err
	case !isHead && request.Forwarded:
		return nil, errOutcomeUnknown
	case !isHead && len(request.Body) > maxForwardedBody && head != "":
		return s.redirect(head, configPath), nil
	case !isHead:
		forwarded := *request
		forwarded.Forwarded = true
		return forward[feed.PutConfigRequest, feed.OperatorResponse](ctx, s, head, feed.PutConfigCall, &forwarded)
	}
	startedAt := time.Now()
	decision, err := s.decideAtHead(ctx, order())
	if err != nil {
		return nil, err
	}
	switch {
	case decision.Kind == orders.Accept:
		s.log.Info("configuration accepted", "version", order().Version, "ms", time.Since(startedAt).Milliseconds())
	case !decision.Kind.IsAcknowledgement():
		s.log.Info("configuration not accepted", "version", order().Version, "if_match", request.IfMatch, "outcome", decision.Kind,
			"reason", decision.Reason)
	}
	return replyFor(decision), nil
}

// handleRetire decides an order to retire a store if this node is the head, and forwards it to the head otherwise.
func (s *Server) handleRetire(ctx context.Context, request *feed.OperatorRequest) (*feed.OperatorResponse, error) {
	isHead, head, err := s.headStatus()
	switch {
	case err != nil:
		return nil, err
	case !isHead && request.Forwarded:
		return nil, errOutcomeUnknown
	case !isHead:
		forwarded := &feed.OperatorRequest{Name: request.Name, Forwarded: true}
		return forward[feed.OperatorRequest, feed.OperatorResponse](ctx, s, head, feed.RetireStoreCall, forwarded)
	}
	decision, err := s.decideAtHead(ctx, orders.RetireStore{Name: request.Name})
	if err != nil {
		return nil, err
	}
	return replyFor(decision), nil
}

// handleRead returns the newest configuration, read at the tail.
func (s *Server) handleRead(ctx context.Context, request *feed.OperatorRequest) (*feed.OperatorResponse, error) {
	return s.answerQuery(ctx, request, orders.ReadConfig{}, feed.ReadConfigCall)
}

// handlePhase returns the phase of a store's retirement, read at the tail.
func (s *Server) handlePhase(ctx context.Context, request *feed.OperatorRequest) (*feed.OperatorResponse, error) {
	return s.answerQuery(ctx, request, orders.StorePhase{Name: request.Name}, feed.StorePhaseCall)
}

// answerQuery decides a read-only order if this node is the tail. Otherwise it forwards the order to the tail, or
// redirects the caller if the answer is large.
func (s *Server) answerQuery(
	ctx context.Context, request *feed.OperatorRequest, order orders.Order, call rpc.Method,
) (*feed.OperatorResponse, error) {
	decision, tail, err := s.decideAtTail(ctx, order)
	switch {
	case err != nil:
		return nil, err
	case tail != "" && !request.Forwarded && call == feed.ReadConfigCall && s.configSize() > maxForwardedBody:
		return s.redirect(tail, configPath), nil
	case tail != "" && !request.Forwarded:
		forwarded := &feed.OperatorRequest{Name: request.Name, Forwarded: true}
		return forward[feed.OperatorRequest, feed.OperatorResponse](ctx, s, tail, call, forwarded)
	case decision.Kind == 0:
		return nil, errOutcomeUnknown
	}
	return replyFor(decision), nil
}

// configSizeQuery returns the size of this node's newest configuration in bytes, committed or not.
type configSizeQuery struct{ size int }

func (q *configSizeQuery) handle(s *Server) {
	e, _ := s.node.Chain().LastEntry(feed.ConfigKey)
	q.size = len(e.Value)
}

// configSize returns the size of this node's newest configuration in bytes, committed or not.
func (s *Server) configSize() int {
	query := &configSizeQuery{}
	s.runOnLoop(query)
	return query.size
}
