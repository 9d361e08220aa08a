package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"larchrouter/choice/oracle"
)

const ms = time.Millisecond

func settings() Settings {
	return Settings{
		Fleet: 2, Workers: 4, MaxHeld: 50, MaxAttempts: 4, Tick: 5 * ms, Cancels: true, Listed: true,
		Classes: []Class{
			{Name: "safe", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Safe},
			{Name: "keyed", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Keyed,
				SameZone: true, Window: 3 * time.Second},
			{Name: "unsafe", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Unsafe},
			{Name: "ordered", Aim: 2 * time.Second, Deadline: 10 * time.Second, Worth: 1, LateShare: 0.5, Effect: Unsafe,
				Ordered: true},
		},
		Kinds:   []Kind{{PerCall: 1}, {PerCall: 3}, {PerCall: 1, Apart: true}},
		ZoneFee: []float64{0, 0.05},
		Rules: Rules{AnswerGrace: 20 * ms, DrainGrace: time.Second, OverloadFactor: 2, Fall: 2 * time.Second,
			ColdFrom: 0.2, Cold: 10 * time.Second, OrderSettle: 100 * ms},
	}
}

// rig drives one Chooser and keeps what it did.
type harness struct {
	t        *testing.T
	c        *Chooser
	now      time.Duration
	attempts map[string]int
}

func newHarness(t *testing.T, cfg Settings, hosts ...Host) *harness {
	t.Helper()
	chooser, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, c: chooser, now: time.Hour, attempts: map[string]int{}}
	r.step(Listing{Whole: true, Hosts: hosts})
	return r
}

func (r *harness) step(events ...Event) []Action {
	acts := r.c.Step(r.now, events)
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			r.attempts[s.ID]++
		}
	}
	return acts
}

// after lets time pass in ticks, waking the Chooser, and returns all actions.
func (r *harness) advance(span time.Duration) []Action {
	var acts []Action
	for end := r.now + span; r.now < end; {
		r.now += 5 * ms
		acts = append(acts, r.step(Woken{})...)
	}
	return acts
}

func (r *harness) result(id, host string, outcome Outcome, changes ...func(*Result)) Result {
	result := Result{ID: id, Host: host, Attempt: r.attempts[id] - 1, Outcome: outcome, Took: 50 * ms, Done: outcome == Served}
	for _, change := range changes {
		change(&result)
	}
	return result
}

func sends(acts []Action) (out []Send) {
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

func finalAnswers(acts []Action) string {
	out := ""
	for _, a := range acts {
		switch a := a.(type) {
		case Refuse:
			out += "refuse " + a.ID + ";"
		case Fail:
			out += "fail " + a.ID + ";"
		}
	}
	return out
}

func readyHost(addr string, dest, kind, zone int) Host {
	return Host{Addr: addr, Dest: dest, Kind: kind, Zone: zone, Rate: 100, State: Ready}
}

func arrival(id string, class int) Arrival {
	return Arrival{ID: id, Class: class, Dest: 1, Left: 10 * time.Second}
}

// TestAnswers has one row for each outcome and effect: what becomes of the message.
func TestOutcomeDecidesRetryOrFinalAnswer(t *testing.T) {
	for _, tc := range []struct {
		class   int
		outcome Outcome
		want    string // immediate answer; "again" for one more send
	}{
		{0, Error, "again"}, {0, Timeout, "again"}, {0, Reset, "again"}, {0, NoConnection, "again"},
		{1, Error, "again"}, {1, Timeout, "again"}, {1, NotSent, "again"},
		{0, Spoilt, "again"}, {2, Spoilt, "fail m;"}, {2, Error, "fail m;"}, {2, Timeout, "fail m;"}, {2, Reset, "fail m;"}, {2, Cancelled, "fail m;"},
		{2, NoConnection, "again"}, {2, Refused, "again"}, {2, NotSent, "again"},
	} {
		t.Run(fmt.Sprintf("class%d-outcome%d", tc.class, tc.outcome), func(t *testing.T) {
			r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
			if n := len(sends(r.step(arrival("m", tc.class)))); n != 1 {
				t.Fatalf("%d sends for an arrival, want 1", n)
			}
			r.now += 50 * ms
			acts := r.step(r.result("m", "a", tc.outcome))
			got := finalAnswers(acts)
			if tc.want == "again" {
				acts = append(acts, r.advance(3*time.Second)...)
				if got = finalAnswers(acts); got != "" || len(sends(acts)) != 1 {
					t.Errorf("answers %q, %d sends, want one more send", got, len(sends(acts)))
				}
			} else if got != tc.want || len(sends(acts)) != 0 {
				t.Errorf("answers %q, want %q", got, tc.want)
			}
		})
	}
}

func TestPendingMessageIsAnsweredByItsDeadline(t *testing.T) {
	r := newHarness(t, settings()) // no host at all
	r.step(arrival("m", 2))
	if got := finalAnswers(r.advance(9900 * ms)); got != "" {
		t.Fatalf("answered early: %q", got)
	}
	if got := finalAnswers(r.advance(100 * ms)); got != "refuse m;" {
		t.Errorf("at the deadline %q, want a refusal", got)
	}
	if len(r.c.messages) != 0 || r.c.pending != 0 {
		t.Errorf("%d messages kept, %d held after the answer", len(r.c.messages), r.c.pending)
	}
}

func TestKeyedRetryStaysInZoneAndWindow(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 2, 0), readyHost("b", 1, 2, 1))
	first := sends(r.step(arrival("m", 1)))[0].Host
	r.now += 50 * ms
	acts := r.step(r.result("m", first, Error))
	acts = append(acts, r.advance(2800*ms)...)
	for _, s := range sends(acts) {
		if s.Host != first {
			t.Errorf("resent to %s, outside the zone of %s", s.Host, first)
		}
	}
	if len(sends(acts)) != 1 {
		t.Fatalf("%d sends within the window, want 1", len(sends(acts)))
	}
	r.now += 100 * ms
	acts = r.step(r.result("m", first, Error))
	if got := finalAnswers(append(acts, r.advance(time.Second)...)); got != "fail m;" {
		t.Errorf("after its window %q, want it failed", got)
	}
}

func TestDrainingHostGetsNoNewCalls(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	host := readyHost("a", 1, 0, 0)
	host.State = Draining
	if n := len(sends(r.step(Listing{Hosts: []Host{host}}, arrival("m", 0)))); n != 0 {
		t.Errorf("%d sends to a draining host", n)
	}
	if n := len(sends(r.step(Listing{Whole: true}))); n != 0 {
		t.Errorf("%d sends to a host that is gone", n)
	}
}

func TestRetryAfterIsRespected(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	r.step(arrival("m", 0))
	r.now += 50 * ms
	acts := r.step(r.result("m", "a", Refused, func(e *Result) { e.Wait = 700 * ms }), arrival("n", 2))
	if acts = append(acts, r.advance(695*ms)...); len(sends(acts)) != 0 {
		t.Errorf("%d sends within the wait", len(sends(acts)))
	}
	if len(sends(r.advance(2*time.Second))) == 0 {
		t.Errorf("nothing sent after the wait")
	}
}

func TestOrderingKeySendsOneMessageAtATime(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	msg, second := arrival("m", 3), arrival("n", 3)
	msg.Key, second.Key = "k", "k"
	if got := sends(r.step(msg, second)); len(got) != 1 || got[0].ID != "m" {
		t.Fatalf("sent %v, want m alone", got)
	}
	r.now += 50 * ms
	acts := r.step(r.result("m", "a", Reset))
	if acts = append(acts, r.advance(95*ms)...); len(sends(acts)) != 0 {
		t.Errorf("sent %v while the key rests", sends(acts))
	}
	if got := sends(r.advance(3 * time.Second)); len(got) != 1 || got[0].ID != "n" {
		t.Errorf("sent %v after the rest, want n", got)
	}
	r.step(r.result("n", "a", Served))
	r.advance(200 * ms)
	if len(r.c.keyOrders) != 0 {
		t.Errorf("%d keys kept", len(r.c.keyOrders))
	}
}

func TestRetryTimeoutsGrow(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	for i := range 2 * oracle.MinSamples {
		id := fmt.Sprint("w", i)
		r.step(arrival(id, 0))
		r.now += 50 * ms
		r.step(r.result(id, "a", Served))
	}
	got := sends(r.step(arrival("m", 0)))
	last := got[0].Timeout
	if last >= 2*time.Second {
		t.Fatalf("first time-out %v, want the oracle's edge", last)
	}
	for range 2 {
		r.now += last
		acts := r.step(r.result("m", "a", Timeout))
		if got = append(sends(acts), sends(r.advance(3*time.Second))...); len(got) != 1 {
			t.Fatalf("%d sends after a time-out", len(got))
		}
		if got[0].Timeout < last+r.c.maxTimeout/oracle.Buckets {
			t.Errorf("time-out %v after %v, want a bucket more", got[0].Timeout, last)
		}
		last = got[0].Timeout
	}
}

func TestOneDestinationLeavesSlotsToOthers(t *testing.T) {
	for _, tc := range []struct{ workers, want int }{{1, 1}, {3, 2}, {4, 2}, {8, 5}} {
		cfg := settings()
		cfg.Workers = tc.workers
		r := newHarness(t, cfg, readyHost("a", 1, 0, 0))
		var events []Event
		for i := range 20 {
			events = append(events, arrival(fmt.Sprint(i), 0))
		}
		if n := len(sends(r.step(events...))); n != tc.want {
			t.Errorf("%d calls out to one destination with %d slots, want %d", n, tc.workers, tc.want)
		}
	}
}

func TestMessagesShareACall(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 1, 0))
	if n := len(sends(r.step(arrival("1", 0), arrival("2", 0), arrival("3", 0)))); n != 3 || r.c.callsInFlight != 1 {
		t.Errorf("%d sends in %d calls, want 3 in one", n, r.c.callsInFlight)
	}
}

// TestColdReturn: two failures make a unit suspect; after it answers again, the relay stays within
// its share of the rule's budget.
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
	acts := r.step(r.result(trial[0].ID, "a", Served))
	acts = append(acts, r.advance(cfg.Rules.Fall)...)
	share := cfg.Rules.ColdFrom + (1-cfg.Rules.ColdFrom)*cfg.Rules.Fall.Seconds()/cfg.Rules.Cold.Seconds()
	budget := cfg.Rules.OverloadFactor * share * 10 * cfg.Rules.Fall.Seconds() / 2
	if calls := float64(len(sends(acts))); calls < 1 || calls > budget {
		t.Errorf("%v calls in the first window after an outage, want 1 to %v", calls, budget)
	}
}

// TestStuckCallsAreCalledOff guards the slots: calls nobody answers may not hold them all.
func TestStuckCallsAreCancelled(t *testing.T) {
	cfg := settings()
	cfg.Workers = 2
	r := newHarness(t, cfg, readyHost("a", 1, 0, 0), readyHost("b", 2, 0, 0), readyHost("c", 3, 0, 0))
	for i := 1; i <= 3; i++ {
		msg := arrival(fmt.Sprint(i), 2)
		msg.Dest = i
		r.step(msg)
	}
	for _, a := range r.advance(4 * time.Second) {
		if _, ok := a.(Cancel); ok {
			return
		}
	}
	t.Errorf("no call was called off while another destination waited for a slot")
}

// TestOneHostDownLeavesItsDestinationWell: the loss of one machine is not that of the destination.
func TestFailedHostDoesNotEjectItsDestination(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0), readyHost("b", 1, 0, 0))
	for i := range 6 {
		id := fmt.Sprint(i)
		for _, s := range sends(r.step(arrival(id, 0))) {
			r.now += 50 * ms
			for s.Host == "a" {
				again := sends(r.step(r.result(id, "a", NoConnection)))
				if len(again) != 1 {
					t.Fatalf("%d sends after a failed connection, want one to the other host", len(again))
				}
				s = again[0]
			}
			r.step(r.result(id, s.Host, Served))
		}
	}
	if unit := r.c.destinations[1].units[0]; unit.state != healthy {
		t.Errorf("unit is in state %d", unit.state)
	}
}

func TestSettingsAreValidated(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"workers": func(s *Settings) { s.Workers = 0 }, "fleet": func(s *Settings) { s.Fleet = 0 },
		"classes": func(s *Settings) { s.Classes = nil }, "aim": func(s *Settings) { s.Classes[0].Aim = 0 },
		"tick": func(s *Settings) { s.Tick = 0 }, "fall": func(s *Settings) { s.Rules.Fall = 0 },
	} {
		cfg := settings()
		spoil(&cfg)
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestLargeFleetSpacesItsCalls: where this relay's share of the budget is under one call in the
// rule's window, it sends less than one call in it.
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
	// four windows, once the first gaps have grown.
	if trials < 1 || trials > 7 {
		t.Errorf("%d trials in eight seconds, want one to seven", trials)
	}
}

// TestBacklogHoldsRestartsBack: while a message waits for the destination,
// a call is given up only when it is very likely lost.
func TestBacklogRaisesTimeouts(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	for i := range 4 * oracle.MinSamples {
		id := fmt.Sprint("w", i)
		r.step(arrival(id, 0))
		r.now += 50 * ms
		r.step(r.result(id, "a", Served, func(e *Result) {
			if e.Took = 100 * ms; i%8 == 0 {
				e.Took = 1900 * ms // a tail that restarts would cut
			}
		}))
	}
	quiet := sends(r.step(arrival("m", 0)))[0].Timeout
	var events []Event
	for i := range 12 {
		events = append(events, arrival(fmt.Sprint(i), 0))
	}
	busy := sends(r.step(events...))[0].Timeout
	if quiet >= 1900*ms || busy < 1900*ms {
		t.Errorf("time-out %v without and %v with a backlog, want it below and above the tail of 1.9s", quiet, busy)
	}
}

// TestLostCallsAreCalledOff: a call that nobody answers is given up for want of a slot even where
// its destination goes on serving others.
func TestLostCallsAreCancelled(t *testing.T) {
	cfg := settings()
	cfg.Workers = 3
	r := newHarness(t, cfg, readyHost("a", 1, 0, 0), readyHost("b", 2, 0, 0), readyHost("c", 3, 0, 0))
	r.step(arrival("lost", 2))
	var out []Send
	for i := range 200 {
		var events []Event
		for _, x := range out {
			events = append(events, r.result(x.ID, x.Host, Served))
		}
		for dest := 1; dest <= 3; dest++ {
			for k := range 2 {
				msg := arrival(fmt.Sprint(i, dest, k), 0)
				msg.Dest = dest
				events = append(events, msg)
			}
		}
		acts := r.step(events...)
		for _, a := range acts {
			if c, ok := a.(Cancel); ok && c.ID == "lost" {
				return
			}
		}
		out = sends(acts)
		r.now += 50 * ms
	}
	t.Errorf("the lost call was never called off")
}

// TestRefusalsInALargeFleet: relays that meet a destination seldom come back after growing pauses, and
// not in step, so that together they get under its limit.
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

// TestManyRelaysBeginGently: a first call of each relay does no harm alone, and shuts a destination when all
// make it: eighty relays with a message each begin, and go on, at the share of a guess.
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
		acts := harness.step(Listing{Whole: true, Hosts: []Host{readyHost("a", 1, 0, 0)}}, arrival("m", 0), arrival("n", 0))
		first += len(sends(acts))
		sent += len(sends(acts)) + len(sends(harness.advance(2*time.Second)))
	}
	if most := 2.5 * initialRateGuess; first > 0 || float64(sent) > most || sent < initialRateGuess {
		t.Errorf("%d calls at once and %d in two seconds, want none and %g to %g", first, sent, initialRateGuess, most)
	}
}

// TestRelaysDoNotAllLikeOneHost: relays of a large fleet spread over the hosts of a destination.
func TestRelaysSpreadOverHosts(t *testing.T) {
	cfg := settings()
	cfg.Fleet = 40
	used := map[string]int{}
	for seed := range uint64(20) {
		chooser, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		a, b := readyHost("a", 1, 0, 0), readyHost("b", 1, 0, 0)
		a.Rate, b.Rate = 4, 4
		acts := chooser.Step(time.Hour, []Event{Listing{Whole: true, Hosts: []Host{a, b}}, arrival("m", 0)})
		used[sends(acts)[0].Host]++
	}
	if used["a"] < 4 || used["b"] < 4 {
		t.Errorf("first calls of 20 relays went to %v, want both hosts well used", used)
	}
}

// TestPausesLengthenWhereRetriesFail: where calls after a refusal are hardly ever served, as where refused
// calls use up the limit, the pause goes to the even share of a call at once.
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

// TestSlowCallsAreServedInTheEnd: each further try of a message is called off later than the one before.
func TestEachRetryIsCancelledLater(t *testing.T) {
	cfg := settings()
	cfg.Workers, cfg.MaxHeld = 2, 1000
	r := newHarness(t, cfg, readyHost("slow", 1, 0, 0), readyHost("b", 2, 0, 0), readyHost("c", 3, 0, 0))
	var took []time.Duration
	var events []Event
	events = append(events, arrival("m", 0))
	sent := r.now
	for i := 0; r.now < sent+9*time.Second && len(took) < 2; i++ {
		for dest := 2; dest <= 3; dest++ {
			msg := arrival(fmt.Sprint(i, dest), 0)
			msg.Dest = dest
			events = append(events, msg)
		}
		acts := r.step(events...)
		events = nil
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				if a.ID == "m" {
					sent = r.now
				} else {
					events = append(events, r.result(a.ID, a.Host, Served))
				}
			case Cancel:
				took = append(took, r.now-sent)
				events = append(events, r.result(a.ID, "slow", Cancelled))
			}
		}
		r.now += 50 * ms
	}
	if len(took) < 2 || took[1] < took[0]*3/2 {
		t.Errorf("tries were called off after %v, want the second after longer", took)
	}
}

// TestFirstFailureWhereSeldomMet: a relay of a large fleet that has nothing served lately to speak against
// an outage takes the first failure for one, and does not try again at once; a small fleet's relay goes on.
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
		if n := len(sends(r.advance(5 * time.Second))); want == suspect && n > 0 {
			t.Errorf("fleet of %d: %d calls within 5s of the first failure, want none", fleet, n)
		}
	}
}

// TestARelayThatStoodStill: outcomes that come all at once after a gap are taken in before anything is
// judged, so that the relay's own stall is no silence of a destination.
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

// TestALongList: thousands of hosts at once, listed twice, cost no table
// each and leave the relay able to send; hosts that leave are forgotten.
func TestLargeEndpointList(t *testing.T) {
	var hosts, gone []Host
	for i := range 5000 {
		host := readyHost(fmt.Sprint("h", i), i, 0, 0)
		hosts = append(hosts, host)
		host.State = Gone
		gone = append(gone, host)
	}
	r := newHarness(t, settings(), hosts...)
	r.step(Listing{Whole: true, Hosts: hosts})
	msg := arrival("m", 0)
	msg.Dest = 4999
	if got := sends(r.step(msg)); len(got) != 1 || got[0].Host != "h4999" {
		t.Fatalf("sends %v, want one to h4999", got)
	}
	for id, dest := range r.c.destinations {
		if !dest.latencies.Empty() {
			t.Fatalf("destination %d has a table before its first answer", id)
		}
	}
	r.step(r.result("m", "h4999", Served))
	r.step(Listing{Hosts: gone})
	if len(r.c.destinations) != 0 || len(r.c.hosts) != 0 {
		t.Errorf("%d destinations and %d hosts remembered after all left", len(r.c.destinations), len(r.c.hosts))
	}
}

// Guards against holding stray noise for an outage: the host did answer.
func TestUnreadableResponsesAreNoOutage(t *testing.T) {
	r := newHarness(t, settings(), readyHost("a", 1, 0, 0))
	call := func(id string, outcome Outcome) (unwell bool) {
		acts := r.step(arrival(id, 2))
		for len(sends(acts)) == 0 {
			acts = r.advance(10 * ms)
		}
		for _, a := range r.step(r.result(id, "a", outcome)) {
			health, ok := a.(Health)
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

// Guards against a standstill at the first refusal: calls sent while there was no limit are no debt. And
// against taking a young unit for one that serves little, since the smoothed rate begins at 0.
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

// Guards against a backlog behind a pace that regains as little a second with many calls as with few, and
// against a pace cut to what was sent in a lull.
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
