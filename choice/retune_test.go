package choice

import (
	"slices"
	"testing"
	"time"
)

// A module retuned amid its work does as it would have done with these settings from the start, as far as the
// past does not show; and attempts that are no longer allowed end what waits.
func TestRetuned(t *testing.T) {
	set := Settings{Fleet: 1, Workers: 4, MaxHeld: 100, MaxAttempts: 4, Tick: time.Millisecond, Kinds: []Kind{{PerCall: 1}},
		Rules:       Rules{OverloadFactor: 2, Fall: time.Second, ColdFrom: 0.2, Cold: 5 * time.Second},
		Classes:     []Class{{Name: "a", Aim: time.Second, Deadline: 10 * time.Second, Worth: 1, Effect: Safe}},
		ReportLimit: -1}
	c, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	sent := func(acts []Action) (n int) {
		for _, a := range acts {
			if _, ok := a.(Send); ok {
				n++
			}
		}
		return n
	}
	c.Step(0, []Event{Listing{Whole: true, Hosts: []Host{{Addr: "h", State: Ready}}}, Arrival{ID: "m", Left: 10 * time.Second}})
	c.Step(1, []Event{Result{ID: "m", Host: "h", Outcome: Refused, Wait: 2 * time.Second}})
	more := set
	more.Classes = append(slices.Clone(set.Classes), Class{Name: "b", Aim: 3 * time.Second, Deadline: 20 * time.Second, Worth: 9, Effect: Unsafe})
	if got := sent(c.Step(2, []Event{Retuned{more}})); got != 0 {
		t.Errorf("%d sends in a wait", got)
	}
	if c.maxTimeout != 3*time.Second || c.maxValue != 9 || len(c.shedOrders) != 2 || len(c.destinations[0].sheddable) != 2 {
		t.Errorf("bound %v, most worth %v, %d crowds, %d places", c.maxTimeout, c.maxValue, len(c.shedOrders), len(c.destinations[0].sheddable))
	}
	c.Step(3, []Event{Arrival{ID: "n", Class: 1, Left: 20 * time.Second}})
	for name, bad := range map[string]func(*Settings){
		"no attempts":  func(s *Settings) { s.MaxAttempts = 0 },
		"a class less": func(s *Settings) { s.Classes = s.Classes[:1] },
		"a class changed": func(s *Settings) {
			s.Classes = slices.Clone(s.Classes)
			s.Classes[0].Effect = Unsafe
		},
	} {
		s := more
		bad(&s)
		c.Step(4, []Event{Retuned{s}})
		if c.cfg.MaxAttempts != 4 || len(c.cfg.Classes) != 2 || c.cfg.Classes[0].Effect != Safe {
			t.Errorf("%s was taken", name)
		}
	}
	fewer := more
	fewer.MaxAttempts = 1
	acts := c.Step(5, []Event{Retuned{fewer}})
	if !slices.ContainsFunc(acts, func(a Action) bool { r, ok := a.(Refuse); return ok && r.ID == "m" }) {
		t.Errorf("a message that has used up its attempts waits on: %v", acts)
	}
	if n := sent(c.Step(3*time.Second, []Event{Woken{}})); n != 1 {
		t.Errorf("%d sends after the wait, want the other message's", n)
	}
}
