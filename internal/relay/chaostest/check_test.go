package chaostest

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/relay/scenario"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// cleanHistory returns an event log of two relays over 10 s without findings: 40 messages per second for a host that serves 50.
func cleanHistory(t *testing.T) *EventLog {
	t.Helper()
	s, err := scenario.Parse([]byte(`
relays = 2
partner "pay" {
  host "a" {
    rate    = 50
    burst   = 10
    wait    = "1s"
    latency = "0s"
  }
  load "payment" { rate = 40 }
}
phase "one" {
  for = "10s"
  expect {
    delivered = 0.99
    offered   = 1.05
    refused   = 0.01
  }
}`), "history.hcl")
	if err != nil {
		t.Fatal(err)
	}
	b := &EventLog{Plan: scenario.NewPlan(s, 2, 1, func(int) int { return 0 }), Messages: map[string]*Message{}, End: 15 * sec}
	for i := range 400 {
		m := &Message{ID: fmt.Sprintf("m%03d", i), Relay: i % 2, Class: "payment",
			Sent: time.Duration(i) * 25 * ms, Timeout: 3 * sec, Status: 202}
		m.Answered = m.Sent + ms
		b.Messages[m.ID] = m
		b.Calls = append(b.Calls, Call{ID: m.ID, First: m.Sent + 2*ms, Last: m.Sent + 3*ms, Status: 200, Applied: true})
	}
	for at := time.Duration(0); at < 10*sec; at += sampleInterval {
		b.Capacity = append(b.Capacity, CapacitySample{From: at, Duration: sampleInterval, Calls: 5})
	}
	for r := range 2 {
		b.Runs = append(b.Runs, ReadySpan{r, -sec, 15 * sec, false})
	}
	return b
}

// makeUndelivered removes all calls of a message.
func makeUndelivered(b *EventLog, id string) *Message {
	b.Calls = slices.DeleteFunc(b.Calls, func(k Call) bool { return k.ID == id })
	return b.Messages[id]
}

// Each check finds the planted fault and nothing else; histories that are correct and look like a fault are not found.
func TestPlantedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		plant func(b *EventLog)
		want  string // rules of the findings, in order
	}{
		"clean": {func(b *EventLog) {}, ""},
		"a payment applied twice": {func(b *EventLog) {
			b.Calls = append(b.Calls, Call{ID: "m007", First: 5 * sec, Last: 5 * sec, Status: 500, Applied: true})
		}, "twice"},
		"a payment refused, then applied": {func(b *EventLog) {
			b.Calls = append(b.Calls, Call{ID: "m007", First: 100 * ms, Last: 100 * ms, Status: 503})
		}, ""},
		"a message without a notice": {func(b *EventLog) { makeUndelivered(b, "m050") }, "lost"},
		"a notice in time": {func(b *EventLog) {
			m := makeUndelivered(b, "m050")
			m.Notices = []Notice{{m.Sent + 3300*ms, "deferred"}}
		}, ""},
		"a late notice": {func(b *EventLog) {
			m := makeUndelivered(b, "m050")
			m.Notices = []Notice{{m.Sent + 3400*ms, "deferred"}}
		}, "late"},
		"a late notice, as the relay was paused": {func(b *EventLog) {
			m := makeUndelivered(b, "m050") // relay 0, accepted at 1.25 s
			m.Notices = []Notice{{7 * sec, "deferred"}}
			b.Runs[0].To = 2 * sec
			b.Runs = append(b.Runs, ReadySpan{0, 6 * sec, 15 * sec, false})
		}, ""},
		"a late notice after the relay resumed": {func(b *EventLog) {
			m := makeUndelivered(b, "m050")
			m.Notices = []Notice{{8 * sec, "deferred"}}
			b.Runs[0].To = 2 * sec
			b.Runs = append(b.Runs, ReadySpan{0, 6 * sec, 15 * sec, false})
		}, "late"},
		"no notice, as the relay did not restart": {func(b *EventLog) { makeUndelivered(b, "m050"); b.Runs[0].To = 2 * sec }, ""},
		"no notice, as the disk was emptied": {func(b *EventLog) {
			makeUndelivered(b, "m050")
			b.Runs[0].To = 2 * sec
			b.Runs = append(b.Runs, ReadySpan{0, 3 * sec, 15 * sec, true})
		}, ""},
		"no response and no notice": {func(b *EventLog) { makeUndelivered(b, "m050").Status = 0 }, ""},
		"a call within a retry-after": {func(b *EventLog) {
			b.Calls = append(b.Calls, Call{ID: "m050", First: 1252 * ms, Last: 1252 * ms, Status: 429, RetryAfter: 500 * ms})
		}, "wait wait wait wait wait wait (more)"}, // later calls of the history are in the retry-after too
		"a call of another relay within a retry-after": {func(b *EventLog) {
			for i := range b.Calls { // relay 0 pauses
				if k := &b.Calls[i]; b.Messages[k.ID].Relay == 0 && k.First > 1300*ms && k.First < 1800*ms {
					k.First, k.Last = k.First+500*ms, k.Last+500*ms
				}
			}
			b.Calls = append(b.Calls, Call{ID: "m050", First: 1252 * ms, Last: 1252 * ms, Status: 429, RetryAfter: 500 * ms})
		}, ""},
		"a retry-after that a restart cleared": {func(b *EventLog) {
			b.Calls = append(b.Calls, Call{ID: "m050", First: 1252 * ms, Last: 1252 * ms, Status: 429, RetryAfter: 500 * ms})
			b.Runs[0].To = 1300 * ms
			b.Runs = append(b.Runs, ReadySpan{0, 1301 * ms, 15 * sec, false})
		}, ""},
		"more than the hosts serve": {func(b *EventLog) {
			for i := range 40 {
				b.Calls = append(b.Calls, Call{ID: fmt.Sprintf("m%03d", 100+i), First: 5 * sec,
					Last: 5*sec + time.Duration(i)*ms, Status: 503})
			}
		}, "over refused"},
		"a burst that they serve": {func(b *EventLog) {
			for i := range 3 {
				b.Calls = append(b.Calls, Call{ID: fmt.Sprintf("m%03d", 100+i), First: 5 * sec,
					Last: 5*sec + time.Duration(i)*ms, Status: 503})
			}
		}, ""},
		"too little delivered": {func(b *EventLog) {
			for i := range 10 {
				m := makeUndelivered(b, fmt.Sprintf("m%03d", i))
				m.Notices = []Notice{{m.Sent + sec, "deferred"}}
			}
		}, "delivered"},
		"delivered late": {func(b *EventLog) {
			for i := range b.Calls[:10] {
				b.Calls[i].Last += 3 * sec
				m := b.Messages[b.Calls[i].ID]
				m.Notices = []Notice{{m.Sent + 3*sec, "undeliverable"}}
			}
		}, "delivered"},
		"an unknown message": {func(b *EventLog) {
			b.Calls = append(b.Calls, Call{ID: "x", First: sec, Last: sec, Status: 503})
		}, "unknown"},
		"a relay that exited":     {func(b *EventLog) { b.Errors = []string{"relay 1 ended by itself"} }, "process"},
		"an overloaded cold host": {func(b *EventLog) { b.ColdOverloads = 1 }, "cold"},
	} {
		b := cleanHistory(t)
		c.plant(b)
		r := Check(b)
		var got []string
		for _, f := range r.Findings {
			got = append(got, f.Rule)
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: found %v, want %q", name, r.Findings, c.want)
		}
	}
}

// The figures of a history are as it was built, in the report, the table and the page.
func TestReportFigures(t *testing.T) {
	b := cleanHistory(t)
	r := Check(b)
	p := r.Phases[0]
	if p.Handed != 400 || p.Calls != 400 || p.Delivered != 400 ||
		p.Takes < 499.9 || p.Takes > 500.1 || p.Served() < 0.79 || p.Possible() != 1 {
		t.Errorf("%+v", p)
	}
	if len(r.Seconds) != 10 || r.Seconds[3].Calls != 40 || r.Clients["delivered in time"] != 400 || r.Settled(0.9, 10*sec) != 0 {
		t.Errorf("%+v, %v", r.Seconds, r.Clients)
	}
	r.Program = "here"
	var text, html strings.Builder
	Text(&text, r, r)
	if err := Page(&html, b.Plan.Scenario, b.Plan, []byte("# <the file>"), r); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"offered [2]", "0.80", "every bound held"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, text.String())
		}
	}
	for _, want := range []string{"<svg", "Every bound held", "# &lt;the file&gt;", "calls offered"} {
		if !strings.Contains(html.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if strings.Contains(html.String(), "ZgotmplZ") || strings.Contains(html.String(), "http://") &&
		strings.Count(html.String(), "http://") != strings.Count(html.String(), "http://www.w3.org/") {
		t.Error("the page needs something else")
	}
}

// Every built-in scenario is valid and has expectations.
func TestBuiltIn(t *testing.T) {
	for _, name := range BuiltIn() {
		data, err := Scenario(name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := scenario.Parse(data, name)
		if err != nil {
			t.Error(err)
			continue
		}
		n := len(s.Expect)
		for _, p := range s.Phases {
			n += len(p.Expect)
		}
		if n == 0 || s.Title == name {
			t.Errorf("%s: %d expectations, title %q", name, n, s.Title)
		}
	}
}
