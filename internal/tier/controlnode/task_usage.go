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

// usageRole is the head's collector of the usage that fronts have counted. It is kept in memory for one tenure, a sequence of
// consecutive epochs with this node as the head: fronts report what they retain again to a new collector. It is owned by the event
// loop.
type usageRole struct {
	epoch     int64
	id        string // ID of the collector, in receipts
	collector *usage.Collector
	startedAt time.Duration // start of the collector, on the monotonic clock
}

// assumeUsageRole returns the collector of this tenure, a new one if there is none. It runs on the event loop of the confirmed head.
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

// usageNow returns the present time for the collector. It runs on the event loop.
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

// handleUsage handles a front's report at the head. Other nodes return the head's address.
func (s *Server) handleUsage(_ context.Context, report *feed.UsageReport) (*feed.UsageReceipt, error) {
	request := &reportUsageRequest{report: report}
	if !s.runOnLoop(request) {
		return nil, errStopping
	}
	return &request.receipt, nil
}

// usageTask reports the number of requests of each tenant to the platform, once per window.
type usageTask struct {
	*taskRunner
	schedule       usage.Schedule
	first          int64            // windows before it are not recorded by this holder; 0 until it is known
	recorded       []int64          // windows that are recorded, or can no longer be recorded
	unacknowledged map[int64][]byte // bodies of recorded windows that the platform has not acknowledged
	acknowledged   map[int64]bool   // windows that the platform has acknowledged to this process
	backoff        callBackoff
}

func newUsageTask(d *taskRunner) *usageTask {
	return &usageTask{taskRunner: d, schedule: usage.DefaultSchedule(d.server.usageWindow(), d.server.usageLate()),
		acknowledged: map[int64]bool{}}
}

// reset drops the state that another holder may have changed meanwhile.
func (u *usageTask) reset() {
	u.first, u.recorded, u.unacknowledged, u.backoff = 0, nil, nil, callBackoff{}
}

// step records the windows that are due and sends a recorded one.
func (u *usageTask) step(grant *publishedGrant) {
	now := u.server.trueNow()
	if u.unacknowledged == nil && !u.readRecorded(now) {
		return
	}
	u.recordDue(now)
	u.dropBefore(u.schedule.OldestRetained(now))
	u.send(grant, now)
}

// recordDue records all windows that are due. It runs before the call to the platform, which may take long.
func (u *usageTask) recordDue(now time.Time) {
	began, ok := u.collectorStart(now)
	for ok {
		window, due := u.schedule.Due(now, usage.Progress{First: u.first, Recorded: u.recorded, CollectingSince: began})
		if !due || !u.record(window) {
			return
		}
	}
}

// readRecorded reads which windows earlier holders have recorded. They are sent again, since the platform ignores exact duplicates.
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

// firstUnrecorded returns the first window that may have to be recorded: the one after the oldest recorded window, or the present
// window if none is recorded. Windows may be recorded out of order: a new collector waits longer with a window that is already late
// than with the next one, and its tenure may end before it records the late one.
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

// addRecorded adds a recorded window.
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

// collectorAgeQuery reads how long the collector of this tenure has been collecting reports.
type collectorAgeQuery struct {
	age             time.Duration
	isHead          bool // this node is the confirmed head; otherwise it collects nothing
	hasMajorityTime bool // the estimate of the true time includes the clocks of a majority
}

func (q *collectorAgeQuery) handle(s *Server) {
	if q.isHead = s.node.IsConfirmedHead(); q.isHead {
		q.age, q.hasMajorityTime = s.now()-s.assumeUsageRole().startedAt, s.knowsTrueTime()
	}
}

// collectorStart returns when the collector started to collect reports, in true time; ok is false if this node must not record, since
// it is not the confirmed head, or its estimate of the true time does not include the clocks of a majority.
func (u *usageTask) collectorStart(now time.Time) (since time.Time, ok bool) {
	query := &collectorAgeQuery{}
	if !u.server.runOnLoop(query) || !query.isHead || !query.hasMajorityTime {
		return now, false
	}
	return now.Add(-query.age), true
}

// usageBody is the body of the call, with the field names that the platform's API documents.
type usageBody struct {
	Window int64          `json:"window_no"`
	Counts map[string]int `json:"server_counts"`
}

// record records the counts of a window in the replicated state. It reports whether a decision about it was committed.
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
	case err != nil: // the outcome is unknown: the next step tries again
		return false
	case decision.Kind.IsAcknowledgement():
		u.addRecorded(window, decision.Body) // the report that was recorded first, possibly by another node
	default:
		u.server.log.Error("usage window not recorded", "window", window, "reason", decision.Reason)
		u.recorded = append(u.recorded, window) // not tried again: the record of a later window has overwritten that of this one
	}
	return true
}

// dropBefore drops the windows before the oldest one that is retained.
func (u *usageTask) dropBefore(oldest int64) {
	u.abandonBefore(oldest)
	u.recorded = slices.DeleteFunc(u.recorded, func(window int64) bool { return window < oldest })
	for window := range u.unacknowledged {
		if window < oldest {
			u.server.log.Error("usage window not reported to the platform in time", "window", window)
			delete(u.unacknowledged, window)
		}
	}
	for window := range u.acknowledged {
		if window < oldest {
			delete(u.acknowledged, window)
		}
	}
}

// abandonBefore stops recording windows before the oldest one that is retained, and logs the first and the last of them from the
// first one that no node has recorded.
func (u *usageTask) abandonBefore(oldest int64) {
	if u.first >= oldest {
		return
	}
	for u.first < oldest && slices.Contains(u.recorded, u.first) {
		u.first++
	}
	if u.first < oldest {
		u.server.log.Error("usage windows not recorded", "window", u.first, "last", oldest-1, "reason", "no node held the lease in time")
	}
	u.first = oldest
}

// send sends one recorded window that the platform has not acknowledged.
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
		u.server.log.Error("platform rejected a usage report as invalid", "window", window)
		delete(u.unacknowledged, window)
	default:
		u.backoff.failed(time.Now())
	}
}

// nextToSend returns the window to be sent next: the oldest one that is not late, else the oldest one; there must be at least one. On
// a slow platform, windows that are already late or only repeat what an earlier holder has sent must not make others late.
func nextToSend(unacknowledged map[int64][]byte, oldestInTime int64) int64 {
	windows := slices.Sorted(maps.Keys(unacknowledged))
	for _, window := range windows {
		if window >= oldestInTime {
			return window
		}
	}
	return windows[0]
}
