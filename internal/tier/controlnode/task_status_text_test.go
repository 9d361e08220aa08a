package controlnode

import "testing"

// healthyTaskStatus returns a status without a problem.
func healthyTaskStatus() TaskStatus {
	return TaskStatus{Node: "core-1", Head: "core-1", Held: true, Holder: "core-1", Token: 7, WaitMs: 1250,
		Usage: UsageTaskStatus{Expected: true, Calls: []PlatformCallStatus{{Outcome: "accepted"}}},
		Scale: ScaleTaskStatus{Expected: true, RecentFronts: 3, KnownFronts: 4, Calls: []PlatformCallStatus{{Outcome: "accepted"}}}}
}

func TestSummaryOfHolder(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *TaskStatus)
		want   string
	}{
		"well":           {func(*TaskStatus) {}, "core-1 runs the singleton tasks"},
		"no call so far": {func(s *TaskStatus) { s.Usage.Calls, s.Scale.Calls = nil, nil }, "core-1 runs the singleton tasks"},
		"no token": {func(s *TaskStatus) { s.Token = 0 },
			"core-1 runs the singleton tasks, but its fencing token is not recorded yet: ask again, and check larch-control status if this persists"},
		"busy": {func(s *TaskStatus) { s.Usage.Calls[0].Outcome = "busy" },
			"core-1 runs the singleton tasks, but usage reports are delayed: the platform asks for fewer calls; they are retried automatically"},
		"busy long ago": {func(s *TaskStatus) { s.Scale.Calls[0] = PlatformCallStatus{Outcome: "busy", AgeMs: 60_000} }, "core-1 runs the singleton tasks"},
		"invalid": {func(s *TaskStatus) { s.Usage.Calls[0].Outcome = "invalid" },
			"core-1 runs the singleton tasks, but usage reports are delayed: the platform rejected the last call as invalid; see its body, and report it"},
		"down": {func(s *TaskStatus) { s.Scale.Calls[0].Outcome = "not sent" },
			"core-1 runs the singleton tasks, but orders of hosts are delayed: the last call could not be sent; check whether the platform is reachable"},
		"silent": {func(s *TaskStatus) { s.Scale.Calls[0].Outcome = "unknown" },
			"core-1 runs the singleton tasks, but orders of hosts are delayed: the platform did not respond to the last call, or responded with 5xx; check whether it is down or slow"},
		"late": {func(s *TaskStatus) { s.Usage.Unacknowledged = []WindowStatus{{Window: 5, Late: true}, {Window: 6}} },
			"core-1 runs the singleton tasks, but window 5 is late: the platform has not acknowledged it; see the calls and the log"},
		"not late": {func(s *TaskStatus) { s.Usage.Unacknowledged = []WindowStatus{{Window: 6}} }, "core-1 runs the singleton tasks"},
		"half of the fronts silent": {func(s *TaskStatus) { s.Scale.RecentFronts = 1 },
			"core-1 runs the singleton tasks, but hosts are not ordered: only 1 of 4 fronts have reported recently; " +
				"check that a configuration is in force and that fronts reach the core"},
		"orders are not expected": {func(s *TaskStatus) { s.Scale = ScaleTaskStatus{} }, "core-1 runs the singleton tasks"},
	} {
		t.Run(name, func(t *testing.T) {
			s := healthyTaskStatus()
			c.change(&s)
			if got := s.Summary(); got != c.want {
				t.Errorf("%s\nwant %s", got, c.want)
			}
		})
	}
}

func TestSummaryNamesInactiveCause(t *testing.T) {
	for cause, want := range map[string]string{
		TasksNotExpected: "no singleton tasks are configured: the settings of core-1 name none (cloud_api.address, cloud_api.duty_list)",
		TasksNoView:      "core-1 knows no head: ask another core node; at the very first start, set bootstrap: true",
		TasksNotHead:     "the view is changing: core-1 is no longer the head, core-2 is; ask again",
		TasksHeadSilent:  "state unknown: the head, core-2, does not respond to core-1; ask again in a second, then ask another core node",
		TasksTokenRefused: "singleton tasks paused: the platform has refused token 7 of core-2, as it has seen a higher one; " +
			"look for another control plane that calls it, or for a core that was re-created with an older clock",
		TasksStopping:     "singleton tasks paused: core-1 is stopping; the next head continues at once",
		TasksViewChanging: "singleton tasks paused: the view is changing; ask again, and check larch-control status if this persists",
		TasksNoMajority:   "singleton tasks paused: no majority of the core nodes confirms core-1; bring enough of them back, or ask another node",
		TasksJustStarted:  "singleton tasks paused for another 1.2 s: core-1 has just started; no action is needed",
		TasksEarlierHead:  "singleton tasks paused for another 1.2 s: core-1 waits for the lease of the previous head to expire; no action is needed",
		TasksLeaseLost: "singleton tasks paused for another 1.2 s: core-1 lost the lease and has just regained it; " +
			"no action is needed unless the head changes often",
		"later release": "singleton tasks paused: later release",
	} {
		t.Run(cause, func(t *testing.T) {
			s := healthyTaskStatus()
			s.Head, s.Held, s.Holder, s.Cause = "core-2", false, "", cause
			if got := s.Summary(); got != want {
				t.Errorf("%s\nwant %s", got, want)
			}
		})
	}
}
