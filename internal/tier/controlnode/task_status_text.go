package controlnode

import (
	"fmt"

	"larchrouter/internal/tier/fencedcall"
)

// Summary returns in one line whether the duties are done and by whom, or why they rest and what to do.
func (s *TaskStatus) Summary() string {
	if s.Cause != "" {
		return s.inactiveSummary()
	}
	if problem := s.problem(); problem != "" {
		return s.Holder + " does the duties, but " + problem
	}
	return s.Holder + " does the duties"
}

// inactiveSummary returns why the duties rest, or why the node does not know.
func (s *TaskStatus) inactiveSummary() string {
	wait := fmt.Sprintf("the duties rest for %.1f s more: ", float64(s.WaitMs)/1000)
	switch s.Cause {
	case TasksNotExpected:
		return "no duties are expected: the settings of " + s.Node + " name none (cloud_api.address, cloud_api.duty_list)"
	case TasksNoView:
		return s.Node + " knows no head: ask another core node; at the very first start, set bootstrap: true"
	case TasksNotHead:
		return "the view changes: " + s.Node + " is not the head any more, " + s.Head + " is; ask again"
	case TasksHeadSilent:
		return "not known: the head, " + s.Head + ", does not answer " + s.Node + "; ask again in a second, then another core node"
	case TasksTokenRefused:
		return fmt.Sprintf("the duties rest: the platform has refused token %d of %s, as it has seen a higher one; "+
			"look for another control plane that calls it, or a core that was founded anew from an older clock", s.Token, s.Head)
	case TasksStopping:
		return "the duties rest: " + s.Node + " is about to stop; the next head goes on at once"
	case TasksViewChanging:
		return "the duties rest: the view changes; ask again, and look at larch-control status if it stays"
	case TasksNoMajority:
		return "the duties rest: no majority of the core nodes confirms " + s.Node + "; bring enough of them back, or ask another node"
	case TasksJustStarted:
		return wait + s.Node + " has just started; nothing is to be done"
	case TasksEarlierHead:
		return wait + s.Node + " waits for the end of the lease of the head before; nothing is to be done"
	case TasksLeaseLost:
		return wait + s.Node + " lost the lease and has just got it back; nothing is to be done, unless the head changes often"
	}
	return "the duties rest: " + s.Cause
}

// problem returns what holds up a duty of the holder, empty for nothing.
func (s *TaskStatus) problem() string {
	if s.Token == 0 {
		return "its fencing token is not recorded yet: ask again, and look at larch-control status if it stays"
	}
	if problem := callProblem(s.Usage.Calls); problem != "" {
		return "usage reports wait: " + problem
	}
	for _, window := range s.Usage.Unacknowledged {
		if window.Late {
			return fmt.Sprintf("window %d is late: the platform has not acknowledged it; see the calls and the log", window.Window)
		}
	}
	if problem := callProblem(s.Scale.Calls); problem != "" {
		return "orders of hosts wait: " + problem
	}
	if s.Scale.hasTooFewFronts() {
		return fmt.Sprintf("hosts are not ordered: %d fronts have reported lately, of %d; "+
			"see that a configuration is taken and that fronts reach the core", s.Scale.RecentFronts, s.Scale.KnownFronts)
	}
	return ""
}

// hasTooFewFronts reports whether too few fronts report for orders of hosts.
func (s *ScaleTaskStatus) hasTooFewFronts() bool {
	return s.Expected && (s.RecentFronts == 0 || s.RecentFronts < s.KnownFronts/minReportingDivisor)
}

// recentCallMs is for how long a call without success is worth a line: calls are repeated sooner than that.
const recentCallMs = 10_000

// callProblem returns what the newest of some calls shows of the platform, empty if it has accepted it or the call is not recent.
func callProblem(calls []PlatformCallStatus) string {
	if len(calls) == 0 || calls[0].AgeMs > recentCallMs {
		return ""
	}
	switch calls[0].Outcome {
	case fencedcall.Busy.String():
		return "the platform asks for fewer calls; the tier tries again by itself"
	case fencedcall.Invalid.String():
		return "the platform rejects the last call as not valid; see its body, and report it"
	case fencedcall.NotSent.String():
		return "the last call could not be sent; look whether the platform can be reached"
	case fencedcall.Unknown.String():
		return "the platform has not answered the last call, or with 5xx; look whether it is down or slow"
	}
	return ""
}
