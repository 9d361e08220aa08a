package relay

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
)

var errStopping = errors.New("relay stops")

// call is one call to a host, with one message or several. It belongs to the loop.
type call struct {
	host    *host
	members []*message
	sends   []choice.Send
	size    int           // bytes of its members' frames
	timeout time.Duration // the longest of its members', but at most what an ordered one has left
	cancel  context.CancelCauseFunc
	overdue bool // the deadline of a member passed after it was sent
}

// startCall builds the call on the loop, so that its goroutine shares nothing with the loop, and starts it.
func (r *Relay) startCall(hostCall *call) {
	now, first := r.now(), time.Duration(math.MaxInt64)
	hostCall.sortByDeadline()
	messages := make([]httpcall.Message, len(hostCall.members))
	for i, msg := range hostCall.members {
		msg.call = hostCall
		r.untried.markAttempted(msg.ID)
		hostCall.timeout = max(hostCall.timeout, hostCall.sends[i].Timeout)
		if msg.Order != "" { // after its end the next of its order may go: no call of it may be in flight then
			first = min(first, msg.deadline-now)
		}
		messages[i] = httpcall.Message{ID: msg.ID, Key: msg.Key, Body: msg.Body, Until: r.keyExpiry(msg)}
	}
	hostCall.timeout = min(hostCall.timeout, first)
	out := httpcall.NewCall(&hostCall.host.Host, hostCall.timeout, messages...)
	if len(hostCall.members) > 1 {
		// The members share one connection and one time-out. A member whose own time-out is shorter ends then. Before,
		// a further attempt would be a duplicate; after, it must not be sent any more.
		for i, msg := range hostCall.members {
			if left := msg.deadline - now; left < hostCall.timeout {
				time.AfterFunc(left, func() { r.post(func() { r.expireMember(out, hostCall, i, left) }) })
			}
		}
	}
	ctx, cancel := context.WithCancelCause(r.callsContext)
	hostCall.cancel = cancel
	r.callsInFlight++
	if r.standalone != nil {
		r.standalone.counters.totals.calls++
	}
	go func() {
		defer cancel(nil)
		ends, took, wait := r.pool.Exchange(ctx, out)
		if errors.Is(context.Cause(ctx), errStopping) {
			r.post(func() { r.callsInFlight-- }) // no outcome: the journal has the attempt as one that may have run
			return
		}
		r.post(func() {
			r.callsInFlight--
			for i, msg := range hostCall.members {
				r.attemptEnded(hostCall, msg, ends[i], took, wait)
			}
		})
	}()
}

// sortByDeadline puts the message with the latest deadline first: the others may end while the call is in flight, the first
// may not. When a host hung and the first message of a call had been given up meanwhile, the host's complete answer with an
// `ok` for each message was not counted as the delivery of any other; when another than the first had been, it was.
func (c *call) sortByDeadline() {
	type part struct {
		m *message
		s choice.Send
	}
	parts := make([]part, len(c.members))
	for i, msg := range c.members {
		parts[i] = part{msg, c.sends[i]}
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.m.deadline, a.m.deadline) })
	for i, p := range parts {
		c.members[i], c.sends[i] = p.m, p.s
	}
}

// keyExpiry returns when a message that may have run must be at a host again at the latest: while the host remembers its
// key, counted from the first attempt that may have run. It is zero for messages without such a limit.
func (r *Relay) keyExpiry(m *message) (at time.Time) {
	if all := r.classes.Load(); m.Ran && all.all[m.class].Effect == choice.Keyed {
		at = time.Now().Add(time.Until(time.UnixMilli(m.RanAt)) + all.all[m.class].Window)
	}
	return at
}

// clientTimeout is how long a client waits for the response whether its message is admitted.
const clientTimeout = 400 * time.Millisecond

// maybeLate reports whether the answer that delivered a message may have come after its deadline, as the platform counts it.
// A message's time runs from when its client sent it, which may be earlier than it arrived here by up to clientTimeout if it
// was sent again after a connection closed. An answer after the deadline of another message of its call may count as late
// for all. Such a message gets a notice as undeliverable as well: a notice for a delivered message does no harm, and without
// it a late one would have no end.
func (r *Relay) maybeLate(c *call, m *message) bool {
	return c.overdue || r.now() > m.deadline-clientTimeout
}

// expireMember ends the attempt of a message whose deadline passes while its call is in flight.
func (r *Relay) expireMember(out *httpcall.Call, hostCall *call, i int, took time.Duration) {
	msg := hostCall.members[i]
	if msg.call != hostCall {
		return
	}
	end := httpcall.End{Outcome: choice.Timeout}
	if out.Leave(i) {
		end.Outcome = choice.NotSent
	} else {
		hostCall.overdue = true
	}
	r.attemptEnded(hostCall, msg, end, took, 0)
}

// messageFrame returns the frame of a message in a call with several.
func messageFrame(m *message) []byte { return httpcall.Frame(m.ID, m.Key, m.Body) }

// awaitsNotice reports whether a message of a call has an order key for which a notice is not acknowledged yet. The message
// that the notice is for has not ended until then, and the next of its order is not sent.
func (r *Relay) awaitsNotice(c *call) bool {
	return slices.ContainsFunc(c.members, func(m *message) bool { return m.Order != "" && r.noticesByOrder[m.Order] > 0 })
}

// noticeAcknowledged starts the calls that waited for the acknowledgement of a message's notice. Those that may not go any
// more were not sent.
func (r *Relay) noticeAcknowledged(id string) {
	order, in := r.noticeOrder[id]
	if !in {
		return
	}
	delete(r.noticeOrder, id)
	if r.noticesByOrder[order]--; r.noticesByOrder[order] == 0 {
		delete(r.noticesByOrder, order)
	}
	still := r.blockedCalls[:0]
	for _, hostCall := range r.blockedCalls {
		late := r.stopped || r.successor.Load() != nil || hostCall.host.Closed()
		for _, msg := range hostCall.members {
			late = late || msg.ended || msg.deadline <= r.now()
		}
		switch {
		case r.awaitsNotice(hostCall):
			still = append(still, hostCall)
		case late:
			r.cancelBlockedCall(hostCall)
		default:
			r.startCall(hostCall)
		}
	}
	clear(r.blockedCalls[len(still):])
	r.blockedCalls = still
}

// cancelBlockedCall cancels a call that is recorded and has not begun: its messages have not run.
func (r *Relay) cancelBlockedCall(c *call) {
	for _, s := range c.sends {
		if m := r.pending[s.ID]; m != nil {
			r.record(journal.Record{Op: journal.OpOutcome, ID: s.ID})
		}
		r.reportNotSent(s)
	}
}

// cancelBlockedCalls cancels all calls that wait for an acknowledgement, when the relay ends or is released.
func (r *Relay) cancelBlockedCalls() {
	for _, c := range r.blockedCalls {
		r.cancelBlockedCall(c)
	}
	r.blockedCalls = nil
}
