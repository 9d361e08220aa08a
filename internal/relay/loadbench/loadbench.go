// Package loadbench measures the real program under load: one relay as a process on a core of its own, with stand-in partners, a
// stand-in platform and clients on loopback. The caller compares each scenario with the same site without faults, measured in the
// same run on the same machine, and with a plain reverse proxy on the same core.
//
// Run measures one scenario; runs must not overlap. The JSON keys of Figures and Scenario are those of stored results: a renamed
// field keeps its old name in its tag.
package loadbench

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"larchrouter/internal/standin"
)

// Scenario is a site and the fault of some of its destinations.
type Scenario struct {
	Name       string
	Dests      int
	Fault      string  `json:"Trouble"` // "", refuse, hang, slow or wait
	FaultShare float64 `json:"Share"`   // of the destinations
	Backlog    int     `json:"Held"`    // messages submitted before the measurement, for destinations with a long retry-after
	MaxPending int     `json:"Room"`    // used if above that of the options
	Recover    bool    `json:"Return"`  // faulty destinations are healthy again when the measurement begins
	DueAtOnce  bool    `json:"Due"`     // the backlog has one deadline for all, within the measurement
	DiskMB     float64 `json:"Disk"`    // for the journal; 0 for enough to avoid compaction
	Proxy      bool    // measures a plain reverse proxy in place of the relay
}

// Options apply to all scenarios.
type Options struct {
	Program    string        // path of the program
	Self       string        // path of this program, which can run as the reverse proxy (Proxy)
	Dir        string        // for state
	Span       time.Duration // of a measurement, after a warm-up of half of it
	Clients    int           // each with one request in flight
	Rate       float64       // messages per second of all clients; 0 for no pause between requests
	Deadline   time.Duration // of a message
	Body       int           // bytes of a message
	MaxPending int           // messages pending in the relay
	Slots      int           // calls in flight
}

// Figures are the measurements of one scenario. Rates are per second.
type Figures struct {
	Scenario         Scenario
	Accepted         float64       `json:"Taken"`   // messages accepted
	Rejected         float64       `json:"Refused"` // messages rejected
	Failed           int64         // requests without a response, or with an error
	CPUPerAccepted   float64       `json:"CPU"`     // microseconds
	CPUPerRequest    float64       `json:"PerAsk"`  // microseconds per accepted or rejected request
	CPUPerDelivery   float64       `json:"PerDone"` // microseconds
	P50              time.Duration // latency of accepting responses
	P99              time.Duration
	Max              time.Duration // latency of any response
	HealthyDelivered float64       `json:"Healthy"` // messages delivered, mean of the healthy destinations
	Delivered        float64       // messages delivered, to all destinations
	Backlog          int           `json:"Held"`   // messages that were accepted before the measurement
	MemoryMB         float64       `json:"Memory"` // resident at the end
	LateNotices      int           `json:"Late"`   // with DueAtOnce: messages without a notice 300 ms after the deadline
}

// Run measures one scenario on a core that Core returned.
func Run(s Scenario, o Options, core int) (f Figures, err error) {
	w, err := newSite(s, o, core)
	if err != nil {
		return f, fmt.Errorf("%s: %w", s.Name, err)
	}
	defer w.close()
	l := load{addr: w.addr, clients: o.Clients, rate: o.Rate, deadline: o.Deadline, body: o.Body, prefix: "m", lastID: &w.lastID,
		dests: func() int { return rand.IntN(s.Dests) }}
	var backlogDue time.Time
	if s.Backlog > 0 {
		if f.Backlog, backlogDue, err = w.submitBacklog(s, l); err != nil {
			return f, err
		}
	}
	l.run(o.Span/2, 0) // warm-up, in which backlogs grow
	var late <-chan int
	if s.DueAtOnce {
		late = w.countLateNotices(f.Backlog, backlogDue)
	}
	if err := w.recoverHosts(s); err != nil {
		return f, err
	}
	cpuBefore, err := w.program.cpu()
	if err != nil {
		return f, errors.New("the program has ended")
	}
	healthyBefore, _ := w.healthy.Total()
	faultyBefore, _ := w.faulty.Total()
	begin := time.Now()
	counts := l.run(o.Span, 0)
	seconds := time.Since(begin).Seconds()
	cpuAfter, err := w.program.cpu()
	if err != nil {
		return f, errors.New("the program has ended")
	}
	healthyAfter, _ := w.healthy.Total()
	faultyAfter, _ := w.faulty.Total()
	cpuMicros := (cpuAfter - cpuBefore).Seconds() * 1e6
	healthyDests := s.Dests - int(float64(s.Dests)*s.FaultShare)
	f = Figures{Scenario: s, Accepted: float64(counts.accepted) / seconds, Rejected: float64(counts.rejected) / seconds,
		Failed: counts.failed, CPUPerAccepted: cpuMicros / float64(max(1, counts.accepted)),
		CPUPerRequest: cpuMicros / float64(max(1, counts.accepted+counts.rejected)),
		P50:           quantile(counts.latency, 50), P99: quantile(counts.latency, 99), Max: counts.slowest,
		HealthyDelivered: float64(healthyAfter-healthyBefore) / seconds / float64(max(1, healthyDests)),
		Delivered:        float64(healthyAfter-healthyBefore+faultyAfter-faultyBefore) / seconds,
		Backlog:          f.Backlog, MemoryMB: w.program.memory()}
	if late != nil {
		f.LateNotices = <-late
	}
	f.CPUPerDelivery = cpuMicros / max(1, f.Delivered*seconds)
	return f, nil
}

// submitBacklog submits the backlog of a scenario and returns how many messages were accepted, and their deadline with DueAtOnce.
func (w *site) submitBacklog(s Scenario, l load) (accepted int, due time.Time, err error) {
	l.rate, l.deadline = 0, 30*time.Minute
	l.dests = func() int { return s.Dests + rand.IntN(w.backlogDests) }
	if s.DueAtOnce { // submitting them takes less
		l.dueAt = time.Now().Add(time.Duration(s.Backlog)*120*time.Microsecond + w.options.Span)
	}
	got := l.run(5*time.Minute, int64(s.Backlog))
	if got.accepted < int64(s.Backlog)*9/10 {
		return 0, l.dueAt, fmt.Errorf("%s: only %d of %d messages were taken on beforehand", s.Name, got.accepted, s.Backlog)
	}
	return int(got.accepted), l.dueAt, nil
}

// recoverHosts makes the faulty hosts of a scenario with Recover healthy.
func (w *site) recoverHosts(s Scenario) error {
	for d := range w.hosts {
		if s.Recover && float64(d) < s.FaultShare*float64(s.Dests) {
			if err := w.hosts[d].Up(); err != nil {
				return err
			}
			w.hosts[d].Set(standin.Behaviour{Latency: healthyLatency})
		}
	}
	return nil
}

// countLateNotices returns a channel that gets, 300 ms after the backlog's deadline, the number of messages without a notice.
func (w *site) countLateNotices(backlog int, due time.Time) <-chan int {
	got := make(chan int, 1)
	time.AfterFunc(time.Until(due)+300*time.Millisecond, func() {
		notices := 0
		for _, n := range w.agent.Notices() {
			notices += n
		}
		got <- max(0, backlog-notices)
	})
	return got
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Core reserves and returns the core for programs under test, which this process does not use from then on; below 0 for any core.
func Core() int {
	if core, ok := reserveCore(); ok {
		return core
	}
	return -1
}
