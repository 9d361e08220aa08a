package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/quota"
	"larchrouter/internal/relay/settings"
)

func set(index, fleet int, shares bool) settings.Settings {
	return settings.Settings{Shares: shares, Peers: true, Life: uint32(index + 1), Limits: map[int]quota.Limit{1: {Rate: 40, Burst: 4}},
		Settings: choice.Settings{Index: index, Fleet: fleet, Workers: 8, MaxHeld: 100, MaxAttempts: 3, Tick: 5 * time.Millisecond, ReportLimit: -1,
			Classes: config.DefaultClasses(), Rules: config.DefaultRules(), Kinds: []choice.Kind{{Apart: true, PerCall: 1}}, ZoneFee: []float64{0},
			IdleConn: 5 * time.Second, Cancels: true}}
}

// play leads the cores of a fleet on in virtual time, with hosts that serve in 10 ms and a message for each relay every 20 ms.
// Spoil may change what relays hear. It returns what all did, and how many calls went out.
func play(t *testing.T, n int, shares bool, span time.Duration, spoil func(now time.Duration, to int) []choice.Event) (log string, calls int) {
	t.Helper()
	type due struct {
		at time.Duration
		to int
		e  choice.Event
	}
	var all []*Core
	var wire []due
	for i := range n {
		c, err := New(set(i, n, shares), uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		wire = append(wire, due{0, i, choice.Listing{Whole: true, Hosts: []choice.Host{{Addr: "a", Dest: 1, State: choice.Ready}, {Addr: "b", Dest: 1, State: choice.Ready}}}})
	}
	wake := make([]time.Duration, n)
	for now := time.Duration(0); now < span; now += time.Millisecond {
		for i, c := range all {
			var in []choice.Event
			left := wire[:0]
			for _, d := range wire {
				if d.to == i && d.at <= now {
					in = append(in, d.e)
				} else {
					left = append(left, d)
				}
			}
			wire = left
			if now%(20*time.Millisecond) == 0 && now > 0 {
				in = append(in, choice.Arrival{ID: fmt.Sprint(i, "-", now), Class: 1, Dest: 1, Left: 2 * time.Second})
			}
			if spoil != nil {
				in = append(in, spoil(now, i)...)
			}
			if wake[i] > 0 && wake[i] <= now {
				wake[i] = 0
				in = append(in, choice.Woken{})
			}
			if len(in) == 0 {
				continue
			}
			for _, a := range c.Step(now, in) {
				switch a := a.(type) {
				case choice.Send:
					calls++
					log += fmt.Sprintln(now, i, "calls", a.Host, a.ID)
					wire = append(wire, due{now + 10*time.Millisecond, i, choice.Result{ID: a.ID, Host: a.Host, Outcome: choice.Served, Took: 10 * time.Millisecond}})
				case choice.Tell:
					if a.To == i || a.To < 0 || a.To >= n {
						t.Fatalf("relay %d of %d tells %d", i, n, a.To)
					}
					wire = append(wire, due{now + time.Millisecond, a.To, choice.Heard{From: i, Note: a.Note}})
				case choice.Wake:
					if at := now + max(a.After, time.Millisecond); wake[i] == 0 || at < wake[i] {
						wake[i] = at
					}
				case choice.Want, choice.Spent:
					t.Fatalf("%T is between the two alone", a)
				}
			}
		}
	}
	return log, calls
}

// The same events give the same actions, and calls keep to a limit that was told, whether a relay is alone or one of a fleet.
func TestToldLimitThroughBoth(t *testing.T) {
	for _, n := range []int{1, 3} {
		log, calls := play(t, n, true, 4*time.Second, nil)
		again, _ := play(t, n, true, 4*time.Second, nil)
		if log != again {
			t.Errorf("%d relays: the same events gave other actions", n)
		}
		if calls < 100 || calls > 4*40+4 { // a start waits for a lease, and 50 messages a second come for each
			t.Errorf("%d relays: %d calls in 4 s with 40 a second told", n, calls)
		}
	}
}

// Without a fleet and limits the decisions are those of the relay alone: nothing is told, nothing is waited for.
func TestApart(t *testing.T) {
	if _, calls := play(t, 3, false, 2*time.Second, func(time.Duration, int) []choice.Event { return nil }); calls < 250 {
		t.Errorf("%d calls for 297 messages", calls)
	}
	c, err := New(set(0, 3, false), 1)
	if err != nil {
		t.Fatal(err)
	}
	if c.Granted() || c.Parts() != nil || c.Routes() != nil {
		t.Error("a relay apart has parts or routes")
	}
	c.Resize(3, nil)
	c.Tell(nil)
}

// Any bytes, notes that were heard before, and senders that are not there harm nothing: the limit holds, and calls go on.
func TestBytesThatAreNoNotes(t *testing.T) {
	for seed := range uint64(5) {
		draw := rand.New(rand.NewPCG(seed, 1))
		var kept [][]byte
		_, calls := play(t, 3, true, 4*time.Second, func(now time.Duration, to int) (in []choice.Event) {
			note := make([]byte, draw.IntN(80))
			for i := range note {
				note[i] = byte(draw.Uint32())
			}
			kept = append(kept, note)
			if draw.IntN(10) == 0 {
				in = append(in, choice.Heard{From: draw.IntN(5) - 1, Note: kept[draw.IntN(len(kept))]})
			}
			return in
		})
		if calls < 60 || calls > 4*40+4 {
			t.Errorf("seed %d: %d calls in 4 s with 40 a second told", seed, calls)
		}
	}
}
