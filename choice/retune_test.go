package choice

import (
	"slices"
	"testing"
	"time"
)

// After a change of settings the derived values are those of the new settings, invalid changes have no
// effect, and messages without attempts left are answered.
func TestSettingsChangeWithPendingMessages(t *testing.T) {
	set := Settings{Fleet: 1, Workers: 4, MaxHeld: 100, MaxAttempts: 4, Tick: time.Millisecond,
		Kinds:       []Kind{{PerCall: 1}},
		Rules:       Rules{OverloadFactor: 2, Fall: time.Second, ColdFrom: 0.2, Cold: 5 * time.Second},
		Classes:     []Class{{Name: "a", Aim: time.Second, Deadline: 10 * time.Second, Worth: 1, Effect: Safe}},
		ReportLimit: -1}
	chooser, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	sent := func(actions []Action) (sent int) {
		for _, action := range actions {
			if _, ok := action.(Send); ok {
				sent++
			}
		}
		return sent
	}
	hosts := []Host{{Addr: "h", State: Ready}}
	chooser.Step(0, []Event{Listing{Whole: true, Hosts: hosts}, Arrival{ID: "m", Left: 10 * time.Second}})
	chooser.Step(1, []Event{Result{ID: "m", Host: "h", Outcome: Refused, Wait: 2 * time.Second}})
	more := set
	more.Classes = append(slices.Clone(set.Classes),
		Class{Name: "b", Aim: 3 * time.Second, Deadline: 20 * time.Second, Worth: 9, Effect: Unsafe})
	if got := sent(chooser.Step(2, []Event{Retuned{more}})); got != 0 {
		t.Errorf("%d sends within a retry-after", got)
	}
	orders, counts := len(chooser.shedOrders), len(chooser.destinations[0].sheddable)
	if chooser.maxTimeout != 3*time.Second || chooser.maxValue != 9 || orders != 2 || counts != 2 {
		t.Errorf("maximum time-out %v, maximum value %v, %d shed orders, %d counts",
			chooser.maxTimeout, chooser.maxValue, orders, counts)
	}
	chooser.Step(3, []Event{Arrival{ID: "n", Class: 1, Left: 20 * time.Second}})
	for name, bad := range map[string]func(*Settings){
		"no attempts":  func(changed *Settings) { changed.MaxAttempts = 0 },
		"a class less": func(changed *Settings) { changed.Classes = changed.Classes[:1] },
		"a class changed": func(changed *Settings) {
			changed.Classes = slices.Clone(changed.Classes)
			changed.Classes[0].Effect = Unsafe
		},
	} {
		cfg := more
		bad(&cfg)
		chooser.Step(4, []Event{Retuned{cfg}})
		if chooser.cfg.MaxAttempts != 4 || len(chooser.cfg.Classes) != 2 || chooser.cfg.Classes[0].Effect != Safe {
			t.Errorf("%s was taken", name)
		}
	}
	fewer := more
	fewer.MaxAttempts = 1
	actions := chooser.Step(5, []Event{Retuned{fewer}})
	if !slices.ContainsFunc(actions, func(action Action) bool { refuse, ok := action.(Refuse); return ok && refuse.ID == "m" }) {
		t.Errorf("a message without attempts left stays queued: %v", actions)
	}
	if sent := sent(chooser.Step(3*time.Second, []Event{Woken{}})); sent != 1 {
		t.Errorf("%d sends after the retry-after, want the other message's", sent)
	}
}
