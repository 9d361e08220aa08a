package proxy

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/usage"
)

const (
	usageReportInterval   = time.Second
	idleReportInterval    = 2 * time.Second // while nothing is counted: a report shows the head that this front is there
	usageReportTimeout    = 500 * time.Millisecond
	minUsageReportBackoff = 200 * time.Millisecond // bound of the first pause after a failure; doubled with each further one
	maxUsageReportBackoff = time.Second
	maxUsageBackoffStep   = 8 // keeps the shift in range
	maxUsageCalls         = 4 // of one report: to a node that names the head, to the head, and what a new collector lacks
	retainedUsageWindows  = 6 // that a new collector may get
	startUsageJitter      = 100 * time.Millisecond
	headClock             = "head" // name of the head's estimate of the true time, whichever node is the head
)

// ReportUsage sends a report of usage to a core node: to the one that is followed if addr is empty. feed.Follower.ReportUsage is one.
type ReportUsage func(ctx context.Context, addr string, report usage.Report) (feed.UsageReceipt, error)

// UsageReporter counts usage and reports it to the head. Run starts its reports.
type UsageReporter struct {
	send         ReportUsage
	windowLength time.Duration
	startedAt    time.Time
	counter      *usage.Counter
	trueTime     *usage.TrueTime

	// Used by Run only.
	headAddr  string // where reports go; empty for the core node that is followed
	collector string // of the last receipt
	synced    bool   // a head has given its estimate of the true time

	reportedAt time.Time // when the head took the last report
}

var _ UsageRecorder = (*UsageReporter)(nil)

// NewUsageReporter returns a reporter for windows of a length above 0.
func NewUsageReporter(send ReportUsage, windowLength time.Duration) *UsageReporter {
	now := time.Now()
	return &UsageReporter{send: send, windowLength: windowLength, startedAt: now,
		counter: usage.NewCounter(rand.Int64(), retainedUsageWindows), trueTime: usage.NewTrueTime(now, 0)}
}

// RequestBegan implements UsageRecorder.
func (u *UsageReporter) RequestBegan(tenant string) { u.counter.Record(tenant, u.window()) }

// CallEnded implements UsageRecorder.
func (u *UsageReporter) CallEnded(service, zone string, took time.Duration) {
	u.counter.AddBusy(service, zone, took)
}

// window returns the present window.
func (u *UsageReporter) window() int64 {
	return usage.WindowAt(u.trueTime.At(time.Since(u.startedAt)), u.windowLength)
}

// Run reports until the context ends, and then once more if something is pending.
func (u *UsageReporter) Run(ctx context.Context) {
	failures := 0
	for pause := rand.N(startUsageJitter); ctxtime.Sleep(ctx, pause); {
		pause = usageReportInterval
		if !u.due() {
			continue
		}
		if u.report(ctx) {
			failures, u.reportedAt = 0, time.Now()
			continue
		}
		pause = usageBackoff(failures)
		failures++
	}
	if len(u.counter.Pending().Windows) > 0 {
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), usageReportTimeout)
		defer cancel()
		u.report(last)
	}
}

// due reports whether a report is to be made: something is counted, the true time is not known yet, or the head took the last one
// idleReportInterval ago, so that the head hears that this front is idle, and a new head gets what it lacks.
func (u *UsageReporter) due() bool {
	return !u.synced || len(u.counter.Pending().Windows) > 0 || time.Since(u.reportedAt) >= idleReportInterval
}

// usageBackoff returns a random pause after a number of failures, between half of a bound that doubles with each and the bound.
func usageBackoff(failures int) time.Duration {
	bound := min(maxUsageReportBackoff, minUsageReportBackoff<<min(failures, maxUsageBackoffStep))
	return bound/2 + rand.N(bound/2+1)
}

// report sends what is pending to the head, also what only a new collector lacks. It reports whether the head has it.
func (u *UsageReporter) report(ctx context.Context) bool {
	for range maxUsageCalls {
		report, sentAt := u.counter.Pending(), time.Now()
		receipt, err := u.call(ctx, report)
		switch {
		case err != nil:
			u.headAddr = ""
			return false
		case receipt.Collector == "" && (receipt.HeadAddr == "" || receipt.HeadAddr == u.headAddr):
			u.headAddr = ""
			return false
		}
		u.headAddr = cmp.Or(receipt.HeadAddr, u.headAddr)
		if receipt.Collector == "" {
			continue
		}
		u.observeTime(receipt.TrueTimeMs, sentAt)
		u.counter.Acknowledge(receipt.Collector, report)
		if receipt.Collector == u.collector {
			return true
		}
		u.collector = receipt.Collector
		if len(u.counter.Pending().Windows) == 0 {
			return true
		}
	}
	return false
}

func (u *UsageReporter) call(ctx context.Context, report usage.Report) (feed.UsageReceipt, error) {
	ctx, cancel := context.WithTimeout(ctx, usageReportTimeout)
	defer cancel()
	return u.send(ctx, u.headAddr, report)
}

// observeTime adds the head's estimate of the true time to this front's, if the head has one.
func (u *UsageReporter) observeTime(trueTimeMs int64, sentAt time.Time) {
	if trueTimeMs == 0 {
		return
	}
	u.synced = true
	u.trueTime.Observe(usage.ClockSample{Node: headClock, Wall: time.UnixMilli(trueTimeMs), RoundTrip: time.Since(sentAt),
		ReceivedAt: time.Since(u.startedAt), Weight: usage.EstimateWeight})
}
