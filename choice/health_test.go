package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Two failures make a unit suspect; after it has served a trial, the relay stays within its share of the
// slow-start budget.
func TestSlowStartAfterOutage(t *testing.T) {
	cfg := settings()
	cfg.Workers = 100
	host := readyHost("a", 1, 0, 0)
	host.Rate = 10
	r := newHarness(t, cfg, host)
	for _, id := range []string{"x", "y"} {
		r.step(arrival(id, 2))
		r.now += 50 * ms
		r.step(r.result(id, "a", Error))
	}
	var events []Event
	for i := range 60 {
		events = append(events, arrival(fmt.Sprint(i), 0))
	}
	trial := append(sends(r.step(events...)), sends(r.advance(time.Second))...)
	if len(trial) != 1 {
		t.Fatalf("%d calls to a suspect unit, want a single trial", len(trial))
	}
	actions := r.step(r.result(trial[0].ID, "a", Served))
	actions = append(actions, r.advance(cfg.Rules.Fall)...)
	share := cfg.Rules.ColdFrom + (1-cfg.Rules.ColdFrom)*cfg.Rules.Fall.Seconds()/cfg.Rules.Cold.Seconds()
	budget := cfg.Rules.OverloadFactor * share * 10 * cfg.Rules.Fall.Seconds() / 2
	if calls := float64(len(sends(actions))); calls < 1 || calls > budget {
		t.Errorf("%v calls in the first window after an outage, want 1 to %v", calls, budget)
	}
}

// The loss of one machine is not an outage of the destination.
func TestFailedHostDoesNotEjectItsDestination(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0), readyHost("b", 1, 0, 0))
	for i := range 6 {
		id := fmt.Sprint(i)
		for _, send := range sends(r.step(arrival(id, 0))) {
			r.now += 50 * ms
			for send.Host == "a" {
				again := sends(r.step(r.result(id, "a", NoConnection)))
				if len(again) != 1 {
					t.Fatalf("%d sends after a failed connection, want one to the other host", len(again))
				}
				send = again[0]
			}
			r.step(r.result(id, send.Host, Served))
		}
	}
	if unit := r.c.destinations[1].units[0]; unit.state != healthy {
		t.Errorf("unit is in state %d", unit.state)
	}
}

// Where this relay's share of the slow-start budget is below one call in the rules' window, it sends less
// than one trial in it.
func TestLargeFleetSpacesItsTrials(t *testing.T) {
	cfg := settings()
	cfg.Fleet, cfg.Workers = 12, 100
	host := readyHost("a", 1, 0, 0)
	host.Rate = 4
	r := newHarness(t, cfg, host)
	for _, id := range []string{"x", "y"} {
		r.advance(time.Second)
		r.step(arrival(id, 2))
		r.now += 50 * ms
		r.step(r.result(id, "a", Error))
	}
	var events []Event
	for i := range 20 {
		events = append(events, arrival(fmt.Sprint(i), 0))
	}
	trials := 0
	out := sends(r.step(events...))
	for end := r.now + 8*time.Second; r.now < end; {
		var ends []Event
		for _, send := range out {
			trials++
			ends = append(ends, r.result(send.ID, "a", NoConnection))
		}
		r.now += 5 * ms
		out = sends(r.step(append(ends, Woken{})...))
	}
	// Within twice this relay's share of the budget: 2 x 2 x 0.2 x 4 x 2 s / 12 relays, for
	// four windows, once the first backoffs have grown.
	if trials < 1 || trials > 7 {
		t.Errorf("%d trials in eight seconds, want one to seven", trials)
	}
}

// Relays that rarely call a destination retry after an exponential backoff with jitter, so that together they
// get below its rate limit.
func TestRefusalBackoffInLargeFleet(t *testing.T) {
	cfg := settings()
	cfg.Fleet = 40
	host := readyHost("a", 1, 0, 0)
	host.Rate = 4
	var first []time.Duration
	for seed := range uint64(5) {
		r := newHarness(t, cfg, host)
		r.c.rand = rand.New(rand.NewPCG(seed, 0))
		r.step(arrival("m", 0))
		start, attempts := r.now, 0
		for r.now < start+9*time.Second {
			if r.c.messages["m"] != nil && r.c.messages["m"].call != nil {
				r.step(r.result("m", "a", Refused))
				attempts++
			}
			if r.advance(5 * ms); attempts == 1 && r.c.messages["m"].call != nil {
				first = append(first, r.now-start)
			}
		}
		if attempts > 5 {
			t.Errorf("%d tries in nine seconds of refusals, want at most five", attempts)
		}
	}
	if slices.Sort(first); len(first) < 5 || first[4]-first[0] < 50*ms {
		t.Errorf("second tries after %v, want them spread", first)
	}
}

// Where calls after a refusal are hardly ever served, as if refused calls count against the rate limit, the
// backoff is the interval of the even share at once.
func TestRefusalBackoffGrowsWhereRetriesFail(t *testing.T) {
	cfg := settings()
	cfg.Fleet = 40
	host := readyHost("a", 1, 0, 0)
	host.Rate = 4
	pause := func(success float64) time.Duration {
		r := newHarness(t, cfg, host)
		r.c.retrySuccess[0] = success
		r.step(arrival("m", 0))
		r.now += 50 * ms
		r.step(r.result("m", "a", Refused))
		return r.c.destinations[1].units[0].backoffUntil - r.now
	}
	if frequent, rare := pause(0.5), pause(0.05); frequent > 2*time.Second || rare < 5*time.Second {
		t.Errorf("pauses %v where retries are served and %v where not, want under 2s and over 5s", frequent, rare)
	}
}

// A relay of a large fleet without a recent served call takes the first failure for an outage and does not
// retry at once; a relay of a small fleet does.
func TestFirstFailureEjectsInLargeFleet(t *testing.T) {
	for fleet, want := range map[int]health{2: healthy, 40: suspect} {
		cfg := settings()
		cfg.Fleet = fleet
		host := readyHost("a", 1, 0, 0)
		host.Rate = 4
		r := newHarness(t, cfg, host)
		r.advance(5 * time.Second)
		r.step(arrival("m", 0))
		r.step(r.result("m", "a", NoConnection))
		if got := r.c.destinations[1].units[0].state; got != want {
			t.Errorf("fleet of %d: health %v after the first failure, want %v", fleet, got, want)
		}
		if calls := len(sends(r.advance(5 * time.Second))); want == suspect && calls > 0 {
			t.Errorf("fleet of %d: %d calls within 5s of the first failure, want none", fleet, calls)
		}
	}
}

// Results that arrive together after a stall of the relay are applied before health is checked, so that the
// stall is not taken for unresponsive destinations.
func TestStalledRelayDoesNotEjectDestinations(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0), readyHost("b", 2, 0, 0))
	other := arrival("n", 0)
	other.Dest = 2
	r.step(arrival("m", 0), other)
	r.now += 5 * time.Second
	r.step(Woken{}, r.result("m", "a", Served), r.result("n", "b", Served))
	for id, dest := range r.c.destinations {
		if got := dest.units[0].state; got != healthy {
			t.Errorf("destination %d: health %v after the relay's own stall, want healthy", id, got)
		}
	}
}

// Single unreadable responses are not taken for an outage: the host did respond.
func TestUnreadableResponsesAreNoOutage(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	call := func(id string, outcome Outcome) (unwell bool) {
		actions := r.step(arrival(id, 2))
		for len(sends(actions)) == 0 {
			actions = r.advance(10 * ms)
		}
		for _, action := range r.step(r.result(id, "a", outcome)) {
			health, ok := action.(Health)
			unwell = unwell || ok && health.Unwell
		}
		return unwell
	}
	for i := range 30 {
		if call(fmt.Sprint("m", i), []Outcome{Served, Spoilt}[i%2]) {
			t.Fatalf("an outage is seen at call %d, with every second answer spoilt", i)
		}
	}
	unwell := false
	for i := range 6 {
		unwell = unwell || call(fmt.Sprint("n", i), Spoilt)
	}
	if !unwell {
		t.Error("no outage is seen where all answers are spoilt")
	}
}
