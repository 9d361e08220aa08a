package proxy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/discovery"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/hosthealth"
)

// reports collects what a front reports. It is safe for concurrent use.
type reports struct {
	mu  sync.Mutex
	all []hosthealth.Observation
	err error
}

func (r *reports) take(_ context.Context, observations []hosthealth.Observation) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, observations...)
	return r.err
}

func (r *reports) of(host string) (failures, successes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.all {
		if o.Host == host {
			failures += o.Failures
			successes += o.Successes
		}
	}
	return failures, successes
}

// A front reports a host that breaks off, and what the host does then, but not the hosts that serve.
func TestFrontReportsHostsThatFail(t *testing.T) {
	got := &reports{err: errors.New("lost on its way")} // reports are best effort
	broken := newHost(t, "i-1", runsInTurn(func(*call) bool { return false }, respondsOK("x")))
	f := newReportingFront(t, got, broken)
	want(t, "status", f.do("POST", "/order/x", "a", timeLeft, "").status, 502)
	eventually(t, "the failure is reported", func() bool { failures, _ := got.of("i-1"); return failures == 1 })
	want(t, "status", f.do("POST", "/order/x", "b", timeLeft, "").status, 200)
	eventually(t, "the success is reported", func() bool { _, successes := got.of("i-1"); return successes == 1 })
	sound := &reports{}
	f = newReportingFront(t, sound, newHost(t, "i-2", respondsOK("x")))
	want(t, "status", f.do("POST", "/order/x", "c", timeLeft, "").status, 200)
	f.setPhases(map[string]string{"i-2": discovery.Probation})
	want(t, "status", f.do("POST", "/order/x", "d", timeLeft, "").status, 200)
	eventually(t, "the success on probation is reported", func() bool { _, successes := sound.of("i-2"); return successes == 1 })
}

func newReportingFront(t *testing.T, to *reports, hosts ...*host) *front {
	t.Helper()
	return newFrontWithOptions(t, Options{Ledger: &ledger{}, ReportHealth: to.take}, hosts...)
}

// setPhases replaces the list by one with these phases of hosts.
func (f *front) setPhases(phases map[string]string) {
	f.source.set(func(tb *feed.Tables) {
		next := &discovery.List{Term: tb.Hosts.Term, Number: tb.Hosts.Number + 1}
		for _, h := range tb.Hosts.Hosts {
			if phase := phases[h.ID]; phase != "" {
				h.Phase = phase
			}
			next.Hosts = append(next.Hosts, h)
		}
		tb.Hosts = next
	})
	f.awaitHosts()
}

// A host that the list ejects gets no call while another one serves, and is tried if there is no other.
func TestEjectedHostIsAvoided(t *testing.T) {
	one, two := newHost(t, "i-1", respondsOK("x")), newHost(t, "i-2", respondsOK("x"))
	f := newFront(t, one, two)
	f.setPhases(map[string]string{"i-1": discovery.Ejected})
	for i := range 10 {
		want(t, "status", f.do("POST", "/order/x", fmt.Sprint("a", i), timeLeft, "").status, 200)
	}
	want(t, "calls to the ejected host", one.calls.Load(), 0)
	f.setPhases(map[string]string{"i-2": discovery.Ejected})
	want(t, "status", f.do("POST", "/order/x", "b", timeLeft, "").status, 200)
	f.setPhases(map[string]string{"i-1": discovery.Ready, "i-2": discovery.Draining})
	want(t, "status", f.do("POST", "/order/x", "c", timeLeft, "").status, 200)
	want(t, "calls to the host that is back", one.calls.Load() >= 1, true)
}

// Reports become rarer while a front goes on reporting, and prompt again after a rest.
func TestReportsArePaced(t *testing.T) {
	interval, total := minReportInterval, time.Duration(0)
	for range 10 {
		interval = nextInterval(interval, interval)
		total += interval
	}
	want(t, "interval", interval, maxReportInterval)
	want(t, "ten reports take at least", total > 10*time.Second, true)
	want(t, "interval after a rest", nextInterval(interval, 2*maxReportInterval+1), minReportInterval)
}

// What is collected is bounded to hosts that are watched, and forgotten.
func TestHealthReporterForgets(t *testing.T) {
	r := newHealthReporter(nil)
	now := time.Now()
	r.record("a", balancer.Success, false, now)
	r.record("a", balancer.AtCapacity, true, now)
	r.record("a", balancer.Inconclusive, true, now)
	want(t, "nothing to report", len(r.take(now)), 0)
	r.record("a", balancer.ResponseBroken, false, now)
	r.record("a", balancer.Success, false, now.Add(time.Millisecond))
	r.record("a", balancer.TimedOut, false, now.Add(2*time.Millisecond))
	want(t, "report", fmt.Sprint(r.take(now)), "[{a 2 1}]")
	r.record("a", balancer.Success, false, now.Add(watchTime+2*time.Millisecond))
	want(t, "report", len(r.take(now.Add(watchTime+2*time.Millisecond))), 0)
	want(t, "hosts", len(r.watched), 0)
}
