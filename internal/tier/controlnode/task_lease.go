package controlnode

import (
	"context"
	"time"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/lease"
)

// defaultLeaseTerm is the term of the lease if the settings give none.
const defaultLeaseTerm = 3 * time.Second

// leaseParams returns the parameters of the singleton task lease from the settings.
func (s *Server) leaseParams() lease.Params {
	return lease.Params{Term: s.settings.TimingBound("lease_term_ms", defaultLeaseTerm), MaxDrift: lease.DefaultMaxDrift}
}

// publishedGrant is the lease grant as published to the goroutine of the singleton tasks. It is immutable.
type publishedGrant struct {
	epoch int64
	until time.Time // with a monotonic reading
}

// updateLease updates the lease from the state of the node, after a batch is synced to disk. It runs on the event loop.
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

// publishGrant publishes the present grant, and logs when this node acquires or loses the lease. It runs on the event loop.
func (s *Server) publishGrant(now time.Duration) {
	before := s.taskGrant.Load()
	grant, held := s.lease.Grant(now)
	switch {
	case held && before != nil && before.epoch == grant.Epoch && before.until.Equal(s.startedAt.Add(grant.Until)):
		return
	case held:
		s.taskGrant.Store(&publishedGrant{epoch: grant.Epoch, until: s.startedAt.Add(grant.Until)})
	default:
		s.taskGrant.Store(nil)
	}
	switch {
	case held && before == nil:
		s.log.Info("singleton task lease acquired", "epoch", grant.Epoch)
	case !held && before != nil:
		s.log.Info("singleton task lease ended", "epoch", before.epoch, "waits", s.lease.RemainingWait(now))
	}
}

// heldGrant returns the grant under which this node may make calls now, nil for none.
func (s *Server) heldGrant() *publishedGrant {
	grant := s.taskGrant.Load()
	if grant == nil || !time.Now().Before(grant.until) {
		return nil
	}
	return grant
}

// sendRelease notifies the head of the view that this node, the previous head, makes no more calls. It is sent once: if it is lost,
// the head waits for the end of the term. It runs on the event loop.
func (s *Server) sendRelease(release lease.Release) {
	to, view := s.node.HeadAddr(), s.node.View()
	if to == "" {
		return
	}
	s.log.Info("singleton task lease released", "epoch", release.Epoch, "to", s.nodeName(view.Head()), "wait", release.Wait)
	message := &feed.LeaseRelease{Epoch: release.Epoch, WaitMicros: (release.Wait + time.Microsecond - 1).Microseconds()}
	s.releasesInFlight++
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
		defer cancel()
		_ = s.clients.To(to).Call(ctx, feed.LeaseReleaseCall, message, new(feed.Empty))
		s.retryOnLoop(&releaseDoneRequest{})
	})
}

// releaseDoneRequest records that a release was acknowledged or abandoned. It is idempotent.
type releaseDoneRequest struct{ handled bool }

func (r *releaseDoneRequest) handle(s *Server) {
	if !r.handled {
		r.handled = true
		s.releasesInFlight--
	}
}

// hasPendingRelease reports whether this node has a release that is not sent, or not yet acknowledged or abandoned, or may have to
// send one, as the view was adopted in the present batch. It runs on the event loop.
func (s *Server) hasPendingRelease() bool {
	unobserved := len(s.settings.Platform.Duties) > 0 && s.lease.Epoch() < s.node.View().Epoch
	return unobserved || s.releasesInFlight > 0 || s.lease.HasUnsentRelease()
}

// releaseRequest passes a release to the lease at the head of the next view.
type releaseRequest struct{ release lease.Release }

func (r *releaseRequest) handle(s *Server) {
	s.lease.HandleRelease(s.now(), r.release)
	s.publishGrant(s.now())
}

// handleRelease handles a release from the head of the previous view. It waits until this node has adopted the next view.
func (s *Server) handleRelease(ctx context.Context, message *feed.LeaseRelease) (*feed.Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for s.viewEpoch.Load() <= message.Epoch && ctx.Err() == nil && s.ctx.Err() == nil {
		ctxtime.Sleep(ctx, retryInterval)
	}
	if s.viewEpoch.Load() <= message.Epoch { // the release is dropped: this node waits for the end of the term
		return &feed.Empty{}, nil
	}
	wait := time.Duration(message.WaitMicros) * time.Microsecond
	if !s.runOnLoop(&releaseRequest{lease.Release{Epoch: message.Epoch, Wait: wait}}) {
		return nil, errStopping
	}
	return &feed.Empty{}, nil
}

// tokenRefusedRequest records that the platform has refused a token of this node.
type tokenRefusedRequest struct{ epoch int64 }

func (r *tokenRefusedRequest) handle(s *Server) {
	s.lease.HandleRefusal(r.epoch)
	s.publishGrant(s.now())
}

// callStartRequest records the start of a call to the platform, if the grant under which it was decided is still valid.
type callStartRequest struct {
	call *lease.Call
	held bool
}

func (r *callStartRequest) handle(s *Server) {
	grant, held := s.lease.Grant(s.now())
	if r.held = held && grant.Epoch == r.call.Epoch; r.held {
		s.lease.CallStarted(r.call)
	}
}

// recordCallEnd records the end of a call. It has no effect if the lease has not recorded the start of the call.
func (s *Server) recordCallEnd(call *lease.Call) { s.retryOnLoop(&callEndRequest{call: call}) }

// callEndRequest records that a call has ended, after which this node sends nothing more of it.
type callEndRequest struct{ call *lease.Call }

func (r *callEndRequest) handle(s *Server) {
	s.lease.CallEnded(s.now(), r.call)
	s.publishGrant(s.now())
}

// retryOnLoop has the event loop handle a request that must not be lost: it retries while the disk is full, until the server stops.
// The request may be handled more than once.
func (s *Server) retryOnLoop(request loopRequest) {
	for !s.runOnLoop(request) && s.ctx.Err() == nil {
		s.sleep(retryInterval)
	}
}
