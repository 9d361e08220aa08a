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

func book() *Book {
	b := NewBook()
	b.Members(map[string][]string{"pay": {"pay-1", "pay-2"}, "post": {"post-1"}})
	return b
}

func target(t *testing.T, s string) Target {
	t.Helper()
	got, err := ParseTarget(s)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Each line of a table is one command with its defined result.
func TestCommands(t *testing.T) {
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
			{"drain", "endpoint:pay-1", 0, 0, Begun, nil, "pay-2 post-1", Serving},
			{"drain", "endpoint:pay-1", 0, time.Second, Already, nil, "pay-2 post-1", Serving},
			{"undrain", "endpoint:pay-1", 0, 0, Undone, nil, all, Serving},
			{"undrain", "endpoint:pay-1", 0, 0, Not, nil, all, Serving}},
		"last endpoint": {
			{"drain", "endpoint:post-1", 0, 0, "", ErrLast, all, Serving},
			{"drain", "endpoint:pay-1", 0, 0, Begun, nil, "pay-2 post-1", Serving},
			{"drain", "endpoint:pay-2", 0, 0, "", ErrLast, "pay-2 post-1", Serving},
			{"drain last", "endpoint:pay-2", 0, 0, Begun, nil, "post-1", Serving}},
		"partner over endpoint": {
			{"drain", "endpoint:pay-1", 0, 0, Begun, nil, "pay-2 post-1", Serving},
			{"drain", "partner:pay", 0, 0, Begun, nil, "post-1", Serving},
			{"undrain", "endpoint:pay-1", 0, 0, StillBy, nil, "post-1", Serving},
			{"undrain", "endpoint:pay-1", 0, 0, StillBy, nil, "post-1", Serving},
			{"undrain", "partner:pay", 0, 0, Undone, nil, all, Serving}},
		"partner leaves its endpoints' marks": {
			{"drain", "endpoint:pay-1", 0, 0, Begun, nil, "pay-2 post-1", Serving},
			{"drain", "partner:pay", 0, 0, Begun, nil, "post-1", Serving},
			{"undrain", "partner:pay", 0, 0, Undone, nil, "pay-2 post-1", Serving}},
		"relay": {
			{"drain", "relay", 10 * time.Second, 0, Begun, nil, all, Draining},
			{"drain", "relay", 20 * time.Second, time.Second, Already, nil, all, Draining},
			{"drain", "relay", 2 * time.Second, time.Second, Shortened, nil, all, Draining},
			{"tick", "", 0, time.Second, "", nil, all, Draining},
			{"tick", "", 0, time.Second, finished, nil, all, Drained},
			{"tick", "", 0, time.Second, "", nil, all, Drained},
			{"drain", "relay", time.Second, 0, Already, nil, all, Drained},
			{"undrain", "relay", 0, 0, Undone, nil, all, Serving}},
		"undrain amid": {
			{"drain", "relay", 10 * time.Second, 0, Begun, nil, all, Draining},
			{"undrain", "relay", 0, time.Second, Undone, nil, all, Serving},
			{"tick", "", 0, time.Minute, "", nil, all, Serving}},
		"stop during a drain": {
			{"drain", "relay", 5 * time.Second, 0, Begun, nil, all, Draining},
			{"stop", "", time.Minute, time.Second, StopBegun, nil, all, Stopping},
			{"stop", "", time.Minute, time.Second, StopAgain, nil, all, Stopping},
			{"undrain", "relay", 0, 0, "", ErrStopping, all, Stopping},
			{"drain", "relay", 0, 0, "", ErrStopping, all, Stopping},
			{"drain", "endpoint:pay-1", 0, 0, Begun, nil, "pay-2 post-1", Stopping}},
		"bad bounds and names": {
			{"drain", "relay", time.Millisecond, 0, "", ErrWithin, all, Serving},
			{"stop", "", 0, 0, "", ErrWithin, all, Serving},
			{"drain", "endpoint:nobody", 0, 0, "", ErrUnknown, all, Serving},
			{"undrain", "partner:nobody", 0, 0, "", ErrUnknown, all, Serving}},
	} {
		t.Run(name, func(t *testing.T) {
			b, now := book(), t0
			for i, s := range steps {
				now = now.Add(s.after)
				var change Change
				var err error
				switch s.do {
				case "drain", "drain last":
					change, err = b.Drain(target(t, s.on), "test", s.within, s.do == "drain last", now)
				case "undrain":
					change, err = b.Undrain(target(t, s.on), now)
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
				if got := open(b); got != s.open {
					t.Fatalf("step %d, %s %s: open are %q, want %q", i, s.do, s.on, got, s.open)
				}
				if phase, _ := b.Phase(); phase != s.phase {
					t.Fatalf("step %d, %s %s: phase %q, want %q", i, s.do, s.on, phase, s.phase)
				}
			}
		})
	}
}

func open(b *Book) (all string) {
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

func TestStopEnds(t *testing.T) {
	b := book()
	b.Drain(Target{Relay, ""}, "test", 5*time.Second, false, t0)
	b.Stop(time.Minute, t0.Add(time.Second))
	if _, until := b.Phase(); !until.Equal(t0.Add(5 * time.Second)) {
		t.Errorf("the stop ends at %v, want the sooner end of the drain", until)
	}
	b = book()
	b.Drain(Target{Relay, ""}, "test", 5*time.Second, false, t0)
	if !b.Tick(0, t0) {
		t.Error("a drain with nothing held is not over")
	}
	b.Stop(time.Minute, t0.Add(time.Second))
	if _, until := b.Phase(); !until.Equal(t0.Add(time.Second + LeastWithin)) {
		t.Errorf("the stop of a drained relay ends at %v, want %v for calls out", until, LeastWithin)
	}
}

// Guards against a drain that a restart with a wrong clock makes endless.
func TestRestore(t *testing.T) {
	for _, back := range []time.Duration{0, time.Hour} {
		b := book()
		now := t0.Add(time.Second - back)
		b.Restore(Mark{Target{Relay, ""}, t0, "test", 10 * time.Second}, now)
		phase, until := b.Phase()
		if phase != Draining || until.Sub(now) > 10*time.Second || until.Sub(now) < 9*time.Second {
			t.Errorf("clock back by %v: %s until %v after the start", back, phase, until.Sub(now))
		}
		if b.TakesOn() {
			t.Error("a draining relay takes messages on")
		}
	}
}

func TestMarksOutlastTheList(t *testing.T) {
	b := book()
	b.Drain(Target{Endpoint, "pay-1"}, "test", 0, false, t0)
	b.Members(map[string][]string{"post": {"post-1"}})
	b.Members(map[string][]string{"pay": {"pay-1", "pay-2"}, "post": {"post-1"}})
	if b.Open("pay-1") {
		t.Error("an endpoint that left the list and came back is open again")
	}
	b.Members(map[string][]string{"post": {"post-1"}})
	if c, err := b.Undrain(Target{Endpoint, "pay-1"}, t0); err != nil || c.Result != Undone {
		t.Errorf("undrain of what is not listed: %v, %v", c.Result, err)
	}
}

// Whatever is drained and undrained in whatever order: an endpoint is open exactly if neither it nor its
// partner is marked, the records replayed in order give the same book, and what is reverted is as before.
func TestRandomCommands(t *testing.T) {
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
		b := NewBook()
		b.Members(members)
		now, recorded, model := t0, map[Target]Mark{}, map[Target]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			on := rapid.SampledFrom(targets).Draw(t, "target")
			before, wasOpen := b.Snapshot(), b.Marks()
			var change Change
			var err error
			if rapid.Bool().Draw(t, "drain") {
				last := on.Scope == Endpoint && b.Last(on.Name)
				allow := rapid.Bool().Draw(t, "allow")
				change, err = b.Drain(on, "test", 0, allow, now)
				if last && !allow && !model[on] && !errors.Is(err, ErrLast) {
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
				if got := b.Marks(); !slices.Equal(got, wasOpen) {
					t.Fatalf("reverted to %v, want %v", got, wasOpen)
				}
				model = map[Target]bool{}
				for _, m := range b.Marks() {
					model[m.Target] = true
				}
				continue
			}
			for _, m := range change.Set {
				recorded[m.Target] = m
			}
			for _, u := range change.Unset {
				delete(recorded, u)
			}
		}
		again := NewBook()
		again.Members(members)
		for _, m := range recorded {
			again.Restore(m, now)
		}
		if !slices.Equal(again.Marks(), b.Marks()) {
			t.Fatalf("from the records: %v, in memory: %v", again.Marks(), b.Marks())
		}
		for p, all := range members {
			for _, e := range all {
				if want := !model[Target{Endpoint, e}] && !model[Target{Partner, p}]; b.Open(e) != want || again.Open(e) != want {
					t.Fatalf("%s is open: %v, after a restart %v; want %v", e, b.Open(e), again.Open(e), want)
				}
			}
		}
		if b.TakesOn() == model[Target{Relay, ""}] {
			t.Fatalf("takes on: %v", b.TakesOn())
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
