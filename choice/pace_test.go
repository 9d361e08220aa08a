package choice

import (
	"fmt"
	"testing"
	"time"
)

// A burst of first calls of all relays could exhaust the rate limit of a destination: eighty relays with two
// messages each start at their share of a guess.
func TestLargeFleetStartsWithinRateGuess(t *testing.T) {
	cfg := settings()
	cfg.Fleet, cfg.Listed = 80, false
	var first, sent int
	for seed := range uint64(80) {
		chooser, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		harness := &harness{t: t, c: chooser, now: time.Hour, attempts: map[string]int{}}
		actions := harness.step(Listing{Whole: true, Hosts: []Host{readyHost("a", 1, 0, 0)}}, arrival("m", 0), arrival("n", 0))
		first += len(sends(actions))
		sent += len(sends(actions)) + len(sends(harness.advance(2*time.Second)))
	}
	if most := 2.5 * initialRateGuess; first > 0 || float64(sent) > most || sent < initialRateGuess {
		t.Errorf("%d calls at once and %d in two seconds, want none and %g to %g", first, sent, initialRateGuess, most)
	}
}

// Calls sent before there was a rate limit are no debt, which would block the unit after its first refusal;
// and a new unit is not taken for a slow one, although the smoothed rate starts at 0.
func TestFirstRateLimitOfNewUnit(t *testing.T) {
	cfg := settings()
	cfg.Listed, cfg.Fleet = false, 1
	r := newHarness(t, cfg, Host{Addr: "a", Dest: 1, State: Ready})
	unit := r.c.hosts["a"].unit
	for i := range 60 { // 20 a second
		id := fmt.Sprint("m", i)
		r.step(arrival(id, 2))
		r.step(r.result(id, "a", Served))
		r.advance(50 * ms)
	}
	if flow := r.c.servedRate(unit); flow < 12 || flow > 25 {
		t.Errorf("flow is %.1f after 3 s of 20 a second", flow)
	}
	r.step(arrival("full", 2))
	r.step(r.result("full", "a", Refused))
	if unit.rateLimit <= 0 || unit.tokens < -unit.rateLimit {
		t.Errorf("limit %.1f, tokens %.1f after the first refusal, want a debt of under a second", unit.rateLimit, unit.tokens)
	}
}

// The rate limit of a unit with many calls grows faster than that of one with few, and a refusal while little
// is sent does not cut it to the rate sent.
func TestRateLimitOfFastUnit(t *testing.T) {
	cfg := settings()
	cfg.Listed, cfg.Fleet = false, 1
	r := newHarness(t, cfg, Host{Addr: "a", Dest: 1, State: Ready})
	unit := r.c.hosts["a"].unit
	unit.createdAt, unit.servedRate, unit.lastServed = r.now-time.Hour, 20, r.now
	r.step(arrival("full", 2))
	r.step(r.result("full", "a", Refused))
	if unit.rateLimit < 0.7*20 {
		t.Errorf("limit %.1f after a refusal at one call a second, want it near the 20 served before", unit.rateLimit)
	}
	for _, tc := range []struct{ limit, least, most float64 }{{2, 2.1, 2.31}, {16, 20, 30}} {
		unit.rateLimit, unit.rateLimitAt = tc.limit, r.now
		for range 20 { // two seconds
			r.now += 100 * ms
			r.c.now = r.now
			r.c.updateRateLimits(r.c.destinations[1])
		}
		if unit.rateLimit < tc.least || unit.rateLimit > tc.most {
			t.Errorf("limit %.1f grew to %.1f in 2 s, want %.1f to %.1f", tc.limit, unit.rateLimit, tc.least, tc.most)
		}
	}
}
