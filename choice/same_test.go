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
	second := time.Second
	return choice.Settings{Fleet: 2, Workers: 8, MaxAttempts: 4, Tick: tick, Cancels: true, ReportLimit: -1,
		Classes: []choice.Class{
			{Name: "safe", Aim: 2 * second, Deadline: 10 * second, Worth: 1, LateShare: 0.5},
			{Name: "keyed", Aim: 2 * second, Deadline: 10 * second, Worth: 2, LateShare: 0.5, Effect: choice.Keyed,
				SameZone: true, Window: 3 * second},
			{Name: "unsafe", Aim: second, Deadline: 8 * second, Worth: 4, LateShare: 0.2, Effect: choice.Unsafe},
			{Name: "ordered", Aim: 2 * second, Deadline: 10 * second, Worth: 1, LateShare: 0.5, Effect: choice.Keyed,
				Window: 5 * second, Ordered: true},
		},
		Kinds:   []choice.Kind{{PerCall: 1}, {PerCall: 3}, {PerCall: 1, Apart: true}},
		ZoneFee: []float64{0, 0.05},
		Rules: choice.Rules{AnswerGrace: 20 * time.Millisecond, DrainGrace: second, OverloadFactor: 2, Fall: 2 * second, ColdFrom: 0.2,
			Cold: 10 * second, OrderSettle: 100 * time.Millisecond}}
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
			total := comparison{}
			for seed := range uint64(*worlds) {
				total.compare(t, cfg, seed, tc.rate, tc.held)
			}
			if total.sent < 100 || total.answered < 10 {
				t.Errorf("%d sends and %d answers only: too few for a comparison", total.sent, total.answered)
			}
			t.Logf("%d worlds: %d sends, %d answers, %d ticks without a step", *worlds,
				total.sent, total.answered, total.skipped)
		})
	}
}

// comparison counts what the compared worlds had.
type comparison struct {
	sent, answered, skipped int // skipped are ticks without a step of choice
}

// compare steps choice and the reference through 30 s of one world and compares their actions at every tick.
func (k *comparison) compare(t *testing.T, cfg choice.Settings, seed uint64, rate float64, restored int) {
	t.Helper()
	w := newWorld(seed, cfg, 8, rate)
	chooser, err := choice.New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := reference.New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	wake := time.Duration(0)
	events := append([]choice.Event{w.listing()}, w.restored(restored)...)
	for range 6000 {
		want := plain.Step(w.now, append(events, choice.Woken{}))
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
			k.skipped++
		}
		if describe(got) != describe(want) {
			t.Fatalf("seed %d, at %v after %d sends, stepped: %v\nchoice:\n%s\nreference:\n%s",
				seed, w.now, k.sent, len(events) > 0, describe(got), describe(want))
		}
		if after := k.count(got); after > 0 {
			wake = w.now + after
		}
		w.carryOut(got)
		events = w.applyResults(w.tick())
	}
}

// count counts actions and returns the time to the wake-up that they request, 0 for none.
func (k *comparison) count(actions []choice.Action) (wakeAfter time.Duration) {
	for _, action := range actions {
		switch action := action.(type) {
		case choice.Wake:
			wakeAfter = action.After
		case choice.Send:
			k.sent++
		case choice.Refuse, choice.Fail:
			k.answered++
		}
	}
	return wakeAfter
}
