package proxy

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/hosthealth"
)

const (
	failureReportDelay = 10 * time.Millisecond  // from a failure to its report, which has others as well
	successReportDelay = 200 * time.Millisecond // the same for a success at a host that is watched
	minReportInterval  = 100 * time.Millisecond // between the first two reports; doubles with each further one
	maxReportInterval  = 1600 * time.Millisecond
	reportTimeout      = 500 * time.Millisecond
	watchTime          = 2 * time.Second // from a failure of a host, for which its successes are reported as well
)

// ReportHealth sends what this front has observed of hosts to the core.
type ReportHealth func(ctx context.Context, observations []hosthealth.Observation) error

// healthReporter collects what calls show of hosts that fail, or that the list has on probation, and reports it. Reports are best
// effort: one that is lost is followed by others while the host fails.
type healthReporter struct {
	send ReportHealth

	mu      sync.Mutex
	watched map[string]*watchedHost // by host id
	wake    chan struct{}           // of capacity 1: there is something to report
}

// watchedHost is what was seen of a host since the last report.
type watchedHost struct {
	failures, successes int
	until               time.Time // successes are reported up to then
}

func newHealthReporter(send ReportHealth) *healthReporter {
	return &healthReporter{send: send, watched: map[string]*watchedHost{}, wake: make(chan struct{}, 1)}
}

// record records the end of a call to a host. watched reports whether the list asks for all that is seen of it.
func (r *healthReporter) record(host string, outcome balancer.Outcome, watched bool, now time.Time) {
	var failed bool
	switch outcome {
	case balancer.ConnectFailed, balancer.ResponseBroken, balancer.TimedOut:
		failed = true
	case balancer.Success:
	default:
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.watched[host]
	if w == nil {
		if !failed && !watched {
			return
		}
		w = &watchedHost{}
		r.watched[host] = w
	}
	switch {
	case failed:
		w.failures++
		w.until = now.Add(watchTime)
	case watched || now.Before(w.until):
		w.successes++
	default:
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// take returns what is to be reported and forgets hosts that are no longer watched.
func (r *healthReporter) take(now time.Time) (observations []hosthealth.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, w := range r.watched {
		if w.failures+w.successes > 0 {
			observations = append(observations, hosthealth.Observation{Host: host, Failures: w.failures, Successes: w.successes})
			w.failures, w.successes = 0, 0
		}
		if !now.Before(w.until) {
			delete(r.watched, host)
		}
	}
	slices.SortFunc(observations, func(a, b hosthealth.Observation) int { return cmp.Compare(a.Host, b.Host) })
	return observations
}

// delay returns how long what is to be reported may wait for more.
func (r *healthReporter) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.watched {
		if w.failures > 0 {
			return failureReportDelay
		}
	}
	return successReportDelay
}

// nextInterval returns how long the next report has to wait behind one that was made so long after the one before, and waited for an
// interval: fronts that all have much to report must not keep the core busy.
func nextInterval(interval, sinceLast time.Duration) time.Duration {
	if sinceLast > 2*maxReportInterval {
		return minReportInterval
	}
	return min(2*interval, maxReportInterval)
}

// run reports until the context ends.
func (r *healthReporter) run(ctx context.Context) {
	interval, reportedAt := minReportInterval, time.Time{}
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		ctxtime.Sleep(ctx, r.delay())
		if observations := r.take(time.Now()); len(observations) > 0 {
			interval = nextInterval(interval, time.Since(reportedAt))
			reportedAt = time.Now()
			callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			_ = r.send(callCtx, observations)
			cancel()
		}
		ctxtime.Sleep(ctx, interval)
	}
}
