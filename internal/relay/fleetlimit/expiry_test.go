package fleetlimit

import (
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
)

// Guards against calls that are sent seconds after they were granted: by then their coordinator grants that room
// to others.
func TestExpiredGrantIsReturned(t *testing.T) {
	f, err := New(Settings{Index: 3, FleetSize: 20, Seed: 1, Rules: rules(), QuotaShares: true, Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	coordinator := Coordinators(5, 20)[0]
	want := choice.Want{Dest: 5, Calls: 4, Value: 1, Routes: []string{"a"}}
	f.Step(time.Second, nil, []choice.Action{want})
	timestamp := timestampOf(time.Second)
	at := time.Second
	step := func(now time.Duration, r record) (granted int, returned []record) {
		for ; at < now; at += 10 * ms { // it is not stalled
			f.Step(at, nil, nil)
		}
		r.kind, r.dest, r.routes, r.validFor = grantKind, 5, []estimate{{route: routeID("a"), rate: 10}}, grantTTL
		actions, grants := f.Step(now, []choice.Heard{{From: coordinator, Note: gossip.Seal(r.appendTo([]byte{version}))}}, nil)
		for _, a := range actions {
			if n, ok := a.(choice.Tell); ok && n.To == coordinator {
				all, _ := decode(n.Note)
				for _, r := range all {
					if r.kind == outcomeKind {
						returned = append(returned, r)
					}
				}
			}
		}
		return len(grants), returned
	}
	if n, returned := step(1100*ms, record{grant: 1, timestamp: timestamp, queuedFor: 80 * ms}); n != 1 || len(returned) > 0 {
		t.Errorf("a grant in time: %d used, %v returned", n, returned)
	}
	if n, returned := step(3*time.Second, record{grant: 1, timestamp: timestamp, queuedFor: 80 * ms}); n != 0 || len(returned) > 0 {
		t.Errorf("a delayed duplicate: %d used, %v returned; it may be in use", n, returned)
	}
	n, returned := step(3*time.Second, record{grant: 2, timestamp: timestamp, queuedFor: 80 * ms})
	if n != 0 || len(returned) != 1 || returned[0].outcome != choice.NotSent || returned[0].grant != 2 {
		t.Errorf("in transit for two seconds: %d used, %v returned", n, returned)
	}
	if n, _ := step(3*time.Second, record{grant: 3, timestamp: timestamp, queuedFor: 1900 * ms}); n != 1 {
		t.Errorf("in answer to a request that was queued for that long: %d used", n)
	}
	if n, _ := step(3*time.Second, record{grant: 4, timestamp: timestamp + 500, queuedFor: 0}); n != 0 {
		t.Errorf("in answer to a future request: %d used", n)
	}
}

// Guards against a request that arrives after a newer one, and replaces it.
func TestStaleRequestIsIgnored(t *testing.T) {
	k := &coordinatorState{routes: map[uint32]*pacer{}}
	put := func(calls int, at time.Duration) {
		k.put(rules(), 1, false, 10*time.Second, 7, record{kind: requestKind, dest: 5, calls: calls, value: 1,
			routes: []estimate{{route: 1}}, timestamp: timestampOf(at)})
	}
	put(3, 9*time.Second)
	put(8, 8*time.Second)
	put(0, 8*time.Second)
	if len(k.requests) != 1 || k.requests[0].calls != 3 {
		t.Fatalf("after stale requests: %v", k.requests)
	}
	if put(5, 9500*ms); k.requests[0].calls != 5 {
		t.Errorf("after a newer request: %d calls", k.requests[0].calls)
	}
	if put(2, 100*ms); k.requests[0].calls != 2 { // its relay restarted
		t.Errorf("after a request of another incarnation: %d calls", k.requests[0].calls)
	}
}

// Guards against grants that are returned late: their room has passed, and a limit measured since must not be
// too low.
func TestReturnedGrantIsReusedInTimeOnly(t *testing.T) {
	p := newPacer(rules(), 0)
	for i := range uint32(10) {
		p.grant(time.Second, 1, i)
	}
	p.lastFullAt, p.callsSinceFull, p.tokens = 5*time.Second, 6, 0
	p.complete(5500*ms, 1, 0, choice.NotSent, 0, 0)
	if p.tokens != 0 || p.callsSinceFull != 6 {
		t.Errorf("after the return of a grant of 4.5 s before: %v tokens, %d calls measured", p.tokens, p.callsSinceFull)
	}
	p.grant(5500*ms, 1, 20)
	p.complete(5700*ms, 1, 20, choice.NotSent, 0, 0)
	if p.tokens != 0 || p.callsSinceFull != 6 {
		t.Errorf("after the return of a grant of 0.2 s before: %v tokens, %d calls measured, want 0 and 6", p.tokens, p.callsSinceFull)
	}
}
