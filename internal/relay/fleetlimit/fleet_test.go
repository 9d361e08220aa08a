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

// bucket is a route with a limit that refused calls use up.
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

// counter is a route that takes so many calls in a fixed span, and tells when the next begins.
type counter struct {
	most, came int
	span, next time.Duration
}

func (c *counter) admit(now time.Duration) (bool, time.Duration) {
	for now >= c.next {
		c.next, c.came = c.next+c.span, 0
	}
	if c.came++; c.came > c.most {
		return false, c.next - now
	}
	return true, 0
}

type limited interface {
	admit(now time.Duration) (ok bool, wait time.Duration)
}

// paced plays a pacer against a route for a while with more asked than it takes, and counts from a time on.
func paced(p *pacer, b limited, begin, from, span time.Duration, seed uint64) (served, refused int) {
	type answer struct {
		at     time.Duration
		id     uint32
		served bool
		wait   time.Duration
	}
	r := rand.New(rand.NewPCG(seed, 0))
	var coming []answer
	id := uint32(0)
	for now := begin; now < span; now += ms {
		coming = slices.DeleteFunc(coming, func(a answer) bool {
			if a.at > now {
				return false
			}
			o := choice.Refused
			if a.served {
				o = choice.Served
			}
			p.ended(now, 0, a.id, o, 80*ms, a.wait)
			return true
		})
		for p.settle(now, hears(now), true); p.roomAt(now) <= now; {
			id++
			p.grant(now, 0, id)
			ok, wait := b.admit(now)
			if id%3 > 0 { // one refusal in three tells
				wait = 0
			}
			coming = append(coming, answer{now + 40*ms + time.Duration(r.IntN(80))*ms, id, ok, wait})
			if now >= from && ok {
				served++
			} else if now >= from {
				refused++
			}
		}
	}
	return served, refused
}

// A pacer finds out what a route takes, whatever that is, and uses it with few refusals.
func TestPacerFindsTheLimit(t *testing.T) {
	for _, limit := range []float64{3, 10, 40, 150} {
		b := &bucket{limit: limit, burst: limit, debt: limit, tokens: limit}
		p := newPacer(rules(), 0)
		served, refused := paced(p, b, 0, 10*time.Second, 40*time.Second, 1)
		if share := float64(served) / (30 * limit); share < 0.85 {
			t.Errorf("limit %g: %.2f of it used", limit, share)
		}
		if part := float64(refused) / float64(served+refused); part > 0.15 { // of the slowest each probe is a call of ten
			t.Errorf("limit %g: %.2f of the calls refused", limit, part)
		}
	}
}

// A limit that falls to a third for 9 s and rises again: the room is used again within a few seconds.
func TestPacerFollowsALimit(t *testing.T) {
	b := &bucket{limit: 30, burst: 30, debt: 30, tokens: 30}
	p := newPacer(rules(), 0)
	paced(p, b, 0, 0, 10*time.Second, 1)
	b.limit = 10
	served, refused := paced(p, b, 10*time.Second, 12*time.Second, 19*time.Second, 2)
	if served < 45 || refused > 25 {
		t.Errorf("%d served and %d refused in the last 7 s of a third of the limit; 70 are possible", served, refused)
	}
	b.limit = 30
	if served, _ := paced(p, b, 19*time.Second, 26*time.Second, 30*time.Second, 3); served < 90 {
		t.Errorf("%d served from 7 to 11 s after the limit rose; 120 are possible", served)
	}
}

// A route that counts calls in a fixed span is left alone until its end once it has said so, and used as far in the next.
func TestPacerKeepsToAFixedSpan(t *testing.T) {
	for _, span := range []time.Duration{6 * time.Second, 15 * time.Second} {
		p := newPacer(rules(), 0)
		c := &counter{most: 90, span: span}
		served, refused := paced(p, c, 0, 0, 3*span, 1)
		if served < 90*3*8/10 || refused > served/4 {
			t.Errorf("%v: %d served and %d refused in three spans of 90 calls", span, served, refused)
		}
	}
}

// What comes back cold gets single trials while it is down, and then no more than the rule's budget.
func TestPacerAfterAnOutage(t *testing.T) {
	p := newPacer(rules(), 0)
	b := &bucket{limit: 30, burst: 30, debt: 30, tokens: 30}
	paced(p, b, 0, 0, 10*time.Second, 1)
	now, id, trials := 10*time.Second, uint32(1000), 0
	for ; now < 15*time.Second; now += ms {
		for p.settle(now, hears(now), true); p.roomAt(now) <= now; trials++ {
			id++
			p.grant(now, 0, id)
			p.ended(now, 0, id, choice.NoConnection, 0, 0)
		}
	}
	if p.state != down || trials > 14 {
		t.Fatalf("state %d after %d calls in an outage of 5 s", p.state, trials)
	}
	back := now
	var came []time.Duration
	for ; now < back+10*time.Second; now += ms {
		for p.settle(now, hears(now), true); p.roomAt(now) <= now; {
			id++
			p.grant(now, 0, id)
			p.ended(now, 0, id, choice.Served, 50*ms, 0)
			came = append(came, now)
			first, _ := slices.BinarySearch(came, now-2*time.Second)
			if most := 2 * 2 * 30 * (0.2 + 0.8*(now-back).Seconds()/10); float64(len(came)-first) > most+1 {
				t.Fatalf("%d calls in 2 s, %v after the return; %.1f make it fall over", len(came)-first, now-back, most)
			}
		}
	}
	if len(came) < 60 {
		t.Errorf("%d calls in 10 s after the return", len(came))
	}
}

func TestNumberBeyondTheFleet(t *testing.T) {
	for _, n := range []int{-1, 4, 5} {
		if _, err := New(Settings{Index: n, Fleet: 4, Rules: rules()}); err == nil {
			t.Errorf("no error for relay %d of 4", n)
		}
	}
}

// All relays have the same steward for a destination, and the destinations are spread over the relays.
func TestStewardsAreSpread(t *testing.T) {
	a, _ := New(Settings{Index: 0, Fleet: 80, Rules: rules()})
	b, _ := New(Settings{Index: 7, Fleet: 80, Rules: rules()})
	count := map[int]int{}
	for dest := range 800 {
		ranked := a.errand(dest).ranked
		if !slices.Equal(ranked, b.errand(dest).ranked) || len(ranked) != ranks {
			t.Fatalf("destination %d: %v and %v", dest, ranked, b.errand(dest).ranked)
		}
		count[ranked[0]]++
	}
	if len(count) < 75 {
		t.Errorf("%d of 80 relays are steward of any of 800 destinations", len(count))
	}
}

// hears has every relay heard at a time.
func hears(at time.Duration) func(int) time.Duration { return func(int) time.Duration { return at } }
