package controlnode

import (
	"context"
	"slices"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/placement"
)

// registerStoreRequest records a registration of a store, if this node is the confirmed head.
type registerStoreRequest struct {
	registration *feed.Registration
	isHead       bool
	headAddr     string // unless isHead
}

func (r *registerStoreRequest) handle(s *Server) {
	if r.isHead = s.node.IsConfirmedHead(); !r.isHead {
		r.headAddr = s.node.HeadAddr()
		return
	}
	s.assumePlacementRole()
	placement.Register(s.placementRole.stores, placement.Registration{
		Store:           r.registration.Store,
		Generation:      r.registration.Generation,
		SweptGeneration: r.registration.SweptGeneration,
		Full:            r.registration.Full,
	}, s.now(), s.placementTimings())
}

// handleRegister records a registration if this node is the head, and forwards it to the head otherwise. Stores repeat
// their registrations.
func (s *Server) handleRegister(ctx context.Context, registration *feed.Registration) (*feed.Empty, error) {
	request := &registerStoreRequest{registration: registration}
	if !s.runOnLoop(request) {
		return nil, errStopping
	}
	if request.isHead {
		return &feed.Empty{}, nil
	}
	if registration.Forwarded {
		return nil, errNoHead
	}
	registration.Forwarded = true
	return forward[feed.Registration, feed.Empty](ctx, s, request.headAddr, feed.RegisterCall, registration)
}

// fullStoreNames returns the names of the stores that report that they reject new turns because their disk, or their
// memory of ledgers, is nearly full. Only the head has the registrations; on other nodes it returns nil. It runs on the
// event loop.
func (s *Server) fullStoreNames() (names []string) {
	if !s.node.IsConfirmedHead() {
		return nil
	}
	for _, r := range s.placementRole.stores {
		if r.Full && s.now()-r.LastSeen < s.placementTimings().RemovalTimeout {
			names = append(names, r.Store.Name)
		}
	}
	slices.Sort(names)
	return names
}

// placementTimings returns the planner's time-outs.
func (s *Server) placementTimings() placement.Timings {
	return placement.DefaultTimings(s.settings.TimingBound("contact_ms", 3*time.Second))
}
