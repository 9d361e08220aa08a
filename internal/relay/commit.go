package relay

import (
	"log/slog"
	"net/http"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/journal"
)

// record adds a record to the next journal write.
func (r *Relay) record(rec journal.Record) {
	if rec.Op == journal.OpEnd {
		rec.At = time.Now().UnixMilli()
	}
	r.records = append(r.records, rec)
}

// commit records what a step has decided: ends, admitted messages and attempts. Only then clients and the platform are
// notified and calls begin. All of it is one write; if that fails, each part is recorded by itself, so that what does not
// fit does not hold up anything else.
func (r *Relay) commit(sends []choice.Send) {
	calls, unsent := r.groupCalls(sends)
	ended := len(r.records)
	for _, msg := range r.admitted {
		if !msg.ended {
			r.record(journal.Record{Op: journal.OpTaken, Entry: msg.Entry})
		}
	}
	for _, hostCall := range calls {
		r.records = append(r.records, r.attemptRecords(hostCall)...)
	}
	var err error
	if len(r.records) > 0 {
		err = r.journal.Append(r.records...)
	}
	if err == nil {
		r.records = r.records[:0]
	} else {
		r.records = r.records[:ended]
	}
	r.flush()
	for _, msg := range r.admitted {
		if msg.ended || err != nil && !r.recordAdmission(msg) {
			continue
		}
		msg.respond(response{status: http.StatusAccepted})
		if r.standalone != nil {
			r.standalone.counters.countAccepted(time.Now())
		}
	}
	clear(r.admitted)
	r.admitted = r.admitted[:0]
	if err != nil {
		calls, unsent = r.groupCalls(sends) // some messages may not be pending any more
	}
	for _, send := range unsent {
		r.reportNotSent(send)
	}
	for _, hostCall := range calls {
		switch {
		case err != nil && !r.recordAttempts(hostCall):
		case r.awaitsNotice(hostCall):
			r.blockedCalls = append(r.blockedCalls, hostCall)
		default:
			r.startCall(hostCall)
		}
	}
}

// flush records what has ended. What cannot be written now is kept, and no notice goes out before its record: a client that
// was told to come again, and a restart that restores the message, would otherwise deliver it twice.
func (r *Relay) flush() {
	if r.successor.Load() != nil {
		r.records, r.unsentNotices = nil, nil // the successor has the state, or gets the outcomes
		return
	}
	if len(r.records) > 0 {
		if err := r.journal.Append(r.records...); err != nil {
			r.logWriteError("not recorded", err)
			time.AfterFunc(maxBackoff, func() { r.post(func() {}) })
			return
		}
		r.records = r.records[:0]
	}
	r.storeEnds()
	r.notices.put(r.unsentNotices...)
	r.unsentNotices = r.unsentNotices[:0]
}

// recordAdmission records a message by itself, and rejects it if that fails. It reports whether the message is recorded.
func (r *Relay) recordAdmission(m *message) bool {
	err := r.journal.Append(journal.Record{Op: journal.OpTaken, Entry: m.Entry})
	if err != nil {
		r.logWriteError("message not taken on", err)
		r.events = append(r.events, choice.Withdrawn{ID: m.ID})
		r.reject(m, defaultRetryAfter, "no room on the disk")
	}
	return err == nil
}

// recordAttempts records the attempts of a call by themselves, or cancels them, and reports whether they are recorded. An
// attempt that a restart would not know of must not go out, nor one whose record would precede an outcome that could not be
// written yet.
func (r *Relay) recordAttempts(hostCall *call) bool {
	err := journal.ErrUnwritten
	if len(r.records) == 0 {
		err = r.journal.Append(r.attemptRecords(hostCall)...)
	}
	if err != nil {
		r.logWriteError("attempts not sent", err)
		for _, send := range hostCall.sends {
			r.reportNotSent(send)
		}
	}
	return err == nil
}

// attemptRecords returns the journal records of a call's attempts.
func (r *Relay) attemptRecords(c *call) (recs []journal.Record) {
	wall := time.Now().UnixMilli()
	for i, m := range c.members {
		rec := journal.Record{Op: journal.OpTry, ID: m.ID, At: wall, Wait: c.sends[i].Timeout.Milliseconds(), Zone: c.host.zone}
		if r.standalone != nil {
			rec.Host = c.host.id
		}
		recs = append(recs, rec)
	}
	return recs
}

// groupCalls combines the sends of one step into calls, and returns the sends that cannot go because the message has ended
// or its host is gone or closed.
func (r *Relay) groupCalls(sends []choice.Send) (calls []*call, unsent []choice.Send) {
	open := map[string]*call{}
	for _, send := range sends {
		msg, target := r.pending[send.ID], r.hosts[send.Host]
		if msg == nil || target == nil || target.dest != msg.Dest || target.Closed() {
			unsent = append(unsent, send)
			continue
		}
		hostCall, size := open[send.Host], 0
		if target.perCall > 1 {
			size = len(messageFrame(msg))
		}
		if hostCall == nil || len(hostCall.members) >= target.perCall || hostCall.size+size > maxBody { // no body may be longer
			hostCall = &call{host: target}
			open[send.Host] = hostCall
			calls = append(calls, hostCall)
		}
		hostCall.size += size
		hostCall.members, hostCall.sends = append(hostCall.members, msg), append(hostCall.sends, send)
	}
	return calls, unsent
}

// reportNotSent reports to the engine, with the next step, that a send did not happen.
func (r *Relay) reportNotSent(s choice.Send) {
	r.events = append(r.events, choice.Result{ID: s.ID, Host: s.Host, Outcome: choice.NotSent})
}

// logWriteError logs that something could not be recorded, at most once a second.
func (r *Relay) logWriteError(what string, err error) {
	r.writeErrors++
	if now := r.now(); now >= r.logWriteErrorAt {
		slog.Error(what, "err", err, "times", r.writeErrors)
		r.writeErrors, r.logWriteErrorAt = 0, now+time.Second
	}
}
