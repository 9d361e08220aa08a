package chaostest

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Summary is what was measured in a span.
type Summary struct {
	Name      string        `json:"name"`
	From      time.Duration `json:"from_ns"`
	To        time.Duration `json:"to_ns"`
	Takes     float64       `json:"takes"`  // hosts' capacity, in calls
	Handed    int           `json:"handed"` // messages submitted at relays that were running
	Calls     int           `json:"calls"`
	Refused   int           `json:"refused"`
	Delivered int           `json:"delivered"` // messages, before their deadline
	Peak      float64       `json:"peak"`      // highest load of any second, as checker.peak has it
}

// Offered returns the calls as a share of the hosts' capacity.
func (s Summary) Offered() float64 { return ratio(float64(s.Calls), s.Takes) }

// Served returns the delivered messages as a share of the hosts' capacity.
func (s Summary) Served() float64 { return ratio(float64(s.Delivered), s.Takes) }

// Possible returns the delivered messages as a share of the hosts' capacity, or of the submitted messages if those are fewer.
func (s Summary) Possible() float64 {
	return ratio(float64(s.Delivered), min(s.Takes, float64(s.Handed)))
}

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// countOutcomes counts messages by outcome as their clients saw it. Its keys are part of reports.
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

// summarize measures a span.
func (c *checker) summarize(from, to time.Duration) Summary {
	s := Summary{From: from, To: to, Takes: c.capacity(-1, from, to)}
	for _, call := range c.callsBetween(from, to) {
		s.Calls++
		if call.Status == 429 || call.Status == 503 {
			s.Refused++
		}
		if at, ok := c.delivered[call.ID]; ok && at == call.Last {
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

// callsBetween returns the calls that arrived in a span.
func (c *checker) callsBetween(from, to time.Duration) []Call {
	i, _ := slices.BinarySearchFunc(c.Calls, from, func(k Call, t time.Duration) int { return cmp.Compare(k.Last, t) })
	j, _ := slices.BinarySearchFunc(c.Calls, to, func(k Call, t time.Duration) int { return cmp.Compare(k.Last, t) })
	return c.Calls[i:j]
}

// capacity returns how many calls the hosts of a destination, or of all (-1), would have served in a span.
func (c *checker) capacity(dest int, from, to time.Duration) (n float64) {
	for _, sample := range c.Capacity {
		overlap := min(to, sample.From+sample.Duration) - max(from, sample.From)
		if (dest < 0 || sample.Dest == dest) && overlap > 0 && sample.Duration > 0 {
			n += sample.Calls * float64(overlap) / float64(sample.Duration)
		}
	}
	return n
}

// peak returns the highest load of any destination in a window within a span, as a share of its hosts' capacity in the window.
// A burst is subtracted from each window's calls.
func (c *checker) peak(from, to time.Duration) (most float64) {
	calls := c.callsBetween(from, to)
	for dest := range c.Plan.Scenario.Partners {
		burst := 0.0
		for _, h := range c.Plan.Scenario.Partners[dest].Hosts {
			burst += h.Burst
		}
		first, n := 0, 0
		for i, call := range calls {
			if call.Dest != dest {
				continue
			}
			n++
			for ; calls[first].Last <= call.Last-window; first++ {
				if calls[first].Dest == dest {
					n--
				}
			}
			if i+1 < len(calls) && calls[i+1].Last == call.Last || float64(n) <= burst {
				continue
			}
			begin := call.Last - window // the window may begin before the span
			if capacity := c.capacity(dest, max(0, begin), call.Last); capacity > 0 {
				most = max(most, (float64(n)-burst)/capacity)
			}
		}
	}
	return most
}
