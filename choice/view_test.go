package choice

import (
	"testing"
	"time"
)

// A view has the reason why a host gets no calls, and for how long.
func TestViews(t *testing.T) {
	chooser, err := New(Settings{Fleet: 1, Workers: 4, MaxAttempts: 6, Tick: time.Millisecond,
		Kinds:   []Kind{{Apart: true, PerCall: 1}},
		Classes: []Class{{Name: "a", Aim: time.Second, Deadline: 9 * time.Second, Worth: 1}},
		Rules:   Rules{Fall: 2 * time.Second, Cold: 13 * time.Second, OverloadFactor: 2, ColdFrom: 0.2}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	hosts := []Host{{Addr: "x", Dest: 1, State: Ready}, {Addr: "y", Dest: 1, State: Draining}}
	actions := chooser.Step(0, []Event{Listing{Whole: true, Hosts: hosts}, Arrival{ID: "m", Dest: 1, Left: 9 * time.Second},
		Arrival{ID: "n", Dest: 1, Left: 9 * time.Second}})
	if len(actions) < 2 {
		t.Fatalf("actions %v, want two sends", actions)
	}
	view := chooser.Views()[1]
	if view.Out != 2 || view.Waiting != 0 || len(view.Hosts) != 2 ||
		view.Hosts[0].Out != 2 || view.Hosts[1].State != Draining || view.Hosts[0].Health != "healthy" {
		t.Fatalf("%+v", view)
	}
	chooser.Step(time.Second, []Event{Result{ID: "m", Host: "x", Outcome: Refused, Wait: 3 * time.Second}})
	view = chooser.Views()[1]
	if host := view.Hosts[0]; view.Waiting != 1 || host.Wait != 3*time.Second ||
		host.Health != "suspect" || host.Why != "refusals only" || host.Trial <= 0 {
		t.Fatalf("after a refusal: %+v", view)
	}
	chooser.Step(3*time.Second, nil)
	if host := chooser.Views()[1].Hosts[0]; host.Wait != time.Second || host.For != 2*time.Second {
		t.Fatalf("two seconds later: %+v", host)
	}
}
