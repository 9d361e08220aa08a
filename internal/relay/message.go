package relay

import (
	"net/http"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
)

// addPending adds a message to those pending.
func (r *Relay) addPending(m *message) {
	m.bodyBytes = int64(len(m.Body))
	r.pendingBytes += m.bodyBytes
	r.pending[m.ID] = m
	r.appendInOrder(m)
}

// removePending removes a message from those pending.
func (r *Relay) removePending(m *message) {
	m.ended = true
	delete(r.pending, m.ID)
	r.pendingBytes -= m.bodyBytes
	m.bodyBytes = 0
}

// finish removes a message that has ended and remembers its id.
func (r *Relay) finish(m *message) {
	r.removePending(m)
	r.ended.add(m.Entry)
}

// queueNotice has a notice posted once the end that it reports is recorded. Order is the order key of its message.
func (r *Relay) queueNotice(n notice, order string) {
	r.pendingNotices++
	r.unsentNotices = append(r.unsentNotices, n)
	if order != "" {
		r.noticeOrder[n.ID] = order
		r.noticesByOrder[order]++
	}
}

// endUndelivered ends a message that was not delivered. Why is for people.
func (r *Relay) endUndelivered(m *message, n notice, why string) {
	r.untried.markEnded(m.ID, why)
	traceEnd(m, n.Status, why)
	if r.standalone != nil {
		r.conclude(m, n.Status, n.Again, why)
		return
	}
	r.record(journal.Record{Op: journal.OpNotice, ID: m.ID, Status: n.Status, Again: n.Again})
	r.queueNotice(n, m.Order)
	r.finish(m)
}

// reject ends a message that was never admitted.
func (r *Relay) reject(m *message, after time.Duration, text string) {
	if r.standalone != nil {
		r.standalone.counters.countRejected()
	}
	traceEnd(m, "turned away", text)
	r.removePending(m)
	m.respond(response{status: http.StatusServiceUnavailable, after: after, text: text})
}

// giveUp ends a message by a decision of the engine, at once.
func (r *Relay) giveUp(id, status string, after time.Duration, why choice.Reason) {
	switch m := r.pending[id]; {
	case m == nil:
	case m.waiting != nil:
		r.reject(m, after, "refused: "+why.String())
	default:
		r.endUndelivered(m, notice{id, status, after.Milliseconds()}, why.String())
	}
}

// mayHaveRun reports whether an attempt with this outcome may have taken effect.
func mayHaveRun(o choice.Outcome) bool {
	return o != choice.Refused && o != choice.NoConnection && o != choice.NotSent
}

// attemptEnded takes in the outcome of one message's attempt.
func (r *Relay) attemptEnded(c *call, m *message, e httpcall.End, took, wait time.Duration) {
	if m.call != c {
		return // its own time was up before the call's
	}
	m.call = nil
	traceAttempt(c, m, e, took, wait)
	if r.successor.Load() != nil {
		r.notifySuccessor(c, m, e, took, wait)
		return
	}
	expelled := r.standalone != nil && r.rejectReason(m) != ""
	r.events = append(r.events, choice.Result{ID: m.ID, Host: c.host.id, Outcome: e.Outcome, Took: took, Wait: wait,
		Done: e.Done || e.Outcome == choice.Served || expelled})
	if m.ended {
		return
	}
	ran := mayHaveRun(e.Outcome)
	m.mayHaveRun = m.mayHaveRun || ran
	out := journal.Record{Op: journal.OpOutcome, ID: m.ID, Ran: ran}
	if r.standalone != nil {
		out.Why, out.Wait = outcomeNames[e.Outcome], took.Milliseconds()
	}
	switch over := e.Done || e.Outcome == choice.Served; {
	case r.standalone == nil && e.Outcome == choice.Served && r.maybeLate(c, m):
		r.endUndelivered(m, notice{m.ID, undeliverable, 0}, "delivered, perhaps after its time")
	case r.standalone == nil && over:
		traceEnd(m, delivered, "")
		r.record(journal.Record{Op: journal.OpEnd, ID: m.ID})
		r.finish(m)
	case !over && !expelled:
		r.record(out)
	default:
		r.record(out)
		switch {
		case e.Outcome == choice.Served:
			r.conclude(m, delivered, 0, "")
		case e.Done:
			r.conclude(m, r.undeliveredStatus(m), 0, "its partner holds it to be over")
		default:
			r.conclude(m, r.undeliveredStatus(m), 0, r.rejectReason(m))
		}
	}
}
