package drain

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// finished stands for a Tick that says that the drain is over.
const finished Result = "over"

func newTestTable() *StateTable {
	b := NewStateTable()
	b.SetPartners(map[string][]string{"pay": {"pay-1", "pay-2"}, "post": {"post-1"}})
	return b
}

func parseTarget(t *testing.T, s string) Target {
	t.Helper()
	got, err := ParseTarget(s)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Each line of a table is one command with its defined result.
func TestCommandResults(t *testing.T) {
	type step struct {
		do, on string
		within time.Duration
		after  time.Duration // since the step before
		result Result
		err    error
		open   string // endpoints open after it
		phase  Phase
	}
	const all = "pay-1 pay-2 post-1"
	for name, steps := range map[string][]step{
		"second drain": {
			{"drain", "endpoint:pay-1", 0, 0, ResultDrained, nil, "pay-2 post-1", Serving},
			{"drain", "endpoint:pay-1", 0, time.Second, ResultAlreadyDrained, nil, "pay-2 post-1", Serving},
			{"undrain", "endpoint:pay-1", 0, 0, ResultUndrained, nil, all, Serving},
			{"undrain", "endpoint:pay-1", 0, 0, ResultNotDrained, nil, all, Serving}},
		"last endpoint": {
			{"drain", "endpoint:post-1", 0, 0, "", ErrLastEndpoint, all, Serving},
			{"drain", "endpoint:pay-1", 0, 0, ResultDrained, nil, "pay-2 post-1", Serving},
			{"drain", "endpoint:pay-2", 0, 0, "", ErrLastEndpoint, "pay-2 post-1", Serving},
			{"drain last", "endpoint:pay-2", 0, 0, ResultDrained, nil, "post-1", Serving}},
		"partner over endpoint": {
			{"drain", "endpoint:pay-1", 0, 0, ResultDrained, nil, "pay-2 post-1", Serving},
			{"drain", "partner:pay", 0, 0, ResultDrained, nil, "post-1", Serving},
			{"undrain", "endpoint:pay-1", 0, 0, ResultPartnerDrained, nil, "post-1", Serving},
			{"undrain", "endpoint:pay-1", 0, 0, ResultPartnerDrained, nil, "post-1", Serving},
			{"undrain", "partner:pay", 0, 0, ResultUndrained, nil, all, Serving}},
		"partner leaves its endpoints' marks": {
			{"drain", "endpoint:pay-1", 0, 0, ResultDrained, nil, "pay-2 post-1", Serving},
			{"drain", "partner:pay", 0, 0, ResultDrained, nil, "post-1", Serving},
			{"undrain", "partner:pay", 0, 0, ResultUndrained, nil, "pay-2 post-1", Serving}},
		"relay": {
			{"drain", "relay", 10 * time.Second, 0, ResultDrained, nil, all, Draining},
			{"drain", "relay", 20 * time.Second, time.Second, ResultAlreadyDrained, nil, all, Draining},
			{"drain", "relay", 2 * time.Second, time.Second, ResultShortened, nil, all, Draining},
			{"tick", "", 0, time.Second, "", nil, all, Draining},
			{"tick", "", 0, time.Second, finished, nil, all, Drained},
			{"tick", "", 0, time.Second, "", nil, all, Drained},
			{"drain", "relay", time.Second, 0, ResultAlreadyDrained, nil, all, Drained},
			{"undrain", "relay", 0, 0, ResultUndrained, nil, all, Serving}},
		"undrain amid": {
			{"drain", "relay", 10 * time.Second, 0, ResultDrained, nil, all, Draining},
			{"undrain", "relay", 0, time.Second, ResultUndrained, nil, all, Serving},
			{"tick", "", 0, time.Minute, "", nil, all, Serving}},
		"stop during a drain": {
			{"drain", "relay", 5 * time.Second, 0, ResultDrained, nil, all, Draining},
			{"stop", "", time.Minute, time.Second, ResultStopping, nil, all, Stopping},
			{"stop", "", time.Minute, time.Second, ResultAlreadyStopping, nil, all, Stopping},
			{"undrain", "relay", 0, 0, "", ErrStopping, all, Stopping},
			{"drain", "relay", 0, 0, "", ErrStopping, all, Stopping},
			{"drain", "endpoint:pay-1", 0, 0, ResultDrained, nil, "pay-2 post-1", Stopping}},
		"bad bounds and names": {
			{"drain", "relay", time.Millisecond, 0, "", ErrInvalidTimeout, all, Serving},
			{"stop", "", 0, 0, "", ErrInvalidTimeout, all, Serving},
			{"drain", "endpoint:nobody", 0, 0, "", ErrUnknownTarget, all, Serving},
			{"undrain", "partner:nobody", 0, 0, "", ErrUnknownTarget, all, Serving}},
	} {
		t.Run(name, func(t *testing.T) {
			b, now := newTestTable(), t0
			for i, s := range steps {
				now = now.Add(s.after)
				var change Change
				var err error
				switch s.do {
				case "drain", "drain last":
					change, err = b.Drain(parseTarget(t, s.on), "test", s.within, s.do == "drain last", now)
				case "undrain":
					change, err = b.Undrain(parseTarget(t, s.on), now)
				case "stop":
					change, err = b.Stop(s.within, now)
				case "tick":
					if b.Tick(1, now) {
						change.Result = finished
					}
				}
				if change.Result != s.result || !errors.Is(err, s.err) {
					t.Fatalf("step %d, %s %s: %q, %v; want %q, %v", i, s.do, s.on, change.Result, err, s.result, s.err)
				}
				if got := openEndpoints(b); got != s.open {
					t.Fatalf("step %d, %s %s: open are %q, want %q", i, s.do, s.on, got, s.open)
				}
				if phase, _ := b.Phase(); phase != s.phase {
					t.Fatalf("step %d, %s %s: phase %q, want %q", i, s.do, s.on, phase, s.phase)
				}
			}
		})
	}
}

func openEndpoints(b *StateTable) (all string) {
	for _, e := range []string{"pay-1", "pay-2", "post-1"} {
		if b.Open(e) {
			if all != "" {
				all += " "
			}
			all += e
		}
	}
	return all
}

func TestStopTakesEarlierDeadline(t *testing.T) {
	b := newTestTable()
	b.Drain(Target{Relay, ""}, "test", 5*time.Second, false, t0)
	b.Stop(time.Minute, t0.Add(time.Second))
	if _, until := b.Phase(); !until.Equal(t0.Add(5 * time.Second)) {
		t.Errorf("the stop ends at %v, want the sooner end of the drain", until)
	}
	b = newTestTable()
	b.Drain(Target{Relay, ""}, "test", 5*time.Second, false, t0)
	if !b.Tick(0, t0) {
		t.Error("a drain with nothing held is not over")
	}
	b.Stop(time.Minute, t0.Add(time.Second))
	if _, until := b.Phase(); !until.Equal(t0.Add(time.Second + MinTimeout)) {
		t.Errorf("the stop of a drained relay ends at %v, want %v for calls out", until, MinTimeout)
	}
}

// Guards against a drain that a restart with a wrong clock makes endless.
func TestRestoreBoundsDeadlineWhenClockWasSetBack(t *testing.T) {
	for _, back := range []time.Duration{0, time.Hour} {
		b := newTestTable()
		now := t0.Add(time.Second - back)
		b.Restore(Entry{Target{Relay, ""}, t0, "test", 10 * time.Second}, now)
		phase, until := b.Phase()
		if phase != Draining || until.Sub(now) > 10*time.Second || until.Sub(now) < 9*time.Second {
			t.Errorf("clock back by %v: %s until %v after the start", back, phase, until.Sub(now))
		}
		if b.AcceptsMessages() {
			t.Error("a draining relay takes messages on")
		}
	}
}

func TestEntriesOutlastPartnerList(t *testing.T) {
	b := newTestTable()
	b.Drain(Target{Endpoint, "pay-1"}, "test", 0, false, t0)
	b.SetPartners(map[string][]string{"post": {"post-1"}})
	b.SetPartners(map[string][]string{"pay": {"pay-1", "pay-2"}, "post": {"post-1"}})
	if b.Open("pay-1") {
		t.Error("an endpoint that left the list and came back is open again")
	}
	b.SetPartners(map[string][]string{"post": {"post-1"}})
	if c, err := b.Undrain(Target{Endpoint, "pay-1"}, t0); err != nil || c.Result != ResultUndrained {
		t.Errorf("undrain of what is not listed: %v, %v", c.Result, err)
	}
}

// Whatever is drained and undrained in whatever order: an endpoint is open exactly if neither it nor its
// partner is marked, the records replayed in order give the same book, and what is reverted is as before.
func TestRandomCommandsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := map[string][]string{"pay": {"pay-1", "pay-2", "pay-3"}, "post": {"post-1"}, "shop": {"shop-1", "shop-2"}}
		targets := []Target{{Relay, ""}}
		for p, all := range members {
			targets = append(targets, Target{Partner, p})
			for _, e := range all {
				targets = append(targets, Target{Endpoint, e})
			}
		}
		slices.SortFunc(targets, func(a, b Target) int { return len(a.String()) - len(b.String()) })
		b := NewStateTable()
		b.SetPartners(members)
		now, recorded, model := t0, map[Target]Entry{}, map[Target]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			on := rapid.SampledFrom(targets).Draw(t, "target")
			before, wasOpen := b.Snapshot(), b.Entries()
			var change Change
			var err error
			if rapid.Bool().Draw(t, "drain") {
				last := on.Scope == Endpoint && b.IsLastOpen(on.Name)
				allow := rapid.Bool().Draw(t, "allow")
				change, err = b.Drain(on, "test", 0, allow, now)
				if last && !allow && !model[on] && !errors.Is(err, ErrLastEndpoint) {
					t.Fatalf("drain of the last endpoint %s: %v", on, err)
				}
				if err == nil {
					model[on] = true
				}
			} else if change, err = b.Undrain(on, now); err == nil {
				delete(model, on)
			}
			if err == nil && rapid.IntRange(0, 9).Draw(t, "fails") == 0 { // it could not be recorded
				b.Revert(before)
				if got := b.Entries(); !slices.Equal(got, wasOpen) {
					t.Fatalf("reverted to %v, want %v", got, wasOpen)
				}
				model = map[Target]bool{}
				for _, m := range b.Entries() {
					model[m.Target] = true
				}
				continue
			}
			for _, m := range change.Set {
				recorded[m.Target] = m
			}
			for _, u := range change.Removed {
				delete(recorded, u)
			}
		}
		again := NewStateTable()
		again.SetPartners(members)
		for _, m := range recorded {
			again.Restore(m, now)
		}
		if !slices.Equal(again.Entries(), b.Entries()) {
			t.Fatalf("from the records: %v, in memory: %v", again.Entries(), b.Entries())
		}
		for p, all := range members {
			for _, e := range all {
				if want := !model[Target{Endpoint, e}] && !model[Target{Partner, p}]; b.Open(e) != want || again.Open(e) != want {
					t.Fatalf("%s is open: %v, after a restart %v; want %v", e, b.Open(e), again.Open(e), want)
				}
			}
		}
		if b.AcceptsMessages() == model[Target{Relay, ""}] {
			t.Fatalf("takes on: %v", b.AcceptsMessages())
		}
	})
}

func FuzzParseTarget(f *testing.F) {
	for _, s := range []string{"relay", "partner:pay", "endpoint:pay-1", "endpoint:", "relay:x", ":", "partner"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if got, err := ParseTarget(s); err == nil && got.String() != s {
			t.Errorf("%q was read as %q", s, got)
		}
	})
}
