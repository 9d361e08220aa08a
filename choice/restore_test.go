package choice

import (
	"fmt"
	"testing"
	"time"
)

func TestRestoredMessages(t *testing.T) {
	first := Host{Addr: "a", Dest: 1, Kind: 2, Zone: 0, State: Ready}
	second := Host{Addr: "b", Dest: 1, Kind: 2, Zone: 1, State: Ready}
	for name, tc := range map[string]struct {
		class    int
		attempts int
		ran      bool
		ago      time.Duration
		left     time.Duration
		want     string
	}{
		"safe goes again":                 {0, 1, true, time.Second, 5 * time.Second, "send"},
		"keyed goes again to its zone":    {1, 1, true, time.Second, 5 * time.Second, "send b"},
		"keyed past its window fails":     {1, 1, true, 4 * time.Second, 5 * time.Second, "fail"},
		"unsafe that may have run fails":  {2, 1, true, time.Second, 5 * time.Second, "fail"},
		"unsafe that never ran goes":      {2, 1, false, 0, 5 * time.Second, "send"},
		"without attempts left, refused":  {0, 4, true, time.Second, 5 * time.Second, "refuse"},
		"out of time, never ran: refused": {2, 0, false, 0, -time.Second, "refuse"},
		"out of time, may have run":       {1, 1, true, time.Second, -time.Second, "fail"},
	} {
		r := newHarness(t, settings(), first, second)
		actions := r.step(Restored{Arrival: Arrival{ID: "m", Class: tc.class, Dest: 1, Left: tc.left}, Attempts: tc.attempts,
			Ran: tc.ran, RanAgo: tc.ago, RanZone: 1})
		got := "nothing"
		for _, action := range actions {
			switch action := action.(type) {
			case Send:
				got = "send"
				if tc.want == "send b" {
					got += " " + action.Host
				}
			case Fail:
				got = "fail"
			case Refuse:
				got = "refuse"
			}
		}
		if got != tc.want {
			t.Errorf("%s: got %s, want %s", name, got, tc.want)
		}
	}
}

func TestRestoredCountsAttempts(t *testing.T) {
	r := newHarness(t, settings(), Host{Addr: "a", Dest: 1, State: Ready})
	actions := r.step(Restored{Arrival: Arrival{ID: "m", Class: 0, Dest: 1, Left: 9 * time.Second}, Attempts: 3})
	if len(sends(actions)) != 1 {
		t.Fatalf("actions %v, want the last attempt", actions)
	}
	for _, action := range append(r.step(r.result("m", "a", Error)), r.advance(time.Second)...) {
		if _, again := action.(Send); again {
			t.Fatal("sent a fifth time, four are allowed")
		}
	}
}

// Messages restored without an attempt get one, whatever arrives and whatever its value: they neither expire
// behind new arrivals nor are shed under overload.
func TestRestoredMessagesWithoutAttemptGoFirst(t *testing.T) {
	for name, left := range map[string]time.Duration{"within the latency target": 9 * time.Second, "past it": 3 * time.Second} {
		for class := range 3 { // safe, keyed, unsafe
			set := settings()
			set.Workers, set.MaxHeld, set.Classes[0].LateShare = 1, 24, 0
			set.Classes = append(set.Classes, Class{Name: "valuable", Aim: time.Second, Deadline: 10 * time.Second,
				Worth: 100, Effect: Safe})
			r := newHarness(t, set, readyHost("a", 1, 0, 0))
			next, untried := 0, map[string]bool{}
			var events []Event
			for i := range 12 {
				id := fmt.Sprint("found", i)
				untried[id] = true
				events = append(events, Restored{Arrival: Arrival{ID: id, Class: class, Dest: 1, Left: left}})
				attempted := Arrival{ID: fmt.Sprint("tried", i), Class: class, Dest: 1, Left: left}
				events = append(events, Restored{Arrival: attempted, Attempts: 1})
			}
			for calls := 0; len(untried) > 0; calls++ {
				for range 3 { // three times what can be sent
					events = append(events, arrival(fmt.Sprint("fresh", next), 4))
					next++
				}
				actions := r.step(events...)
				for _, refuse := range actions {
					if refuse, gone := refuse.(Refuse); gone && untried[refuse.ID] {
						t.Fatalf("%s, class %d: %s refused without an attempt: %v", name, class, refuse.ID, refuse.Why)
					}
				}
				for got := sends(actions); len(got) == 0; got = sends(actions) {
					actions = r.advance(5 * ms)
				}
				send := sends(actions)[0]
				if !untried[send.ID] {
					t.Fatalf("%s, class %d: call %d is of %s, with %d without an attempt", name, class, calls, send.ID, len(untried))
				}
				delete(untried, send.ID)
				r.now += 20 * ms
				events = []Event{r.result(send.ID, send.Host, Served)}
			}
		}
	}
}

// The slow start of a destination is not skipped by a restart of the relay.
func TestOutageOutlivesRestart(t *testing.T) {
	hosts := []Host{{Addr: "a", Dest: 1, State: Ready}}
	arrivals := func() (all []Event) {
		for _, id := range []string{"m1", "m2", "m3"} {
			all = append(all, Restored{Arrival: Arrival{ID: id, Class: 0, Dest: 1, Left: 9 * time.Second}})
		}
		return all
	}
	if calls := len(sends(newHarness(t, settings(), hosts...).step(arrivals()...))); calls < 2 {
		t.Fatalf("a healthy destination got %d calls at once, want several", calls)
	}
	r := newHarness(t, settings(), hosts...)
	got := sends(r.step(append(arrivals(), Unwell{Host: "a", Base: 5}, Unwell{Host: "unknown"})...))
	if len(got) > 1 {
		t.Fatalf("%d calls at once to a destination in an outage, want one at most", len(got))
	}
	for len(got) == 0 {
		got = sends(r.advance(5 * ms))
	}
	r.step(r.result(got[0].ID, "a", Served))
	if state := r.c.hosts["a"].unit.state; state != recovering {
		t.Fatalf("state %d after one answer, want it to recover within its budget", state)
	}
}

// A retry-after may come with a response that is no refusal, and applies as well.
func TestRetryAfterAppliesToAnyOutcome(t *testing.T) {
	r := newHarness(t, settings(), Host{Addr: "a", Dest: 1, State: Ready})
	r.step(Arrival{ID: "m1", Class: 0, Dest: 1, Left: 9 * time.Second})
	r.step(r.result("m1", "a", Served, func(e *Result) { e.Wait = 300 * ms }))
	notifiedAt := r.now
	actions := r.step(Arrival{ID: "m2", Class: 0, Dest: 1, Left: 9 * time.Second})
	for len(sends(actions)) == 0 {
		actions = r.advance(5 * ms)
	}
	if r.now-notifiedAt < 300*ms {
		t.Fatalf("sent %v after a retry-after of 300 ms", r.now-notifiedAt)
	}
}

// A message refused during a retry-after of its destination gets the rest of it as its own retry-after.
func TestRefusalHasRetryAfter(t *testing.T) {
	cfg := settings()
	cfg.MaxHeld = 2
	r := newHarness(t, cfg, Host{Addr: "a", Dest: 1, State: Ready})
	r.step(Arrival{ID: "m1", Class: 0, Dest: 1, Left: 9 * time.Second})
	actions := r.step(r.result("m1", "a", Refused, func(e *Result) { e.Wait = 1500 * ms }))
	for _, action := range append(actions, r.step(Arrival{ID: "m2", Class: 0, Dest: 1, Left: 9 * time.Second})...) {
		if refuse, ok := action.(Refuse); ok {
			if refuse.After < 1500*ms || refuse.After > 3*time.Second {
				t.Fatalf("retry-after of %v, want the rest of the host's", refuse.After)
			}
			return
		}
	}
	t.Fatal("nothing was refused")
}
