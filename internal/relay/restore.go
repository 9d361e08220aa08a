package relay

import (
	"log/slog"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/journal"
)

// restore takes over the messages and outages in the journal.
func (r *Relay) restore() {
	wall := time.Now().UnixMilli()
	for _, e := range r.journal.Ended() {
		r.ended.put(e.ID, e.Sum)
	}
	r.logJournalDamage()
	for _, e := range r.journal.InOrder() {
		r.restoreEntry(e, wall)
	}
	for id, s := range r.journal.Unwell {
		if time.Duration(wall-s.At)*time.Millisecond < unhealthyExpiry {
			r.events = append(r.events, choice.Unwell{Host: id, Base: s.Base})
		} else {
			r.record(journal.Record{Op: journal.OpHealth, ID: id})
		}
	}
	slog.Info("journal replayed", "held", len(r.pending), "owed", r.pendingNotices)
}

// restoreEntry takes over one message in the journal: what it is owed depends on how far the earlier process came.
func (r *Relay) restoreEntry(e *journal.Entry, wall int64) {
	id := e.ID
	if e.Status != "" && r.standalone != nil {
		r.restoreEnd(e)
		return
	}
	if e.Status == delivered { // the end of a standalone relay: nothing is owed
		r.record(journal.Record{Op: journal.OpEnd, ID: id})
		return
	}
	if e.Status != "" {
		r.ended.add(e)
		r.queueNotice(notice{e.ID, e.Status, e.Again}, e.Order)
		return
	}
	if _, out := r.predecessorCalls[id]; e.Out && !out {
		// The process died before the outcome was recorded: it may have run.
		r.record(journal.Record{Op: journal.OpOutcome, ID: id, Ran: true})
	}
	class, ok := r.classAs(e)
	if !ok {
		status := undeliverable
		if r.standalone != nil && !e.Ran && !e.Out {
			status = deferred
		}
		r.endUndelivered(&message{Entry: e}, notice{e.ID, status, 0}, "its class was taken out of the operator's file")
		return
	}
	m := &message{Entry: e, class: class, deadline: r.now() + time.Duration(e.Due-wall)*time.Millisecond}
	if r.standalone != nil && r.rejectReason(m) != "" {
		m.mayHaveRun = e.Out
		r.conclude(m, r.undeliveredStatus(m), 0, r.rejectReason(m))
		return
	}
	r.addPending(m)
	if _, out := r.predecessorCalls[id]; out {
		r.expectOutcome(m)
		return
	}
	if e.Tries == 0 {
		r.untried.add(id)
	}
	r.restoreMessage(m, e.Out)
}

// logJournalDamage logs what of the journal could not be read, and which messages it may concern.
func (r *Relay) logJournalDamage() {
	rep := r.journal.Report()
	for _, d := range rep.Damage {
		slog.Error("the journal is damaged", "where", d.String(), "kept", d.Saved)
	}
	if rep.LegacyUnread > 0 {
		slog.Warn("the end of the earlier journal could not be read", "bytes", rep.LegacyUnread)
	}
	if len(rep.Lost) > 0 {
		slog.Error("messages are lost with it; only their ids are known", "count", len(rep.Lost),
			"ids", rep.Lost[:min(20, len(rep.Lost))])
	}
	if len(rep.Suspects) > 0 {
		slog.Error("messages whose attempts may be missing from it; they count as possibly run", "count", len(rep.Suspects),
			"ids", rep.Suspects[:min(20, len(rep.Suspects))])
	}
}

// restoreMessage gives the engine a message that an earlier process admitted. Ran reports that its last attempt may have
// run and is not recorded as such yet.
func (r *Relay) restoreMessage(m *message, ran bool) {
	e, wall := m.Entry, time.Now().UnixMilli()
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	ev := choice.Restored{Arrival: choice.Arrival{ID: e.ID, Class: m.class, Dest: e.Dest, Left: m.deadline - r.now(), Key: e.Order},
		Attempts: e.Tries, Timeout: ms(e.Wait), Ran: e.Ran, RanAgo: ms(wall - e.RanAt), RanZone: e.Zone}
	if ran && !e.Ran {
		ev.Ran, ev.RanAgo, ev.RanZone = true, ms(wall-e.OutAt), e.OutTo
	}
	r.events = append(r.events, ev)
}
