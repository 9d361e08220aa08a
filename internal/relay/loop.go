package relay

import (
	"context"
	"log/slog"
	"runtime"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
)

// post has the loop run a function, unless the relay has ended.
func (r *Relay) post(f func()) {
	select {
	case r.inbox <- f:
	case <-r.quit:
	}
}

// onLoop has the loop run f and returns its result. If the context or the relay ends first, f may still run and its result
// is dropped.
func onLoop[T any](ctx context.Context, r *Relay, run func() T) (T, error) {
	var none T
	got := make(chan T, 1)
	select {
	case r.inbox <- func() { got <- run() }:
	case <-r.quit:
		return none, adminapi.Errorf(adminapi.Stopped, "the relay has ended")
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case result := <-got:
		return result, nil
	case <-r.quit:
		return none, adminapi.Errorf(adminapi.Stopped, "the relay has ended")
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// alwaysReady is a closed channel.
var alwaysReady = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

// loop is the event loop. It returns once quit is closed, after recording what has ended.
func (r *Relay) loop() {
	if r.standalone != nil {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		go r.expireEnds(tick.C)
	}
	for {
		r.step()
		r.checkDrain()
		// With one processor, clients and loop could alternate for ever: the runtime polls sockets, and runs the
		// goroutines that wait for them, only when nothing else can run. Yielding puts the loop behind the calls whose
		// answers have arrived.
		runtime.Gosched()
		var again <-chan struct{}
		if len(r.events) > 0 { // the step left some; nothing else may arrive for long
			again = alwaysReady
		}
		select {
		case run := <-r.inbox:
			run()
		case in := <-r.admissions:
			r.admit(in)
		case <-r.wakeTimer.C:
			r.wakeFired = true
		case <-again:
		case <-r.quit:
			r.cancelBlockedCalls()
			r.flush()
			return
		}
		r.receiveBatch()
	}
}

// receiveBatch takes in what else has arrived, up to a bound for each kind.
func (r *Relay) receiveBatch() {
	for range maxInboxBatch {
		select {
		case run := <-r.inbox:
			run()
			continue
		default:
		}
		break
	}
	for range maxAdmissionBatch {
		select {
		case in := <-r.admissions:
			r.admit(in)
			continue
		default:
		}
		break
	}
}

// step has the engine decide on the events that have arrived, and carries out its actions.
func (r *Relay) step() {
	if r.successor.Load() != nil {
		r.events, r.admitted = nil, nil
		r.flush()
		return
	}
	if r.stopped {
		r.events = nil
		for _, msg := range r.admitted {
			r.reject(msg, defaultRetryAfter, "stopping")
		}
		r.admitted = nil
		r.flush()
		return
	}
	if r.wakeFired {
		r.events = append(r.events, choice.Woken{})
	}
	if len(r.events) == 0 {
		r.flush()
		return
	}
	events, now := r.events, r.now()
	r.events = nil
	if r.wakeFired {
		r.wakeFired, r.wakeAt = false, 0
	}
	var sends []choice.Send
	for _, action := range r.chooser.Step(now, events) {
		if send, ok := action.(choice.Send); ok {
			sends = append(sends, send)
			continue
		}
		r.applyAction(now, action)
	}
	r.traceFleet(now)
	r.commit(sends)
}

// applyAction carries out an action of the engine other than a send.
func (r *Relay) applyAction(now time.Duration, action choice.Action) {
	switch a := action.(type) {
	case choice.Refuse:
		r.giveUp(a.ID, deferred, min(a.After, r.settings.MaxRetryAfter), a.Why)
	case choice.Fail:
		r.giveUp(a.ID, undeliverable, 0, a.Why)
	case choice.Cancel:
		if msg := r.pending[a.ID]; msg != nil && msg.call != nil {
			msg.call.cancel(httpcall.ErrCalledOff)
		}
	case choice.Wake:
		r.armWakeTimer(now, a.After)
	case choice.Health:
		r.record(journal.Record{Op: journal.OpHealth, ID: a.Host, Ran: a.Unwell, Base: a.Base, At: time.Now().UnixMilli()})
		r.reportHealth(a.Host, a.Unwell)
	case choice.Tell:
		r.sendToPeer(a)
	case choice.Log:
		slog.Info(r.withPartnerName(a.Text))
	}
}

// armWakeTimer sets the timer for the earliest wake-up requested. A wake-up that fell due, but whose tick the loop has not
// read yet, no longer counts: the engine has requested another one, will not repeat the request before that, and would
// otherwise sleep until the next event.
func (r *Relay) armWakeTimer(now, after time.Duration) {
	if at := now + after; r.wakeAt <= now || at < r.wakeAt {
		r.wakeAt = at
		r.wakeTimer.Reset(after) // drops an unread tick
	}
}
