package controlnode

import (
	"fmt"

	"larchrouter/internal/tier/fencedcall"
)

// Summary returns in one line which node runs the singleton tasks, or why none does and what to do.
func (s *TaskStatus) Summary() string {
	if s.Cause != "" {
		return s.inactiveSummary()
	}
	if problem := s.problem(); problem != "" {
		return s.Holder + " runs the singleton tasks, but " + problem
	}
	return s.Holder + " runs the singleton tasks"
}

// inactiveSummary returns why the singleton tasks do not run, or why their state is unknown.
func (s *TaskStatus) inactiveSummary() string {
	wait := fmt.Sprintf("singleton tasks paused for another %.1f s: ", float64(s.WaitMs)/1000)
	switch s.Cause {
	case TasksNotExpected:
		return "no singleton tasks are configured: the settings of " + s.Node + " name none (cloud_api.address, cloud_api.duty_list)"
	case TasksNoView:
		return s.Node + " knows no head: ask another core node; at the very first start, set bootstrap: true"
	case TasksNotHead:
		return "the view is changing: " + s.Node + " is no longer the head, " + s.Head + " is; ask again"
	case TasksHeadSilent:
		return "state unknown: the head, " + s.Head + ", does not respond to " + s.Node + "; ask again in a second, then ask another core node"
	case TasksTokenRefused:
		return fmt.Sprintf("singleton tasks paused: the platform has refused token %d of %s, as it has seen a higher one; "+
			"look for another control plane that calls it, or for a core that was re-created with an older clock", s.Token, s.Head)
	case TasksStopping:
		return "singleton tasks paused: " + s.Node + " is stopping; the next head continues at once"
	case TasksViewChanging:
		return "singleton tasks paused: the view is changing; ask again, and check larch-control status if this persists"
	case TasksNoMajority:
		return "singleton tasks paused: no majority of the core nodes confirms " + s.Node + "; bring enough of them back, or ask another node"
	case TasksJustStarted:
		return wait + s.Node + " has just started; no action is needed"
	case TasksEarlierHead:
		return wait + s.Node + " waits for the lease of the previous head to expire; no action is needed"
	case TasksLeaseLost:
		return wait + s.Node + " lost the lease and has just regained it; no action is needed unless the head changes often"
	}
	return "singleton tasks paused: " + s.Cause
}

// problem returns what delays a task of the holder, empty for nothing.
func (s *TaskStatus) problem() string {
	if s.Token == 0 {
		return "its fencing token is not recorded yet: ask again, and check larch-control status if this persists"
	}
	if problem := callProblem(s.Usage.Calls); problem != "" {
		return "usage reports are delayed: " + problem
	}
	for _, window := range s.Usage.Unacknowledged {
		if window.Late {
			return fmt.Sprintf("window %d is late: the platform has not acknowledged it; see the calls and the log", window.Window)
		}
	}
	if problem := callProblem(s.Scale.Calls); problem != "" {
		return "orders of hosts are delayed: " + problem
	}
	if s.Scale.hasTooFewFronts() {
		return fmt.Sprintf("hosts are not ordered: only %d of %d fronts have reported recently; "+
			"check that a configuration is in force and that fronts reach the core", s.Scale.RecentFronts, s.Scale.KnownFronts)
	}
	return ""
}

// hasTooFewFronts reports whether orders of hosts are suspended because too few fronts have reported recently.
func (s *ScaleTaskStatus) hasTooFewFronts() bool {
	return s.Expected && (s.RecentFronts == 0 || s.RecentFronts < s.KnownFronts/minReportingDivisor)
}

// recentCallMs is the age up to which a failed call is reported as a problem: calls are retried sooner than that.
const recentCallMs = 10_000

// callProblem describes the failure of the newest call, which is the first one; empty if it was accepted or is not recent.
func callProblem(calls []PlatformCallStatus) string {
	if len(calls) == 0 || calls[0].AgeMs > recentCallMs {
		return ""
	}
	switch calls[0].Outcome {
	case fencedcall.Busy.String():
		return "the platform asks for fewer calls; they are retried automatically"
	case fencedcall.Invalid.String():
		return "the platform rejected the last call as invalid; see its body, and report it"
	case fencedcall.NotSent.String():
		return "the last call could not be sent; check whether the platform is reachable"
	case fencedcall.Unknown.String():
		return "the platform did not respond to the last call, or responded with 5xx; check whether it is down or slow"
	}
	return ""
}
