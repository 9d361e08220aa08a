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

// putOrder returns a function that makes the order of a request at its first call: to parse a large
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

// put decides a configuration at the head: here, or by forwarding it, or by redirecting the caller where it
// is large.
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
		s.log.Info("configuration taken", "version", order().Version, "ms", time.Since(startedAt).Milliseconds())
	case !decision.Kind.IsAcknowledgement():
		s.log.Info("configuration not taken", "version", order().Version, "if_match", request.IfMatch, "outcome", decision.Kind,
			"reason", decision.Reason)
	}
	return replyFor(decision), nil
}

// handleRetire decides an order to empty a store at the head: here, or by forwarding it.
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

// handleRead reads the newest configuration at the tail.
func (s *Server) handleRead(ctx context.Context, request *feed.OperatorRequest) (*feed.OperatorResponse, error) {
	return s.answerQuery(ctx, request, orders.ReadConfig{}, feed.ReadConfigCall)
}

// handlePhase reads at the tail how far the emptying of a store is.
func (s *Server) handlePhase(ctx context.Context, request *feed.OperatorRequest) (*feed.OperatorResponse, error) {
	return s.answerQuery(ctx, request, orders.StorePhase{Name: request.Name}, feed.StorePhaseCall)
}

// answerQuery decides an order that only reads at the tail: here, or by forwarding it, or by redirecting the
// caller where the answer is large.
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

// configSize returns the size of the configuration as this node has it, in bytes.
func (s *Server) configSize() int {
	query := &configSizeQuery{}
	s.runOnLoop(query)
	return query.size
}
