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
	acts := chooser.Step(0, []Event{Listing{Whole: true, Hosts: hosts}, Arrival{ID: "m", Dest: 1, Left: 9 * time.Second},
		Arrival{ID: "n", Dest: 1, Left: 9 * time.Second}})
	if len(acts) < 2 {
		t.Fatalf("actions %v, want two sends", acts)
	}
	v := chooser.Views()[1]
	if v.Out != 2 || v.Waiting != 0 || len(v.Hosts) != 2 ||
		v.Hosts[0].Out != 2 || v.Hosts[1].State != Draining || v.Hosts[0].Health != "healthy" {
		t.Fatalf("%+v", v)
	}
	chooser.Step(time.Second, []Event{Result{ID: "m", Host: "x", Outcome: Refused, Wait: 3 * time.Second}})
	v = chooser.Views()[1]
	if h := v.Hosts[0]; v.Waiting != 1 || h.Wait != 3*time.Second ||
		h.Health != "suspect" || h.Why != "refusals only" || h.Trial <= 0 {
		t.Fatalf("after a refusal: %+v", v)
	}
	chooser.Step(3*time.Second, nil)
	if h := chooser.Views()[1].Hosts[0]; h.Wait != time.Second || h.For != 2*time.Second {
		t.Fatalf("two seconds later: %+v", h)
	}
}
