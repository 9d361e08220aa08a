package chaostest

import (
	"context"
	"os"
	"time"

	"larchrouter/internal/starvation"
)

// SchedulingSample is what the machine let the trial's processes do for a span.
type SchedulingSample struct {
	From, Duration time.Duration
	Waited         time.Duration // for a processor, by the thread that could have run and waited longest in all
	TimerDelay     time.Duration // the trial's own timer fired so late
}

// starved tells whether the machine had no room for the trial's processes. Relays have 300 ms from a message's time to its end,
// and the rules of a trial are judged by the wall clock.
func (r SchedulingSample) starved() bool { return max(r.Waited, r.TimerDelay) >= starvation.Limit }

// Starved is the worst look at which the machine had no room for the trial's processes. What such a trial finds may be the
// machine's fault and not theirs.
func (b *EventLog) Starved() (worst SchedulingSample, starved bool) {
	for _, r := range b.Scheduling {
		if r.starved() && max(r.Waited, r.TimerDelay) > max(worst.Waited, worst.TimerDelay) {
			worst, starved = r, true
		}
	}
	return worst, starved
}

// readAccount is the account of all threads of the relays and of the trial itself.
func (t *trial) readAccount() starvation.Account {
	processes := []int{os.Getpid()}
	for _, p := range t.fleet.all {
		if pid := p.pid(); pid > 0 {
			processes = append(processes, pid)
		}
	}
	return starvation.Read(processes...)
}

// sampleScheduling writes down what the machine lets the trial's processes do.
func (t *trial) sampleScheduling(ctx context.Context) {
	last, before := t.recorder.now(), t.readAccount()
	for {
		began := time.Now()
		if !sleep(ctx, starvation.Interval) {
			return
		}
		late := time.Since(began) - starvation.Interval
		now, after := t.recorder.now(), t.readAccount()
		room := SchedulingSample{From: last, Duration: now - last, Waited: after.Longest(before), TimerDelay: late}
		t.recorder.update(func(b *EventLog) { b.Scheduling = append(b.Scheduling, room) })
		last, before = now, after
	}
}
