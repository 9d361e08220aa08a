package fleetlimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"larchrouter/choice"
)

const ms = time.Millisecond

func rules() choice.Rules {
	return choice.Rules{OverloadFactor: 2, Fall: 2 * time.Second, ColdFrom: 0.2, Cold: 10 * time.Second}
}

// bucket is a route with a token bucket that refused calls use up.
type bucket struct {
	limit, burst, debt, tokens float64
	at                         time.Duration
}

func (b *bucket) admit(now time.Duration) (bool, time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.limit*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		b.tokens = max(-b.debt, b.tokens-1)
		return false, 700 * ms
	}
	b.tokens--
	return true, 0
}

// counter is a route that accepts a number of calls in a fixed window, and sends when the next begins.
type counter struct {
	limit, count int
	window, next time.Duration
}

func (c *counter) admit(now time.Duration) (bool, time.Duration) {
	for now >= c.next {
		c.next, c.count = c.next+c.window, 0
	}
	if c.count++; c.count > c.limit {
		return false, c.next - now
	}
	return true, 0
}

type limited interface {
	admit(now time.Duration) (ok bool, wait time.Duration)
}

// runPacer runs a pacer against a route from begin to end, with more demand than the route accepts, and counts
// the calls after countFrom.
func runPacer(p *pacer, route limited, begin, countFrom, end time.Duration, seed uint64) (served, refused int) {
	type answer struct {
		at     time.Duration
		id     uint32
		served bool
		wait   time.Duration
	}
	random := rand.New(rand.NewPCG(seed, 0))
	var answers []answer
	id := uint32(0)
	for now := begin; now < end; now += ms {
		answers = slices.DeleteFunc(answers, func(a answer) bool {
			if a.at > now {
				return false
			}
			outcome := choice.Refused
			if a.served {
				outcome = choice.Served
			}
			p.complete(now, 0, a.id, outcome, 80*ms, a.wait)
			return true
		})
		for p.advance(now, receivedAlwaysAt(now), true); p.nextAt(now) <= now; {
			id++
			p.grant(now, 0, id)
			ok, wait := route.admit(now)
			if id%3 > 0 { // one refusal in three has a retry-after
				wait = 0
			}
			answers = append(answers, answer{now + 40*ms + time.Duration(random.IntN(80))*ms, id, ok, wait})
			if now >= countFrom && ok {
				served++
			} else if now >= countFrom {
				refused++
			}
		}
	}
	return served, refused
}

// A pacer converges to the limit of a route, whatever that is, and uses it with few refusals.
func TestPacerConvergesToLimit(t *testing.T) {
	for _, limit := range []float64{3, 10, 40, 150} {
		b := &bucket{limit: limit, burst: limit, debt: limit, tokens: limit}
		p := newPacer(rules(), 0)
		served, refused := runPacer(p, b, 0, 10*time.Second, 40*time.Second, 1)
		if share := float64(served) / (30 * limit); share < 0.85 {
			t.Errorf("limit %g: %.2f of it used", limit, share)
		}
		if ratio := float64(refused) / float64(served+refused); ratio > 0.15 { // on the slowest, one call in ten probes
			t.Errorf("limit %g: %.2f of the calls refused", limit, ratio)
		}
	}
}

// A limit that falls to a third for 9 s and rises again: the room is used again within a few seconds.
func TestPacerFollowsLimit(t *testing.T) {
	b := &bucket{limit: 30, burst: 30, debt: 30, tokens: 30}
	p := newPacer(rules(), 0)
	runPacer(p, b, 0, 0, 10*time.Second, 1)
	b.limit = 10
	served, refused := runPacer(p, b, 10*time.Second, 12*time.Second, 19*time.Second, 2)
	if served < 45 || refused > 25 {
		t.Errorf("%d served and %d refused in the last 7 s of a third of the limit; 70 are possible", served, refused)
	}
	b.limit = 30
	if served, _ := runPacer(p, b, 19*time.Second, 26*time.Second, 30*time.Second, 3); served < 90 {
		t.Errorf("%d served from 7 to 11 s after the limit rose; 120 are possible", served)
	}
}

// A route that counts calls in fixed windows is not called until the end of a window that is full, and used as
// far in the next.
func TestPacerRespectsFixedWindow(t *testing.T) {
	for _, window := range []time.Duration{6 * time.Second, 15 * time.Second} {
		p := newPacer(rules(), 0)
		c := &counter{limit: 90, window: window}
		served, refused := runPacer(p, c, 0, 0, 3*window, 1)
		if served < 90*3*8/10 || refused > served/4 {
			t.Errorf("%v: %d served and %d refused in three windows of 90 calls", window, served, refused)
		}
	}
}

// A route gets single trial calls while it is down, and no more than the rule's budget while it is warming up.
func TestPacerAfterOutage(t *testing.T) {
	p := newPacer(rules(), 0)
	b := &bucket{limit: 30, burst: 30, debt: 30, tokens: 30}
	runPacer(p, b, 0, 0, 10*time.Second, 1)
	now, id, trials := 10*time.Second, uint32(1000), 0
	for ; now < 15*time.Second; now += ms {
		for p.advance(now, receivedAlwaysAt(now), true); p.nextAt(now) <= now; trials++ {
			id++
			p.grant(now, 0, id)
			p.complete(now, 0, id, choice.NoConnection, 0, 0)
		}
	}
	if p.state != down || trials > 14 {
		t.Fatalf("state %d after %d calls in an outage of 5 s", p.state, trials)
	}
	back := now
	var calls []time.Duration
	for ; now < back+10*time.Second; now += ms {
		for p.advance(now, receivedAlwaysAt(now), true); p.nextAt(now) <= now; {
			id++
			p.grant(now, 0, id)
			p.complete(now, 0, id, choice.Served, 50*ms, 0)
			calls = append(calls, now)
			first, _ := slices.BinarySearch(calls, now-2*time.Second)
			if most := 2 * 2 * 30 * (0.2 + 0.8*(now-back).Seconds()/10); float64(len(calls)-first) > most+1 {
				t.Fatalf("%d calls in 2 s, %v after the return; %.1f make it fall over", len(calls)-first, now-back, most)
			}
		}
	}
	if len(calls) < 60 {
		t.Errorf("%d calls in 10 s after the return", len(calls))
	}
}

// Numbers of relays are from 0 to the size of the fleet less one.
func TestNewRejectsInvalidIndex(t *testing.T) {
	for _, n := range []int{-1, 4, 5} {
		if _, err := New(Settings{Index: n, FleetSize: 4, Rules: rules()}); err == nil {
			t.Errorf("no error for relay %d of 4", n)
		}
	}
}

// All relays compute the same coordinator of a destination, and the destinations are spread over the relays.
func TestCoordinatorsAreSpread(t *testing.T) {
	a, _ := New(Settings{Index: 0, FleetSize: 80, Rules: rules()})
	b, _ := New(Settings{Index: 7, FleetSize: 80, Rules: rules()})
	count := map[int]int{}
	for dest := range 800 {
		candidates := a.requestFor(dest).candidates
		if !slices.Equal(candidates, b.requestFor(dest).candidates) || len(candidates) != maxCandidates {
			t.Fatalf("destination %d: %v and %v", dest, candidates, b.requestFor(dest).candidates)
		}
		count[candidates[0]]++
	}
	if len(count) < 75 {
		t.Errorf("%d of 80 relays are coordinator of any of 800 destinations", len(count))
	}
}

// receivedAlwaysAt returns a function by which the last message of every relay arrived at a time.
func receivedAlwaysAt(at time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return at }
}
