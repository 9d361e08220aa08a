package chaostest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/scenario"
)

// The slack of the platform's rules on sockets (PROTOCOL, "The rules on sockets").
const (
	noticeGrace        = 350 * time.Millisecond  // from a message's time to its notice: 300 ms, and 50 ms for sockets
	recoveryTime       = 1500 * time.Millisecond // from a restart until nothing is overdue
	retryAfterGrace    = 100 * time.Millisecond  // from a told wait until it binds
	window             = time.Second             // over which calls are held against a limit
	maxFindingsPerRule = 5                       // findings of a kind that are told one by one
)

// Finding is a bound that did not hold.
type Finding struct {
	Rule string `json:"rule"`
	Text string `json:"text"`
}

// String gives the rule, and what was seen.
func (f Finding) String() string { return f.Rule + ": " + f.Text }

// Summary is what was seen over a span. All but the counts are shares of what hosts took, or would have taken.
type Summary struct {
	Name      string        `json:"name"`
	From      time.Duration `json:"from_ns"`
	To        time.Duration `json:"to_ns"`
	Takes     float64       `json:"takes"`  // calls that hosts would have taken
	Handed    int           `json:"handed"` // messages, at relays that ran
	Calls     int           `json:"calls"`
	Refused   int           `json:"refused"`
	Delivered int           `json:"delivered"` // messages, in their time
	Peak      float64       `json:"peak"`      // most calls in any window of a second, less the bursts, as a share of what hosts took in it
}

// Offered is the share of what hosts take that they were offered.
func (s Summary) Offered() float64 { return ratio(float64(s.Calls), s.Takes) }

// Served is the share of what hosts take that was delivered.
func (s Summary) Served() float64 { return ratio(float64(s.Delivered), s.Takes) }

// Possible is the share of what could be delivered that was: of what hosts take, or what was handed in if that is less.
func (s Summary) Possible() float64 {
	return ratio(float64(s.Delivered), min(s.Takes, float64(s.Handed)))
}

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// Report is what a trial came to.
type Report struct {
	Scenario string         `json:"scenario"`
	Program  string         `json:"program"`
	Relays   int            `json:"relays"`
	Seed     uint64         `json:"seed"`
	Phases   []Summary      `json:"phases"`
	Seconds  []Summary      `json:"seconds"`
	Clients  map[string]int `json:"clients"` // messages, by what their clients were told in the end
	Notes    int            `json:"notes"`
	Bytes    int            `json:"note_bytes"`
	Lost     int            `json:"notes_lost"`
	Tries    int            `json:"first_tries"`
	CPU      time.Duration  `json:"cpu_ns"`
	Findings []Finding      `json:"findings"`
}

// Check holds a book against the rules, and against what its scenario expects.
func Check(b *EventLog) Report {
	c := newChecker(b)
	r := Report{Scenario: b.Plan.Scenario.Title, Relays: b.Plan.Relays, Seed: b.Plan.Seed, Clients: c.countOutcomes(), Notes: b.Datagrams, Bytes: b.DatagramBytes, Lost: b.DatagramsLost,
		Tries: len(c.byMessage), CPU: b.CPU}
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

// checker is a book that is being checked.
type checker struct {
	*EventLog
	byMessage     map[string][]Call
	delivered     map[string]time.Duration // the end of the first call that was served in time
	findings      []Finding
	findingCounts map[string]int
}

func newChecker(b *EventLog) *checker {
	c := &checker{EventLog: b, byMessage: map[string][]Call{}, delivered: map[string]time.Duration{}, findingCounts: map[string]int{}}
	slices.SortStableFunc(b.Runs, func(x, y ReadySpan) int { return cmp.Compare(x.From, y.From) })
	slices.SortStableFunc(b.Calls, func(x, y Call) int { return cmp.Compare(x.Last, y.Last) })
	for _, k := range b.Calls {
		c.byMessage[k.ID] = append(c.byMessage[k.ID], k)
		m := b.Messages[k.ID]
		if m == nil {
			c.addFinding("unknown", "host %s was sent message %q, which nobody handed in", c.host(k), k.ID)
			continue
		}
		if _, ok := c.delivered[k.ID]; !ok && k.Status == 200 && k.Last <= m.Sent+m.Timeout {
			c.delivered[k.ID] = k.Last
		}
	}
	return c
}

func (c *checker) host(k Call) string {
	p := c.Plan.Scenario.Partners[k.Dest]
	return p.Name + "/" + p.Hosts[k.Host].Name
}

// addFinding notes a finding; of many of a kind the first few are told, and then how many there were.
func (c *checker) addFinding(rule, format string, args ...any) {
	if c.findingCounts[rule]++; c.findingCounts[rule] <= maxFindingsPerRule {
		c.findings = append(c.findings, Finding{rule, fmt.Sprintf(format, args...)})
		return
	}
	c.findings = slices.DeleteFunc(c.findings, func(f Finding) bool { return f.Rule == rule+" (more)" })
	c.findings = append(c.findings, Finding{rule + " (more)", fmt.Sprintf("%d in all", c.findingCounts[rule])})
}

// countOutcomes counts messages by what their clients were countOutcomes in the end.
func (c *checker) countOutcomes() map[string]int {
	n := map[string]int{}
	for id, m := range c.Messages {
		_, delivered := c.delivered[id]
		switch {
		case delivered:
			n["delivered in time"]++
		case m.Status == 0:
			n["unanswered"]++
		case m.Status == 429 || m.Status == 503:
			n["refused at the door"]++
		case m.Status >= 300:
			n[fmt.Sprintf("answered %d", m.Status)]++
		case len(m.Notices) > 0:
			n["told "+m.Notices[0].Status]++
		default:
			n["without an end"]++
		}
	}
	if c.Shed > 0 {
		n["not handed in"] = c.Shed
	}
	return n
}

// summarize counts over a span.
func (c *checker) summarize(from, to time.Duration) Summary {
	s := Summary{From: from, To: to, Takes: c.capacity(-1, from, to)}
	for _, k := range c.callsBetween(from, to) {
		s.Calls++
		if k.Status == 429 || k.Status == 503 {
			s.Refused++
		}
		if at, ok := c.delivered[k.ID]; ok && at == k.Last {
			s.Delivered++
		}
	}
	for _, m := range c.Messages {
		if from <= m.Sent && m.Sent < to && c.running(m.Relay, m.Sent, m.Sent) {
			s.Handed++
		}
	}
	s.Peak = c.peak(from, to)
	return s
}

// callsBetween are the calls of a span.
func (c *checker) callsBetween(from, to time.Duration) []Call {
	i, _ := slices.BinarySearchFunc(c.Calls, from, func(k Call, t time.Duration) int { return cmp.Compare(k.Last, t) })
	j, _ := slices.BinarySearchFunc(c.Calls, to, func(k Call, t time.Duration) int { return cmp.Compare(k.Last, t) })
	return c.Calls[i:j]
}

// capacity is how many calls the hosts of a destination, or of all (-1), would have taken in a span.
func (c *checker) capacity(dest int, from, to time.Duration) (n float64) {
	for _, k := range c.Capacity {
		if over := min(to, k.From+k.Duration) - max(from, k.From); (dest < 0 || k.Dest == dest) && over > 0 && k.Duration > 0 {
			n += k.Calls * float64(over) / float64(k.Duration)
		}
	}
	return n
}

// peak is the most that any destination was offered in a window within a span, as a share of what its hosts took in it.
// What they take at once after a rest is not counted.
func (c *checker) peak(from, to time.Duration) (most float64) {
	calls := c.callsBetween(from, to)
	for dest := range c.Plan.Scenario.Partners {
		burst := 0.0
		for _, h := range c.Plan.Scenario.Partners[dest].Hosts {
			burst += h.Burst
		}
		first, n := 0, 0
		for i, k := range calls {
			if k.Dest != dest {
				continue
			}
			n++
			for ; calls[first].Last <= k.Last-window; first++ {
				if calls[first].Dest == dest {
					n--
				}
			}
			if i+1 < len(calls) && calls[i+1].Last == k.Last || float64(n) <= burst {
				continue
			}
			begin := k.Last - window // a call may come first in its window
			if room := c.capacity(dest, max(0, begin), k.Last); room > 0 {
				most = max(most, (float64(n)-burst)/room)
			}
		}
	}
	return most
}

// checkExpectation holds a span against what is expected of it.
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
		c.addFinding("over", "%s: %.2f times what hosts take in a second beside their bursts, expected %.2f at most", span, s.Peak, e.MaxOffered)
	}
	if got := ratio(float64(s.Refused), float64(s.Calls)); e.MaxRefused > 0 && got > e.MaxRefused {
		c.addFinding("refused", "%s: %.2f of the calls, expected %.2f at most", span, got, e.MaxRefused)
	}
}

// checkProcesses finds what went wrong with processes and hosts.
func (c *checker) checkProcesses() {
	for _, t := range c.Errors {
		c.addFinding("process", "%s", t)
	}
	if c.ColdOverloads > 0 {
		c.addFinding("cold", "cold hosts were pushed over %d times", c.ColdOverloads)
	}
}

// sortedMessages are the messages by id, so that findings come in the same order every time.
func (c *checker) sortedMessages() []*Message {
	all := make([]*Message, 0, len(c.Messages))
	for _, m := range c.Messages {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Message) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// checkOutcomes finds messages that were taken on and whose end is late or missing, as far as their relay was there to tell it.
func (c *checker) checkOutcomes() {
	for _, m := range c.sortedMessages() {
		if m.Status != 200 && m.Status != 202 {
			continue
		}
		if _, ok := c.delivered[m.ID]; ok {
			continue
		}
		if c.outcomeUnknown(m) {
			continue
		}
		end, late := c.noticeDeadline(m)
		if len(m.Notices) == 0 && c.End > end {
			c.addFinding("lost", "message %s, taken on by relay %d at %v, had no end by %v%s", m.ID, m.Relay, m.Answered.Round(time.Millisecond), end.Round(time.Millisecond), late)
		} else if len(m.Notices) > 0 && m.Notices[0].At > end {
			c.addFinding("late", "message %s of relay %d ended %v late%s", m.ID, m.Relay, (m.Notices[0].At - end).Round(time.Millisecond), late)
		}
	}
}

// outcomeUnknown tells whether a message's end could not be asked for: its relay, which has no platform that was told, began anew with
// an empty folder since, or did not run at the end.
func (c *checker) outcomeUnknown(m *Message) bool {
	return c.Queried != nil && (!c.Queried[m.Relay] || slices.ContainsFunc(c.Runs, func(l ReadySpan) bool { return l.Relay == m.Relay && l.EmptyDisk && l.From > m.Answered }))
}

// noticeDeadline is when a message's end was due: later where its relay did not run, and never if it did not any more. A message
// that came while the relay stood still is read, and its time begun, when that goes on.
func (c *checker) noticeDeadline(m *Message) (at time.Duration, why string) {
	at = m.Sent + m.Timeout + noticeGrace
	for _, l := range c.Runs { // in the order in which they began
		switch {
		case l.Relay != m.Relay || l.To < m.Answered:
		case l.From > m.Answered && l.EmptyDisk:
			return c.End, ""
		case l.From <= m.Answered && max(at, l.From+m.Timeout+noticeGrace) <= l.To:
			return max(at, l.From+m.Timeout+noticeGrace), ""
		case l.From > m.Answered && l.To > max(at, l.From+recoveryTime):
			return max(at, l.From+recoveryTime), " (its relay did not run throughout)"
		}
	}
	return c.End, ""
}

// checkAtMostOnce finds messages that must take effect once at most and did more often.
func (c *checker) checkAtMostOnce() {
	for _, m := range c.sortedMessages() {
		if k, _ := c.Plan.Scenario.ClassByName(m.Class); k.Effect != choice.Unsafe {
			continue
		}
		n := 0
		for _, k := range c.byMessage[m.ID] {
			if k.Applied {
				n++
			}
		}
		if n > 1 {
			c.addFinding("twice", "message %s of relay %d, a %s, took effect %d times", m.ID, m.Relay, m.Class, n)
		}
	}
}

// checkRetryAfter finds calls of a relay to a host that had told it to wait. A restart ends a wait.
func (c *checker) checkRetryAfter() {
	type pair struct{ relay, dest, host int }
	type told struct {
		from, to time.Duration
	}
	waits := map[pair][]told{}
	for _, k := range c.Calls {
		m := c.Messages[k.ID]
		if m == nil {
			continue
		}
		p := pair{m.Relay, k.Dest, k.Host}
		for _, w := range waits[p] {
			if w.from+retryAfterGrace < k.First && k.First < w.to && c.running(m.Relay, w.from, k.First) {
				c.addFinding("wait", "relay %d called host %s at %v, within a wait told at %v until %v", m.Relay, c.host(k), k.First.Round(time.Millisecond),
					w.from.Round(time.Millisecond), w.to.Round(time.Millisecond))
				break
			}
		}
		if k.RetryAfter > 0 {
			at := k.Last + c.Plan.Scenario.Partners[k.Dest].Hosts[k.Host].Latency
			waits[p] = append(slices.DeleteFunc(waits[p], func(w told) bool { return w.to < k.First }), told{at, at + k.RetryAfter})
		}
	}
}
