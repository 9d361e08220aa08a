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
func (r *Relay) attemptEnded(hostCall *call, msg *message, end httpcall.End, took, wait time.Duration) {
	if msg.call != hostCall {
		return // its own time-out was before that of the call
	}
	msg.call = nil
	traceAttempt(hostCall, msg, end, took, wait)
	if r.successor.Load() != nil {
		r.notifySuccessor(hostCall, msg, end, took, wait)
		return
	}
	rejected := r.standalone != nil && r.rejectReason(msg) != ""
	r.events = append(r.events, choice.Result{ID: msg.ID, Host: hostCall.host.id, Outcome: end.Outcome, Took: took, Wait: wait,
		Done: end.Done || end.Outcome == choice.Served || rejected})
	if msg.ended {
		return
	}
	ran := mayHaveRun(end.Outcome)
	msg.mayHaveRun = msg.mayHaveRun || ran
	out := journal.Record{Op: journal.OpOutcome, ID: msg.ID, Ran: ran}
	if r.standalone != nil {
		out.Why, out.Wait = outcomeNames[end.Outcome], took.Milliseconds()
	}
	switch over := end.Done || end.Outcome == choice.Served; {
	case r.standalone == nil && end.Outcome == choice.Served && r.maybeLate(hostCall, msg):
		r.endUndelivered(msg, notice{msg.ID, undeliverable, 0}, "delivered, perhaps after its time")
	case r.standalone == nil && over:
		traceEnd(msg, delivered, "")
		r.record(journal.Record{Op: journal.OpEnd, ID: msg.ID})
		r.finish(msg)
	case !over && !rejected:
		r.record(out)
	default:
		r.record(out)
		switch {
		case end.Outcome == choice.Served:
			r.conclude(msg, delivered, 0, "")
		case end.Done:
			r.conclude(msg, r.undeliveredStatus(msg), 0, "its partner holds it to be over")
		default:
			r.conclude(msg, r.undeliveredStatus(msg), 0, r.rejectReason(msg))
		}
	}
}
