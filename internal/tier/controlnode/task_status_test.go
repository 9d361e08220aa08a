package controlnode

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/fencedcall"
	"larchrouter/internal/tier/lease"
	"larchrouter/internal/tier/scaling"
	"larchrouter/internal/tier/usage"
	"larchrouter/internal/tier/view"
)

// newTaskServer returns a node that runs nothing, with settings that name a platform and some singleton tasks.
func newTaskServer(tasks ...string) *Server {
	settings := &process.Settings{}
	settings.Platform.Address, settings.Platform.Duties = "127.0.0.1:1", tasks
	now := time.Now()
	return &Server{settings: settings, self: view.Member{Name: "core-1"}, startedAt: now, trueTime: usage.NewTrueTime(now, 0)}
}

func TestTaskStatusInEachState(t *testing.T) {
	const base = 1 << 20
	held := lease.Status{Epoch: 7, Held: true, Remaining: 1500 * time.Millisecond}
	inactive := func(cause lease.Cause) lease.Status { return lease.Status{Epoch: 7, Cause: cause} }
	wait := func(cause lease.Cause) lease.Status {
		return lease.Status{Epoch: 7, Wait: 2 * time.Second, Cause: cause}
	}
	for name, c := range map[string]struct {
		query leaseStatusQuery
		tasks string
		want  TaskStatus // the fields of the lease
	}{
		"holder": {leaseStatusQuery{lease: held, head: "core-1"}, "usage_report autoscale",
			TaskStatus{Head: "core-1", Held: true, Holder: "core-1", Token: base + 7, LeftMs: 1500}},
		"holder with one task": {leaseStatusQuery{lease: held, head: "core-1"}, "autoscale",
			TaskStatus{Head: "core-1", Held: true, Holder: "core-1", Token: base + 7, LeftMs: 1500}},
		"no task in the settings": {leaseStatusQuery{lease: held, head: "core-1"}, "",
			TaskStatus{Head: "core-1", Held: true, Holder: "core-1", Token: base + 7, LeftMs: 1500, Cause: TasksNotExpected}},
		"unknown tasks only": {leaseStatusQuery{lease: held, head: "core-1"}, "sweep",
			TaskStatus{Head: "core-1", Held: true, Holder: "core-1", Token: base + 7, LeftMs: 1500, Cause: TasksNotExpected}},
		"no view":  {leaseStatusQuery{lease: inactive(lease.NotHead)}, "autoscale", TaskStatus{Cause: TasksNoView}},
		"not head": {leaseStatusQuery{lease: inactive(lease.NotHead), head: "core-2"}, "autoscale", TaskStatus{Head: "core-2", Cause: TasksNotHead}},
		"refused": {leaseStatusQuery{lease: inactive(lease.TokenRefused), head: "core-1"}, "autoscale",
			TaskStatus{Head: "core-1", Token: base + 7, Cause: TasksTokenRefused}},
		"view changes": {leaseStatusQuery{lease: inactive(lease.NotActive), head: "core-1"}, "autoscale",
			TaskStatus{Head: "core-1", Token: base + 7, Cause: TasksViewChanging}},
		"stopping": {leaseStatusQuery{lease: inactive(lease.NotActive), head: "core-1", leaving: true}, "autoscale",
			TaskStatus{Head: "core-1", Token: base + 7, Cause: TasksStopping}},
		"no majority": {leaseStatusQuery{lease: inactive(lease.NotConfirmed), head: "core-1"}, "autoscale",
			TaskStatus{Head: "core-1", Token: base + 7, Cause: TasksNoMajority}},
		"just started": {leaseStatusQuery{lease: wait(lease.JustStarted), head: "core-1"}, "autoscale",
			TaskStatus{Head: "core-1", Token: base + 7, WaitMs: 2000, Cause: TasksJustStarted}},
		"waits for the lease of the previous head": {leaseStatusQuery{lease: wait(lease.EarlierGrant), head: "core-1"}, "autoscale",
			TaskStatus{Head: "core-1", Token: base + 7, WaitMs: 2000, Cause: TasksEarlierHead}},
		"lost and regained the lease": {leaseStatusQuery{lease: wait(lease.LeaseLost), head: "core-1"}, "autoscale",
			TaskStatus{Head: "core-1", Token: base + 7, WaitMs: 2000, Cause: TasksLeaseLost}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTaskServer(strings.Fields(c.tasks)...)
			s.taskSnapshot.Store(&taskSnapshot{at: time.Now(), tokenBase: base})
			status := s.taskStatus(&c.query)
			got := TaskStatus{Head: status.Head, Held: status.Held, Holder: status.Holder, Token: status.Token, LeftMs: status.LeftMs,
				WaitMs: status.WaitMs, Cause: status.Cause}
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("%+v\nwant %+v", got, c.want)
			}
			if status.Node != "core-1" || status.Epoch != c.query.lease.Epoch {
				t.Errorf("node %q, epoch %d", status.Node, status.Epoch)
			}
		})
	}
}

// The status must be complete before the first step of the singleton tasks, and on a node without a platform.
func TestTaskStatusBeforeFirstStep(t *testing.T) {
	s := newTaskServer(usageTaskName)
	s.settings.Platform.Address = ""
	status := s.taskStatus(&leaseStatusQuery{lease: lease.Status{Epoch: 1, Held: true}, head: "core-1"})
	if status.Cause != TasksNotExpected || status.Token != 0 {
		t.Errorf("cause %q, token %d", status.Cause, status.Token)
	}
	body, err := json.Marshal(status)
	if err != nil || strings.Contains(string(body), "null") {
		t.Errorf("%v %s", err, body)
	}
}

// The snapshot must contain the state of both tasks while the node holds the lease, and none of it after the lease is lost.
func TestSnapshotIsEmptyAfterLeaseLoss(t *testing.T) {
	s := newTaskServer(usageTaskName, scaleTaskName)
	d := &taskRunner{server: s, tokenBase: 5, heldEpoch: 2}
	d.usage, d.scale = newUsageTask(d), newScaleTask(d)
	d.usage.reset()
	d.scale.reset()
	ended := usage.WindowAt(time.Now().Add(-time.Minute), s.usageWindow())
	d.usage.recorded = []int64{ended, ended + 1, ended + 11}
	d.usage.unacknowledged = map[int64][]byte{ended + 11: nil, ended + 1: nil}
	d.usage.acknowledged[ended] = true
	subject := scaling.Subject{Service: "engine", Zone: "pier"}
	demand := scaling.Demand{Min: 1, Max: 9, Hosts: 3, Slots: 2, Concurrency: 2.5}
	d.scale.planner.Plan(0, subject, demand)
	d.scale.planner.OrderAccepted(subject, 4)
	d.scale.recentFronts, d.scale.knownFronts, d.scale.plannedSubjects = 2, 6, []scaleSubject{{subject, demand}}
	d.publishSnapshot()

	query := &leaseStatusQuery{lease: lease.Status{Epoch: 2, Held: true}, head: "core-1"}
	status := s.taskStatus(query)
	if windows := status.Usage.Unacknowledged; len(windows) != 2 || windows[0].Window != ended+1 || !windows[0].Late ||
		windows[1].Window != ended+11 || windows[1].Late || windows[0].EndedMs < 50_000 {
		t.Errorf("windows %+v", windows)
	}
	if status.Usage.LastRecorded != ended+11 || status.Usage.LastAcknowledged != ended || status.Token != 7 {
		t.Errorf("recorded %d, acknowledged %d, token %d", status.Usage.LastRecorded, status.Usage.LastAcknowledged, status.Token)
	}
	want := []ScaleSubjectStatus{{Service: "engine", Zone: "pier", InForce: 4, Listed: 3, Min: 1, Max: 9, Concurrency: 2.5}}
	if !reflect.DeepEqual(status.Scale.Subjects, want) || status.Scale.RecentFronts != 2 || status.Scale.KnownFronts != 6 {
		t.Errorf("scale %+v", status.Scale)
	}

	d.heldEpoch = 0
	d.publishSnapshot()
	status = s.taskStatus(query)
	if len(status.Usage.Unacknowledged)+len(status.Scale.Subjects) != 0 || status.Token != 7 {
		t.Errorf("without a lease: %+v", status)
	}
}

func TestCallsAreListedByPath(t *testing.T) {
	var l platformCallLog
	long := []byte(strings.Repeat("x", maxShownBody-1) + "ä and more")
	l.record(usagePath, 3, fencedcall.Accepted, []byte("{}"))
	l.record(scalePath, 3, fencedcall.Busy, nil)
	l.record(usagePath, 4, fencedcall.Refused, long)
	for range 2 * maxLoggedCalls {
		l.record(scalePath, 4, fencedcall.Unknown, nil)
	}
	l.record(usagePath, 4, fencedcall.NotSent, long)
	l.record(usagePath, 4, fencedcall.Invalid, nil)

	calls := l.newestOf(usagePath)
	if len(calls) != 2 || calls[0].Outcome != "invalid" || calls[1].Outcome != "not sent" || calls[1].Token != 4 {
		t.Errorf("%+v", calls)
	}
	if body := calls[1].Body; body != strings.Repeat("x", maxShownBody-1) { // not cut within a UTF-8 sequence
		t.Errorf("body of %d bytes: %s", len(body), body)
	}
	if _, err := time.Parse(time.RFC3339, calls[0].Time); err != nil {
		t.Error(err)
	}
	if calls := l.newestOf(scalePath); len(calls) != maxLoggedCalls-2 {
		t.Errorf("%d calls", len(calls))
	}
	if got, want := l.countsOf(usagePath), (PlatformCallCounts{Accepted: 1, Refused: 1, Invalid: 1, NotSent: 1}); got != want {
		t.Errorf("%+v", got)
	}
	if got, want := l.countsOf(usagePath, scalePath), (PlatformCallCounts{Accepted: 1, Refused: 1, Busy: 1, Invalid: 1, NotSent: 1,
		Unknown: 2 * maxLoggedCalls}); got != want {
		t.Errorf("%+v", got)
	}
}

// taskStatusJSON has all keys of the status. They must stay as they are, since operators' programs read them.
const taskStatusJSON = `{"node":"core-1","head":"core-1","epoch":7,"held":true,"holder":"core-1","token":1048583,"left_ms":1500,"wait_ms":2,` +
	`"cause":"refused","step_age_ms":3,"clock_offset_ms":-4,` +
	`"usage_report":{"expected":true,"unacknowledged_windows":[{"window":9,"ended_ms":11000,"late":true}],"last_recorded_window":9,` +
	`"last_acknowledged_window":8,"outcomes":{"accepted":1,"refused":2,"busy":3,"invalid":4,"not_sent":5,"unknown":6},` +
	`"calls":[{"time":"2026-01-02T03:04:05.006Z","age_ms":7,"path":"/usage","token":1048583,"outcome":"accepted","body":"{}"}]},` +
	`"autoscale":{"expected":true,"fronts":2,"most_fronts":3,` +
	`"subjects":[{"service":"engine","zone":"pier","in_force":4,"listed":3,"min":1,"max":9,"in_flight":2.5}],` +
	`"outcomes":{"accepted":0,"refused":0,"busy":0,"invalid":0,"not_sent":0,"unknown":0},"calls":[]},` +
	`"outcomes":{"accepted":1,"refused":2,"busy":3,"invalid":4,"not_sent":5,"unknown":6}}`

func TestTaskStatusKeysAreStable(t *testing.T) {
	counts := PlatformCallCounts{Accepted: 1, Refused: 2, Busy: 3, Invalid: 4, NotSent: 5, Unknown: 6}
	status := &TaskStatus{
		Node: "core-1", Head: "core-1", Epoch: 7, Held: true, Holder: "core-1", Token: 1<<20 + 7, LeftMs: 1500, WaitMs: 2,
		Cause: TasksTokenRefused, StepAgeMs: 3, ClockOffsetMs: -4, Outcomes: counts,
		Usage: UsageTaskStatus{Expected: true, Unacknowledged: []WindowStatus{{Window: 9, EndedMs: 11000, Late: true}}, LastRecorded: 9,
			LastAcknowledged: 8, Outcomes: counts, Calls: []PlatformCallStatus{{Time: "2026-01-02T03:04:05.006Z", AgeMs: 7, Path: "/usage",
				Token: 1<<20 + 7, Outcome: "accepted", Body: "{}"}}},
		Scale: ScaleTaskStatus{Expected: true, RecentFronts: 2, KnownFronts: 3, Subjects: []ScaleSubjectStatus{{Service: "engine", Zone: "pier",
			InForce: 4, Listed: 3, Min: 1, Max: 9, Concurrency: 2.5}}, Calls: []PlatformCallStatus{}},
	}
	body, err := json.Marshal(status)
	if err != nil || string(body) != taskStatusJSON {
		t.Errorf("%v\n%s\nwant\n%s", err, body, taskStatusJSON)
	}
	forwarded := new(TaskStatus)
	if err := rpc.Decode(rpc.Encode(status), forwarded); err != nil {
		t.Fatal(err)
	}
	body, err = json.Marshal(forwarded)
	if err != nil || string(body) != taskStatusJSON {
		t.Errorf("forwarded: %v\n%s", err, body)
	}
}
