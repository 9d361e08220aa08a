package controlnode

import (
	"context"
	"encoding/json"
	"net/http"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/lease"
)

// DutyStatus is the state of the singleton duties at a node, for operators: that of the head, unless the head does not answer. It
// is JSON of the operator API, whose keys are in the tags, and is also sent between nodes by the order of its fields.
type DutyStatus struct {
	Node          string            `json:"node"` // that answers
	Head          string            `json:"head"` // as the node knows it; empty for none
	Epoch         int64             `json:"epoch"`
	Held          bool              `json:"held"`   // the node has the lease on the duties
	Holder        string            `json:"holder"` // empty if the node has no lease
	Token         int64             `json:"token"`  // of the epoch; 0 where the node is not the head, or does not know it yet
	LeftMs        int64             `json:"left_ms"`
	WaitMs        int64             `json:"wait_ms"` // what the head still waits before it may act
	Cause         string            `json:"cause"`   // why no duties are done: one of the constants; empty if they are
	StepAgeMs     int64             `json:"step_age_ms"`
	ClockOffsetMs int64             `json:"clock_offset_ms"` // of the node's wall clock to the time by which it numbers windows
	Usage         UsageDutyStatus   `json:"usage_report"`
	Scale         ScaleDutyStatus   `json:"autoscale"`
	Outcomes      DutyCallsByResult `json:"outcomes"` // of all duties, since the node's start
}

// The values of DutyStatus.Cause.
const (
	DutiesNotExpected = "not_expected" // the settings name no platform, or no duty
	DutiesNoView      = "no_view"      // the node knows no head
	DutiesNotHead     = "not_head"     // the node is not the head, and was asked as if it were
	DutiesHeadSilent  = "head_silent"  // the node is not the head, and the head does not answer it
	DutiesRefused     = "refused"      // the platform has refused the token of this epoch
	DutiesStopping    = "stopping"     // the head is about to stop
	DutiesViewChanges = "view_changes" // the head has promised to the next epoch, or is not complete
	DutiesNoMajority  = "no_majority"  // no majority has confirmed the head for a term of the lease
	DutiesJustStarted = "just_started" // the head does not know what it did before its start
	DutiesEarlierHead = "earlier_head" // the lease of the head before may not be over
	DutiesLeaseLost   = "lease_lost"   // the head lost the lease a short while ago, and has it back
)

// UsageDutyStatus is the state of the reports of usage.
type UsageDutyStatus struct {
	Expected         bool              `json:"expected"` // by the settings
	Unacknowledged   []WindowStatus    `json:"unacknowledged_windows"`
	LastRecorded     int64             `json:"last_recorded_window"`     // 0 for none
	LastAcknowledged int64             `json:"last_acknowledged_window"` // to this node; 0 for none
	Outcomes         DutyCallsByResult `json:"outcomes"`
	Calls            []DutyCallStatus  `json:"calls"` // the newest first
}

// WindowStatus is a window that is recorded and that the platform has not acknowledged.
type WindowStatus struct {
	Window  int64 `json:"window"`
	EndedMs int64 `json:"ended_ms"` // how long ago it ended
	Late    bool  `json:"late"`     // it ended more than usage_late_s ago
}

// ScaleDutyStatus is the state of the orders of hosts.
type ScaleDutyStatus struct {
	Expected   bool                 `json:"expected"`    // by the settings
	Fronts     int64                `json:"fronts"`      // that have reported lately
	MostFronts int64                `json:"most_fronts"` // that have reported within knownSpan
	Subjects   []ScaleSubjectStatus `json:"subjects"`
	Outcomes   DutyCallsByResult    `json:"outcomes"`
	Calls      []DutyCallStatus     `json:"calls"` // the newest first
}

// ScaleSubjectStatus is the state of a service in a zone.
type ScaleSubjectStatus struct {
	Service     string  `json:"service"`
	Zone        string  `json:"zone"`
	InForce     int64   `json:"in_force"` // hosts that were ordered last, or listed when the node got the lease
	Listed      int64   `json:"listed"`   // hosts that are not about to leave
	Min         int64   `json:"min"`
	Max         int64   `json:"max"`
	Concurrency float64 `json:"in_flight"` // calls in flight on average
}

// DutyCallStatus is a call to the platform.
type DutyCallStatus struct {
	Time    string `json:"time"`   // at its end, by the node's clock
	AgeMs   int64  `json:"age_ms"` // since its end
	Path    string `json:"path"`
	Token   int64  `json:"token"`
	Outcome string `json:"outcome"` // as in duty.Outcome
	Body    string `json:"body"`    // its first maxShownBody bytes
}

// DutyCallsByResult counts calls to the platform by outcome, as in duty.Outcome.
type DutyCallsByResult struct {
	Accepted int64 `json:"accepted"`
	Refused  int64 `json:"refused"`
	Busy     int64 `json:"busy"`
	Invalid  int64 `json:"invalid"`
	NotSent  int64 `json:"not_sent"`
	Unknown  int64 `json:"unknown"`
}

// leaseStatusQuery reads the view and the lease.
type leaseStatusQuery struct {
	lease    lease.Status
	head     string
	headAddr string
	leaving  bool
}

func (q *leaseStatusQuery) handle(s *Server) {
	view := s.node.View()
	if head := view.Head(); head != "" {
		q.head = s.name(head)
	}
	q.lease, q.headAddr, q.leaving = s.lease.Status(s.now()), s.node.HeadAddr(), s.node.leaving
}

// handleDuties returns the state of the duties at the head: of this node, or by forwarding the call. Where the head does not answer
// it is that of this node.
func (s *Server) handleDuties(ctx context.Context, request *feed.OrderRequest) (*DutyStatus, error) {
	query := &leaseStatusQuery{}
	if !s.runOnLoop(query) {
		return nil, errStopping
	}
	if query.lease.Cause == lease.NotHead && query.headAddr != "" && !request.Forwarded {
		forwarded := &feed.OrderRequest{Forwarded: true}
		if status, err := forward[feed.OrderRequest, DutyStatus](ctx, s, query.headAddr, feed.DutiesCall, forwarded); err == nil {
			return status, nil
		}
		status := s.dutyStatus(query)
		status.Cause = DutiesHeadSilent
		return status, nil
	}
	return s.dutyStatus(query), nil
}

// dutyStatus returns the state of the duties at this node.
func (s *Server) dutyStatus(query *leaseStatusQuery) *DutyStatus {
	status := &DutyStatus{
		Node:          s.self.Name,
		Head:          query.head,
		Epoch:         query.lease.Epoch,
		Held:          query.lease.Held,
		LeftMs:        query.lease.Left.Milliseconds(),
		WaitMs:        query.lease.Wait.Milliseconds(),
		Cause:         s.dutiesCause(query),
		ClockOffsetMs: s.clockOffset().Milliseconds(),
		Outcomes:      s.taskCalls.countsOf(usagePath, scalePath),
	}
	if status.Held {
		status.Holder = s.self.Name
	}
	s.addDutySnapshot(status, query.lease.Cause != lease.NotHead)
	return status
}

// dutiesCause returns why this node does no duties.
func (s *Server) dutiesCause(query *leaseStatusQuery) string {
	switch cause := query.lease.Cause; {
	case cause == lease.NotHead && query.head == "":
		return DutiesNoView
	case cause == lease.NotHead:
		return DutiesNotHead
	case !s.expectsDuties():
		return DutiesNotExpected
	case cause == lease.NotActive && query.leaving:
		return DutiesStopping
	default:
		return leaseCauses[cause]
	}
}

// leaseCauses are the causes of a head that has no lease.
var leaseCauses = map[lease.Cause]string{
	lease.TokenRefused: DutiesRefused,
	lease.NotActive:    DutiesViewChanges,
	lease.NotConfirmed: DutiesNoMajority,
	lease.JustStarted:  DutiesJustStarted,
	lease.EarlierHead:  DutiesEarlierHead,
	lease.LeaseLost:    DutiesLeaseLost,
}

// expectsDuties reports whether the settings name a platform and a duty that this program knows.
func (s *Server) expectsDuties() bool {
	return s.settings.Platform.Address != "" && (s.settings.HasDuty(usageDutyName) || s.settings.HasDuty(scaleDutyName))
}

// getDuties serves GET /api/duties.
func (s *Server) getDuties(w http.ResponseWriter, r *http.Request) {
	status, err := s.handleDuties(r.Context(), &feed.OrderRequest{})
	if err != nil {
		writeReply(w, &feed.Reply{Status: http.StatusServiceUnavailable, Text: err.Error()})
		return
	}
	body, err := json.Marshal(status)
	if err != nil {
		writeReply(w, &feed.Reply{Status: http.StatusInternalServerError, Text: err.Error()})
		return
	}
	writeReply(w, &feed.Reply{Status: http.StatusOK, Body: body})
}
