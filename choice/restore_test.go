package choice

import (
	"fmt"
	"testing"
	"time"
)

func TestRestored(t *testing.T) {
	a, b := Host{Addr: "a", Dest: 1, Kind: 2, Zone: 0, State: Ready}, Host{Addr: "b", Dest: 1, Kind: 2, Zone: 1, State: Ready}
	for name, c := range map[string]struct {
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
		r := newRig(t, settings(), a, b)
		acts := r.step(Restored{Arrival: Arrival{ID: "m", Class: c.class, Dest: 1, Left: c.left}, Attempts: c.attempts,
			Ran: c.ran, RanAgo: c.ago, RanZone: 1})
		got := "nothing"
		for _, x := range acts {
			switch x := x.(type) {
			case Send:
				got = "send"
				if c.want == "send b" {
					got += " " + x.Host
				}
			case Fail:
				got = "fail"
			case Refuse:
				got = "refuse"
			}
		}
		if got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}

func TestRestoredCountsAttempts(t *testing.T) {
	r := newRig(t, settings(), Host{Addr: "a", Dest: 1, State: Ready})
	acts := r.step(Restored{Arrival: Arrival{ID: "m", Class: 0, Dest: 1, Left: 9 * time.Second}, Attempts: 3})
	if len(sends(acts)) != 1 {
		t.Fatalf("actions %v, want the last attempt", acts)
	}
	for _, x := range append(r.step(r.end("m", "a", Error)), r.after(time.Second)...) {
		if _, again := x.(Send); again {
			t.Fatal("sent a fifth time, four are allowed")
		}
	}
}

// What a restart finds untried gets its try, whatever comes in and whatever that is worth: it guards against
// giving it up with no call, first when it waits behind what is fresh, then when the room is crowded.
func TestFoundUntriedIsTried(t *testing.T) {
	for name, left := range map[string]time.Duration{"within the aim": 9 * time.Second, "long past it": 3 * time.Second} {
		for class := range 3 { // safe, keyed, unsafe
			set := settings()
			set.Workers, set.MaxHeld, set.Classes[0].LateShare = 1, 24, 0
			set.Classes = append(set.Classes, Class{Name: "dear", Aim: time.Second, Deadline: 10 * time.Second, Worth: 100, Effect: Safe})
			r := newRig(t, set, ready("a", 1, 0, 0))
			next, untried := 0, map[string]bool{}
			var events []Event
			for i := range 12 {
				id := fmt.Sprint("found", i)
				untried[id] = true
				events = append(events, Restored{Arrival: Arrival{ID: id, Class: class, Dest: 1, Left: left}})
				events = append(events, Restored{Arrival: Arrival{ID: fmt.Sprint("tried", i), Class: class, Dest: 1, Left: left}, Attempts: 1})
			}
			for calls := 0; len(untried) > 0; calls++ {
				for range 3 { // three times what can be sent
					events = append(events, arrival(fmt.Sprint("fresh", next), 4))
					next++
				}
				acts := r.step(events...)
				for _, a := range acts {
					if a, gone := a.(Refuse); gone && untried[a.ID] {
						t.Fatalf("%s, class %d: %s given up with no call: %v", name, class, a.ID, a.Why)
					}
				}
				for got := sends(acts); len(got) == 0; got = sends(acts) {
					acts = r.after(5 * ms)
				}
				s := sends(acts)[0]
				if !untried[s.ID] {
					t.Fatalf("%s, class %d: call %d is of %s, with %d found untried", name, class, calls, s.ID, len(untried))
				}
				delete(untried, s.ID)
				r.now += 20 * ms
				events = []Event{r.end(s.ID, s.Host, Served)}
			}
		}
	}
}

// A restart must not make a relay forget that a destination is cold.
func TestUnwellIsTriedOneByOne(t *testing.T) {
	hosts := []Host{{Addr: "a", Dest: 1, State: Ready}}
	arrivals := func() (all []Event) {
		for _, id := range []string{"m1", "m2", "m3"} {
			all = append(all, Restored{Arrival: Arrival{ID: id, Class: 0, Dest: 1, Left: 9 * time.Second}})
		}
		return all
	}
	if n := len(sends(newRig(t, settings(), hosts...).step(arrivals()...))); n < 2 {
		t.Fatalf("a healthy destination got %d calls at once, want several", n)
	}
	r := newRig(t, settings(), hosts...)
	got := sends(r.step(append(arrivals(), Unwell{Host: "a", Base: 5}, Unwell{Host: "unknown"})...))
	if len(got) > 1 {
		t.Fatalf("%d calls at once to a destination in an outage, want one at most", len(got))
	}
	for len(got) == 0 {
		got = sends(r.after(5 * ms))
	}
	r.step(r.end(got[0].ID, "a", Served))
	if s := r.c.hosts["a"].unit.state; s != recovering {
		t.Fatalf("state %d after one answer, want it to recover within its budget", s)
	}
}

// A wait may come with an answer that is no refusal, and binds alike.
func TestWaitWithAnyOutcome(t *testing.T) {
	r := newRig(t, settings(), Host{Addr: "a", Dest: 1, State: Ready})
	r.step(Arrival{ID: "m1", Class: 0, Dest: 1, Left: 9 * time.Second})
	r.step(r.end("m1", "a", Served, func(e *Result) { e.Wait = 300 * ms }))
	told := r.now
	acts := r.step(Arrival{ID: "m2", Class: 0, Dest: 1, Left: 9 * time.Second})
	for len(sends(acts)) == 0 {
		acts = r.after(5 * ms)
	}
	if r.now-told < 300*ms {
		t.Fatalf("sent %v after a wait of 300 ms was told", r.now-told)
	}
}

// A refusal for a destination that told to wait says when that wait is over.
func TestRefuseSaysWhen(t *testing.T) {
	s := settings()
	s.MaxHeld = 2
	r := newRig(t, s, Host{Addr: "a", Dest: 1, State: Ready})
	r.step(Arrival{ID: "m1", Class: 0, Dest: 1, Left: 9 * time.Second})
	acts := r.step(r.end("m1", "a", Refused, func(e *Result) { e.Wait = 1500 * ms }))
	for _, x := range append(acts, r.step(Arrival{ID: "m2", Class: 0, Dest: 1, Left: 9 * time.Second})...) {
		if f, ok := x.(Refuse); ok {
			if f.After < 1500*ms || f.After > 3*time.Second {
				t.Fatalf("come again after %v, want the rest of the wait", f.After)
			}
			return
		}
	}
	t.Fatal("nothing was refused")
}
