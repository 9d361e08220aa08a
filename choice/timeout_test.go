package choice

import (
	"fmt"
	"testing"
	"time"

	"larchrouter/choice/oracle"
)

func TestRetryTimeoutsGrow(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	for i := range 2 * oracle.MinSamples {
		id := fmt.Sprint("w", i)
		r.step(arrival(id, 0))
		r.now += 50 * ms
		r.step(r.result(id, "a", Served))
	}
	got := sends(r.step(arrival("m", 0)))
	last := got[0].Timeout
	if last >= 2*time.Second {
		t.Fatalf("first time-out %v, want the oracle's edge", last)
	}
	for range 2 {
		r.now += last
		actions := r.step(r.result("m", "a", Timeout))
		if got = append(sends(actions), sends(r.advance(3*time.Second))...); len(got) != 1 {
			t.Fatalf("%d sends after a time-out", len(got))
		}
		if got[0].Timeout < last+r.c.maxTimeout/oracle.Buckets {
			t.Errorf("time-out %v after %v, want a bucket more", got[0].Timeout, last)
		}
		last = got[0].Timeout
	}
}

// While other messages are queued for the destination, a call is abandoned only when it is very likely lost.
func TestBacklogRaisesTimeouts(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	for i := range 4 * oracle.MinSamples {
		id := fmt.Sprint("w", i)
		r.step(arrival(id, 0))
		r.now += 50 * ms
		r.step(r.result(id, "a", Served, func(e *Result) {
			if e.Took = 100 * ms; i%8 == 0 {
				e.Took = 1900 * ms // a tail that restarts would cut
			}
		}))
	}
	quiet := sends(r.step(arrival("m", 0)))[0].Timeout
	var events []Event
	for i := range 12 {
		events = append(events, arrival(fmt.Sprint(i), 0))
	}
	busy := sends(r.step(events...))[0].Timeout
	if quiet >= 1900*ms || busy < 1900*ms {
		t.Errorf("time-out %v without and %v with a backlog, want it below and above the tail of 1.9s", quiet, busy)
	}
}
