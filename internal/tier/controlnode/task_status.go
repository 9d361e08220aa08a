package controlnode

import (
	"context"
	"encoding/json"
	"net/http"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/lease"
)

// TaskStatus is the state of the singleton tasks at a node, for operators: that of the head, unless the head does not respond. It is
// JSON of the operator API, with the keys in the tags, and is also sent between nodes, encoded by the order of its fields.
type TaskStatus struct {
	Node          string             `json:"node"` // that responds
	Head          string             `json:"head"` // as the node knows it; empty for none
	Epoch         int64              `json:"epoch"`
	Held          bool               `json:"held"`   // the node holds the lease
	Holder        string             `json:"holder"` // empty if the node does not hold the lease
	Token         int64              `json:"token"`  // of the epoch; 0 if the node is not the head, or does not know the token base yet
	LeftMs        int64              `json:"left_ms"`
	WaitMs        int64              `json:"wait_ms"` // remaining wait of the head before it may act
	Cause         string             `json:"cause"`   // why the tasks do not run: one of the constants; empty if they run
	StepAgeMs     int64              `json:"step_age_ms"`
	ClockOffsetMs int64              `json:"clock_offset_ms"` // by which the node's wall clock is ahead of the time by which it numbers windows
	Usage         UsageTaskStatus    `json:"usage_report"`
	Scale         ScaleTaskStatus    `json:"autoscale"`
	Outcomes      PlatformCallCounts `json:"outcomes"` // of all tasks, since the node's start
}

// The values of TaskStatus.Cause.
const (
	TasksNotExpected  = "not_expected" // the settings name no platform, or no known task
	TasksNoView       = "no_view"      // the node knows no head
	TasksNotHead      = "not_head"     // the node is not the head, and was asked as if it were
	TasksHeadSilent   = "head_silent"  // the node is not the head, and the head does not respond to it
	TasksTokenRefused = "refused"      // the platform has refused the token of this epoch
	TasksStopping     = "stopping"     // the head is stopping
	TasksViewChanging = "view_changes" // the head has promised the next epoch, or is not caught up
	TasksNoMajority   = "no_majority"  // no majority has confirmed the head within a term of the lease
	TasksJustStarted  = "just_started" // the head waits since calls from before its start may still be in flight
	TasksEarlierHead  = "earlier_head" // the lease of the previous head may not have expired
	TasksLeaseLost    = "lease_lost"   // the head lost the lease a short time ago and has regained it
)

// UsageTaskStatus is the state of the usage reports.
type UsageTaskStatus struct {
	Expected         bool                 `json:"expected"` // by the settings
	Unacknowledged   []WindowStatus       `json:"unacknowledged_windows"`
	LastRecorded     int64                `json:"last_recorded_window"`     // 0 for none
	LastAcknowledged int64                `json:"last_acknowledged_window"` // to this node; 0 for none
	Outcomes         PlatformCallCounts   `json:"outcomes"`
	Calls            []PlatformCallStatus `json:"calls"` // newest first
}

// WindowStatus is the state of a window that is recorded and that the platform has not acknowledged.
type WindowStatus struct {
	Window  int64 `json:"window"`
	EndedMs int64 `json:"ended_ms"` // how long ago it ended
	Late    bool  `json:"late"`     // it ended more than usage_late_s ago
}

// ScaleTaskStatus is the state of the orders of hosts.
type ScaleTaskStatus struct {
	Expected     bool                 `json:"expected"`    // by the settings
	RecentFronts int64                `json:"fronts"`      // that have reported within recentReportPeriod
	KnownFronts  int64                `json:"most_fronts"` // that have reported within knownFrontPeriod
	Subjects     []ScaleSubjectStatus `json:"subjects"`
	Outcomes     PlatformCallCounts   `json:"outcomes"`
	Calls        []PlatformCallStatus `json:"calls"` // newest first
}

// ScaleSubjectStatus is the scaling state of a service in a zone.
type ScaleSubjectStatus struct {
	Service     string  `json:"service"`
	Zone        string  `json:"zone"`
	InForce     int64   `json:"in_force"` // hosts that were ordered last, or listed when the node acquired the lease
	Listed      int64   `json:"listed"`   // hosts that are not leaving
	Min         int64   `json:"min"`
	Max         int64   `json:"max"`
	Concurrency float64 `json:"in_flight"` // calls in flight on average
}

// PlatformCallStatus is a call to the platform.
type PlatformCallStatus struct {
	Time    string `json:"time"`   // at its end, by the node's clock
	AgeMs   int64  `json:"age_ms"` // since its end
	Path    string `json:"path"`
	Token   int64  `json:"token"`
	Outcome string `json:"outcome"` // name of a fencedcall.Outcome
	Body    string `json:"body"`    // the first maxShownBody bytes
}

// PlatformCallCounts is the number of calls to the platform by fencedcall.Outcome.
type PlatformCallCounts struct {
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
		q.head = s.nodeName(head)
	}
	q.lease, q.headAddr, q.leaving = s.lease.Status(s.now()), s.node.HeadAddr(), s.node.leaving
}

// handleTaskStatus returns the state of the singleton tasks at the head, to which it forwards the call if this node is not the head. If
// the head does not respond, it returns the state of this node.
func (s *Server) handleTaskStatus(ctx context.Context, request *feed.OperatorRequest) (*TaskStatus, error) {
	query := &leaseStatusQuery{}
	if !s.runOnLoop(query) {
		return nil, errStopping
	}
	if query.lease.Cause == lease.NotHead && query.headAddr != "" && !request.Forwarded {
		forwarded := &feed.OperatorRequest{Forwarded: true}
		if status, err := forward[feed.OperatorRequest, TaskStatus](ctx, s, query.headAddr, feed.TaskStatusCall, forwarded); err == nil {
			return status, nil
		}
		status := s.taskStatus(query)
		status.Cause = TasksHeadSilent
		return status, nil
	}
	return s.taskStatus(query), nil
}

// taskStatus returns the state of the singleton tasks at this node.
func (s *Server) taskStatus(query *leaseStatusQuery) *TaskStatus {
	status := &TaskStatus{
		Node:          s.self.Name,
		Head:          query.head,
		Epoch:         query.lease.Epoch,
		Held:          query.lease.Held,
		LeftMs:        query.lease.Remaining.Milliseconds(),
		WaitMs:        query.lease.Wait.Milliseconds(),
		Cause:         s.inactiveCause(query),
		ClockOffsetMs: s.clockOffset().Milliseconds(),
		Outcomes:      s.taskCalls.countsOf(usagePath, scalePath),
	}
	if status.Held {
		status.Holder = s.self.Name
	}
	s.addTaskSnapshot(status, query.lease.Cause != lease.NotHead)
	return status
}

// inactiveCause returns why this node runs no singleton tasks, empty if it runs them.
func (s *Server) inactiveCause(query *leaseStatusQuery) string {
	switch cause := query.lease.Cause; {
	case cause == lease.NotHead && query.head == "":
		return TasksNoView
	case cause == lease.NotHead:
		return TasksNotHead
	case !s.expectsTasks():
		return TasksNotExpected
	case cause == lease.NotActive && query.leaving:
		return TasksStopping
	default:
		return leaseCauses[cause]
	}
}

// leaseCauses maps why a head does not hold the lease to TaskStatus.Cause.
var leaseCauses = map[lease.Cause]string{
	lease.TokenRefused: TasksTokenRefused,
	lease.NotActive:    TasksViewChanging,
	lease.NotConfirmed: TasksNoMajority,
	lease.JustStarted:  TasksJustStarted,
	lease.EarlierGrant: TasksEarlierHead,
	lease.LeaseLost:    TasksLeaseLost,
}

// expectsTasks reports whether the settings name a platform and at least one known task.
func (s *Server) expectsTasks() bool {
	return s.settings.Platform.Address != "" && (s.settings.HasDuty(usageTaskName) || s.settings.HasDuty(scaleTaskName))
}

// getTaskStatus serves GET /api/duties.
func (s *Server) getTaskStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.handleTaskStatus(r.Context(), &feed.OperatorRequest{})
	if err != nil {
		writeReply(w, &feed.OperatorResponse{Status: http.StatusServiceUnavailable, Text: err.Error()})
		return
	}
	body, err := json.Marshal(status)
	if err != nil {
		writeReply(w, &feed.OperatorResponse{Status: http.StatusInternalServerError, Text: err.Error()})
		return
	}
	writeReply(w, &feed.OperatorResponse{Status: http.StatusOK, Body: body})
}
