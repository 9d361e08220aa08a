package simulation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var seeds = flag.Int("seeds", 1, "days of each kind, from seed 1")

// play plays a day, on which no rule may be broken whatever happens.
func play(t *testing.T, d Day) Result {
	t.Helper()
	began := time.Now()
	r, err := Play(d)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d relays, seed %d: %v; %d steps in %v", d.Relays, d.Seed, r, r.Steps, time.Since(began).Round(time.Millisecond))
	if r.RetryAfterViolations > 0 || r.ColdViolations > 0 {
		t.Errorf("%d calls within a told wait, %d routes pushed over when cold", r.RetryAfterViolations, r.ColdViolations)
	}
	return r
}

// each plays a kind of day with several seeds.
func each(t *testing.T, name string, make func(seed uint64) Day, check func(t *testing.T, r Result)) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint(name, "/", seed+1), func(t *testing.T) {
			t.Parallel()
			check(t, play(t, make(seed+1)))
		})
	}
}

// share checks what part of the worth is delivered, and what part of the calls goes over a limit.
func share(worth, over float64) func(*testing.T, Result) {
	return func(t *testing.T, r Result) {
		if got := r.Value / r.OfferedValue; got < worth {
			t.Errorf("%.3f of the worth delivered, want %.2f at least", got, worth)
		}
		if got := float64(r.OverLimit) / float64(r.Calls); got > over {
			t.Errorf("%.3f of the calls went over a limit, want %.2f at most", got, over)
		}
	}
}

// Guards against what is harmless in one relay and harmful in eighty: the sum of all goes by the limits.
func TestManyRelaysKeepToLimits(t *testing.T) {
	each(t, "calm", func(s uint64) Day { return Campus(80, 0.8, s) }, share(0.95, 0.06))
	each(t, "overload", func(s uint64) Day { return Campus(80, 1.3, s) }, share(0.7, 0.08))
	each(t, "lowered", func(s uint64) Day { return Campus(80, 0.8, s).WithLoweredLimits() }, share(0.8, 0.12))
	each(t, "down", func(s uint64) Day { return Campus(80, 0.8, s).WithOutage(false) }, share(0.8, 0.08))
	each(t, "shut", func(s uint64) Day { return Campus(80, 0.8, s).WithOutage(true) }, share(0.8, 0.08))
	each(t, "killed", func(s uint64) Day { return Campus(80, 0.8, s).WithRestarts(70) }, share(0.8, 0.08))
}

// Without grants the same days go badly: this is what the others guard against.
func TestManyRelaysWithoutNotes(t *testing.T) {
	for _, d := range []Day{Campus(80, 0.8, 1).WithLoweredLimits(), Campus(80, 1.3, 1)} {
		d.Settings.Peers = false
		if r := play(t, d); r.OverLimit < r.Calls/4 {
			t.Errorf("%d of %d calls over a limit without grants: the day shows nothing", r.OverLimit, r.Calls)
		}
	}
}

// Notes that are lost, doubled or spoilt cost service, and break nothing.
func TestBadNotes(t *testing.T) {
	each(t, "half lost", func(s uint64) Day {
		d := Campus(80, 0.8, s)
		d.LossRate = 0.5
		return d
	}, share(0.6, 0.25))
	each(t, "all lost", func(s uint64) Day {
		d := Campus(80, 0.8, s).WithOutage(false)
		d.LossRate = 1
		return d
	}, share(0.3, 0.5))
	each(t, "doubled", func(s uint64) Day { // 80 relays push a cold route over on 4 of 90 such days, 60 on 2 of 30: open, see ROADMAP
		d := Campus(60, 0.8, s).WithOutage(false)
		d.DuplicateRate = 0.5
		return d
	}, share(0.8, 0.1))
	each(t, "spoilt", func(s uint64) Day {
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
	}, share(0.6, 0.25))
}

// A fleet that grows from 16 to 80 relays and shrinks again.
func TestFleetThatGrows(t *testing.T) {
	each(t, "grows", func(s uint64) Day {
		d := Campus(16, 0.8, s)
		d.Resizes = []Resize{{5 * time.Second, 80}, {14 * time.Second, 16}}
		return d
	}, func(t *testing.T, r Result) {
		if r.Value/r.OfferedValue < 0.6 {
			t.Errorf("%.3f of the worth delivered", r.Value/r.OfferedValue)
		}
	})
}

func TestSameSeedSameDay(t *testing.T) {
	a, b := play(t, Campus(20, 0.9, 3).WithOutage(true)), play(t, Campus(20, 0.9, 3).WithOutage(true))
	if fmt.Sprint(a) != fmt.Sprint(b) || a.Steps != b.Steps {
		t.Errorf("%v\n%v", a, b)
	}
}

// Guards against a fleet that starves while its relays do not hear each other, and floods when they do again.
func TestCutFleet(t *testing.T) {
	all := func(int, int) bool { return true }
	each(t, "nobody hears anybody", func(s uint64) Day { return Campus(300, 0.5, s).WithPartition(all) }, share(0.9, 0.08))
	each(t, "and routes come back cold", func(s uint64) Day {
		d := Campus(300, 0.5, s).WithPartition(all)
		d.Faults = append(d.Faults, Fault{From: 9 * time.Second, To: 13 * time.Second, Dests: []int{0, 3}, Down: true})
		return d
	}, share(0.8, 0.1))
	each(t, "halves", func(s uint64) Day {
		return Campus(300, 0.5, s).WithPartition(func(a, b int) bool { return a%2 != b%2 })
	}, share(0.9, 0.08))
	each(t, "a third", func(s uint64) Day {
		return Campus(300, 0.5, s).WithPartition(func(a, b int) bool { return (a%3 == 0) != (b%3 == 0) })
	}, share(0.9, 0.08))
	each(t, "one alone", func(s uint64) Day {
		return Campus(300, 0.5, s).WithPartition(func(a, b int) bool { return a == 7 || b == 7 })
	}, share(0.9, 0.08))
	each(t, "one way", func(s uint64) Day {
		return Campus(300, 0.5, s).WithPartition(func(a, b int) bool { return a < 100 && b >= 100 })
	}, share(0.85, 0.08))
	each(t, "twice", func(s uint64) Day {
		d := Campus(300, 0.5, s).WithPartition(all)
		d.Faults[0].To = 10 * time.Second
		d.Faults = append(d.Faults, Fault{From: 11 * time.Second, To: 14 * time.Second, Drop: all})
		return d
	}, share(0.9, 0.08))
	each(t, "limits fall as it heals", func(s uint64) Day {
		d := Campus(300, 0.5, s).WithPartition(all)
		d.Faults = append(d.Faults, Fault{From: 13 * time.Second, To: 20 * time.Second, Dests: []int{0, 1, 2, 3, 4, 5, 6}, LimitFactor: 0.5})
		return d
	}, share(0.8, 0.12))
}

// Guards against a fleet that forgets what its destinations take when most of its stewards are killed at one instant,
// and again soon after.
func TestHerd(t *testing.T) {
	each(t, "seven in ten", func(s uint64) Day { return Campus(300, 0.7, s).WithRestarts(210) }, share(0.95, 0.08))
	each(t, "and three in ten again", func(s uint64) Day {
		d := Campus(300, 0.7, s).WithRestarts(210).WithRestarts(90)
		d.Faults[1].From, d.Faults[1].To = 14*time.Second, 14600*time.Millisecond
		return d
	}, share(0.95, 0.08))
	each(t, "limits lowered", func(s uint64) Day { return Campus(300, 0.8, s).WithLoweredLimits().WithRestarts(210) }, share(0.8, 0.12))
}

var sizes = flag.Int("largest", 30, "relays of the largest fleet of TestPriceOfNotes")

// What sharing costs in notes, by the number of relays, at one site and load: go test ./internal/relay/simulation -run Price -v -largest 300.
func TestPriceOfNotes(t *testing.T) {
	for _, n := range []int{2, 3, 10, 16, 30, 64, 80, 300} {
		if n > *sizes {
			continue
		}
		d := Campus(n, 0.8, 1)
		d.Settings.Shares = true
		r := play(t, d)
		notes, bytes := float64(r.GossipMessages)/float64(r.Offered), float64(r.GossipBytes)/float64(r.Offered)
		t.Logf("%d relays: %.1f notes and %.0f bytes for each message", n, notes, bytes)
		if notes > 12 || bytes > 800 || r.Value/r.OfferedValue < 0.9 {
			t.Errorf("%d relays: %.1f notes and %.0f bytes for each message, %.3f of the worth", n, notes, bytes, r.Value/r.OfferedValue)
		}
	}
}
