package drain

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// finished represents a Tick that ended the drain.
const finished Result = "over"

func newTestTable() *StateTable {
	table := NewStateTable()
	table.SetPartners(map[string][]string{"pay": {"pay-1", "pay-2"}, "post": {"post-1"}})
	return table
}

func parseTarget(t *testing.T, s string) Target {
	t.Helper()
	got, err := ParseTarget(s)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Each line is one command with its specified result.
func TestCommandResults(t *testing.T) {
	type step struct {
		command, target string
		timeout         time.Duration
		after           time.Duration // since the previous step
		result          Result
		err             error
		open            string // endpoints open after it
		phase           Phase
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
		"undrain of a partner leaves entries of its endpoints": {
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
		"undrain in progress": {
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
		"invalid time-outs and names": {
			{"drain", "relay", time.Millisecond, 0, "", ErrInvalidTimeout, all, Serving},
			{"stop", "", 0, 0, "", ErrInvalidTimeout, all, Serving},
			{"drain", "endpoint:nobody", 0, 0, "", ErrUnknownTarget, all, Serving},
			{"undrain", "partner:nobody", 0, 0, "", ErrUnknownTarget, all, Serving}},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := newTestTable(), t0
			for i, s := range steps {
				now = now.Add(s.after)
				var change Change
				var err error
				switch s.command {
				case "drain", "drain last":
					change, err = table.Drain(parseTarget(t, s.target), "test", s.timeout, s.command == "drain last", now)
				case "undrain":
					change, err = table.Undrain(parseTarget(t, s.target), now)
				case "stop":
					change, err = table.Stop(s.timeout, now)
				case "tick":
					if table.Tick(1, now) {
						change.Result = finished
					}
				}
				if change.Result != s.result || !errors.Is(err, s.err) {
					t.Fatalf("step %d, %s %s: %q, %v; want %q, %v", i, s.command, s.target, change.Result, err, s.result, s.err)
				}
				if got := openEndpoints(table); got != s.open {
					t.Fatalf("step %d, %s %s: open are %q, want %q", i, s.command, s.target, got, s.open)
				}
				if phase, _ := table.Phase(); phase != s.phase {
					t.Fatalf("step %d, %s %s: phase %q, want %q", i, s.command, s.target, phase, s.phase)
				}
			}
		})
	}
}

func openEndpoints(table *StateTable) (all string) {
	for _, e := range []string{"pay-1", "pay-2", "post-1"} {
		if table.Open(e) {
			if all != "" {
				all += " "
			}
			all += e
		}
	}
	return all
}

func TestStopTakesEarlierDeadline(t *testing.T) {
	table := newTestTable()
	table.Drain(Target{Relay, ""}, "test", 5*time.Second, false, t0)
	table.Stop(time.Minute, t0.Add(time.Second))
	if _, until := table.Phase(); !until.Equal(t0.Add(5 * time.Second)) {
		t.Errorf("the stop ends at %v, want the earlier deadline of the drain", until)
	}
	table = newTestTable()
	table.Drain(Target{Relay, ""}, "test", 5*time.Second, false, t0)
	if !table.Tick(0, t0) {
		t.Error("a drain with nothing pending has not ended")
	}
	table.Stop(time.Minute, t0.Add(time.Second))
	if _, until := table.Phase(); !until.Equal(t0.Add(time.Second + MinTimeout)) {
		t.Errorf("the stop of a drained relay ends at %v, want %v for calls in flight", until, MinTimeout)
	}
}

// A restart after the clock was set back does not prolong a drain.
func TestRestoreBoundsDeadlineWhenClockWasSetBack(t *testing.T) {
	for _, back := range []time.Duration{0, time.Hour} {
		table := newTestTable()
		now := t0.Add(time.Second - back)
		table.Restore(Entry{Target{Relay, ""}, t0, "test", 10 * time.Second}, now)
		phase, until := table.Phase()
		if phase != Draining || until.Sub(now) > 10*time.Second || until.Sub(now) < 9*time.Second {
			t.Errorf("clock back by %v: %s until %v after the start", back, phase, until.Sub(now))
		}
		if table.AcceptsMessages() {
			t.Error("a draining relay accepts messages")
		}
	}
}

func TestEntriesOutlastPartnerList(t *testing.T) {
	table := newTestTable()
	table.Drain(Target{Endpoint, "pay-1"}, "test", 0, false, t0)
	table.SetPartners(map[string][]string{"post": {"post-1"}})
	table.SetPartners(map[string][]string{"pay": {"pay-1", "pay-2"}, "post": {"post-1"}})
	if table.Open("pay-1") {
		t.Error("an endpoint that left the list and came back is open again")
	}
	table.SetPartners(map[string][]string{"post": {"post-1"}})
	if c, err := table.Undrain(Target{Endpoint, "pay-1"}, t0); err != nil || c.Result != ResultUndrained {
		t.Errorf("undrain of what is not listed: %v, %v", c.Result, err)
	}
}

// After any sequence of commands an endpoint is open exactly if neither it nor its partner has an entry, the records
// restored in order give the same table, and a reverted command leaves no trace.
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
		table := NewStateTable()
		table.SetPartners(members)
		now, recorded, model := t0, map[Target]Entry{}, map[Target]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			on := rapid.SampledFrom(targets).Draw(t, "target")
			before, entriesBefore := table.Snapshot(), table.Entries()
			var change Change
			var err error
			if rapid.Bool().Draw(t, "drain") {
				isLast := on.Scope == Endpoint && table.IsLastOpen(on.Name)
				allow := rapid.Bool().Draw(t, "allow")
				change, err = table.Drain(on, "test", 0, allow, now)
				if isLast && !allow && !model[on] && !errors.Is(err, ErrLastEndpoint) {
					t.Fatalf("drain of the last endpoint %s: %v", on, err)
				}
				if err == nil {
					model[on] = true
				}
			} else if change, err = table.Undrain(on, now); err == nil {
				delete(model, on)
			}
			if err == nil && rapid.IntRange(0, 9).Draw(t, "fails") == 0 { // the record failed
				table.Revert(before)
				if got := table.Entries(); !slices.Equal(got, entriesBefore) {
					t.Fatalf("reverted to %v, want %v", got, entriesBefore)
				}
				model = map[Target]bool{}
				for _, m := range table.Entries() {
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
		restored := NewStateTable()
		restored.SetPartners(members)
		for _, m := range recorded {
			restored.Restore(m, now)
		}
		if !slices.Equal(restored.Entries(), table.Entries()) {
			t.Fatalf("from the records: %v, in memory: %v", restored.Entries(), table.Entries())
		}
		for p, all := range members {
			for _, e := range all {
				if want := !model[Target{Endpoint, e}] && !model[Target{Partner, p}]; table.Open(e) != want || restored.Open(e) != want {
					t.Fatalf("%s is open: %v, after a restart %v; want %v", e, table.Open(e), restored.Open(e), want)
				}
			}
		}
		if table.AcceptsMessages() == model[Target{Relay, ""}] {
			t.Fatalf("accepts messages: %v", table.AcceptsMessages())
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
