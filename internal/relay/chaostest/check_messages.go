package chaostest

import (
	"cmp"
	"slices"
	"time"

	"larchrouter/choice"
)

// sortedMessages returns the messages by id, so that the order of findings is deterministic.
func (c *checker) sortedMessages() []*Message {
	all := make([]*Message, 0, len(c.Messages))
	for _, m := range c.Messages {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Message) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// checkOutcomes finds accepted messages without a notice of their outcome in time, as far as their relay could give one.
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
			c.addFinding("lost", "message %s, taken on by relay %d at %v, had no end by %v%s", m.ID, m.Relay,
				m.Answered.Round(time.Millisecond), end.Round(time.Millisecond), late)
		} else if len(m.Notices) > 0 && m.Notices[0].At > end {
			c.addFinding("late", "message %s of relay %d ended %v late%s", m.ID, m.Relay,
				(m.Notices[0].At - end).Round(time.Millisecond), late)
		}
	}
}

// outcomeUnknown reports whether an appliance could not be queried for a message's outcome, as it did not run at the end or had
// restarted with an empty disk.
func (c *checker) outcomeUnknown(m *Message) bool {
	return c.Queried != nil && (!c.Queried[m.Relay] || slices.ContainsFunc(c.Runs, func(run ReadySpan) bool {
		return run.Relay == m.Relay && run.EmptyDisk && run.From > m.Answered
	}))
}

// noticeDeadline returns until when a notice was due: later if the relay did not run throughout, and the end of the run if it
// never ran again. A message that arrived while the relay was paused is read, and its time-out begins, when the relay resumes.
func (c *checker) noticeDeadline(m *Message) (at time.Duration, why string) {
	at = m.Sent + m.Timeout + noticeGrace
	for _, run := range c.Runs { // by From
		switch {
		case run.Relay != m.Relay || run.To < m.Answered:
		case run.From > m.Answered && run.EmptyDisk:
			return c.End, ""
		case run.From <= m.Answered && max(at, run.From+m.Timeout+noticeGrace) <= run.To:
			return max(at, run.From+m.Timeout+noticeGrace), ""
		case run.From > m.Answered && run.To > max(at, run.From+recoveryTime):
			return max(at, run.From+recoveryTime), " (its relay did not run throughout)"
		}
	}
	return c.End, ""
}

// checkAtMostOnce finds messages of at-most-once classes that took effect more than once.
func (c *checker) checkAtMostOnce() {
	for _, m := range c.sortedMessages() {
		if k, _ := c.Plan.Scenario.ClassByName(m.Class); k.Effect != choice.Unsafe {
			continue
		}
		n := 0
		for _, call := range c.byMessage[m.ID] {
			if call.Applied {
				n++
			}
		}
		if n > 1 {
			c.addFinding("twice", "message %s of relay %d, a %s, took effect %d times", m.ID, m.Relay, m.Class, n)
		}
	}
}

// checkRetryAfter finds calls of a relay to a host within the host's retry-after. A restart clears it.
func (c *checker) checkRetryAfter() {
	type pair struct{ relay, dest, host int }
	type wait struct{ from, to time.Duration }
	waits := map[pair][]wait{}
	for _, call := range c.Calls {
		message := c.Messages[call.ID]
		if message == nil {
			continue
		}
		key := pair{message.Relay, call.Dest, call.Host}
		for _, w := range waits[key] {
			if w.from+retryAfterGrace < call.First && call.First < w.to && c.running(message.Relay, w.from, call.First) {
				c.addFinding("wait", "relay %d called host %s at %v, within a wait told at %v until %v",
					message.Relay, c.host(call), call.First.Round(time.Millisecond),
					w.from.Round(time.Millisecond), w.to.Round(time.Millisecond))
				break
			}
		}
		if call.RetryAfter > 0 {
			at := call.Last + c.Plan.Scenario.Partners[call.Dest].Hosts[call.Host].Latency
			waits[key] = append(slices.DeleteFunc(waits[key], func(w wait) bool { return w.to < call.First }),
				wait{at, at + call.RetryAfter})
		}
	}
}
