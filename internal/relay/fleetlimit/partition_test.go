package fleetlimit

import (
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
)

// testRelay is a relay of a fleet that wants calls to a destination which it does not coordinate. A stand-in
// answers its messages for the other relays, unless they are unresponsive.
type testRelay struct {
	t            *testing.T
	limiter      *Limiter
	now          time.Duration
	unresponsive func(relay int) bool
	granted      int
	candidates   []int
	sent         []record
	sentTo       []int // receivers of sent
	received     []choice.Heard
	input        []choice.Action
}

func newTestRelay(t *testing.T, dest int) *testRelay {
	f, err := New(Settings{Index: 0, FleetSize: 300, Seed: 7, Rules: rules()})
	if err != nil {
		t.Fatal(err)
	}
	w := &testRelay{t: t, limiter: f, candidates: Coordinators(dest, f.settings.FleetSize),
		unresponsive: func(int) bool { return false }}
	w.run(ms, choice.Want{Dest: dest, Calls: 1, Value: 1, Routes: []string{"a", "b"}})
	return w
}

// run steps the relay for a time span, a millisecond at a time.
func (w *testRelay) run(span time.Duration, input ...choice.Action) {
	w.input = append(w.input, input...)
	for end := w.now + span; w.now < end; w.now += ms {
		actions, grants := w.limiter.Step(w.now, w.received, w.input)
		w.received, w.input = nil, nil
		for _, e := range grants {
			if g, ok := e.(choice.Granted); ok {
				w.granted++
				w.input = append(w.input, choice.Want{Dest: g.Dest, Calls: 1, Value: 1, Routes: []string{"a", "b"}},
					choice.Spent{Dest: g.Dest, Route: g.Route, Grant: g.Grant, Outcome: choice.Served, Took: 50 * ms})
			}
		}
		for _, a := range actions {
			n, ok := a.(choice.Tell)
			if !ok {
				continue
			}
			all, err := decode(n.Note)
			if err != nil {
				w.t.Fatal(err)
			}
			for _, r := range all {
				w.sent, w.sentTo = append(w.sent, r), append(w.sentTo, n.To)
				answer := record{kind: helloKind, answer: true}
				if r.kind == requestKind && r.calls > 0 {
					answer = record{kind: grantKind, dest: r.dest, timestamp: r.timestamp, grant: uint32(w.now), validFor: 400 * ms,
						routes: []estimate{{route: r.routes[0].route, rate: 30, limitKnown: true}}}
				}
				if !w.unresponsive(n.To) && (r.kind == requestKind && r.calls > 0 || r.kind == helloKind && !r.answer) {
					w.received = append(w.received, choice.Heard{From: n.To, Note: gossip.Seal(answer.appendTo([]byte{version}))})
				}
			}
		}
	}
}

// Guards against a relay that tries the eight coordinators of a destination in turn while no relay receives from
// another.
func TestPartitionedRelayGrantsItself(t *testing.T) {
	w := newTestRelay(t, 5)
	w.run(3 * time.Second)
	if w.granted < 100 || w.limiter.connectivity.partitioned {
		t.Fatalf("%d calls granted before the partition; partitioned: %v", w.granted, w.limiter.connectivity.partitioned)
	}
	w.unresponsive, w.granted = func(int) bool { return true }, 0
	w.run(600 * ms)
	if !w.limiter.connectivity.partitioned || w.granted == 0 {
		t.Fatalf("after 0.6 s without messages partitioned: %v, %d calls granted", w.limiter.connectivity.partitioned, w.granted)
	}
	w.granted, w.sent, w.sentTo = 0, nil, nil
	w.run(20 * time.Second) // two routes of 30 a second, twice an even share of 300 relays: 0.4 a second
	if w.granted < 4 || w.granted > 12 {
		t.Errorf("%d calls granted in 20 s while isolated, 8 are twice its share", w.granted)
	}
	if len(w.sent) > 60 {
		t.Errorf("%d records to relays that do not answer", len(w.sent))
	}
	// The partition ends: the first coordinator is asked at once, though it did not answer for so long.
	w.unresponsive, w.granted, w.sent, w.sentTo = func(int) bool { return false }, 0, nil, nil
	w.run(500 * ms)
	if w.limiter.connectivity.partitioned || w.granted < 20 {
		t.Errorf("half a second after its end partitioned: %v, %d calls granted", w.limiter.connectivity.partitioned, w.granted)
	}
	for i, r := range w.sent {
		if r.kind == requestKind && r.calls > 0 && w.sentTo[i] != w.candidates[0] {
			t.Errorf("sent a request to relay %d, not to its coordinator %d", w.sentTo[i], w.candidates[0])
		}
	}
}

// Guards against taking one dead coordinator, or the dead half of a fleet, for a partition.
func TestDeadCoordinatorIsNoPartition(t *testing.T) {
	for name, dead := range map[string]func(w *testRelay) func(int) bool{
		"coordinator": func(w *testRelay) func(int) bool { return func(i int) bool { return i == w.candidates[0] } },
		"first three candidates": func(w *testRelay) func(int) bool {
			return func(i int) bool { return i == w.candidates[0] || i == w.candidates[1] || i == w.candidates[2] }
		},
		"a third of the fleet": func(w *testRelay) func(int) bool {
			return func(i int) bool { return i%3 == 0 || i == w.candidates[0] }
		},
	} {
		w := newTestRelay(t, 5)
		w.run(time.Second)
		w.unresponsive = dead(w)
		w.granted = 0
		for range 2000 {
			if w.run(ms); w.limiter.connectivity.partitioned {
				t.Fatalf("%s: partitioned", name)
			}
		}
		if w.granted == 0 {
			t.Errorf("%s: nothing granted in two seconds", name)
		}
	}
}

// Guards against requests to a dead coordinator for ever: under load what is wanted changes more often than an
// answer may take, and a changed request must not restart the time-out.
func TestBusyRelaySkipsDeadCoordinator(t *testing.T) {
	w := newTestRelay(t, 5)
	w.run(time.Second)
	w.unresponsive = func(i int) bool { return i == w.candidates[0] }
	w.run(10 * ms) // what was in transit arrives
	died := w.now
	w.granted = 0
	for n := range 40 { // 2 s
		w.run(50*ms, choice.Want{Dest: 5, Calls: 1 + n%3, Value: 1, Routes: []string{"a", "b"}})
		if granted := w.now - died; w.granted > 0 {
			if limit := (maxAttempts + 1) * answerTimeout; granted > limit {
				t.Errorf("the next coordinator granted %v after the first had died, %v at most", granted, limit)
			}
			return
		}
	}
	t.Error("nothing granted in two seconds")
}

// A coordinator's state after a partition is that before it, whatever it saw while isolated.
func TestCoordinatorStateAfterPartition(t *testing.T) {
	k := &coordinatorState{dest: 5, routes: map[uint32]*pacer{}}
	request := record{kind: requestKind, dest: 5, calls: 3, value: 1, routes: []estimate{{route: 9, rate: 40, limitKnown: true}}}
	k.put(rules(), 1, false, 0, 17, request)
	p := k.routes[9]
	for i := range uint32(5) {
		p.grant(100*ms, 17, i)
	}
	k.isolate(rules(), 200*ms)
	if len(k.requests) > 0 || k.routes[9] == p || k.routes[9].rate != 40 {
		t.Fatalf("isolated: %d requests, rate %v", len(k.requests), k.routes[9].rate)
	}
	k.put(rules(), 1.0/300, true, 300*ms, 0, request)
	k.routes[9].grant(300*ms, 0, 9)
	k.routes[9].complete(400*ms, 0, 9, choice.NoConnection, 0, 0)
	if k.routes[9].state != down {
		t.Fatal("an isolated relay did not take one failure for an outage")
	}
	k.rejoin(6 * time.Second)
	p.advance(6500*ms, receivedAlwaysAt(6500*ms), true)
	if k.routes[9] != p || p.state != open || p.rate < 40 || len(p.inFlight) > 0 || len(k.order) != 1 {
		t.Errorf("rejoined: state %d, rate %v, %d in flight, %d routes", p.state, p.rate, len(p.inFlight), len(k.order))
	}
}

// The majority of the relays that saw a route decide whether it is warming up; a few that could not reach it do
// not mark it down.
func TestWitnesses(t *testing.T) {
	for _, tc := range []struct{ down, open int }{{1, 0}, {2, 0}, {3, 0}, {3, 2}, {2, 3}, {5, 5}, {30, 10}, {10, 30}} {
		p := newPacer(rules(), 0)
		p.rate, p.limitKnown = 40, true
		for i := range tc.open {
			p.addWitness(time.Second, i, open)
		}
		for i := range tc.down {
			p.addWitness(time.Second, 100+i, down)
		}
		want := open
		if tc.down+tc.open >= minWitnesses && tc.down > tc.open {
			want = down
		}
		if p.state != want || p.rateBeforeOutage != map[state]float64{open: 0, down: 40}[want] {
			t.Errorf("%d saw it fail, %d serve: state %d, base %v", tc.down, tc.open, p.state, p.rateBeforeOutage)
		}
	}
}

// Isolated relays begin with each route in proportion to its rate.
func TestIsolatedRelaysSpreadOverRoutes(t *testing.T) {
	k := &coordinatorState{routes: map[uint32]*pacer{1: {rate: 10}, 2: {rate: 30}, 3: {rate: 60}}}
	first := map[uint32]int{}
	for relay := range 1000 {
		routes := []uint32{1, 2, 3}
		k.shuffleRoutes(relay, routes)
		first[routes[0]]++
	}
	if first[1] < 60 || first[1] > 140 || first[3] < 550 || first[3] > 650 {
		t.Errorf("of 1000 relays begin with routes of 10, 30 and 60 calls a second: %v", first)
	}
}

// Unanswered calls of a relay from which nothing was received since say nothing about a route.
func TestUnreachableRelaysMarkNoRouteDown(t *testing.T) {
	for lastReceived, want := range map[time.Duration]state{50 * ms: open, 200 * ms: down} {
		p := newPacer(rules(), 0)
		for i := range uint32(5) {
			p.grant(100*ms, 17, i)
		}
		p.advance(2*time.Second, receivedAlwaysAt(lastReceived), true)
		if p.state != want {
			t.Errorf("last received at %v: state %d, want %d", lastReceived, p.state, want)
		}
	}
}

// A restarted coordinator learns the rate from any relay that knows it, however many others sent requests first.
// Estimates that arrive after it reached the limit itself are its own, and old.
func TestRestartedCoordinatorLearns(t *testing.T) {
	k := &coordinatorState{dest: 5, routes: map[uint32]*pacer{}}
	request := func(from int, x estimate) {
		x.route = 9
		k.put(rules(), 1, false, time.Second, from, record{kind: requestKind, dest: 5, calls: 1, value: 1, routes: []estimate{x}})
	}
	for from := range 20 {
		request(from, estimate{})
	}
	if p := k.routes[9]; p.rate != initialRate || p.limitKnown {
		t.Fatalf("rate %v from relays that know nothing", p.rate)
	}
	request(20, estimate{rate: 200, witnessed: true, limitKnown: true, state: down})
	request(21, estimate{rate: 150})
	if p := k.routes[9]; p.rate != initialRate || p.state != open {
		t.Errorf("rate %v, state %d by what one relay saw while isolated, or others began with", p.rate, p.state)
	}
	request(22, estimate{rate: 80, limitKnown: true})
	request(23, estimate{rate: 90, limitKnown: true})
	if p := k.routes[9]; p.rate != 80 || !p.limitKnown {
		t.Errorf("rate %v, want 80", p.rate)
	}
}

// Guards against a coordinator that takes its own stall for an outage or for a low limit, and against messages
// of that time: grants and requests from before the stall are void, and it learns what was measured meanwhile.
func TestStalledCoordinator(t *testing.T) {
	f, err := New(Settings{Index: 0, FleetSize: 300, Seed: 7, Rules: rules()})
	if err != nil {
		t.Fatal(err)
	}
	request := func(from int, x estimate) choice.Heard {
		x.route = 9
		r := record{kind: requestKind, dest: 5, calls: 200, value: 1, routes: []estimate{x}}
		return choice.Heard{From: from, Note: gossip.Seal(r.appendTo([]byte{version}))}
	}
	step := func(at time.Duration, received ...choice.Heard) (granted int) {
		actions, _ := f.Step(at, received, nil)
		for _, a := range actions {
			n, ok := a.(choice.Tell)
			if !ok {
				continue
			}
			all, _ := decode(n.Note)
			for _, r := range all {
				if r.kind == grantKind {
					granted++
				}
			}
		}
		return granted
	}
	granted := 0
	for at := time.Duration(0); at < 600*ms; at += 10 * ms { // outcomes are not due yet
		granted += step(at, request(17, estimate{rate: 100, limitKnown: true}))
	}
	p := f.coordinated[5].routes[9]
	if granted < 30 || len(p.inFlight) != granted {
		t.Fatalf("%d granted, %d in flight", granted, len(p.inFlight))
	}
	p.lastFullAt, p.callsSinceFull = 500*ms, 3
	// It is stalled for 10 s: messages in the socket are read first.
	n := step(11*time.Second, request(17, estimate{rate: 100, limitKnown: true}), request(18, estimate{}))
	if n > 0 || len(f.coordinated[5].requests) > 0 {
		t.Errorf("%d granted to requests of the time between, %d kept", n, len(f.coordinated[5].requests))
	}
	if len(p.inFlight) > 0 || p.state != open || p.rate < 95 {
		t.Errorf("%d in flight, state %d, rate %v", len(p.inFlight), p.state, p.rate)
	}
	step(11*time.Second+discardTime, request(17, estimate{rate: 60, limitKnown: true}))
	if p.rate > 70 || !p.limitKnown {
		t.Errorf("rate %v, want 60 as measured by the coordinator meanwhile", p.rate)
	}
	p.grant(11100*ms, 17, 1)
	p.complete(11200*ms, 17, 1, choice.Refused, 20*ms, 0)
	if p.rate < 0.6*60 {
		t.Errorf("rate %v after a refusal: measured over the time of the stall", p.rate)
	}
	// A wake-up that is less late is normal on a busy machine.
	before := len(f.coordinated[5].routes[9].inFlight)
	f.wakeAt = f.now + 10*ms
	f.detectStall(f.wakeAt + stallThreshold - ms)
	if f.discardUntil > 11*time.Second+discardTime || len(f.coordinated[5].routes[9].inFlight) != before {
		t.Error("a wake-up that is a little late is taken for a stall")
	}
}
