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
		"well":           {func(*TaskStatus) {}, "core-1 does the duties"},
		"no call so far": {func(s *TaskStatus) { s.Usage.Calls, s.Scale.Calls = nil, nil }, "core-1 does the duties"},
		"no token": {func(s *TaskStatus) { s.Token = 0 },
			"core-1 does the duties, but its fencing token is not recorded yet: ask again, and look at larch-control status if it stays"},
		"busy": {func(s *TaskStatus) { s.Usage.Calls[0].Outcome = "busy" },
			"core-1 does the duties, but usage reports wait: the platform asks for fewer calls; the tier tries again by itself"},
		"busy long ago": {func(s *TaskStatus) { s.Scale.Calls[0] = PlatformCallStatus{Outcome: "busy", AgeMs: 60_000} }, "core-1 does the duties"},
		"invalid": {func(s *TaskStatus) { s.Usage.Calls[0].Outcome = "invalid" },
			"core-1 does the duties, but usage reports wait: the platform rejects the last call as not valid; see its body, and report it"},
		"down": {func(s *TaskStatus) { s.Scale.Calls[0].Outcome = "not sent" },
			"core-1 does the duties, but orders of hosts wait: the last call could not be sent; look whether the platform can be reached"},
		"silent": {func(s *TaskStatus) { s.Scale.Calls[0].Outcome = "unknown" },
			"core-1 does the duties, but orders of hosts wait: the platform has not answered the last call, or with 5xx; look whether it is down or slow"},
		"late": {func(s *TaskStatus) { s.Usage.Unacknowledged = []WindowStatus{{Window: 5, Late: true}, {Window: 6}} },
			"core-1 does the duties, but window 5 is late: the platform has not acknowledged it; see the calls and the log"},
		"not late": {func(s *TaskStatus) { s.Usage.Unacknowledged = []WindowStatus{{Window: 6}} }, "core-1 does the duties"},
		"half of the fronts silent": {func(s *TaskStatus) { s.Scale.RecentFronts = 1 },
			"core-1 does the duties, but hosts are not ordered: 1 fronts have reported lately, of 4; " +
				"see that a configuration is taken and that fronts reach the core"},
		"orders are not expected": {func(s *TaskStatus) { s.Scale = ScaleTaskStatus{} }, "core-1 does the duties"},
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
		TasksNotExpected: "no duties are expected: the settings of core-1 name none (cloud_api.address, cloud_api.duty_list)",
		TasksNoView:      "core-1 knows no head: ask another core node; at the very first start, set bootstrap: true",
		TasksNotHead:     "the view changes: core-1 is not the head any more, core-2 is; ask again",
		TasksHeadSilent:  "not known: the head, core-2, does not answer core-1; ask again in a second, then another core node",
		TasksTokenRefused: "the duties rest: the platform has refused token 7 of core-2, as it has seen a higher one; " +
			"look for another control plane that calls it, or a core that was founded anew from an older clock",
		TasksStopping:     "the duties rest: core-1 is about to stop; the next head goes on at once",
		TasksViewChanging: "the duties rest: the view changes; ask again, and look at larch-control status if it stays",
		TasksNoMajority:   "the duties rest: no majority of the core nodes confirms core-1; bring enough of them back, or ask another node",
		TasksJustStarted:  "the duties rest for 1.2 s more: core-1 has just started; nothing is to be done",
		TasksEarlierHead:  "the duties rest for 1.2 s more: core-1 waits for the end of the lease of the head before; nothing is to be done",
		TasksLeaseLost: "the duties rest for 1.2 s more: core-1 lost the lease and has just got it back; " +
			"nothing is to be done, unless the head changes often",
		"later release": "the duties rest: later release",
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
