// Package hosthealth decides for all fronts which hosts get no calls for a while. Fronts report what they see of hosts that fail;
// a Tracker at the head of the chain turns the reports into verdicts, which are phases of the hosts in the list that fronts follow. So
// one front's bad experience saves the others theirs, and one trial of a host that came back serves all.
//
// # Verdicts
//
// A host is ejected once MinReporters fronts have reported failures of it within Window and failures are at least FailureShare of what
// was reported of it in that time. An ejection lasts MinTerm; each further one within Memory of the last lasts twice as long, up to
// MaxTerm, as in route flap damping: a host that comes and goes is soon left alone for long. Behind its term the host is on
// probation for ProbationTime: it gets calls again, fewer at first, and all fronts report what they see of it, successes as
// well, until it has no more failures. A host that serves most calls is not ejected again however many fronts, cut off from it,
// report failures.
//
// # Guarantees
//
//   - At most MaxEjectedShare of the ready hosts of a service are ejected at a time, rounded down, so that no service is emptied;
//     beyond that, the failures are more likely the reporters' own, or everybody's.
//   - No verdict outlives its term: it ends without another report. Fronts bound it as well.
//   - A verdict belongs to an incarnation of a host: another one, or another service at its address, starts without it.
//   - Only hosts that the platform lists as ready have verdicts; a host that drains keeps that phase.
//
// The package is pure: no I/O, no clock, no goroutines. A Tracker is not safe for concurrent use.
package hosthealth

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/discovery"
)

// Params are the parameters of a Tracker.
type Params struct {
	// MinReporters is the number of fronts that have to report failures of a host before it is ejected; 1 or above.
	MinReporters int
	// Window is the time for which reports count.
	Window time.Duration
	// FailureShare is the share of failures among the calls reported within Window, from which on a host is ejected.
	FailureShare float64
	// MinTerm and MaxTerm are the times of the first ejection and of the longest one.
	MinTerm, MaxTerm time.Duration
	// Memory is the time from the end of an ejection for which the next one lasts longer.
	Memory time.Duration
	// ProbationTime is the time behind an ejection for which all fronts report what they see of the host. Each failure that is
	// reported makes it last that long again.
	ProbationTime time.Duration
	// MinSample is the number of calls that have to be reported within Window before a host on probation is ejected; 1 or
	// above. The fronts that are cut off from a host report first, those that it serves a little later.
	MinSample int
	// MaxEjectedShare is the share of a service's ready hosts that may be ejected at a time.
	MaxEjectedShare float64
}

// DefaultParams returns the parameters in service.
func DefaultParams() Params {
	return Params{MinReporters: 2, Window: time.Second, FailureShare: 0.6, MinTerm: 1500 * time.Millisecond, MaxTerm: 6 * time.Second,
		Memory: 10 * time.Second, ProbationTime: 1500 * time.Millisecond, MinSample: 8, MaxEjectedShare: 1.0 / 3}
}

// Check returns an error for parameters that make no sense, with the field and the remedy.
func (p *Params) Check() error {
	switch {
	case p.MinReporters < 1 || p.MinSample < 1:
		return errors.New("MinReporters, MinSample: give 1 or above")
	case p.Window <= 0 || p.MinTerm <= 0 || p.MaxTerm < p.MinTerm:
		return errors.New("Window, MinTerm, MaxTerm: give times above 0, and a MaxTerm of MinTerm or above")
	case p.Memory < 0 || p.ProbationTime < 0:
		return errors.New("Memory, ProbationTime: give times of 0 or above")
	case !(p.FailureShare > 0 && p.FailureShare <= 1) || !(p.MaxEjectedShare >= 0 && p.MaxEjectedShare < 1):
		return errors.New("FailureShare: give a share above 0, MaxEjectedShare: one below 1")
	}
	return nil
}

// Observation is what a front saw of one host since its last report.
type Observation struct {
	Host      string // id of the incarnation
	Failures  int    // calls that broke off without a response, timed out or found no connection
	Successes int
}

// Tracker has what was reported of hosts, and the verdicts. Times are those of a steady clock, from any start.
type Tracker struct {
	params Params
	hosts  map[string]*record // by host id
}

// record is what is known of one host.
type record struct {
	reports        []reported
	ejectedUntil   time.Duration // end of the last ejection
	probationUntil time.Duration
	ejections      int // in a row
	ejected        bool
}

// reported is one observation with its front and time.
type reported struct {
	front string
	at    time.Duration
	Observation
}

// NewTracker returns a tracker without verdicts. The parameters must pass Check.
func NewTracker(params Params) *Tracker {
	return &Tracker{params: params, hosts: map[string]*record{}}
}

// Report adds what a front has observed.
func (t *Tracker) Report(now time.Duration, front string, observations []Observation) {
	for _, o := range observations {
		if o.Failures < 0 || o.Successes < 0 || o.Failures+o.Successes == 0 {
			continue
		}
		r := t.hosts[o.Host]
		if r == nil {
			if o.Failures == 0 {
				continue
			}
			r = &record{}
			t.hosts[o.Host] = r
		}
		if now < r.ejectedUntil { // of calls that were under way
			continue
		}
		r.reports = append(r.reports, reported{front, now, o})
		if o.Failures > 0 && now < r.probationUntil {
			r.probationUntil = max(r.probationUntil, now+t.params.ProbationTime)
		}
	}
}

// Apply returns the platform's list with the verdicts as phases, and forgets hosts that are not on it. The list is not changed.
func (t *Tracker) Apply(now time.Duration, list []discovery.Host) []discovery.Host {
	t.forget(now, list)
	allowed := t.allowedEjections(list)
	for _, host := range list { // ejections that last take up the room of new ones
		if r := t.hosts[host.ID]; r != nil && r.ejected {
			if now < r.ejectedUntil && host.Phase == discovery.Ready {
				allowed[host.Service]--
			} else {
				r.ejected = false
			}
		}
	}
	marked := slices.Clone(list)
	for i := range marked {
		host := &marked[i]
		r := t.hosts[host.ID]
		if r == nil || host.Phase != discovery.Ready {
			continue
		}
		if !r.ejected && allowed[host.Service] > 0 && t.failing(r, now) {
			t.eject(r, now)
			allowed[host.Service]--
		}
		switch {
		case r.ejected:
			host.Phase = discovery.Ejected
		case now < r.probationUntil:
			host.Phase = discovery.Probation
		}
	}
	return marked
}

// NextChange returns the next time at which a verdict ends without a report; ok is false if there is none.
func (t *Tracker) NextChange(now time.Duration) (at time.Duration, ok bool) {
	at = math.MaxInt64
	for _, r := range t.hosts {
		for _, end := range []time.Duration{r.ejectedUntil, r.probationUntil} {
			if end > now && end < at {
				at, ok = end, true
			}
		}
	}
	return at, ok
}

// forget drops reports behind the window, and hosts that are not listed or have nothing left that counts.
func (t *Tracker) forget(now time.Duration, list []discovery.Host) {
	listed := make(map[string]bool, len(list))
	for _, host := range list {
		listed[host.ID] = true
	}
	for _, id := range slices.Collect(maps.Keys(t.hosts)) {
		r := t.hosts[id]
		r.reports = slices.DeleteFunc(r.reports, func(o reported) bool { return now-o.at > t.params.Window })
		if !listed[id] || len(r.reports) == 0 && now > r.ejectedUntil+t.params.Memory {
			delete(t.hosts, id)
		}
	}
}

// allowedEjections returns how many hosts of each service may be ejected at a time.
func (t *Tracker) allowedEjections(list []discovery.Host) map[string]int {
	allowed := map[string]int{}
	for _, host := range list {
		if host.Phase == discovery.Ready {
			allowed[host.Service]++
		}
	}
	for service, ready := range allowed {
		allowed[service] = int(t.params.MaxEjectedShare * float64(ready))
	}
	return allowed
}

// failing reports whether what was reported of a host within the window suffices to eject it.
func (t *Tracker) failing(r *record, now time.Duration) bool {
	failures, successes := 0, 0
	fronts := map[string]bool{}
	for _, o := range r.reports {
		if now-o.at > t.params.Window {
			continue
		}
		failures += o.Failures
		successes += o.Successes
		if o.Failures > 0 {
			fronts[o.front] = true
		}
	}
	if now < r.probationUntil && failures+successes < t.params.MinSample {
		return false
	}
	return len(fronts) >= t.params.MinReporters && float64(failures) >= t.params.FailureShare*float64(failures+successes)
}

// eject begins an ejection. What was reported before does not count for the next one.
func (t *Tracker) eject(r *record, now time.Duration) {
	if now > r.ejectedUntil+t.params.Memory {
		r.ejections = 0
	}
	term := min(t.params.MaxTerm, t.params.MinTerm<<min(r.ejections, 8))
	r.ejections++
	r.ejected, r.reports = true, nil
	r.ejectedUntil = now + term
	r.probationUntil = r.ejectedUntil + t.params.ProbationTime
}
