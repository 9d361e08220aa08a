package fleetlimit

import (
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
)

// Guards against calls that go out seconds after they were granted: by then their steward gives that room to others.
func TestLateGrantIsHandedBack(t *testing.T) {
	f, err := New(Settings{Index: 3, Fleet: 20, Seed: 1, Rules: rules(), Rights: true, Life: 1})
	if err != nil {
		t.Fatal(err)
	}
	steward := Stewards(5, 20)[0]
	want := choice.Want{Dest: 5, Calls: 4, Value: 1, Routes: []string{"a"}}
	f.Step(time.Second, nil, []choice.Action{want})
	mark := markOf(time.Second)
	at := time.Second
	step := func(now time.Duration, r record) (granted int, told []record) {
		for ; at < now; at += 10 * ms { // it does not stand still
			f.Step(at, nil, nil)
		}
		r.kind, r.dest, r.routes, r.life = grantKind, 5, []rumour{{route: routeOf("a"), rate: 10}}, grantLife
		acts, given := f.Step(now, []choice.Heard{{From: steward, Note: gossip.Seal(r.append([]byte{version}))}}, nil)
		for _, a := range acts {
			if n, ok := a.(choice.Tell); ok && n.To == steward {
				all, _ := read(n.Note)
				for _, r := range all {
					if r.kind == spentKind {
						told = append(told, r)
					}
				}
			}
		}
		return len(given), told
	}
	if n, told := step(1100*ms, record{grant: 1, mark: mark, kept: 80 * ms}); n != 1 || len(told) > 0 {
		t.Errorf("a grant that came in time: %d given, %v told", n, told)
	}
	if n, told := step(3*time.Second, record{grant: 1, mark: mark, kept: 80 * ms}); n != 0 || len(told) > 0 {
		t.Errorf("the same again, late: %d given, %v told; it may be in use", n, told)
	}
	if n, told := step(3*time.Second, record{grant: 2, mark: mark, kept: 80 * ms}); n != 0 || len(told) != 1 || told[0].outcome != choice.NotSent || told[0].grant != 2 {
		t.Errorf("one that was under way for two seconds: %d given, %v told", n, told)
	}
	if n, _ := step(3*time.Second, record{grant: 3, mark: mark, kept: 1900 * ms}); n != 1 {
		t.Errorf("one that answers an ask which the steward had for that long: %d given", n)
	}
	if n, _ := step(3*time.Second, record{grant: 4, mark: mark + 500, kept: 0}); n != 0 {
		t.Errorf("one that answers an ask yet to be said: %d given", n)
	}
}

// Guards against an ask that comes after a newer one, and takes back what that said.
func TestOldAskChangesNothing(t *testing.T) {
	k := &desk{routes: map[uint32]*pacer{}}
	put := func(calls int, at time.Duration) {
		k.put(rules(), 1, false, 10*time.Second, 7, record{kind: askKind, dest: 5, calls: calls, value: 1, routes: []rumour{{route: 1}}, mark: markOf(at)})
	}
	put(3, 9*time.Second)
	put(8, 8*time.Second)
	put(0, 8*time.Second)
	if len(k.asks) != 1 || k.asks[0].calls != 3 {
		t.Fatalf("after old asks: %v", k.asks)
	}
	if put(5, 9500*ms); k.asks[0].calls != 5 {
		t.Errorf("a newer one: %d calls", k.asks[0].calls)
	}
	if put(2, 100*ms); k.asks[0].calls != 2 { // its relay began anew
		t.Errorf("one of another start: %d calls", k.asks[0].calls)
	}
}

// Guards against grants handed back late: their room has passed, and a limit measured since must not come out too low.
func TestUnusedGrantsAreGivenAgainInTimeOnly(t *testing.T) {
	p := newPacer(rules(), 0)
	for i := range uint32(10) {
		p.grant(time.Second, 1, i)
	}
	p.epoch, p.calls, p.tokens = 5*time.Second, 6, 0
	p.ended(5500*ms, 1, 0, choice.NotSent, 0, 0)
	if p.tokens != 0 || p.calls != 6 {
		t.Errorf("after one of 4.5 s before: %v tokens, %d calls measured", p.tokens, p.calls)
	}
	p.grant(5500*ms, 1, 20)
	p.ended(5700*ms, 1, 20, choice.NotSent, 0, 0)
	if p.tokens != 0 || p.calls != 6 {
		t.Errorf("after one of 0.2 s before: %v tokens, %d calls measured, want 0 and 6", p.tokens, p.calls)
	}
}
