package choice_test

import (
	"flag"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/choice/internal/reference"
)

var worlds = flag.Int("worlds", 4, "simulated worlds for each setting in which choice is compared with the reference")

func worldSettings() choice.Settings {
	s := time.Second
	return choice.Settings{Fleet: 2, Workers: 8, MaxAttempts: 4, Tick: tick, Cancels: true, ReportLimit: -1,
		Classes: []choice.Class{
			{Name: "safe", Aim: 2 * s, Deadline: 10 * s, Worth: 1, LateShare: 0.5},
			{Name: "keyed", Aim: 2 * s, Deadline: 10 * s, Worth: 2, LateShare: 0.5, Effect: choice.Keyed,
				SameZone: true, Window: 3 * s},
			{Name: "unsafe", Aim: s, Deadline: 8 * s, Worth: 4, LateShare: 0.2, Effect: choice.Unsafe},
			{Name: "ordered", Aim: 2 * s, Deadline: 10 * s, Worth: 1, LateShare: 0.5, Effect: choice.Keyed,
				Window: 5 * s, Ordered: true},
		},
		Kinds:   []choice.Kind{{PerCall: 1}, {PerCall: 3}, {PerCall: 1, Apart: true}},
		ZoneFee: []float64{0, 0.05},
		Rules: choice.Rules{AnswerGrace: 20 * time.Millisecond, DrainGrace: s, OverloadFactor: 2, Fall: 2 * s, ColdFrom: 0.2,
			Cold: 10 * s, OrderSettle: 100 * time.Millisecond}}
}

// Choice gives the same actions as the reference in simulated worlds. It is stepped only with events and at
// the wake-ups that it requested; the reference is stepped at every tick.
func TestSameAsReference(t *testing.T) {
	for _, tc := range []struct {
		name   string
		rate   float64 // arrivals a second
		held   int     // messages restored at the start
		change func(*choice.Settings)
	}{
		{"calm", 30, 20, func(cfg *choice.Settings) { cfg.Workers = 40 }},
		{"few slots", 60, 20, func(cfg *choice.Settings) { cfg.Workers = 2 }},
		{"overload", 120, 20, func(cfg *choice.Settings) {}},
		{"no calling off", 60, 20, func(cfg *choice.Settings) { cfg.Cancels = false }},
		{"listed rates", 60, 20, func(cfg *choice.Settings) { cfg.Listed = true }},
		{"halving worth", 90, 20, func(cfg *choice.Settings) { cfg.Halving = true }},
		{"small room", 90, 20, func(cfg *choice.Settings) { cfg.MaxHeld = 60 }},
		{"room", 200, 20, func(cfg *choice.Settings) { cfg.MaxHeld = 600 }},
		{"alone", 60, 20, func(cfg *choice.Settings) { cfg.Fleet = 1; cfg.Workers = 16 }},
		{"held", 30, 3000, func(cfg *choice.Settings) { cfg.Workers = 32 }},
		{"large fleet", 20, 20, func(cfg *choice.Settings) { cfg.Fleet = 40 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			cfg := worldSettings()
			tc.change(&cfg)
			sent, ended, slept := 0, 0, 0
			for seed := range uint64(*worlds) {
				w := newWorld(seed, cfg, 8, tc.rate)
				chooser, err := choice.New(cfg, seed)
				if err != nil {
					t.Fatal(err)
				}
				reference, err := reference.New(cfg, seed)
				if err != nil {
					t.Fatal(err)
				}
				wake := time.Duration(0)
				events := append([]choice.Event{w.listing()}, w.restored(tc.held)...)
				for range 6000 { // 30 s
					want := reference.Step(w.now, append(events, choice.Woken{}))
					var got []choice.Action
					if wake > 0 && w.now >= wake {
						events = append(events, choice.Woken{})
					}
					if len(events) > 0 {
						if wake <= w.now {
							wake = 0
						}
						got = chooser.Step(w.now, events)
					} else {
						slept++
					}
					if describe(got) != describe(want) {
						t.Fatalf("seed %d, at %v after %d sends, stepped: %v\nchoice:\n%s\nreference:\n%s",
							seed, w.now, sent, len(events) > 0, describe(got), describe(want))
					}
					for _, a := range got {
						switch a := a.(type) {
						case choice.Wake:
							wake = w.now + a.After
						case choice.Send:
							sent++
						case choice.Refuse, choice.Fail:
							ended++
						}
					}
					w.carryOut(got)
					events = w.applyResults(w.tick())
				}
			}
			if sent < 100 || ended < 10 {
				t.Errorf("%d sends and %d answers only: too few for a comparison", sent, ended)
			}
			t.Logf("%d worlds: %d sends, %d answers, %d ticks without a step", *worlds, sent, ended, slept)
		})
	}
}
