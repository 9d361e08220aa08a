package controlnode

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/fencedcall"
	"larchrouter/internal/tier/orders"
	"larchrouter/internal/tier/usage"
)

const (
	usagePath          = "/usage"
	defaultUsageWindow = 5 * time.Second
	defaultUsageLate   = 10 * time.Second
)

// usageRole is the head's collection of what fronts have counted. It is soft state of a headship: fronts report what they retain to
// a new collector once more. It is owned by the event loop.
type usageRole struct {
	epoch     int64
	id        string // of the collector, in receipts
	collector *usage.Collector
	startedAt time.Duration
}

// assumeUsageRole returns the collector of this headship. It runs on the event loop of the confirmed head.
func (s *Server) assumeUsageRole() *usageRole {
	role, epoch := &s.usageRole, s.node.View().Epoch
	if role.collector == nil || epoch > role.epoch+1 { // consecutive epochs of one head share a collector
		*role = usageRole{id: fmt.Sprintf("%s/%d/%d", s.self.ID, s.incarnation, epoch), startedAt: s.now(),
			collector: usage.NewCollector(usage.DefaultCollectorParams(s.usageWindow(), s.usageLate()))}
	}
	role.epoch = epoch
	return role
}

func (s *Server) usageWindow() time.Duration {
	return s.settings.TimingBound("usage_window_s", defaultUsageWindow)
}

func (s *Server) usageLate() time.Duration {
	return s.settings.TimingBound("usage_late_s", defaultUsageLate)
}

// usageNow returns the time for the collector. It runs on the event loop.
func (s *Server) usageNow() usage.Now {
	now := s.now()
	return usage.Now{Mono: now, True: s.trueTime.At(now)}
}

// reportUsageRequest adds a front's report, if this node is the confirmed head.
type reportUsageRequest struct {
	report  *feed.UsageReport
	receipt feed.UsageReceipt
}

func (r *reportUsageRequest) handle(s *Server) {
	r.receipt.HeadAddr = s.node.HeadAddr()
	if !s.node.IsConfirmedHead() {
		return
	}
	role, now := s.assumeUsageRole(), s.usageNow()
	report := usage.Report{Incarnation: r.report.Incarnation, Windows: r.report.Windows, Loads: r.report.Loads}
	role.collector.Add(now, r.report.Name, report)
	role.collector.Expire(now)
	r.receipt.Collector = role.id
	if s.knowsTrueTime() {
		r.receipt.TrueTimeMs = now.True.UnixMilli()
	}
}

// handleUsage takes a front's report at the head. Another node answers with the head's address.
func (s *Server) handleUsage(_ context.Context, report *feed.UsageReport) (*feed.UsageReceipt, error) {
	request := &reportUsageRequest{report: report}
	if !s.runOnLoop(request) {
		return nil, errStopping
	}
	return &request.receipt, nil
}

// usageTask reports the requests of each tenant to the platform, once for each window.
type usageTask struct {
	*taskRunner
	schedule       usage.Schedule
	first          int64            // windows before it are not this holder's to record; 0 until it is known
	recorded       []int64          // windows that are recorded, by rising number
	unacknowledged map[int64][]byte // bodies of recorded windows that the platform has not acknowledged
	acknowledged   map[int64]bool   // windows that the platform has acknowledged to this process
	backoff        callBackoff
}

func newUsageTask(d *taskRunner) *usageTask {
	return &usageTask{taskRunner: d, schedule: usage.DefaultSchedule(d.server.usageWindow(), d.server.usageLate()),
		acknowledged: map[int64]bool{}}
}

// begin forgets what another holder may have changed.
func (u *usageTask) reset() {
	u.first, u.recorded, u.unacknowledged, u.backoff = 0, nil, nil, callBackoff{}
}

// step records the windows that are due and sends what is recorded.
func (u *usageTask) step(grant *publishedGrant) {
	now := u.server.trueNow()
	if u.unacknowledged == nil && !u.readRecorded(now) {
		return
	}
	u.recordDue(now)
	u.dropBefore(u.schedule.OldestRetained(now))
	u.send(grant, now)
}

// recordDue records all windows that are due, before a call to the platform takes time.
func (u *usageTask) recordDue(now time.Time) {
	began, ok := u.collectorStart(now)
	for ok {
		window, due := u.schedule.Due(now, usage.Progress{First: u.first, Recorded: u.recorded, CollectingSince: began})
		if !due || !u.record(window) {
			return
		}
	}
}

// readRecorded reads which windows earlier holders have recorded. They are sent once more: the platform ignores an exact repeat.
func (u *usageTask) readRecorded(now time.Time) bool {
	query := &taskStateQuery{}
	if !u.server.runOnLoop(query) || query.state == nil {
		return false
	}
	u.unacknowledged = map[int64][]byte{}
	reports := query.state.UsageReports()
	for _, report := range reports {
		u.addRecorded(report.Window, report.Body)
	}
	u.first = firstUnrecorded(reports, usage.WindowAt(now, u.schedule.WindowLength))
	return true
}

// firstUnrecorded returns the first window that may have to be recorded: the one after the oldest one that is recorded, or the
// present one if none is. Windows are not always recorded in order: a new collector waits longer for one that is late already than
// for the next one, and may not come to record it.
func firstUnrecorded(reports []orders.UsageEntry, present int64) int64 {
	if len(reports) == 0 {
		return present
	}
	first := reports[0].Window
	for _, report := range reports {
		first = min(first, report.Window)
	}
	return first + 1
}

// addRecorded notes a recorded window.
func (u *usageTask) addRecorded(window int64, body []byte) {
	u.recorded = append(u.recorded, window)
	slices.Sort(u.recorded)
	if !u.acknowledged[window] {
		u.unacknowledged[window] = body
	}
}

// usageCountsQuery reads the counts of a window at the head.
type usageCountsQuery struct {
	window int64
	counts map[string]int
	ok     bool
}

func (q *usageCountsQuery) handle(s *Server) {
	if s.node.IsConfirmedHead() {
		q.counts, q.ok = s.assumeUsageRole().collector.Counts(q.window), true
	}
}

// collectorAgeQuery reads for how long the collector of this headship has taken reports.
type collectorAgeQuery struct {
	age             time.Duration
	isHead          bool // otherwise nothing is collected here
	hasMajorityTime bool // the estimate of the true time is over the clocks of a majority
}

func (q *collectorAgeQuery) handle(s *Server) {
	if q.isHead = s.node.IsConfirmedHead(); q.isHead {
		q.age, q.hasMajorityTime = s.now()-s.assumeUsageRole().startedAt, s.knowsTrueTime()
	}
}

// collectorStart returns since when the collector has taken reports, in true time; ok is false if nothing is to be recorded here,
// as the node is not the confirmed head, or its time is that of its own clock alone.
func (u *usageTask) collectorStart(now time.Time) (since time.Time, ok bool) {
	query := &collectorAgeQuery{}
	if !u.server.runOnLoop(query) || !query.isHead || !query.hasMajorityTime {
		return now, false
	}
	return now.Add(-query.age), true
}

// usageBody is the body of the call, with the names of the platform's page.
type usageBody struct {
	Window int64          `json:"window_no"`
	Counts map[string]int `json:"server_counts"`
}

// record records what is known of a window in the agreed state. It reports whether that is decided.
func (u *usageTask) record(window int64) bool {
	query := &usageCountsQuery{window: window}
	if !u.server.runOnLoop(query) || !query.ok {
		return false
	}
	if query.counts == nil {
		query.counts = map[string]int{}
	}
	body, err := json.Marshal(usageBody{Window: window, Counts: query.counts})
	if err != nil {
		return false
	}
	decision, err := u.server.decideAtHead(u.server.ctx, orders.RecordUsage{Window: window, Body: body})
	switch {
	case err != nil: // it may be recorded or not: the next step asks again
		return false
	case decision.Kind.IsAcknowledgement():
		u.addRecorded(window, decision.Body)
	default:
		u.server.log.Error("usage not recorded", "window", window, "reason", decision.Reason)
		u.recorded = append(u.recorded, window)
	}
	return true
}

// drop forgets windows before the oldest one that still matters.
func (u *usageTask) dropBefore(oldest int64) {
	u.abandonBefore(oldest)
	u.recorded = slices.DeleteFunc(u.recorded, func(window int64) bool { return window < oldest })
	for window := range u.unacknowledged {
		if window < oldest {
			u.server.log.Error("usage not reported in time", "window", window)
			delete(u.unacknowledged, window)
		}
	}
	for window := range u.acknowledged {
		if window < oldest {
			delete(u.acknowledged, window)
		}
	}
}

// abandonBefore gives up the windows before the oldest one that still matters, and logs the first and the last of those that no node has
// recorded.
func (u *usageTask) abandonBefore(oldest int64) {
	if u.first >= oldest {
		return
	}
	for u.first < oldest && slices.Contains(u.recorded, u.first) {
		u.first++
	}
	if u.first < oldest {
		u.server.log.Error("usage not recorded", "window", u.first, "last", oldest-1, "reason", "no node had the lease in time")
	}
	u.first = oldest
}

// send sends a recorded window that the platform has not acknowledged.
func (u *usageTask) send(grant *publishedGrant, now time.Time) {
	if len(u.unacknowledged) == 0 || !u.backoff.ready(time.Now()) {
		return
	}
	window := nextToSend(u.unacknowledged, usage.WindowAt(now.Add(-u.schedule.LateAfter), u.schedule.WindowLength))
	switch outcome, _ := u.post(grant, usagePath, u.unacknowledged[window]); outcome {
	case fencedcall.Accepted:
		u.backoff.succeeded()
		u.acknowledged[window] = true
		delete(u.unacknowledged, window)
	case fencedcall.Invalid:
		u.server.log.Error("the platform rejects a usage report", "window", window)
		delete(u.unacknowledged, window)
	default:
		u.backoff.failed(time.Now())
	}
}

// nextToSend returns the window to be sent next: the oldest one that is not late, else the oldest one; there must be one. What is late
// already, or only repeats what an earlier holder has sent, must not make others late where the platform is slow.
func nextToSend(unsent map[int64][]byte, oldestInTime int64) int64 {
	windows := slices.Sorted(maps.Keys(unsent))
	for _, window := range windows {
		if window >= oldestInTime {
			return window
		}
	}
	return windows[0]
}
