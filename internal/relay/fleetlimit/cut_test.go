package fleetlimit

import (
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
)

// wanting is a relay of a fleet that wants calls to a destination of which it is not steward, and the notes that it
// sends are answered by a stand-in for the others, as far as they are heard.
type wanting struct {
	t       *testing.T
	f       *Fleet
	now     time.Duration
	silent  func(relay int) bool
	granted int
	rank    []int
	told    []record // with whom in to
	to      []int
	heard   []choice.Heard
	said    []choice.Action
}

func newWanting(t *testing.T, dest int) *wanting {
	f, err := New(Settings{Index: 0, Fleet: 300, Seed: 7, Rules: rules()})
	if err != nil {
		t.Fatal(err)
	}
	w := &wanting{t: t, f: f, rank: Stewards(dest, f.set.Fleet), silent: func(int) bool { return false }}
	w.play(ms, choice.Want{Dest: dest, Calls: 1, Value: 1, Routes: []string{"a", "b"}})
	return w
}

// play leads the relay on for a while, a millisecond at a time.
func (w *wanting) play(span time.Duration, said ...choice.Action) {
	w.said = append(w.said, said...)
	for end := w.now + span; w.now < end; w.now += ms {
		acts, given := w.f.Step(w.now, w.heard, w.said)
		w.heard, w.said = nil, nil
		for _, e := range given {
			if g, ok := e.(choice.Granted); ok {
				w.granted++
				w.said = append(w.said, choice.Want{Dest: g.Dest, Calls: 1, Value: 1, Routes: []string{"a", "b"}},
					choice.Spent{Dest: g.Dest, Route: g.Route, Grant: g.Grant, Outcome: choice.Served, Took: 50 * ms})
			}
		}
		for _, a := range acts {
			n, ok := a.(choice.Tell)
			if !ok {
				continue
			}
			all, err := read(n.Note)
			if err != nil {
				w.t.Fatal(err)
			}
			for _, r := range all {
				w.told, w.to = append(w.told, r), append(w.to, n.To)
				answer := record{kind: helloKind, answer: true}
				if r.kind == askKind && r.calls > 0 {
					answer = record{kind: grantKind, dest: r.dest, mark: r.mark, grant: uint32(w.now), life: 400 * ms,
						routes: []rumour{{route: r.routes[0].route, rate: 30, found: true}}}
				}
				if !w.silent(n.To) && (r.kind == askKind && r.calls > 0 || r.kind == helloKind && !r.answer) {
					w.heard = append(w.heard, choice.Heard{From: n.To, Note: gossip.Seal(answer.append([]byte{version}))})
				}
			}
		}
	}
}

// Guards against a relay that tries the eight stewards of a destination in turn while nobody hears anybody.
func TestCutOffRelayGrantsItself(t *testing.T) {
	w := newWanting(t, 5)
	w.play(3 * time.Second)
	if w.granted < 100 || w.f.hearing.cut {
		t.Fatalf("%d calls granted before the cut; cut off: %v", w.granted, w.f.hearing.cut)
	}
	w.silent, w.granted = func(int) bool { return true }, 0
	w.play(600 * ms)
	if !w.f.hearing.cut || w.granted == 0 {
		t.Fatalf("after 0.6 s of silence cut off: %v, %d calls granted", w.f.hearing.cut, w.granted)
	}
	w.granted, w.told, w.to = 0, nil, nil
	w.play(20 * time.Second) // two routes of 30 a second, twice an even share of 300 relays: 0.4 a second
	if w.granted < 4 || w.granted > 12 {
		t.Errorf("%d calls granted in 20 s alone, 8 are twice its share", w.granted)
	}
	if len(w.told) > 60 {
		t.Errorf("%d records to relays that do not answer", len(w.told))
	}
	// It heals: the first steward is asked at once, though it did not answer for so long.
	w.silent, w.granted, w.told, w.to = func(int) bool { return false }, 0, nil, nil
	w.play(500 * ms)
	if w.f.hearing.cut || w.granted < 20 {
		t.Errorf("half a second after it heals cut off: %v, %d calls granted", w.f.hearing.cut, w.granted)
	}
	for i, r := range w.told {
		if r.kind == askKind && r.calls > 0 && w.to[i] != w.rank[0] {
			t.Errorf("asked relay %d, not its steward %d", w.to[i], w.rank[0])
		}
	}
}

// Guards against taking one dead steward, or the dead half of a fleet, for a cut.
func TestDeadStewardIsNoCut(t *testing.T) {
	for name, dead := range map[string]func(w *wanting) func(int) bool{
		"the steward": func(w *wanting) func(int) bool { return func(i int) bool { return i == w.rank[0] } },
		"the first three": func(w *wanting) func(int) bool {
			return func(i int) bool { return i == w.rank[0] || i == w.rank[1] || i == w.rank[2] }
		},
		"a third": func(w *wanting) func(int) bool { return func(i int) bool { return i%3 == 0 || i == w.rank[0] } },
	} {
		w := newWanting(t, 5)
		w.play(time.Second)
		w.silent = dead(w)
		w.granted = 0
		for range 2000 {
			if w.play(ms); w.f.hearing.cut {
				t.Fatalf("%s: cut off", name)
			}
		}
		if w.granted == 0 {
			t.Errorf("%s: nothing granted in two seconds", name)
		}
	}
}

// Guards against a dead steward that is asked anew for ever: under load what is wanted changes more often than an answer
// may take, and each ask that says so must not begin the wait for it again.
func TestBusyRelayPassesADeadStewardOver(t *testing.T) {
	w := newWanting(t, 5)
	w.play(time.Second)
	w.silent = func(i int) bool { return i == w.rank[0] }
	w.play(10 * ms) // what was under way comes
	died := w.now
	w.granted = 0
	for n := range 40 { // 2 s
		w.play(50*ms, choice.Want{Dest: 5, Calls: 1 + n%3, Value: 1, Routes: []string{"a", "b"}})
		if granted := w.now - died; w.granted > 0 {
			if limit := (askTries + 1) * answerIn; granted > limit {
				t.Errorf("the next steward granted %v after the first had died, %v at most", granted, limit)
			}
			return
		}
	}
	t.Error("nothing granted in two seconds")
}

// What a steward knew is where it was after a cut, whatever it saw alone meanwhile.
func TestStewardAfterACut(t *testing.T) {
	k := &desk{dest: 5, routes: map[uint32]*pacer{}}
	ask := record{kind: askKind, dest: 5, calls: 3, value: 1, routes: []rumour{{route: 9, rate: 40, found: true}}}
	k.put(rules(), 1, false, 0, 17, ask)
	p := k.routes[9]
	for i := range uint32(5) {
		p.grant(100*ms, 17, i)
	}
	k.part(rules(), 200*ms)
	if len(k.asks) > 0 || k.routes[9] == p || k.routes[9].rate != 40 {
		t.Fatalf("alone: %d asks, rate %v", len(k.asks), k.routes[9].rate)
	}
	k.put(rules(), 1.0/300, true, 300*ms, 0, ask)
	k.routes[9].grant(300*ms, 0, 9)
	k.routes[9].ended(400*ms, 0, 9, choice.NoConnection, 0, 0)
	if k.routes[9].state != down {
		t.Fatal("a relay that is alone takes one failure for an outage")
	}
	k.join(6 * time.Second)
	p.settle(6500*ms, hears(6500*ms), true)
	if k.routes[9] != p || p.state != open || p.rate < 40 || len(p.out) > 0 || len(k.order) != 1 {
		t.Errorf("joined again: state %d, rate %v, %d out, %d routes", p.state, p.rate, len(p.out), len(k.order))
	}
}

// Most of those that saw a route decide whether it came back cold; a few that could not reach it close it for nobody.
func TestWitnesses(t *testing.T) {
	for _, c := range []struct{ bad, well int }{{1, 0}, {2, 0}, {3, 0}, {3, 2}, {2, 3}, {5, 5}, {30, 10}, {10, 30}} {
		p := newPacer(rules(), 0)
		p.rate, p.found = 40, true
		for i := range c.well {
			p.vote(time.Second, i, open)
		}
		for i := range c.bad {
			p.vote(time.Second, 100+i, down)
		}
		want := open
		if c.bad+c.well >= leastVotes && c.bad > c.well {
			want = down
		}
		if p.state != want || p.base != map[state]float64{open: 0, down: 40}[want] {
			t.Errorf("%d saw it fail, %d be well: state %d, base %v", c.bad, c.well, p.state, p.base)
		}
	}
}

// A relay that is alone begins with one route or another, as often as its rate is of all.
func TestLoneRelaysSpread(t *testing.T) {
	k := &desk{routes: map[uint32]*pacer{1: {rate: 10}, 2: {rate: 30}, 3: {rate: 60}}}
	first := map[uint32]int{}
	for relay := range 1000 {
		routes := []uint32{1, 2, 3}
		k.spread(relay, routes)
		first[routes[0]]++
	}
	if first[1] < 60 || first[1] > 140 || first[3] < 550 || first[3] > 650 {
		t.Errorf("of 1000 relays begin with routes of 10, 30 and 60 calls a second: %v", first)
	}
}

// Calls of a relay that has not been heard since say nothing of a route.
func TestUnheardRelaysCloseNoRoute(t *testing.T) {
	for heard, want := range map[time.Duration]state{50 * ms: open, 200 * ms: down} {
		p := newPacer(rules(), 0)
		for i := range uint32(5) {
			p.grant(100*ms, 17, i)
		}
		p.settle(2*time.Second, hears(heard), true)
		if p.state != want {
			t.Errorf("last heard at %v: state %d, want %d", heard, p.state, want)
		}
	}
}

// A steward that was started anew learns the rate from whichever relay knows it, however many that do not asked first.
// What comes once it has met the limit itself is its own word, and old.
func TestNewStewardLearns(t *testing.T) {
	k := &desk{dest: 5, routes: map[uint32]*pacer{}}
	ask := func(from int, x rumour) {
		x.route = 9
		k.put(rules(), 1, false, time.Second, from, record{kind: askKind, dest: 5, calls: 1, value: 1, routes: []rumour{x}})
	}
	for from := range 20 {
		ask(from, rumour{})
	}
	if p := k.routes[9]; p.rate != firstRate || p.found {
		t.Fatalf("rate %v from relays that know nothing", p.rate)
	}
	ask(20, rumour{rate: 200, saw: true, found: true, state: down})
	ask(21, rumour{rate: 150})
	if p := k.routes[9]; p.rate != firstRate || p.state != open {
		t.Errorf("rate %v, state %d by what one relay saw alone, or others began with", p.rate, p.state)
	}
	ask(22, rumour{rate: 80, found: true})
	ask(23, rumour{rate: 90, found: true})
	if p := k.routes[9]; p.rate != 80 || !p.found {
		t.Errorf("rate %v, want 80", p.rate)
	}
}

// Guards against a steward that takes its own absence for an outage or for a low limit, and against notes of that time:
// what it granted and was asked before it stood still is void, and it learns what was found out meanwhile.
func TestStewardThatStoodStill(t *testing.T) {
	f, err := New(Settings{Index: 0, Fleet: 300, Seed: 7, Rules: rules()})
	if err != nil {
		t.Fatal(err)
	}
	ask := func(from int, x rumour) choice.Heard {
		x.route = 9
		r := record{kind: askKind, dest: 5, calls: 200, value: 1, routes: []rumour{x}}
		return choice.Heard{From: from, Note: gossip.Seal(r.append([]byte{version}))}
	}
	step := func(at time.Duration, heard ...choice.Heard) (granted int) {
		acts, _ := f.Step(at, heard, nil)
		for _, a := range acts {
			n, ok := a.(choice.Tell)
			if !ok {
				continue
			}
			all, _ := read(n.Note)
			for _, r := range all {
				if r.kind == grantKind {
					granted++
				}
			}
		}
		return granted
	}
	granted := 0
	for at := time.Duration(0); at < 600*ms; at += 10 * ms { // ends are not awaited yet
		granted += step(at, ask(17, rumour{rate: 100, found: true}))
	}
	p := f.desks[5].routes[9]
	if granted < 30 || len(p.out) != granted {
		t.Fatalf("%d granted, %d out", granted, len(p.out))
	}
	p.epoch, p.calls = 500*ms, 3
	// It stands still for 10 s: what lay in the socket comes first.
	if n := step(11*time.Second, ask(17, rumour{rate: 100, found: true}), ask(18, rumour{})); n > 0 || len(f.desks[5].asks) > 0 {
		t.Errorf("%d granted to asks of the time between, %d kept", n, len(f.desks[5].asks))
	}
	if len(p.out) > 0 || p.state != open || p.rate < 95 {
		t.Errorf("%d out, state %d, rate %v", len(p.out), p.state, p.rate)
	}
	step(11*time.Second+drainFor, ask(17, rumour{rate: 60, found: true}))
	if p.rate > 70 || !p.found {
		t.Errorf("rate %v, which the one that stood in had found to be 60", p.rate)
	}
	p.grant(11100*ms, 17, 1)
	p.ended(11200*ms, 17, 1, choice.Refused, 20*ms, 0)
	if p.rate < 0.6*60 {
		t.Errorf("rate %v after a refusal: measured over the time that it stood still", p.rate)
	}
	// A wake that is late by less is what a busy machine makes of it.
	before := len(f.desks[5].routes[9].out)
	f.wakeAt = f.now + 10*ms
	if f.away(f.wakeAt + awayFor - ms); f.deafUntil > 11*time.Second+drainFor || len(f.desks[5].routes[9].out) != before {
		t.Error("a wake that is a little late is taken for an absence")
	}
}
