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
	afterEnd = 350 * time.Millisecond  // from a message's time to its notice: 300 ms, and 50 ms for sockets
	readyIn  = 1500 * time.Millisecond // from a restart until nothing is overdue
	waitIn   = 100 * time.Millisecond  // from a told wait until it binds
	window   = time.Second             // over which calls are held against a limit
	mostSaid = 5                       // findings of a kind that are told one by one
)

// Finding is a bound that did not hold.
type Finding struct {
	Rule string `json:"rule"`
	Text string `json:"text"`
}

// String gives the rule, and what was seen.
func (f Finding) String() string { return f.Rule + ": " + f.Text }

// Share is what was seen over a span. All but the counts are shares of what hosts took, or would have taken.
type Share struct {
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
func (s Share) Offered() float64 { return part(float64(s.Calls), s.Takes) }

// Served is the share of what hosts take that was delivered.
func (s Share) Served() float64 { return part(float64(s.Delivered), s.Takes) }

// Possible is the share of what could be delivered that was: of what hosts take, or what was handed in if that is less.
func (s Share) Possible() float64 {
	return part(float64(s.Delivered), min(s.Takes, float64(s.Handed)))
}

func part(a, b float64) float64 {
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
	Phases   []Share        `json:"phases"`
	Seconds  []Share        `json:"seconds"`
	Clients  map[string]int `json:"clients"` // messages, by what their clients were told in the end
	Notes    int            `json:"notes"`
	Bytes    int            `json:"note_bytes"`
	Lost     int            `json:"notes_lost"`
	Tries    int            `json:"first_tries"`
	CPU      time.Duration  `json:"cpu_ns"`
	Findings []Finding      `json:"findings"`
}

// Check holds a book against the rules, and against what its scenario expects.
func Check(b *Book) Report {
	c := newChecker(b)
	r := Report{Scenario: b.Plan.Scenario.Title, Relays: b.Plan.Relays, Seed: b.Plan.Seed, Clients: c.told(), Notes: b.Notes, Bytes: b.Bytes, Lost: b.Lost,
		Tries: len(c.byMessage), CPU: b.CPU}
	for n, w := range b.Plan.Phases {
		s := c.share(w.From, w.To)
		s.Name = w.Name
		r.Phases = append(r.Phases, s)
		for _, e := range w.Expect {
			c.expect(fmt.Sprintf("phase %s", w.Name), e, w)
		}
		for at := w.From; at < w.To; at += window {
			s := c.share(at, min(at+window, w.To))
			s.Name = b.Plan.Phases[n].Name
			r.Seconds = append(r.Seconds, s)
		}
	}
	for _, e := range b.Plan.Scenario.Expect {
		c.expect("the whole", e, scenario.Window{To: b.Plan.Span()})
	}
	c.process()
	c.ends()
	c.twice()
	c.waits()
	c.heeds()
	c.contracts()
	r.Findings = c.findings
	return r
}

// checker is a book that is being checked.
type checker struct {
	*Book
	byMessage map[string][]Call
	delivered map[string]time.Duration // the end of the first call that was served in time
	findings  []Finding
	said      map[string]int
}

func newChecker(b *Book) *checker {
	c := &checker{Book: b, byMessage: map[string][]Call{}, delivered: map[string]time.Duration{}, said: map[string]int{}}
	slices.SortStableFunc(b.Lives, func(x, y Life) int { return cmp.Compare(x.From, y.From) })
	slices.SortStableFunc(b.Calls, func(x, y Call) int { return cmp.Compare(x.Last, y.Last) })
	for _, k := range b.Calls {
		c.byMessage[k.ID] = append(c.byMessage[k.ID], k)
		m := b.Messages[k.ID]
		if m == nil {
			c.find("unknown", "host %s was sent message %q, which nobody handed in", c.host(k), k.ID)
			continue
		}
		if _, ok := c.delivered[k.ID]; !ok && k.Status == 200 && k.Last <= m.Sent+m.Within {
			c.delivered[k.ID] = k.Last
		}
	}
	return c
}

func (c *checker) host(k Call) string {
	p := c.Plan.Scenario.Partners[k.Dest]
	return p.Name + "/" + p.Hosts[k.Host].Name
}

// find notes a finding; of many of a kind the first few are told, and then how many there were.
func (c *checker) find(rule, format string, args ...any) {
	if c.said[rule]++; c.said[rule] <= mostSaid {
		c.findings = append(c.findings, Finding{rule, fmt.Sprintf(format, args...)})
		return
	}
	c.findings = slices.DeleteFunc(c.findings, func(f Finding) bool { return f.Rule == rule+" (more)" })
	c.findings = append(c.findings, Finding{rule + " (more)", fmt.Sprintf("%d in all", c.said[rule])})
}

// told counts messages by what their clients were told in the end.
func (c *checker) told() map[string]int {
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
		case len(m.Ends) > 0:
			n["told "+m.Ends[0].Status]++
		default:
			n["without an end"]++
		}
	}
	if c.Shed > 0 {
		n["not handed in"] = c.Shed
	}
	return n
}

// share counts over a span.
func (c *checker) share(from, to time.Duration) Share {
	s := Share{From: from, To: to, Takes: c.takes(-1, from, to)}
	for _, k := range c.within(from, to) {
		s.Calls++
		if k.Status == 429 || k.Status == 503 {
			s.Refused++
		}
		if at, ok := c.delivered[k.ID]; ok && at == k.Last {
			s.Delivered++
		}
	}
	for _, m := range c.Messages {
		if from <= m.Sent && m.Sent < to && c.ran(m.Relay, m.Sent, m.Sent) {
			s.Handed++
		}
	}
	s.Peak = c.peak(from, to)
	return s
}

// within are the calls of a span.
func (c *checker) within(from, to time.Duration) []Call {
	i, _ := slices.BinarySearchFunc(c.Calls, from, func(k Call, t time.Duration) int { return cmp.Compare(k.Last, t) })
	j, _ := slices.BinarySearchFunc(c.Calls, to, func(k Call, t time.Duration) int { return cmp.Compare(k.Last, t) })
	return c.Calls[i:j]
}

// takes is how many calls the hosts of a destination, or of all (-1), would have taken in a span.
func (c *checker) takes(dest int, from, to time.Duration) (n float64) {
	for _, k := range c.Took {
		if over := min(to, k.From+k.For) - max(from, k.From); (dest < 0 || k.Dest == dest) && over > 0 && k.For > 0 {
			n += k.Calls * float64(over) / float64(k.For)
		}
	}
	return n
}

// peak is the most that any destination was offered in a window within a span, as a share of what its hosts took in it.
// What they take at once after a rest is not counted.
func (c *checker) peak(from, to time.Duration) (most float64) {
	calls := c.within(from, to)
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
			if room := c.takes(dest, max(0, begin), k.Last); room > 0 {
				most = max(most, (float64(n)-burst)/room)
			}
		}
	}
	return most
}

// expect holds a span against what is expected of it.
func (c *checker) expect(where string, e scenario.Expectation, w scenario.Window) {
	from, to := w.From+e.From, w.To
	if e.To > 0 {
		to = min(to, w.From+e.To)
	}
	if from >= to {
		c.find("expect", "%s ends before %v: there is nothing to check", where, e.From)
		return
	}
	s := c.share(from, to)
	span := fmt.Sprintf("%s, from %v to %v", where, from-w.From, to-w.From)
	if got := s.Possible(); got < e.MinDelivered {
		c.find("delivered", "%s: %.2f of what could be, expected %.2f at least", span, got, e.MinDelivered)
	}
	if e.MaxOffered > 0 && s.Peak > e.MaxOffered {
		c.find("over", "%s: %.2f times what hosts take in a second beside their bursts, expected %.2f at most", span, s.Peak, e.MaxOffered)
	}
	if got := part(float64(s.Refused), float64(s.Calls)); e.MaxRefused > 0 && got > e.MaxRefused {
		c.find("refused", "%s: %.2f of the calls, expected %.2f at most", span, got, e.MaxRefused)
	}
}

// process finds what went wrong with processes and hosts.
func (c *checker) process() {
	for _, t := range c.Trouble {
		c.find("process", "%s", t)
	}
	if c.Falls > 0 {
		c.find("cold", "cold hosts were pushed over %d times", c.Falls)
	}
}

// sorted are the messages by id, so that findings come in the same order every time.
func (c *checker) sorted() []*Message {
	all := make([]*Message, 0, len(c.Messages))
	for _, m := range c.Messages {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Message) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// ends finds messages that were taken on and whose end is late or missing, as far as their relay was there to tell it.
func (c *checker) ends() {
	for _, m := range c.sorted() {
		if m.Status != 200 && m.Status != 202 {
			continue
		}
		if _, ok := c.delivered[m.ID]; ok {
			continue
		}
		if c.forgot(m) {
			continue
		}
		end, late := c.owed(m)
		if len(m.Ends) == 0 && c.End > end {
			c.find("lost", "message %s, taken on by relay %d at %v, had no end by %v%s", m.ID, m.Relay, m.Answered.Round(time.Millisecond), end.Round(time.Millisecond), late)
		} else if len(m.Ends) > 0 && m.Ends[0].At > end {
			c.find("late", "message %s of relay %d ended %v late%s", m.ID, m.Relay, (m.Ends[0].At - end).Round(time.Millisecond), late)
		}
	}
}

// forgot tells whether a message's end could not be asked for: its relay, which has no platform that was told, began anew with
// an empty folder since, or did not run at the end.
func (c *checker) forgot(m *Message) bool {
	return c.Asked != nil && (!c.Asked[m.Relay] || slices.ContainsFunc(c.Lives, func(l Life) bool { return l.Relay == m.Relay && l.Empty && l.From > m.Answered }))
}

// owed is when a message's end was due: later where its relay did not run, and never if it did not any more. A message
// that came while the relay stood still is read, and its time begun, when that goes on.
func (c *checker) owed(m *Message) (at time.Duration, why string) {
	at = m.Sent + m.Within + afterEnd
	for _, l := range c.Lives { // in the order in which they began
		switch {
		case l.Relay != m.Relay || l.To < m.Answered:
		case l.From > m.Answered && l.Empty:
			return c.End, ""
		case l.From <= m.Answered && max(at, l.From+m.Within+afterEnd) <= l.To:
			return max(at, l.From+m.Within+afterEnd), ""
		case l.From > m.Answered && l.To > max(at, l.From+readyIn):
			return max(at, l.From+readyIn), " (its relay did not run throughout)"
		}
	}
	return c.End, ""
}

// twice finds messages that must take effect once at most and did more often.
func (c *checker) twice() {
	for _, m := range c.sorted() {
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
			c.find("twice", "message %s of relay %d, a %s, took effect %d times", m.ID, m.Relay, m.Class, n)
		}
	}
}

// waits finds calls of a relay to a host that had told it to wait. A restart ends a wait.
func (c *checker) waits() {
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
			if w.from+waitIn < k.First && k.First < w.to && c.ran(m.Relay, w.from, k.First) {
				c.find("wait", "relay %d called host %s at %v, within a wait told at %v until %v", m.Relay, c.host(k), k.First.Round(time.Millisecond),
					w.from.Round(time.Millisecond), w.to.Round(time.Millisecond))
				break
			}
		}
		if k.Wait > 0 {
			at := k.Last + c.Plan.Scenario.Partners[k.Dest].Hosts[k.Host].Latency
			waits[p] = append(slices.DeleteFunc(waits[p], func(w told) bool { return w.to < k.First }), told{at, at + k.Wait})
		}
	}
}
