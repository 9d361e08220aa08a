package chaostest

import (
	"context"
	"os"
	"time"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/starvation"
)

// SchedulingSample is how long the run's processes waited for a processor in a span.
type SchedulingSample struct {
	From, Duration time.Duration
	Waited         time.Duration // for a processor, by the runnable thread that waited longest in total
	TimerDelay     time.Duration // delay of a timer in this process
}

// starved reports whether processes did not get the processor for too long. Relays have 300 ms from a message's deadline to its
// notice, and the rules are checked by the wall clock.
func (r SchedulingSample) starved() bool { return max(r.Waited, r.TimerDelay) >= starvation.Limit }

// Starved returns the worst sample in which processes were starved, if there is one. Findings of such a run may be due to the
// machine's load.
func (b *EventLog) Starved() (worst SchedulingSample, starved bool) {
	for _, r := range b.Scheduling {
		if r.starved() && max(r.Waited, r.TimerDelay) > max(worst.Waited, worst.TimerDelay) {
			worst, starved = r, true
		}
	}
	return worst, starved
}

// readAccount returns the waiting times of all threads of the relays and of this process.
func (t *trial) readAccount() starvation.Account {
	processes := []int{os.Getpid()}
	for _, p := range t.fleet.all {
		if pid := p.pid(); pid > 0 {
			processes = append(processes, pid)
		}
	}
	return starvation.Read(processes...)
}

// sampleScheduling records how processes get the processor until the context ends.
func (t *trial) sampleScheduling(ctx context.Context) {
	last, before := t.recorder.now(), t.readAccount()
	for {
		began := time.Now()
		if !ctxtime.Sleep(ctx, starvation.Interval) {
			return
		}
		late := time.Since(began) - starvation.Interval
		now, after := t.recorder.now(), t.readAccount()
		sample := SchedulingSample{From: last, Duration: now - last, Waited: after.Longest(before), TimerDelay: late}
		t.recorder.update(func(b *EventLog) { b.Scheduling = append(b.Scheduling, sample) })
		last, before = now, after
	}
}
