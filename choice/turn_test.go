package choice

import (
	"fmt"
	"testing"
	"time"
)

func TestDrainingHostGetsNoNewCalls(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	host := readyHost("a", 1, 0, 0)
	host.State = Draining
	if n := len(sends(r.step(Listing{Hosts: []Host{host}}, arrival("m", 0)))); n != 0 {
		t.Errorf("%d sends to a draining host", n)
	}
	if n := len(sends(r.step(Listing{Whole: true}))); n != 0 {
		t.Errorf("%d sends to a host that is gone", n)
	}
}

func TestOneDestinationLeavesSlotsToOthers(t *testing.T) {
	for _, tc := range []struct{ workers, want int }{{1, 1}, {3, 2}, {4, 2}, {8, 5}} {
		cfg := settings()
		cfg.Workers = tc.workers
		r := newHarness(t, cfg, readyHost("a", 1, 0, 0))
		var events []Event
		for i := range 20 {
			events = append(events, arrival(fmt.Sprint(i), 0))
		}
		if calls := len(sends(r.step(events...))); calls != tc.want {
			t.Errorf("%d calls out to one destination with %d slots, want %d", calls, tc.workers, tc.want)
		}
	}
}

func TestMessagesShareACall(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 1, 0))
	if n := len(sends(r.step(arrival("1", 0), arrival("2", 0), arrival("3", 0)))); n != 3 || r.c.callsInFlight != 1 {
		t.Errorf("%d sends in %d calls, want 3 in one", n, r.c.callsInFlight)
	}
}

// Calls without a response must not occupy all slots.
func TestStuckCallsAreCancelled(t *testing.T) {
	cfg := settings()
	cfg.Workers = 2
	r := newHarness(t, cfg, readyHost("a", 1, 0, 0), readyHost("b", 2, 0, 0), readyHost("c", 3, 0, 0))
	for i := 1; i <= 3; i++ {
		msg := arrival(fmt.Sprint(i), 2)
		msg.Dest = i
		r.step(msg)
	}
	for _, action := range r.advance(4 * time.Second) {
		if _, ok := action.(Cancel); ok {
			return
		}
	}
	t.Errorf("no call was cancelled while another destination had a message for its slot")
}

// A call without a response is cancelled when slots are short, also if its destination keeps serving others.
func TestLostCallsAreCancelled(t *testing.T) {
	cfg := settings()
	cfg.Workers = 3
	r := newHarness(t, cfg, readyHost("a", 1, 0, 0), readyHost("b", 2, 0, 0), readyHost("c", 3, 0, 0))
	r.step(arrival("lost", 2))
	var out []Send
	for i := range 200 {
		var events []Event
		for _, send := range out {
			events = append(events, r.result(send.ID, send.Host, Served))
		}
		for dest := 1; dest <= 3; dest++ {
			for j := range 2 {
				msg := arrival(fmt.Sprint(i, dest, j), 0)
				msg.Dest = dest
				events = append(events, msg)
			}
		}
		actions := r.step(events...)
		for _, action := range actions {
			if cancel, ok := action.(Cancel); ok && cancel.ID == "lost" {
				return
			}
		}
		out = sends(actions)
		r.now += 50 * ms
	}
	t.Errorf("the lost call was never cancelled")
}

// Relays of a large fleet spread over the hosts of a destination.
func TestRelaysSpreadOverHosts(t *testing.T) {
	cfg := settings()
	cfg.Fleet = 40
	used := map[string]int{}
	for seed := range uint64(20) {
		chooser, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		first, second := readyHost("a", 1, 0, 0), readyHost("b", 1, 0, 0)
		first.Rate, second.Rate = 4, 4
		actions := chooser.Step(time.Hour, []Event{Listing{Whole: true, Hosts: []Host{first, second}}, arrival("m", 0)})
		used[sends(actions)[0].Host]++
	}
	if used["a"] < 4 || used["b"] < 4 {
		t.Errorf("first calls of 20 relays went to %v, want both hosts well used", used)
	}
}

// Each retry of a message is cancelled later than the attempt before, so that slow calls complete in the end.
func TestEachRetryIsCancelledLater(t *testing.T) {
	cfg := settings()
	cfg.Workers, cfg.MaxHeld = 2, 1000
	r := newHarness(t, cfg, readyHost("slow", 1, 0, 0), readyHost("b", 2, 0, 0), readyHost("c", 3, 0, 0))
	var took []time.Duration
	var events []Event
	events = append(events, arrival("m", 0))
	sent := r.now
	for i := 0; r.now < sent+9*time.Second && len(took) < 2; i++ {
		for dest := 2; dest <= 3; dest++ {
			msg := arrival(fmt.Sprint(i, dest), 0)
			msg.Dest = dest
			events = append(events, msg)
		}
		actions := r.step(events...)
		events = nil
		for _, action := range actions {
			switch action := action.(type) {
			case Send:
				if action.ID == "m" {
					sent = r.now
				} else {
					events = append(events, r.result(action.ID, action.Host, Served))
				}
			case Cancel:
				took = append(took, r.now-sent)
				events = append(events, r.result(action.ID, "slow", Cancelled))
			}
		}
		r.now += 50 * ms
	}
	if len(took) < 2 || took[1] < took[0]*3/2 {
		t.Errorf("attempts were cancelled after %v, want the second after longer", took)
	}
}
