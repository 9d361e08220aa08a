package relay

import (
	"context"
	"log/slog"
	"time"

	"larchrouter/internal/relay/adminapi"
	"larchrouter/internal/relay/drain"
	"larchrouter/internal/relay/journal"
)

// checkDrain ends the drain of the relay if it is due, and logs what is left.
func (r *Relay) checkDrain() {
	a := r.standalone
	if a == nil || !a.drains.Tick(len(r.pending)+r.callsInFlight, time.Now()) {
		return
	}
	a.remaining = r.remainingMessages()
	slog.Info("the drain of the relay is over", "left", a.remaining.Messages, "calls_out", a.remaining.Calls,
		"partners", a.remaining.Partners, "ids", a.remaining.IDs)
}

// remainingMessages counts what is pending by partner, and names the oldest messages.
func (r *Relay) remainingMessages() *adminapi.Left {
	left := &adminapi.Left{Calls: r.callsInFlight, Partners: map[string]int{}}
	for _, msg := range r.standalone.pendingInOrder {
		if msg.ended {
			continue
		}
		left.Messages++
		left.Partners[msg.Partner]++
		if len(left.IDs) < 10 {
			left.IDs = append(left.IDs, msg.ID)
		}
	}
	return left
}

// applyDrainChange carries out a command on the drains: it records the change, applies it to the hosts, and only then
// returns. A change that cannot be recorded is reverted.
func (r *Relay) applyDrainChange(do func() (drain.Change, error)) (drain.Change, error) {
	drains := r.standalone.drains
	before := drains.Snapshot()
	change, err := do()
	if err != nil {
		return change, err
	}
	var recs []journal.Record
	for _, drained := range change.Set {
		recs = append(recs, journal.Record{Op: journal.OpDrain, ID: drained.Target.String(), Ran: true, At: drained.Since.UnixMilli(),
			Status: drained.RequestedBy, Wait: drained.Timeout.Milliseconds()})
	}
	for _, target := range change.Removed {
		recs = append(recs, journal.Record{Op: journal.OpDrain, ID: target.String()})
	}
	if len(recs) > 0 {
		if err := r.journal.Append(recs...); err != nil {
			drains.Revert(before)
			return drain.Change{}, err
		}
		slog.Info("drains changed", "result", string(change.Result), "set", len(change.Set), "unset", len(change.Removed),
			"target", recs[0].ID)
		r.applyPartnerList()
	}
	if r.standalone.drains.AcceptsMessages() {
		r.standalone.remaining = nil
	}
	return change, nil
}

// Shutdown begins a graceful stop, as Stop does, with the time-out of the operator's file.
func (r *Relay) Shutdown(by string) {
	r.Stop(context.Background(), adminapi.StopRequest{By: by}) // it fails only if the relay has ended
}

// awaitStop waits for the end of a stop, and ends the relay.
func (r *Relay) awaitStop(at time.Time) {
	sending := min(time.Second, time.Until(at)/4) // from then on no more calls begin
	for over := false; !over; {
		done := make(chan bool, 1)
		r.post(func() {
			_, at = r.standalone.drains.Phase() // a second stop may have set an earlier deadline
			r.stopped = r.stopped || time.Until(at) < sending
			over := r.callsInFlight == 0 && (r.stopped || len(r.pending) == 0) || !time.Now().Before(at)
			if over {
				left := r.remainingMessages()
				slog.Info("stopping; what is left is taken up by the next start", "left", left.Messages, "calls_out", left.Calls,
					"partners", left.Partners, "ids", left.IDs)
			}
			done <- over
		})
		select {
		case over = <-done:
		case <-r.quit:
			return
		}
		if !over {
			time.Sleep(20 * time.Millisecond)
		}
	}
	r.stop()
}
