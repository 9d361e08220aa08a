package relay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"larchrouter/internal/relay/journal"
)

// hold blocks the loop until release is called.
func hold(t *testing.T, r *Relay) (release func()) {
	t.Helper()
	blocked, free := make(chan bool), make(chan bool)
	r.post(func() { close(blocked); <-free })
	wait(t, blocked, "loop")
	return func() { close(free) }
}

// When as many clients wait as the loop can serve in time, the next is rejected at once, although the loop is blocked.
func TestFloodIsRejectedAtOnce(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 10)), "taller")), nil)
	release := hold(t, r)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for range admissionQueueLength {
		r.admissions <- &admission{ctx: gone, entry: &journal.Entry{}, reply: make(chan response, 1)} // of clients that have left
	}
	status, after := hand(t, r.Addr(), "m1", "payment")
	want(t, "status", status, http.StatusServiceUnavailable)
	want(t, "Retry-After", after, "1.000")
	release()
	for len(r.admissions) > 0 { // each turn of the loop admits some
		turn := make(chan bool, 1)
		r.post(func() { turn <- true })
		wait(t, turn, "turn of the loop")
	}
	status, _ = hand(t, r.Addr(), "m2", "payment")
	want(t, "status once the flood is over", status, http.StatusAccepted)
	want(t, "refused as busy", r.rejectedBusy.Load(), 1)
}

// A handler does not wait for ever for a client that has gone: each has one of the clients' connections.
func TestRequestOfGoneClientIsAnswered(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 10)), "taller")), nil)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	in := &admission{ctx: gone, reply: make(chan response, 1), arrivedAt: r.now(), deadline: time.Hour, entry: &journal.Entry{ID: "m1", Class: "payment", Dest: 7}}
	r.admissions <- in
	want(t, "status", wait(t, in.reply, "answer").status, http.StatusServiceUnavailable)
	want(t, "refused as busy", r.rejectedBusy.Load(), 0)
}

// A message whose client is about to leave is rejected, since it would only be withdrawn again.
func TestLateAdmissionIsRejected(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 10)), "taller")), nil)
	in := &admission{ctx: t.Context(), reply: make(chan response, 1), arrivedAt: r.now() - maxAdmissionDelay - time.Millisecond, deadline: time.Hour,
		entry: &journal.Entry{ID: "m1", Class: "payment", Dest: 7}}
	r.admissions <- in
	a := wait(t, in.reply, "answer")
	want(t, "status", a.status, http.StatusServiceUnavailable)
	want(t, "time to come again", a.after, defaultRetryAfter)
}

// Outcomes do not wait behind a flood of messages: a bounded number of these is admitted between two steps, after
// everything else that has arrived.
func TestOutcomesPrecedeAdmissions(t *testing.T) {
	r := &Relay{inbox: make(chan func(), maxInboxBatch), admissions: make(chan *admission, admissionQueueLength)}
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for range admissionQueueLength {
		r.admissions <- &admission{ctx: gone, entry: &journal.Entry{}, reply: make(chan response, 1)}
	}
	waited := -1
	for range maxInboxBatch {
		r.inbox <- func() { waited = len(r.admissions) }
	}
	r.receiveBatch()
	want(t, "messages that waited when the last outcome was taken in", waited, admissionQueueLength)
	want(t, "messages left after", len(r.admissions), admissionQueueLength-maxAdmissionBatch)
}

// A step makes one write. If that does not fit, what fits is recorded by itself, and only the rest is rejected.
func TestOneJournalWritePerStep(t *testing.T) {
	r := startRelay(t, newPlatform(t, at("s-1", fakeHost(t, "a", make(chan *seen, 100)), "taller")), nil)
	submit := func(n, size int) (answers []int) {
		var ins []*admission
		release := hold(t, r)
		for i := range n {
			id := fmt.Sprintf("m%d-%d", size, i)
			ins = append(ins, &admission{ctx: t.Context(), reply: make(chan response, 1), arrivedAt: r.now(), deadline: time.Hour,
				entry: &journal.Entry{ID: id, Class: r.settings.Classes[0].Name, Dest: 7, Body: make([]byte, size),
					Due: time.Now().Add(time.Hour).UnixMilli()}})
			r.admissions <- ins[i]
		}
		release()
		for _, in := range ins {
			answers = append(answers, wait(t, in.reply, "answer").status)
		}
		return answers
	}
	writes := make(chan int, 2)
	count := func() int { r.post(func() { writes <- r.journal.Writes() }); return wait(t, writes, "count") }
	before := count()
	for i, status := range submit(20, 10) {
		want(t, fmt.Sprint("status of message ", i), status, http.StatusAccepted)
	}
	if n := count() - before; n > 6 { // outcomes may arrive apart; a write for each message would be 20 and more
		t.Errorf("%d writes for one Step's 20 messages and what followed", n)
	}
	r.post(func() { r.journal.SetBudget(240_000) })
	refused := 0
	for _, status := range submit(10, 10_000) {
		if status == http.StatusServiceUnavailable {
			refused++
		}
	}
	if refused == 0 || refused == 10 {
		t.Errorf("%d of 10 messages were refused where the journal has room for some", refused)
	}
}
