package simulation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var seeds = flag.Int("seeds", 1, "days of each kind, from seed 1")

// mustPlay plays a day and fails on violations of the rules.
func mustPlay(t *testing.T, d Day) Result {
	t.Helper()
	began := time.Now()
	r, err := Play(d)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d relays, seed %d: %v; %d steps in %v", d.Relays, d.Seed, r, r.Steps, time.Since(began).Round(time.Millisecond))
	if r.RetryAfterViolations > 0 || r.ColdViolations > 0 {
		t.Errorf("%d calls within a retry-after, %d cold routes overloaded", r.RetryAfterViolations, r.ColdViolations)
	}
	return r
}

// forEachSeed plays a kind of day with each seed, in a parallel subtest.
func forEachSeed(t *testing.T, name string, make func(seed uint64) Day, check func(t *testing.T, r Result)) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(name, "/", seed+1), func(t *testing.T) {
			t.Parallel()
			check(t, mustPlay(t, make(seed+1)))
		})
	}
}

// checkShares returns a check of the delivered share of the value, and of the share of calls above a limit.
func checkShares(value, over float64) func(*testing.T, Result) {
	return func(t *testing.T, r Result) {
		if got := r.Value / r.OfferedValue; got < value {
			t.Errorf("%.3f of the value delivered, want %.2f at least", got, value)
		}
		if got := float64(r.OverLimit) / float64(r.Calls); got > over {
			t.Errorf("%.3f of the calls went over a limit, want %.2f at most", got, over)
		}
	}
}

// Guards against behaviour that is harmless in one relay and harmful in eighty: all relays together keep the limits.
func TestFleetKeepsRateLimits(t *testing.T) {
	forEachSeed(t, "calm", func(s uint64) Day { return Campus(80, 0.8, s) }, checkShares(0.95, 0.06))
	forEachSeed(t, "overload", func(s uint64) Day { return Campus(80, 1.3, s) }, checkShares(0.7, 0.08))
	forEachSeed(t, "lowered", func(s uint64) Day { return Campus(80, 0.8, s).WithLoweredLimits() }, checkShares(0.8, 0.12))
	forEachSeed(t, "down", func(s uint64) Day { return Campus(80, 0.8, s).WithOutage(false) }, checkShares(0.8, 0.08))
	forEachSeed(t, "shut", func(s uint64) Day { return Campus(80, 0.8, s).WithOutage(true) }, checkShares(0.8, 0.08))
	forEachSeed(t, "killed", func(s uint64) Day { return Campus(80, 0.8, s).WithRestarts(70) }, checkShares(0.8, 0.08))
}

// Without gossip the same days exceed the limits: this is what the other tests guard against.
func TestFleetWithoutGossipExceedsLimits(t *testing.T) {
	for _, d := range []Day{Campus(80, 0.8, 1).WithLoweredLimits(), Campus(80, 1.3, 1)} {
		d.Settings.Peers = false
		if r := mustPlay(t, d); r.OverLimit < r.Calls/4 {
			t.Errorf("%d of %d calls over a limit without gossip: the day shows nothing", r.OverLimit, r.Calls)
		}
	}
}

// Lost, duplicated or corrupted gossip costs deliveries and breaks no rule.
func TestUnreliableGossip(t *testing.T) {
	forEachSeed(t, "half lost", func(s uint64) Day {
		d := Campus(80, 0.8, s)
		d.LossRate = 0.5
		return d
	}, checkShares(0.6, 0.25))
	forEachSeed(t, "all lost", func(s uint64) Day {
		d := Campus(80, 0.8, s).WithOutage(false)
		d.LossRate = 1
		return d
	}, checkShares(0.3, 0.5))
	// 80 relays overload a cold route on 4 of 90 days, 60 on 2 of 30: open, see ROADMAP.
	forEachSeed(t, "duplicated", func(s uint64) Day {
		d := Campus(60, 0.8, s).WithOutage(false)
		d.DuplicateRate = 0.5
		return d
	}, checkShares(0.8, 0.1))
	forEachSeed(t, "corrupted", func(s uint64) Day {
		d := Campus(80, 0.8, s).WithOutage(false)
		d.Corrupt = func(note []byte, r *rand.Rand) []byte {
			if r.IntN(4) > 0 {
				return note
			}
			note = append([]byte(nil), note...)
			switch r.IntN(3) {
			case 0:
				note[r.IntN(len(note))] ^= byte(1 << r.IntN(8))
			case 1:
				note = note[:r.IntN(len(note))]
			default:
				for i := range note {
					note[i] = byte(r.Uint32())
				}
			}
			return note
		}
		return d
	}, checkShares(0.6, 0.25))
}

// A fleet that grows from 16 to 80 relays and shrinks again.
func TestFleetResize(t *testing.T) {
	forEachSeed(t, "grows", func(s uint64) Day {
		d := Campus(16, 0.8, s)
		d.Resizes = []Resize{{5 * time.Second, 80}, {14 * time.Second, 16}}
		return d
	}, func(t *testing.T, r Result) {
		if r.Value/r.OfferedValue < 0.6 {
			t.Errorf("%.3f of the value delivered", r.Value/r.OfferedValue)
		}
	})
}

func TestSameSeedSameResult(t *testing.T) {
	a, b := mustPlay(t, Campus(20, 0.9, 3).WithOutage(true)), mustPlay(t, Campus(20, 0.9, 3).WithOutage(true))
	if fmt.Sprint(a) != fmt.Sprint(b) || a.Steps != b.Steps {
		t.Errorf("%v\n%v", a, b)
	}
}

// Guards against a fleet that starves during a partition, and against one that exceeds the limits after it.
func TestPartitionedFleet(t *testing.T) {
	all := func(int, int) bool { return true }
	forEachSeed(t, "all links", func(s uint64) Day { return Campus(300, 0.5, s).WithPartition(all) }, checkShares(0.9, 0.08))
	forEachSeed(t, "all links, with cold starts", func(s uint64) Day {
		d := Campus(300, 0.5, s).WithPartition(all)
		d.Faults = append(d.Faults, Fault{From: 9 * time.Second, To: 13 * time.Second, Dests: []int{0, 3}, Down: true})
		return d
	}, checkShares(0.8, 0.1))
	forEachSeed(t, "halves", func(s uint64) Day {
		return Campus(300, 0.5, s).WithPartition(func(a, b int) bool { return a%2 != b%2 })
	}, checkShares(0.9, 0.08))
	forEachSeed(t, "a third", func(s uint64) Day {
		return Campus(300, 0.5, s).WithPartition(func(a, b int) bool { return (a%3 == 0) != (b%3 == 0) })
	}, checkShares(0.9, 0.08))
	forEachSeed(t, "one alone", func(s uint64) Day {
		return Campus(300, 0.5, s).WithPartition(func(a, b int) bool { return a == 7 || b == 7 })
	}, checkShares(0.9, 0.08))
	forEachSeed(t, "one way", func(s uint64) Day {
		return Campus(300, 0.5, s).WithPartition(func(a, b int) bool { return a < 100 && b >= 100 })
	}, checkShares(0.85, 0.08))
	forEachSeed(t, "twice", func(s uint64) Day {
		d := Campus(300, 0.5, s).WithPartition(all)
		d.Faults[0].To = 10 * time.Second
		d.Faults = append(d.Faults, Fault{From: 11 * time.Second, To: 14 * time.Second, Drop: all})
		return d
	}, checkShares(0.9, 0.08))
	forEachSeed(t, "limits fall as it heals", func(s uint64) Day {
		d := Campus(300, 0.5, s).WithPartition(all)
		d.Faults = append(d.Faults, Fault{From: 13 * time.Second, To: 20 * time.Second,
			Dests: []int{0, 1, 2, 3, 4, 5, 6}, LimitFactor: 0.5})
		return d
	}, checkShares(0.8, 0.12))
}

// Guards against a fleet that loses its estimates of the limits when most of its coordinators are killed at once, and again soon
// after.
func TestMassRestart(t *testing.T) {
	forEachSeed(t, "70 percent", func(s uint64) Day { return Campus(300, 0.7, s).WithRestarts(210) }, checkShares(0.95, 0.08))
	forEachSeed(t, "70 percent, then 30 percent", func(s uint64) Day {
		d := Campus(300, 0.7, s).WithRestarts(210).WithRestarts(90)
		d.Faults[1].From, d.Faults[1].To = 14*time.Second, 14600*time.Millisecond
		return d
	}, checkShares(0.95, 0.08))
	forEachSeed(t, "limits lowered", func(s uint64) Day {
		return Campus(300, 0.8, s).WithLoweredLimits().WithRestarts(210)
	}, checkShares(0.8, 0.12))
}

var sizes = flag.Int("largest", 30, "relays of the largest fleet of TestGossipCost")

// The cost of sharing limits in gossip, by the number of relays, at one site and load:
// go test ./internal/relay/simulation -run GossipCost -v -largest 300.
func TestGossipCost(t *testing.T) {
	for _, n := range []int{2, 3, 10, 16, 30, 64, 80, 300} {
		if n > *sizes {
			continue
		}
		d := Campus(n, 0.8, 1)
		d.Settings.Shares = true
		r := mustPlay(t, d)
		messages, bytes := float64(r.GossipMessages)/float64(r.Offered), float64(r.GossipBytes)/float64(r.Offered)
		t.Logf("%d relays: %.1f gossip messages and %.0f bytes per message", n, messages, bytes)
		if messages > 12 || bytes > 800 || r.Value/r.OfferedValue < 0.9 {
			t.Errorf("%d relays: %.1f gossip messages and %.0f bytes per message, %.3f of the value", n, messages, bytes,
				r.Value/r.OfferedValue)
		}
	}
}
