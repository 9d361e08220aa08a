package controlnode

import (
	"context"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/hosthealth"
)

// minHealthInterval is the minimum time between two host lists that are published because verdicts changed. It keeps
// each report of a large fleet from waking all followers.
const minHealthInterval = 60 * time.Millisecond

// healthRole is the head's singleton role of outlier ejection: it turns the reports of fronts into verdicts on hosts.
// It is owned by the event loop.
type healthRole struct {
	epoch   int64 // of the view in which this node assumed the role
	tracker *hosthealth.Tracker
}

// assumeHealthRole returns the tracker of the current view, which starts without verdicts. It runs on the event loop of
// the confirmed head.
func (s *Server) assumeHealthRole() *hosthealth.Tracker {
	if epoch := s.node.View().Epoch; s.healthRole.tracker == nil || s.healthRole.epoch != epoch {
		s.healthRole = healthRole{epoch: epoch, tracker: hosthealth.NewTracker(hosthealth.DefaultParams())}
	}
	return s.healthRole.tracker
}

// reportHealthRequest adds a front's report, if this node is the confirmed head.
type reportHealthRequest struct {
	report   *feed.HealthReport
	isHead   bool
	headAddr string // unless isHead
}

func (r *reportHealthRequest) handle(s *Server) {
	if r.isHead = s.node.IsConfirmedHead(); !r.isHead {
		r.headAddr = s.node.HeadAddr()
		return
	}
	s.assumeHealthRole().Report(s.now(), r.report.Name, r.report.Observations)
}

// handleHealth records a report if this node is the head, and forwards it to the head otherwise.
func (s *Server) handleHealth(ctx context.Context, report *feed.HealthReport) (*feed.Empty, error) {
	request := &reportHealthRequest{report: report}
	if !s.runOnLoop(request) {
		return nil, errStopping
	}
	if request.isHead {
		select {
		case s.healthReported <- struct{}{}:
		default: // a notification is already pending for pollPlatform
		}
		return &feed.Empty{}, nil
	}
	if report.Forwarded {
		return nil, errNoHead
	}
	report.Forwarded = true
	return forward[feed.HealthReport, feed.Empty](ctx, s, request.headAddr, feed.HealthCall, report)
}
