package controlnode

import (
	"context"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/placement"
)

// stopStoreRequest decides whether a store may stop, if this node is the confirmed head.
type stopStoreRequest struct {
	id       string
	isHead   bool
	headAddr string // unless isHead
	decision placement.StopDecision
}

func (r *stopStoreRequest) handle(s *Server) {
	if r.isHead = s.node.IsConfirmedHead(); !r.isHead {
		r.headAddr = s.node.HeadAddr()
		return
	}
	s.assumePlacementRole()
	r.decision = placement.RequestStop(s.plannerInput(s.now()), r.id, s.placementTimings())
	s.log.Debug("a store was told to stop", "id", r.id, "decision", r.decision)
}

// handleStopStore answers a store that was told to stop. It forwards the request to the head if that is another node. A head of an
// earlier version has no say in it.
func (s *Server) handleStopStore(ctx context.Context, message *feed.StopStoreRequest) (*feed.StopStoreResponse, error) {
	request := &stopStoreRequest{id: message.ID}
	if !s.runOnLoop(request) {
		return nil, errStopping
	}
	if request.isHead {
		return &feed.StopStoreResponse{
			MayStop: request.decision != placement.StopDenied,
			Placed:  request.decision != placement.StopUnplaced,
		}, nil
	}
	if message.Forwarded {
		return nil, errNoHead
	}
	message.Forwarded = true
	response, err := forward[feed.StopStoreRequest, feed.StopStoreResponse](ctx, s, request.headAddr, feed.StopStoreCall, message)
	if errors.Is(err, rpc.ErrUnknownMethod) {
		return &feed.StopStoreResponse{MayStop: true, Placed: true}, nil
	}
	return response, err
}
