package controlnode

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/usage"
)

const (
	frontTick       = 40 * time.Millisecond // between two reports
	frontTimeout    = 300 * time.Millisecond
	frontWindows    = 64               // retained windows
	loadPeriod      = 14 * time.Second // the load is high for the first half, then low
	highLoad        = 3.0              // calls in flight in a zone
	lowLoad         = 0.5
	requestsPerTick = 5
)

// usageFront counts requests of a few tenants and reports them to the head as a front does. It keeps the counts for the checks.
type usageFront struct {
	fleet   *fleet
	calls   rpc.Clients
	counter *usage.Counter
	target  int    // node that is asked next while no head is known
	head    string // address; empty while it is not known

	mu     sync.Mutex
	counts map[int64]map[string]int64 // by window and tenant
}

// newUsageFront starts a front of a fleet. It stops at the end of the test.
func newUsageFront(t *testing.T, f *fleet) *usageFront {
	front := &usageFront{fleet: f, counter: usage.NewCounter(time.Now().UnixNano(), frontWindows), counts: map[int64]map[string]int64{}}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { front.run(ctx) })
	t.Cleanup(func() { stop(); front.calls.Close(); running.Wait() })
	return front
}

func (f *usageFront) run(ctx context.Context) {
	random := rand.New(rand.NewPCG(1, 2))
	tick := time.NewTicker(frontTick)
	defer tick.Stop()
	for last := time.Now(); ctx.Err() == nil; {
		<-tick.C
		now := time.Now()
		f.count(now, now.Sub(last), random)
		last = now
		f.report(ctx)
	}
}

// count counts a few requests at a time, and the load of the span before it.
func (f *usageFront) count(now time.Time, span time.Duration, random *rand.Rand) {
	window := usage.WindowAt(now, taskTestWindow)
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := f.counts[window]
	if counts == nil {
		counts = map[string]int64{}
		f.counts[window] = counts
	}
	for range requestsPerTick {
		tenant := [...]string{"acme", "birch", "cedar"}[random.IntN(3)]
		counts[tenant]++
		f.counter.Record(tenant, window)
	}
	load := lowLoad
	if now.UnixNano()%int64(loadPeriod) < int64(loadPeriod)/2 {
		load = highLoad
	}
	for _, zone := range []string{"y", "z"} {
		f.counter.AddBusy("s", zone, time.Duration(load*float64(span)))
	}
}

// report sends what the current collector has not acknowledged, to the head if it is known, else to the nodes in rotation.
func (f *usageFront) report(ctx context.Context) {
	addr := f.head
	if addr == "" {
		f.target++
		addr = f.fleet.peer(f.target % f.fleet.n)
	}
	ctx, cancel := context.WithTimeout(ctx, frontTimeout)
	defer cancel()
	pending := f.counter.Pending()
	message := &feed.UsageReport{Name: "front-1", Incarnation: pending.Incarnation, Windows: pending.Windows, Loads: pending.Loads}
	var receipt feed.UsageReceipt
	if f.calls.To(addr).Call(ctx, feed.UsageCall, message, &receipt) != nil {
		f.head = ""
		return
	}
	if f.head = receipt.HeadAddr; receipt.Collector != "" {
		f.head = addr
		f.counter.Acknowledge(receipt.Collector, pending)
	} else if f.head == addr {
		f.head = ""
	}
}

// counted returns the counts of a window by tenant.
func (f *usageFront) counted(window int64) map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts[window])
}
