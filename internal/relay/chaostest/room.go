package chaostest

import (
	"context"
	"os"
	"time"

	"larchrouter/internal/starvation"
)

// Room is what the machine let the trial's processes do for a span.
type Room struct {
	From, For time.Duration
	Waited    time.Duration // for a processor, by the thread that could have run and waited longest in all
	Late      time.Duration // the trial's own timer fired so late
}

// none tells whether the machine had no room for the trial's processes. Relays have 300 ms from a message's time to its end,
// and the rules of a trial are judged by the wall clock.
func (r Room) none() bool { return max(r.Waited, r.Late) >= starvation.Limit }

// Starved is the worst look at which the machine had no room for the trial's processes. What such a trial finds may be the
// machine's fault and not theirs.
func (b *Book) Starved() (worst Room, starved bool) {
	for _, r := range b.Rooms {
		if r.none() && max(r.Waited, r.Late) > max(worst.Waited, worst.Late) {
			worst, starved = r, true
		}
	}
	return worst, starved
}

// waits is the account of all threads of the relays and of the trial itself.
func (t *trial) waits() starvation.Account {
	processes := []int{os.Getpid()}
	for _, p := range t.fleet.all {
		if pid := p.pid(); pid > 0 {
			processes = append(processes, pid)
		}
	}
	return starvation.Read(processes...)
}

// watchRoom writes down what the machine lets the trial's processes do.
func (t *trial) watchRoom(ctx context.Context) {
	last, before := t.books.now(), t.waits()
	for {
		began := time.Now()
		if !sleep(ctx, starvation.Interval) {
			return
		}
		late := time.Since(began) - starvation.Interval
		now, after := t.books.now(), t.waits()
		room := Room{From: last, For: now - last, Waited: after.Longest(before), Late: late}
		t.books.write(func(b *Book) { b.Rooms = append(b.Rooms, room) })
		last, before = now, after
	}
}
