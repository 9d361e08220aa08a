package chaostest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"larchrouter/internal/relay/scenario"
)

// Tolerances of the platform's rules on sockets (PROTOCOL, "The rules on sockets").
const (
	noticeGrace        = 350 * time.Millisecond  // from a message's deadline to its notice: 300 ms, and 50 ms for sockets
	recoveryTime       = 1500 * time.Millisecond // from a restart until no notice is overdue
	retryAfterGrace    = 100 * time.Millisecond  // from a retry-after until the relay has to obey it
	window             = time.Second             // over which calls are compared with a limit
	maxFindingsPerRule = 5                       // reported one by one; further ones are counted
)

// Finding is a violation of a rule or expectation.
type Finding struct {
	Rule string `json:"rule"`
	Text string `json:"text"`
}

// String returns the rule and what was observed.
func (f Finding) String() string { return f.Rule + ": " + f.Text }

// Report is the result of a run. Its JSON form is written by larchrouter-trial.
type Report struct {
	Scenario string         `json:"scenario"`
	Program  string         `json:"program"`
	Relays   int            `json:"relays"`
	Seed     uint64         `json:"seed"`
	Phases   []Summary      `json:"phases"`
	Seconds  []Summary      `json:"seconds"`
	Clients  map[string]int `json:"clients"` // messages, by outcome as their clients saw it
	Notes    int            `json:"notes"`
	Bytes    int            `json:"note_bytes"`
	Lost     int            `json:"notes_lost"`
	Tries    int            `json:"first_tries"`
	CPU      time.Duration  `json:"cpu_ns"`
	Findings []Finding      `json:"findings"`
}

// Check compares an event log with the rules and with its scenario's expectations. It sorts the log's Calls and Runs.
func Check(b *EventLog) Report {
	c := newChecker(b)
	r := Report{Scenario: b.Plan.Scenario.Title, Relays: b.Plan.Relays, Seed: b.Plan.Seed, Clients: c.countOutcomes(),
		Notes: b.Datagrams, Bytes: b.DatagramBytes, Lost: b.DatagramsLost, Tries: len(c.byMessage), CPU: b.CPU}
	for n, w := range b.Plan.Phases {
		s := c.summarize(w.From, w.To)
		s.Name = w.Name
		r.Phases = append(r.Phases, s)
		for _, e := range w.Expect {
			c.checkExpectation(fmt.Sprintf("phase %s", w.Name), e, w)
		}
		for at := w.From; at < w.To; at += window {
			s := c.summarize(at, min(at+window, w.To))
			s.Name = b.Plan.Phases[n].Name
			r.Seconds = append(r.Seconds, s)
		}
	}
	for _, e := range b.Plan.Scenario.Expect {
		c.checkExpectation("the whole", e, scenario.Window{To: b.Plan.Span()})
	}
	c.checkProcesses()
	c.checkOutcomes()
	c.checkAtMostOnce()
	c.checkRetryAfter()
	c.checkDrains()
	c.checkRateLimits()
	r.Findings = c.findings
	return r
}

// checker is the state of a Check.
type checker struct {
	*EventLog
	byMessage     map[string][]Call
	delivered     map[string]time.Duration // by message: end of the first call that was served in time
	findings      []Finding
	findingCounts map[string]int
}

func newChecker(b *EventLog) *checker {
	c := &checker{EventLog: b, byMessage: map[string][]Call{}, delivered: map[string]time.Duration{},
		findingCounts: map[string]int{}}
	slices.SortStableFunc(b.Runs, func(x, y ReadySpan) int { return cmp.Compare(x.From, y.From) })
	slices.SortStableFunc(b.Calls, func(x, y Call) int { return cmp.Compare(x.Last, y.Last) })
	for _, call := range b.Calls {
		c.byMessage[call.ID] = append(c.byMessage[call.ID], call)
		m := b.Messages[call.ID]
		if m == nil {
			c.addFinding("unknown", "host %s was sent message %q, which nobody handed in", c.host(call), call.ID)
			continue
		}
		if _, ok := c.delivered[call.ID]; !ok && call.Status == 200 && call.Last <= m.Sent+m.Timeout {
			c.delivered[call.ID] = call.Last
		}
	}
	return c
}

func (c *checker) host(k Call) string {
	p := c.Plan.Scenario.Partners[k.Dest]
	return p.Name + "/" + p.Hosts[k.Host].Name
}

// addFinding adds a finding; of a rule's findings only the first few are listed, and the number of all.
func (c *checker) addFinding(rule, format string, args ...any) {
	if c.findingCounts[rule]++; c.findingCounts[rule] <= maxFindingsPerRule {
		c.findings = append(c.findings, Finding{rule, fmt.Sprintf(format, args...)})
		return
	}
	c.findings = slices.DeleteFunc(c.findings, func(f Finding) bool { return f.Rule == rule+" (more)" })
	c.findings = append(c.findings, Finding{rule + " (more)", fmt.Sprintf("%d in all", c.findingCounts[rule])})
}

// checkExpectation compares a span with an expectation.
func (c *checker) checkExpectation(where string, e scenario.Expectation, w scenario.Window) {
	from, to := w.From+e.From, w.To
	if e.To > 0 {
		to = min(to, w.From+e.To)
	}
	if from >= to {
		c.addFinding("expect", "%s ends before %v: there is nothing to check", where, e.From)
		return
	}
	s := c.summarize(from, to)
	span := fmt.Sprintf("%s, from %v to %v", where, from-w.From, to-w.From)
	if got := s.Possible(); got < e.MinDelivered {
		c.addFinding("delivered", "%s: %.2f of what could be, expected %.2f at least", span, got, e.MinDelivered)
	}
	if e.MaxOffered > 0 && s.Peak > e.MaxOffered {
		c.addFinding("over", "%s: %.2f times what hosts take in a second beside their bursts, expected %.2f at most",
			span, s.Peak, e.MaxOffered)
	}
	if got := ratio(float64(s.Refused), float64(s.Calls)); e.MaxRefused > 0 && got > e.MaxRefused {
		c.addFinding("refused", "%s: %.2f of the calls, expected %.2f at most", span, got, e.MaxRefused)
	}
}

// checkProcesses reports errors of the run and of processes, and cold hosts that failed.
func (c *checker) checkProcesses() {
	for _, t := range c.Errors {
		c.addFinding("process", "%s", t)
	}
	if c.ColdOverloads > 0 {
		c.addFinding("cold", "cold hosts were pushed over %d times", c.ColdOverloads)
	}
}
