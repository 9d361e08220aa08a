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

// call is one call out, with one message or several.
type call struct {
	host    *host
	members []*message
	sends   []choice.Send
	size    int           // of its members' frames
	timeout time.Duration // the longest of its members', but no longer than one that keeps an order has left
	cancel  context.CancelCauseFunc
	overdue bool // the time of one of its messages was up after it went out
}

// startCall builds the call here in the loop, so that its goroutine shares nothing with it.
func (r *Relay) startCall(c *call) {
	now, first := r.now(), time.Duration(math.MaxInt64)
	c.sortByDeadline()
	messages := make([]httpcall.Message, len(c.members))
	for i, m := range c.members {
		m.call = c
		r.untried.markAttempted(m.ID)
		c.timeout = max(c.timeout, c.sends[i].Timeout)
		if m.Order != "" { // once it is given up, those behind it may go: then no call of it may be out any more
			first = min(first, m.deadline-now)
		}
		messages[i] = httpcall.Message{ID: m.ID, Key: m.Key, Body: m.Body, Until: r.keyExpiry(m)}
	}
	c.timeout = min(c.timeout, first)
	out := httpcall.NewCall(&c.host.Host, c.timeout, messages...)
	if len(c.members) > 1 {
		// The members share one connection, and one time-out. One whose own time is up before that gets its end
		// then; before it, a restart would be a second copy. It must not go out after its end.
		for i, m := range c.members {
			if left := m.deadline - now; left < c.timeout {
				time.AfterFunc(left, func() { r.post(func() { r.expireMember(out, c, i, left) }) })
			}
		}
	}
	ctx, cancel := context.WithCancelCause(r.callsContext)
	c.cancel = cancel
	r.callsInFlight++
	if r.standalone != nil {
		r.standalone.counters.totals.calls++
	}
	go func() {
		defer cancel(nil)
		ends, took, wait := r.pool.Exchange(ctx, out)
		if errors.Is(context.Cause(ctx), errStopping) {
			r.post(func() { r.callsInFlight-- }) // no outcome: the journal has it as one that may have run
			return
		}
		r.post(func() {
			r.callsInFlight--
			for i, m := range c.members {
				r.attemptEnded(c, m, ends[i], took, wait)
			}
		})
	}()
}

// sortByDeadline puts the message with most time left first: the others may end while the call is out, it may not. Where a
// host hung and the first message of a call had been given up meanwhile, the host's answer, complete and with an `ok`
// for each, was not counted as the delivery of any of the others; where another than the first had, it was.
func (c *call) sortByDeadline() {
	type part struct {
		m *message
		s choice.Send
	}
	parts := make([]part, len(c.members))
	for i, m := range c.members {
		parts[i] = part{m, c.sends[i]}
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.m.deadline, a.m.deadline) })
	for i, p := range parts {
		c.members[i], c.sends[i] = p.m, p.s
	}
}

// keyExpiry is when a message that may have run must be at a host again at the latest: while its key is remembered, counted from
// when the first such attempt went out. Zero where that does not bind.
func (r *Relay) keyExpiry(m *message) (at time.Time) {
	if all := r.classes.Load(); m.Ran && all.all[m.class].Effect == choice.Keyed {
		at = time.Now().Add(time.Until(time.UnixMilli(m.RanAt)) + all.all[m.class].Window)
	}
	return at
}

// clientTimeout is how long a client waits for the answer whether its message is taken on.
const clientTimeout = 400 * time.Millisecond

// maybeLate tells whether the answer that delivered a message may have come after its time, as the platform counts it. A
// message's time runs from when its client sent it; that may be earlier than it came here, where it was sent once more after a
// connection closed under it, by up to the time that clients wait. And an answer that comes after the time of another
// message of its call may count as late for all. Such a message is told of as undeliverable as well: a notice for one that
// is over does no harm, and without it one that was late would have no end.
func (r *Relay) maybeLate(c *call, m *message) bool {
	return c.overdue || r.now() > m.deadline-clientTimeout
}

// expireMember ends the attempt of a message whose time is up while its call is out.
func (r *Relay) expireMember(out *httpcall.Call, c *call, i int, took time.Duration) {
	m := c.members[i]
	if m.call != c {
		return
	}
	e := httpcall.End{Outcome: choice.Timeout}
	if out.Leave(i) {
		e.Outcome = choice.NotSent
	} else {
		c.overdue = true
	}
	r.attemptEnded(c, m, e, took, 0)
}

func messageFrame(m *message) []byte { return httpcall.Frame(m.ID, m.Key, m.Body) }

// awaitsNotice tells whether a message of a call is in an order in which the end of one before it has been decided and not
// been heard: until the platform has acknowledged it, that one is not over, and nothing is sent for the next.
func (r *Relay) awaitsNotice(c *call) bool {
	return slices.ContainsFunc(c.members, func(m *message) bool { return m.Order != "" && r.noticesByOrder[m.Order] > 0 })
}

// noticeAcknowledged takes in that a message's notice was acknowledged, and lets go what waited for it. What may not go any more was
// not sent.
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
	for _, c := range r.blockedCalls {
		late := r.stopped || r.successor.Load() != nil || c.host.Closed()
		for _, m := range c.members {
			late = late || m.ended || m.deadline <= r.now()
		}
		switch {
		case r.awaitsNotice(c):
			still = append(still, c)
		case late:
			r.cancelBlockedCall(c)
		default:
			r.startCall(c)
		}
	}
	clear(r.blockedCalls[len(still):])
	r.blockedCalls = still
}

// cancelBlockedCall calls off a call that is recorded and has not begun: its messages have not run.
func (r *Relay) cancelBlockedCall(c *call) {
	for _, s := range c.sends {
		if m := r.pending[s.ID]; m != nil {
			r.record(journal.Record{Op: journal.OpOutcome, ID: s.ID})
		}
		r.reportNotSent(s)
	}
}

// cancelBlockedCalls calls off all that waits for an end to be heard, as the relay ends or gives way.
func (r *Relay) cancelBlockedCalls() {
	for _, c := range r.blockedCalls {
		r.cancelBlockedCall(c)
	}
	r.blockedCalls = nil
}
