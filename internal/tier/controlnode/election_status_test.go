package controlnode

import (
	"context"
	"testing"
	"time"

	"larchrouter/internal/sqlitelog"
)

// The longest duration counts for a minute at least, and one that has not ended is reported.
func TestDurations(t *testing.T) {
	var d durations
	now := time.Now()
	step := func(took time.Duration) {
		d.begin(now)
		now = now.Add(took)
		d.end(now)
	}
	step(5 * time.Millisecond)
	step(40 * time.Millisecond)
	step(7 * time.Millisecond)
	d.begin(now)
	if got, want := d.report(now.Add(3*time.Millisecond)), (DurationStatus{Count: 3, LastMs: 7, LongestMs: 40, CurrentMs: 3}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	d.end(now)
	now = now.Add(recentTime + time.Second)
	step(time.Millisecond)
	if longest := d.report(now).LongestMs; longest != 40 {
		t.Errorf("behind a minute, the longest is %d ms", longest)
	}
	now = now.Add(recentTime + time.Second)
	step(time.Millisecond)
	if longest := d.report(now).LongestMs; longest != 1 {
		t.Errorf("behind two minutes, the longest is %d ms", longest)
	}
}

// The status of an election has the ballots, and is answered while the disk holds up the event loop: then it says so.
func TestElectionStatus(t *testing.T) {
	core := startSingleNode(t)
	status := core.electionStatus()
	if status.LoopBlocked || status.Epoch == 0 || status.Syncs.CurrentMs > 0 {
		t.Errorf("at rest: %+v", status)
	}
	syncing, synced := make(chan struct{}), make(chan struct{})
	core.requests <- onLoopRequest(func() {
		core.syncRows = func(ctx context.Context, rows []sqlitelog.Write) error {
			core.syncRows = core.db.Commit
			close(syncing)
			<-synced
			return core.db.Commit(ctx, rows)
		}
		core.mergeReady(core.node.Write(core.now(), 0, "key", []byte("value")))
	})
	<-syncing
	status = core.electionStatus()
	close(synced)
	if !status.LoopBlocked || status.Syncs.CurrentMs < electionStatusTimeout.Milliseconds() {
		t.Errorf("while the disk is written: %+v", status)
	}
	if status = core.electionStatus(); status.Syncs.LongestMs < electionStatusTimeout.Milliseconds() {
		t.Errorf("afterwards: %+v", status)
	}
}
