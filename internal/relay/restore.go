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
	for _, ended := range r.journal.CompletedIDs() {
		r.ended.put(ended.ID, ended.Sum)
	}
	r.logJournalDamage()
	for _, entry := range r.journal.InOrder() {
		r.restoreEntry(entry, wall)
	}
	for id, record := range r.journal.Unhealthy {
		if time.Duration(wall-record.At)*time.Millisecond < unhealthyExpiry {
			r.events = append(r.events, choice.Unwell{Host: id, Base: record.Base})
		} else {
			r.record(journal.Record{Op: journal.OpHealth, ID: id})
		}
	}
	slog.Info("journal replayed", "held", len(r.pending), "owed", r.pendingNotices)
}

// restoreEntry takes over one message in the journal: what it is owed depends on how far the earlier process came.
func (r *Relay) restoreEntry(entry *journal.Entry, wall int64) {
	id := entry.ID
	if entry.Status != "" && r.standalone != nil {
		r.restoreEnd(entry)
		return
	}
	if entry.Status == delivered { // the end of a standalone relay: nothing is owed
		r.record(journal.Record{Op: journal.OpEnd, ID: id})
		return
	}
	if entry.Status != "" {
		r.ended.add(entry)
		r.queueNotice(notice{entry.ID, entry.Status, entry.Again}, entry.Order)
		return
	}
	if _, out := r.predecessorCalls[id]; entry.Out && !out {
		// The process died before the outcome was recorded: it may have run.
		r.record(journal.Record{Op: journal.OpOutcome, ID: id, Ran: true})
	}
	class, ok := r.classAs(entry)
	if !ok {
		status := undeliverable
		if r.standalone != nil && !entry.Ran && !entry.Out {
			status = deferred
		}
		r.endUndelivered(&message{Entry: entry}, notice{entry.ID, status, 0}, "its class was taken out of the operator's file")
		return
	}
	msg := &message{Entry: entry, class: class, deadline: r.now() + time.Duration(entry.Due-wall)*time.Millisecond}
	if r.standalone != nil && r.rejectReason(msg) != "" {
		msg.mayHaveRun = entry.Out
		r.conclude(msg, r.undeliveredStatus(msg), 0, r.rejectReason(msg))
		return
	}
	r.addPending(msg)
	if _, out := r.predecessorCalls[id]; out {
		r.expectOutcome(msg)
		return
	}
	if entry.Tries == 0 {
		r.untried.add(id)
	}
	r.restoreMessage(msg, entry.Out)
}

// logJournalDamage logs what of the journal could not be read, and which messages it may concern.
func (r *Relay) logJournalDamage() {
	rep := r.journal.Report()
	for _, damage := range rep.Damage {
		slog.Error("the journal is damaged", "where", damage.String(), "kept", damage.Saved)
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
