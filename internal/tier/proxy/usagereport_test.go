package proxy

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/usage"
)

const testWindow = 5 * time.Second

// usageCore is a stand-in for the core: the node at its address head collects, every other node names it.
type usageCore struct {
	mu        sync.Mutex
	head      string
	number    int // of the collector
	collector *usage.Collector
	down      map[string]bool // nodes that do not answer
	lose      bool            // reports are added and their receipts lost
	aheadBy   time.Duration   // true time to the clock of the test
	unsure    bool            // of the true time
	calls     []string        // addresses
	startedAt time.Time
}

func newUsageCore() *usageCore {
	c := &usageCore{down: map[string]bool{}, startedAt: time.Now()}
	c.elect("core-1")
	return c
}

// elect makes a node head, with a collector of its own.
func (c *usageCore) elect(head string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	c.head, c.collector = head, usage.NewCollector(usage.DefaultCollectorParams(testWindow, 2*testWindow))
}

// set changes the core.
func (c *usageCore) set(change func(c *usageCore)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

func (c *usageCore) trueTime() time.Time { return time.Now().Add(c.aheadBy) }

// report is a ReportUsage. The core node that is followed is core-0.
func (c *usageCore) report(ctx context.Context, addr string, report usage.Report) (feed.UsageReceipt, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == "" {
		addr = "core-0"
	}
	c.calls = append(c.calls, addr)
	if _, limited := ctx.Deadline(); !limited || c.down[addr] {
		return feed.UsageReceipt{}, errors.New("no answer")
	}
	if addr != c.head {
		return feed.UsageReceipt{HeadAddr: c.head}, nil
	}
	c.collector.Add(usage.Now{Mono: time.Since(c.startedAt), True: c.trueTime()}, "front-1", report)
	if c.lose {
		return feed.UsageReceipt{}, errors.New("lost")
	}
	receipt := feed.UsageReceipt{Collector: fmt.Sprint(c.number), HeadAddr: c.head}
	if !c.unsure {
		receipt.TrueTimeMs = c.trueTime().UnixMilli()
	}
	return receipt, nil
}

func (c *usageCore) takeCalls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := c.calls
	c.calls = nil
	return calls
}

// counted returns the count of a tenant in the present window, and in all.
func (c *usageCore) counted(tenant string) (present, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window := usage.WindowAt(c.trueTime(), testWindow)
	for number := window - 10; number <= window+10; number++ {
		all += c.collector.Counts(number)[tenant]
	}
	return c.collector.Counts(window)[tenant], all
}

// withReporter runs a test with a reporter, whose start and first report take up to 100 ms, in synthetic time. stop ends it.
func withReporter(t *testing.T, test func(core *usageCore, reporter *UsageReporter, stop func())) {
	synctest.Test(t, func(t *testing.T) {
		core := newUsageCore()
		reporter := NewUsageReporter(core.report, testWindow)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { reporter.Run(ctx) })
		stop := func() {
			cancel()
			wg.Wait()
		}
		defer stop()
		test(core, reporter, stop)
	})
}

// runFor lets reports go on for a time.
func runFor(d time.Duration) {
	time.Sleep(d) // synthetic
	synctest.Wait()
}

func TestUsageIsReportedToTheHead(t *testing.T) {
	withReporter(t, func(core *usageCore, reporter *UsageReporter, _ func()) {
		runFor(200 * time.Millisecond)
		want(t, "calls to learn the time", fmt.Sprint(core.takeCalls()), "[core-0 core-1]")
		runFor(10 * time.Second)
		want(t, "calls of an idle front", len(core.takeCalls()), int(10*time.Second/idleReportInterval))
		for range 3 {
			reporter.RequestBegan("a")
		}
		reporter.CallEnded("m", "z", 1500*time.Millisecond)
		runFor(time.Second)
		present, all := core.counted("a")
		want(t, "counted", [2]int{present, all}, [2]int{3, 3})
		want(t, "calls", fmt.Sprint(core.takeCalls()), "[core-1]")
		reporter.CallEnded("m", "z", 1500*time.Millisecond)
		runFor(idleReportInterval)
		var loads []usage.Load
		core.set(func(c *usageCore) { loads = c.collector.LoadSince(0) })
		want(t, "loads", fmt.Sprint(loads), "[{m z 0.75}]") // 1.5 s of calls in 2 s
		runFor(30 * time.Second)
		core.takeCalls()
		runFor(30 * time.Second)
		want(t, "calls long after the last request", len(core.takeCalls()), int(30*time.Second/idleReportInterval))
	})
}

// A new head gets the counts of the windows before it, also from a front that has no request any more.
func TestNewHeadGetsAllUsage(t *testing.T) {
	withReporter(t, func(core *usageCore, reporter *UsageReporter, _ func()) {
		runFor(200 * time.Millisecond)
		for range 3 {
			reporter.RequestBegan("a")
			runFor(testWindow)
		}
		core.set(func(c *usageCore) { c.down["core-1"] = true })
		core.elect("core-2")
		runFor(4 * time.Second)
		_, all := core.counted("a")
		want(t, "counted", all, 3)
		runFor(time.Second)
		calls := core.takeCalls()
		want(t, "calls after that", calls[len(calls)-1], "core-2")
	})
}

// Reports of which receipts are lost are repeated, with pauses, and count once.
func TestLostUsageReportsAreRepeated(t *testing.T) {
	withReporter(t, func(core *usageCore, reporter *UsageReporter, _ func()) {
		runFor(200 * time.Millisecond)
		core.set(func(c *usageCore) { c.lose = true })
		reporter.RequestBegan("a")
		core.takeCalls()
		runFor(10 * time.Second)
		calls := len(core.takeCalls())
		want(t, "calls in 10 s", 20 < calls && calls < 45, true) // two each, to the node that is followed and the head
		core.set(func(c *usageCore) { c.lose = false })
		runFor(time.Second)
		_, all := core.counted("a")
		want(t, "counted", all, 1)
	})
}

// While no node knows a head, or two name each other, a report ends.
func TestUsageReportEndsWithoutAHead(t *testing.T) {
	withReporter(t, func(core *usageCore, _ *UsageReporter, _ func()) {
		core.elect("")
		runFor(5 * time.Second)
		want(t, "calls", slices.Max(core.takeCalls()), "core-0")
	})
	turns := 0
	reporter := NewUsageReporter(func(context.Context, string, usage.Report) (feed.UsageReceipt, error) {
		turns++
		return feed.UsageReceipt{HeadAddr: fmt.Sprint("core-", turns%2)}, nil
	}, testWindow)
	want(t, "reported", reporter.report(t.Context()), false)
	want(t, "calls", turns, maxUsageCalls)
}

// A front whose clock is wrong counts by the head's estimate of the true time, unless the head has none.
func TestUsageCountsByTheHeadsTime(t *testing.T) {
	for _, unsure := range []bool{false, true} {
		withReporter(t, func(core *usageCore, reporter *UsageReporter, _ func()) {
			core.set(func(c *usageCore) { c.aheadBy, c.unsure = 2*testWindow, unsure })
			runFor(200 * time.Millisecond)
			reporter.RequestBegan("a")
			runFor(time.Second)
			present, all := core.counted("a")
			want(t, "counted in all", all, 1)
			want(t, "counted in the window of the true time", present == 1, !unsure)
		})
	}
}

// A front that ends reports once more.
func TestUsageIsReportedAtTheEnd(t *testing.T) {
	withReporter(t, func(core *usageCore, reporter *UsageReporter, stop func()) {
		runFor(200 * time.Millisecond)
		reporter.RequestBegan("a")
		stop()
		_, all := core.counted("a")
		want(t, "counted", all, 1)
	})
}

func TestUsageBackoff(t *testing.T) {
	for failures, bound := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, time.Second, time.Second} {
		for range 100 {
			if pause := usageBackoff(failures); pause < bound/2 || pause > bound {
				t.Fatalf("after %d failures the pause is %v", failures, pause)
			}
		}
	}
	want(t, "pause after many failures", usageBackoff(1<<40) <= maxUsageReportBackoff, true)
}
