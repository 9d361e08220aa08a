package controlnode

import (
	"context"
	"time"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/lease"
)

// defaultLeaseTerm is the term of the lease where the settings name none.
const defaultLeaseTerm = 3 * time.Second

// leaseParams returns the figures of the lease on the singleton duties by the settings.
func (s *Server) leaseParams() lease.Params {
	return lease.Params{Term: s.settings.TimingBound("lease_term_ms", defaultLeaseTerm), MaxDrift: lease.DefaultMaxDrift}
}

// dutyGrant is the lease as the goroutine of the duties sees it. It is immutable.
type dutyGrant struct {
	epoch int64
	until time.Time // with a monotonic reading
}

// updateLease has the lease follow the node, after the sync of a batch. It runs on the event loop.
func (s *Server) updateLease() {
	now, view := s.now(), s.node.View()
	observation := lease.Observation{
		Epoch:  view.Epoch,
		IsHead: view.Head() == s.self.ID,
		Active: s.node.IsActiveHead() && !s.node.leaving,
	}
	observation.ConfirmedAt, observation.HasConfirmed = s.node.confirmedRoundSentAt()
	release, ok := s.lease.Observe(now, observation)
	s.publishGrant(now)
	if ok {
		s.sendRelease(release)
	}
}

// publishGrant publishes what the lease grants now, and logs where that has changed. It runs on the event loop.
func (s *Server) publishGrant(now time.Duration) {
	before := s.taskGrant.Load()
	grant, held := s.lease.Grant(now)
	switch {
	case held && before != nil && before.epoch == grant.Epoch && before.until.Equal(s.startedAt.Add(grant.Until)):
		return
	case held:
		s.taskGrant.Store(&dutyGrant{epoch: grant.Epoch, until: s.startedAt.Add(grant.Until)})
	default:
		s.taskGrant.Store(nil)
	}
	switch {
	case held && before == nil:
		s.log.Info("lease on the duties begins", "epoch", grant.Epoch)
	case !held && before != nil:
		s.log.Info("lease on the duties ends", "epoch", before.epoch, "waits", s.lease.WaitsFor(now))
	}
}

// heldGrant returns the grant under which this node may act now, nil for none.
func (s *Server) heldGrant() *dutyGrant {
	grant := s.taskGrant.Load()
	if grant == nil || !time.Now().Before(grant.until) {
		return nil
	}
	return grant
}

// sendRelease notifies the head of the view that this node, the head before it, does not act any more. It is sent once: if it is
// lost, the head waits for the end of the term. It runs on the event loop.
func (s *Server) sendRelease(release lease.Release) {
	to, view := s.node.HeadAddr(), s.node.View()
	if to == "" {
		return
	}
	s.log.Info("lease on the duties released", "epoch", release.Epoch, "to", s.name(view.Head()), "wait", release.Wait)
	message := &feed.LeaseRelease{Epoch: release.Epoch, WaitMicros: (release.Wait + time.Microsecond - 1).Microseconds()}
	s.releasesInFlight++
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
		defer cancel()
		_ = s.clients.To(to).Call(ctx, feed.LeaseReleaseCall, message, new(feed.Empty))
		s.repeatOnLoop(&releaseEndedRequest{})
	})
}

// releaseEndedRequest notes that a release was answered, or given up. It counts once, however often it is handled.
type releaseEndedRequest struct{ counted bool }

func (r *releaseEndedRequest) handle(s *Server) {
	if !r.counted {
		r.counted = true
		s.releasesInFlight--
	}
}

// owesRelease reports whether the next head waits for a release of this node. It runs on the event loop.
func (s *Server) owesRelease() bool { return s.releasesInFlight > 0 || s.lease.HasUnsentRelease() }

// releaseRequest takes a release at the head of the next view.
type releaseRequest struct{ release lease.Release }

func (r *releaseRequest) handle(s *Server) {
	s.lease.HandleRelease(s.now(), r.release)
	s.publishGrant(s.now())
}

// handleRelease takes a release of the head of the view before. It waits until this node has adopted the next view.
func (s *Server) handleRelease(ctx context.Context, message *feed.LeaseRelease) (*feed.Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for s.viewEpoch.Load() <= message.Epoch && ctx.Err() == nil && s.ctx.Err() == nil {
		ctxtime.Sleep(ctx, retryInterval)
	}
	if s.viewEpoch.Load() <= message.Epoch { // this node waits for the end of the term
		return &feed.Empty{}, nil
	}
	wait := time.Duration(message.WaitMicros) * time.Microsecond
	if !s.runOnLoop(&releaseRequest{lease.Release{Epoch: message.Epoch, Wait: wait}}) {
		return nil, errStopping
	}
	return &feed.Empty{}, nil
}

// leaseRefusedRequest notes that the platform has refused a token of this node.
type leaseRefusedRequest struct{ epoch int64 }

func (r *leaseRefusedRequest) handle(s *Server) {
	s.lease.Refused(r.epoch)
	s.publishGrant(s.now())
}

// dutyCallRequest notes that a call to the platform begins, if the grant under which it was decided is still in force.
type dutyCallRequest struct {
	call *lease.Call
	held bool
}

func (r *dutyCallRequest) handle(s *Server) {
	grant, held := s.lease.Grant(s.now())
	if r.held = held && grant.Epoch == r.call.Epoch; r.held {
		s.lease.CallStarted(r.call)
	}
}

// endDutyCall notes the end of a call, if the lease has noted its start.
func (s *Server) endDutyCall(call *lease.Call) { s.repeatOnLoop(&dutyCallEndedRequest{call: call}) }

// dutyCallEndedRequest notes that a call has ended, so that it cannot leave this node any more.
type dutyCallEndedRequest struct{ call *lease.Call }

func (r *dutyCallEndedRequest) handle(s *Server) {
	s.lease.CallEnded(s.now(), r.call)
	s.publishGrant(s.now())
}

// repeatOnLoop has the event loop handle a request that the lease must not miss: it repeats the request while the disk is full,
// until the server stops. The request may be handled more than once.
func (s *Server) repeatOnLoop(request loopRequest) {
	for !s.runOnLoop(request) && s.ctx.Err() == nil {
		s.sleep(retryInterval)
	}
}
