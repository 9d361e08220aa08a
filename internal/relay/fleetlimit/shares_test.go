package fleetlimit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/relay/gossip"
	"larchrouter/internal/relay/quota"
)

var scenarios = flag.Int("courses", 12, "number of random scenarios of TestSharesAreConserved and TestConfiguredLimitHolds")

// testFleet is a small fleet of real limiters, in virtual time, that want more calls to one destination than it
// accepts. The test decides which messages arrive, and when.
type testFleet struct {
	all          []*Limiter
	n            int
	now          time.Duration
	random       *rand.Rand
	deliver      func(from, to int) (delay time.Duration, ok bool)
	stalled      []bool
	startedAt    []time.Duration // each relay's clock begins at 0 then
	incarnations int
	inFlight     []delivery // messages
	calls        []delivery // outcomes of granted calls
	bound        float64    // on the sum of the grantable shares
	granted      []int      // by relay, since the last takeGranted
	limits       map[int]quota.Limit
	weights      []int
	times        []time.Duration // of all grants
}

type delivery struct {
	at       time.Duration
	from, to int
	message  []byte
	spent    choice.Spent
}

const limit = 100.0 // calls a second of the one route

func newTestFleet(t *testing.T, n int, seed uint64) *testFleet {
	return newTestFleetWithLimits(t, n, seed, nil)
}

func newTestFleetWithLimits(t *testing.T, n int, seed uint64, limits map[int]quota.Limit) *testFleet {
	w := &testFleet{limits: limits, n: n, bound: 1, random: rand.New(rand.NewPCG(seed, 9)),
		stalled: make([]bool, n), startedAt: make([]time.Duration, n), granted: make([]int, n),
		deliver: func(int, int) (time.Duration, bool) { return 5 * ms, true }}
	for i := range n {
		w.all = append(w.all, nil)
		w.start(t, i)
	}
	return w
}

func (w *testFleet) start(t *testing.T, i int) {
	w.incarnations++
	f, err := New(Settings{Index: i, FleetSize: w.n, Seed: uint64(i), Rules: rules(), QuotaShares: true,
		Incarnation: uint32(w.incarnations), Limits: w.limits, Weights: w.weights})
	if err != nil {
		t.Fatal(err)
	}
	e := f.requestFor(5) // all know the limit
	e.estimates[routeID("a")] = receivedEstimate{estimate{route: routeID("a"), rate: limit, limitKnown: true}, 0}
	w.all[i], w.startedAt[i] = f, w.now
}

// run steps all relays for a time span, and checks after each millisecond that the grantable shares keep to the
// bound.
func (w *testFleet) run(t *testing.T, span time.Duration) {
	t.Helper()
	for end := w.now + span; w.now < end; w.now += ms {
		sum := 0.0
		for i, f := range w.all {
			if w.stalled[i] {
				continue
			}
			received := []choice.Heard{}
			w.inFlight = slices.DeleteFunc(w.inFlight, func(p delivery) bool {
				if p.at > w.now || p.to != i {
					return false
				}
				received = append(received, choice.Heard{From: p.from, Note: p.message})
				return true
			})
			input := []choice.Action{choice.Want{Dest: 5, Calls: 20 + int(w.now/(50*ms))%3, Value: 1, Routes: []string{"a"}}}
			w.calls = slices.DeleteFunc(w.calls, func(p delivery) bool {
				if p.at > w.now || p.to != i {
					return false
				}
				input = append(input, p.spent)
				return true
			})
			actions, grants := f.Step(w.now-w.startedAt[i], received, input)
			for _, a := range actions {
				if n, ok := a.(choice.Tell); ok {
					if delay, ok := w.deliver(i, n.To); ok {
						w.inFlight = append(w.inFlight, delivery{at: w.now + delay, from: i, to: n.To, message: n.Note})
					}
				}
			}
			for _, e := range grants {
				g := e.(choice.Granted)
				w.granted[i]++
				w.times = append(w.times, w.now)
				w.calls = append(w.calls, delivery{at: w.now + 20*ms, to: i, spent: choice.Spent{Dest: g.Dest, Route: g.Route, Grant: g.Grant,
					Outcome: choice.Served, Took: 20 * ms}})
			}
		}
		for i, f := range w.all {
			if k := f.coordinated[5]; k != nil && !w.stalled[i] {
				share, _ := f.grantableShare(k)
				sum += share
			}
		}
		if sum > w.bound+1e-9 {
			t.Fatalf("at %v %.3f of the limit may be granted", w.now, sum)
		}
	}
}

// takeGranted returns the calls granted since its last call, by number of the relay modulo sides.
func (w *testFleet) takeGranted(sides int) []int {
	calls := make([]int, sides)
	for i, n := range w.granted {
		calls[i%sides] += n
		w.granted[i] = 0
	}
	return calls
}

// Each side of a partition uses its share from the second second on, and so does the fleet after its end. Served
// calls raise the rate without a bound, but not in a partition.
func TestEachPartitionSideUsesItsShare(t *testing.T) {
	for sides := range 4 {
		sides += 2
		t.Run(fmt.Sprint(sides), func(t *testing.T) {
			w := newTestFleet(t, 12, 1)
			w.run(t, 3*time.Second)
			if n := w.takeGranted(1)[0]; n < 150 {
				t.Fatalf("%d calls in 3 s", n)
			}
			connected := w.deliver
			w.deliver = func(from, to int) (time.Duration, bool) { return 5 * ms, from%sides == to%sides }
			w.run(t, 1200*ms)
			w.takeGranted(1)
			w.run(t, 4*time.Second)
			for side, got := range w.takeGranted(sides) {
				if share := 4 * limit * float64((12+sides-1-side)/sides) / 12; float64(got) < 0.9*share || float64(got) > 1.05*share+limit/4 {
					t.Errorf("side %d: %d calls in 4 s, its share is %.0f", side, got, share)
				}
			}
			w.deliver = connected
			w.run(t, time.Second)
			w.takeGranted(1)
			w.run(t, 2*time.Second)
			if n := w.takeGranted(1)[0]; n < 180 {
				t.Errorf("after the partition: %d calls in 2 s", n)
			}
		})
	}
}

// With one-way links, relays that the coordinator does not receive pledge to one that receives them.
func TestOneWayLinks(t *testing.T) {
	w := newTestFleet(t, 12, 1)
	w.run(t, 3*time.Second)
	w.deliver = func(from, to int) (time.Duration, bool) { return 5 * ms, from%2 == to%2 || from%2 == 0 }
	w.run(t, 2*time.Second)
	w.takeGranted(1)
	w.run(t, 10*time.Second)
	if n := w.takeGranted(1)[0]; n < 800 {
		t.Errorf("%d calls in 10 s, 1000 are the limit", n)
	}
}

// Guards against taking the pledge requests of a restarted coordinator for delayed ones of its previous
// incarnation, as its clock restarts too.
func TestCoordinatorRestart(t *testing.T) {
	w := newTestFleet(t, 12, 1)
	w.run(t, 5*time.Second)
	w.start(t, Coordinators(5, 12)[0])
	w.run(t, 2*time.Second)
	w.takeGranted(1)
	w.run(t, 2*time.Second)
	if n := w.takeGranted(1)[0]; n < 180 {
		t.Errorf("%d calls in 2 s, 200 are the limit", n)
	}
}

// The shares of dead relays are used soon where three quarters of the relays are left, and are lost where fewer are.
func TestSharesOfDeadRelays(t *testing.T) {
	for dead, want := range map[int]float64{3: 0.9 * 4 * limit, 4: 0.9 * 4 * limit * 8 / 12} {
		w := newTestFleet(t, 12, 1)
		w.run(t, 3*time.Second)
		first := Coordinators(5, 12)[0]
		for n, i := 0, 0; n < dead; i++ {
			if i != first {
				w.stalled[i], n = true, n+1
			}
		}
		w.run(t, 2*time.Second)
		w.takeGranted(1)
		w.run(t, 4*time.Second)
		// A coordinator with all shares goes on learning, and finds that this route accepts any rate.
		if got := float64(w.takeGranted(1)[0]); got < want || dead == 4 && got > want/0.9*1.05+limit/4 {
			t.Errorf("%d of 12 dead: %v calls in 4 s, about %.0f expected", dead, got, want/0.9)
		}
	}
}

// Whatever happens to links and relays, the grantable shares never sum to more than the limit, or than
// OvergrantBound where most of the fleet takes the others for dead.
func TestSharesAreConserved(t *testing.T) {
	for seed := range uint64(*scenarios) {
		w := newTestFleet(t, 3+int(seed%6), seed)
		w.bound = OvergrantBound(w.n)
		for range 12 {
			w.injectFaults(t)
		}
	}
}

// injectFaults draws a partition, loss, delays, stalls and restarts, and runs the fleet with them.
func (w *testFleet) injectFaults(t *testing.T) {
	t.Helper()
	random := w.random
	lossRate, maxDelay, sides := 0.4*random.Float64(), time.Duration(random.Int64N(int64(100*ms))), 1+random.IntN(4)
	if random.Float64() < 0.3 {
		maxDelay = 2 * time.Second
	}
	w.deliver = func(from, to int) (time.Duration, bool) {
		return ms + time.Duration(random.Int64N(int64(maxDelay)+1)), random.Float64() >= lossRate && from%sides == to%sides
	}
	for i := range w.n {
		w.stalled[i] = random.Float64() < 0.2
		if random.Float64() < 0.1 {
			w.start(t, i)
		}
	}
	w.run(t, time.Duration(300+random.IntN(1200))*ms)
}

// The bound on what may be granted of an estimated limit is the documented one.
func TestOvergrantBound(t *testing.T) {
	for n, want := range map[int]float64{1: 1, 2: 1, 3: 4.0 / 3, 4: 1.25, 5: 1.4, 8: 1.25, 16: 1.25, 24: 1.25,
		63: 1 + 15.0/63, 64: 1.25} {
		if got := OvergrantBound(n); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("%d relays: %v, want %v", n, got, want)
		}
	}
}

// A configured limit holds whatever happens to links and relays: in any time span the calls are at most those of
// its rate in the span and in the time that a grant may be in transit, and one burst, or a call for each relay.
func TestConfiguredLimitHolds(t *testing.T) {
	configured := quota.Limit{Rate: 50, Burst: 10, MaxConcurrent: 40}
	for seed := range uint64(*scenarios) {
		n := 1 + int(seed%6)
		w := newTestFleetWithLimits(t, n, seed, map[int]quota.Limit{5: configured})
		w.bound = 1
		w.run(t, 2*time.Second)
		w.takeGranted(1)
		if w.run(t, 2*time.Second); w.takeGranted(1)[0] < 90 {
			t.Errorf("scenario %d, %d relays: less than nine tenths of the configured limit are used", seed, n)
		}
		for range 8 {
			w.injectFaults(t)
		}
		for i, at := range w.times {
			for _, span := range []time.Duration{100 * ms, time.Second, 3 * time.Second} {
				calls := 0
				for _, other := range w.times[i:] {
					if other >= at+span {
						break
					}
					calls++
				}
				if most := configured.Rate*(span+maxGrantDelay).Seconds() + max(configured.Burst, float64(n)) + 1; float64(calls) > most {
					t.Fatalf("scenario %d, %d relays: %d calls within %v from %v, %.0f at most", seed, n, calls, span, at, most)
				}
			}
		}
	}
}

// A relay with a larger weight has a larger share, in a partition too; together they keep to the limit.
func TestSharesByWeight(t *testing.T) {
	w := &testFleet{n: 4, bound: 1, weights: []int{1, 1, 1, 5}, random: rand.New(rand.NewPCG(1, 9)),
		stalled: make([]bool, 4), startedAt: make([]time.Duration, 4), granted: make([]int, 4),
		limits: map[int]quota.Limit{5: {Rate: limit, Burst: 10}}, deliver: func(int, int) (time.Duration, bool) { return 5 * ms, true }}
	for i := range 4 {
		w.all = append(w.all, nil)
		w.start(t, i)
	}
	w.run(t, 3*time.Second)
	w.takeGranted(1)
	if w.run(t, 2*time.Second); w.takeGranted(1)[0] < 180 {
		t.Error("the fleet does not use its limit")
	}
	w.deliver = func(int, int) (time.Duration, bool) { return 0, false }
	w.run(t, 3*time.Second)
	w.takeGranted(1)
	w.run(t, 4*time.Second)
	for i, got := range w.takeGranted(4) {
		if want := 4 * limit * float64(w.weights[i]) / 8; float64(got) < 0.85*want || float64(got) > 1.05*want+2 {
			t.Errorf("relay %d, isolated: %d calls in 4 s, its share is %.0f", i, got, want)
		}
	}
}

// A fleet grows by restarts, and one of its relays is removed for good: the shares sum to one at most
// throughout, and the remaining relays have all of the limit in the end.
func TestSharesFollowMembership(t *testing.T) {
	w := newTestFleetWithLimits(t, 5, 1, map[int]quota.Limit{5: {Rate: limit, Burst: 10}})
	w.bound = 1
	w.stalled[3], w.stalled[4] = true, true
	resize := func(totalWeight int, removed ...int) {
		for _, f := range w.all {
			f.Resize(totalWeight, removed)
		}
	}
	resize(3, 3, 4) // not there yet
	use := func(what string, least, most int) {
		t.Helper()
		w.run(t, 2*time.Second)
		w.takeGranted(1)
		w.run(t, 2*time.Second)
		if n := w.takeGranted(1)[0]; n < least || n > most {
			t.Errorf("%s: %d calls in 2 s, want %d to %d", what, n, least, most)
		}
	}
	use("three", 180, 215)
	for i := range 5 { // one after another starts with the longer list; the others use it once they receive it
		w.stalled[i] = false
		w.start(t, i)
		resize(5)
		w.run(t, time.Second)
	}
	use("five", 180, 215)
	w.stalled[1] = true
	use("one of five dead", 140, 172)
	resize(4, 1)
	use("and removed", 180, 215)
	w.stalled[1] = false
	use("it was alive, and learns of its removal", 180, 215)
}

// A peer sends forged messages: it pledges its share to all, requests pledges in the place of preferred
// coordinators, grants at will and forges outcomes. The shares of the others stay conserved, so that it adds its
// own share for each coordinator at most; no relay crashes, and a minute after its last message all is as
// before: it may have sent a retry-after.
func TestMaliciousPeer(t *testing.T) {
	for seed := range uint64(2) {
		n := 4 + int(seed%3)
		w := newTestFleetWithLimits(t, n, seed, map[int]quota.Limit{5: {Rate: limit, Burst: 10}})
		w.bound = 2 * float64(n-1) / float64(n)
		w.stalled[0] = true
		for i := 1; i < n; i++ {
			f := w.all[i]
			f.Resize(n, nil)
		}
		random := w.random
		forge := func() record {
			return record{kind: kind(1 + random.IntN(int(releaseKind))), dest: 5, calls: random.IntN(300),
				value: random.ExpFloat64() * 1e6,
				grant: random.Uint32N(50),
				routes: []estimate{{route: routeID("a"), rate: random.ExpFloat64() * 1e5, limitKnown: true,
					state: state(random.IntN(3)), witnessed: random.IntN(2) == 0}},
				validFor: grantTTL, timestamp: timestampOf(w.now), outcome: choice.Outcome(random.IntN(8)),
				wait:        time.Duration(random.Int64N(int64(time.Hour))),
				coordinator: random.IntN(200), answer: random.IntN(2) == 0, units: random.Uint32(),
				stamp: quota.Stamp{Incarnation: uint32(1 + random.IntN(2*n)),
					At: w.now + time.Duration(random.Int64N(int64(2*time.Second))) - time.Second}}
		}
		for range 300 {
			for range 3 {
				to := 1 + random.IntN(n-1)
				w.inFlight = append(w.inFlight, delivery{at: w.now, from: 0, to: to, message: gossip.Seal(forge().appendTo([]byte{version}))})
			}
			w.run(t, 10*ms)
		}
		w.run(t, maxRetryAfter+3*time.Second)
		w.takeGranted(1)
		w.run(t, 2*time.Second)
		if got, want := w.takeGranted(1)[0], 0.85*2*limit*float64(n-1)/float64(n); float64(got) < want {
			t.Errorf("seed %d: %d calls in 2 s once the malicious one of %d has stopped, want %.0f", seed, got, n, want)
		}
	}
}

// Changed limits, lower, higher, new and removed ones, hold from then on.
func TestSetLimits(t *testing.T) {
	w := newTestFleetWithLimits(t, 3, 1, map[int]quota.Limit{5: {Rate: 50, Burst: 10}})
	for _, c := range []struct {
		limits      map[int]quota.Limit
		least, most int
	}{
		{map[int]quota.Limit{5: {Rate: 50, Burst: 10}}, 92, 112},
		{map[int]quota.Limit{5: {Rate: 20, Burst: 5}}, 36, 45},
		{map[int]quota.Limit{5: {Rate: 80, Burst: 5}}, 140, 170},
		{nil, 180, 1 << 20},
		{map[int]quota.Limit{5: {Rate: 20, Burst: 5}}, 36, 45},
	} {
		for _, f := range w.all {
			f.SetLimits(c.limits)
		}
		w.run(t, 2*time.Second)
		w.takeGranted(1)
		w.run(t, 2*time.Second)
		if n := w.takeGranted(1)[0]; n < c.least || n > c.most {
			t.Errorf("with limits %v: %d calls in 2 s, want %d to %d", c.limits, n, c.least, c.most)
		}
	}
	for _, v := range w.all[Coordinators(5, 3)[0]].ShareViews() {
		if v.ConfiguredLimit == nil || v.OvergrantBound != 1 || v.OwnShare < 0.333 || v.OwnShare > 0.334 ||
			v.GrantableShare < 0.99 || v.Coordinator != Coordinators(5, 3)[0] {
			t.Errorf("view is %+v", v)
		}
	}
}
