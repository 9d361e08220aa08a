package relay

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/handover"
	"larchrouter/internal/relay/httpcall"
	"larchrouter/internal/relay/journal"
)

// inheritState takes over what the predecessor knew in addition to its journal. It precedes restore.
func (r *Relay) inheritState(s handover.State) {
	for _, o := range s.InFlight {
		r.predecessorCalls[o.ID] = o.Call
	}
	for host, ms := range s.RetryAfter {
		r.delayHost(host, time.Duration(ms)*time.Millisecond)
	}
	for _, p := range s.Ended {
		r.ended.put(p.ID, p.Sum)
	}
	r.adjustSlots()
}

// delayHost has nothing sent to a host for a while, as the host asked.
func (r *Relay) delayHost(host string, wait time.Duration) {
	r.events = append(r.events, choice.Told{Host: host, Wait: wait})
}

// adjustSlots leaves the engine the slots that calls of the predecessor do not take.
func (r *Relay) adjustSlots() {
	calls := map[int]bool{}
	for _, c := range r.predecessorCalls {
		calls[c] = true
	}
	set := r.settings.Settings
	set.Workers = max(1, set.Workers-len(calls))
	r.events = append(r.events, choice.Retuned{Settings: set})
}

// expectOutcome ends a message in flight at the predecessor at its deadline at the latest.
func (r *Relay) expectOutcome(m *message) {
	time.AfterFunc(m.deadline-r.now()+predecessorSlack, func() {
		r.post(func() { r.settlePredecessorCalls(httpcall.End{Outcome: choice.Timeout}, m.ID) })
	})
}

// AcceptOutcome takes in an outcome that the predecessor sent.
func (r *Relay) AcceptOutcome(o handover.Outcome) {
	r.post(func() {
		if o.RetryAfter > 0 {
			r.delayHost(o.Host, o.RetryAfter)
		}
		r.settlePredecessorCalls(httpcall.End{Outcome: choice.Outcome(o.Outcome), Done: o.Done}, o.ID)
	})
}

// PredecessorLost reports that the predecessor has ended: attempts whose outcome it has not sent may have run.
func (r *Relay) PredecessorLost() {
	r.post(func() {
		ids := slices.Sorted(maps.Keys(r.predecessorCalls))
		r.settlePredecessorCalls(httpcall.End{Outcome: choice.Reset}, ids...)
		slog.Info("the earlier process has left", "untold", len(ids))
	})
}

// settlePredecessorCalls ends the attempts of messages that were in flight at the predecessor, all with one outcome. Each
// message is then like one that a restart found. Attempts that were settled before are ignored.
func (r *Relay) settlePredecessorCalls(end httpcall.End, ids ...string) {
	before := len(r.predecessorCalls)
	for _, id := range ids {
		if _, ok := r.predecessorCalls[id]; !ok {
			continue
		}
		delete(r.predecessorCalls, id)
		switch msg := r.pending[id]; {
		case msg == nil:
		case end.Done || end.Outcome == choice.Served:
			r.record(journal.Record{Op: journal.OpEnd, ID: id})
			r.finish(msg)
		default:
			ran := mayHaveRun(end.Outcome)
			r.record(journal.Record{Op: journal.OpOutcome, ID: id, Ran: ran})
			r.restoreMessage(msg, ran)
		}
	}
	if len(r.predecessorCalls) < before {
		r.adjustSlots()
	}
}
