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

// newSettings returns the settings of a relay with one partner that has a limit of 40 calls a second.
func newSettings(index, fleet int, shares bool) settings.Settings {
	return settings.Settings{Shares: shares, Peers: true, Life: uint32(index + 1),
		Limits: map[int]quota.Limit{1: {Rate: 40, Burst: 4}},
		Settings: choice.Settings{Index: index, Fleet: fleet, Workers: 8, MaxHeld: 100, MaxAttempts: 3,
			Tick: 5 * time.Millisecond, ReportLimit: -1,
			Classes: config.DefaultClasses(), Rules: config.DefaultRules(), Kinds: []choice.Kind{{Apart: true, PerCall: 1}},
			ZoneFee:  []float64{0},
			IdleConn: 5 * time.Second, Cancels: true}}
}

// runFleet steps the cores of a fleet in virtual time, with hosts that serve in 10 ms and a message for each
// relay every 20 ms. inject may add events. It returns a log of all calls, and their number.
func runFleet(t *testing.T, n int, shares bool, span time.Duration,
	inject func(now time.Duration, to int) []choice.Event) (log string, calls int) {
	t.Helper()
	type due struct {
		at time.Duration
		to int
		e  choice.Event
	}
	var all []*Core
	var pending []due
	for i := range n {
		c, err := New(newSettings(i, n, shares), uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		pending = append(pending, due{0, i, choice.Listing{Whole: true, Hosts: []choice.Host{
			{Addr: "a", Dest: 1, State: choice.Ready}, {Addr: "b", Dest: 1, State: choice.Ready}}}})
	}
	wake := make([]time.Duration, n)
	for now := time.Duration(0); now < span; now += time.Millisecond {
		for i, c := range all {
			var in []choice.Event
			remaining := pending[:0]
			for _, d := range pending {
				if d.to == i && d.at <= now {
					in = append(in, d.e)
				} else {
					remaining = append(remaining, d)
				}
			}
			pending = remaining
			if now%(20*time.Millisecond) == 0 && now > 0 {
				in = append(in, choice.Arrival{ID: fmt.Sprint(i, "-", now), Class: 1, Dest: 1, Left: 2 * time.Second})
			}
			if inject != nil {
				in = append(in, inject(now, i)...)
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
					result := choice.Result{ID: a.ID, Host: a.Host, Outcome: choice.Served, Took: 10 * time.Millisecond}
					pending = append(pending, due{now + 10*time.Millisecond, i, result})
				case choice.Tell:
					if a.To == i || a.To < 0 || a.To >= n {
						t.Fatalf("relay %d of %d sends to %d", i, n, a.To)
					}
					pending = append(pending, due{now + time.Millisecond, a.To, choice.Heard{From: i, Note: a.Note}})
				case choice.Wake:
					if at := now + max(a.After, time.Millisecond); wake[i] == 0 || at < wake[i] {
						wake[i] = at
					}
				case choice.Want, choice.Spent:
					t.Fatalf("%T is internal to the core", a)
				}
			}
		}
	}
	return log, calls
}

// The same events give the same actions, and calls keep to a configured limit, with one relay and in a fleet.
func TestConfiguredLimitHolds(t *testing.T) {
	for _, n := range []int{1, 3} {
		log, calls := runFleet(t, n, true, 4*time.Second, nil)
		again, _ := runFleet(t, n, true, 4*time.Second, nil)
		if log != again {
			t.Errorf("%d relays: the same events gave other actions", n)
		}
		if calls < 100 || calls > 4*40+4 { // a start waits for a lease, and 50 messages a second come for each
			t.Errorf("%d relays: %d calls in 4 s with a limit of 40 a second", n, calls)
		}
	}
}

// Without fleet limits the decisions are those of the relay alone: nothing is sent to others, nothing is awaited.
func TestWithoutFleetLimits(t *testing.T) {
	if _, calls := runFleet(t, 3, false, 2*time.Second, func(time.Duration, int) []choice.Event { return nil }); calls < 250 {
		t.Errorf("%d calls for 297 messages", calls)
	}
	c, err := New(newSettings(0, 3, false), 1)
	if err != nil {
		t.Fatal(err)
	}
	if c.UsesGrants() || c.Shares() != nil || c.Routes() != nil {
		t.Error("a relay without fleet limits has shares or routes")
	}
	c.Resize(3, nil)
	c.SetLimits(nil)
}

// Random bytes, replayed messages and unknown senders do no harm: the limit holds, and calls go on.
func TestMalformedMessages(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 1))
		var sent [][]byte
		_, calls := runFleet(t, 3, true, 4*time.Second, func(now time.Duration, to int) (in []choice.Event) {
			message := make([]byte, random.IntN(80))
			for i := range message {
				message[i] = byte(random.Uint32())
			}
			sent = append(sent, message)
			if random.IntN(10) == 0 {
				in = append(in, choice.Heard{From: random.IntN(5) - 1, Note: sent[random.IntN(len(sent))]})
			}
			return in
		})
		if calls < 60 || calls > 4*40+4 {
			t.Errorf("seed %d: %d calls in 4 s with a limit of 40 a second", seed, calls)
		}
	}
}
