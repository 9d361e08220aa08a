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

var courses = flag.Int("courses", 12, "random courses of TestPartsAreConserved")

// relays are the real parts of a small fleet that want more calls to one destination than it takes, in virtual time. How
// notes go is told by the test.
type relays struct {
	all     []*Fleet
	n       int
	now     time.Duration
	draw    *rand.Rand
	carry   func(from, to int) (after time.Duration, ok bool)
	still   []bool
	born    []time.Duration // each relay's clock begins with it
	lives   int
	wire    []passing
	calls   []passing // granted ones that end
	bound   float64   // of the sum of what may be granted
	granted []int     // by relay, since they were last looked at
	limits  map[int]quota.Limit
	weights []int
	times   []time.Duration // of all grants, as they came
}

type passing struct {
	at       time.Duration
	from, to int
	note     []byte
	spent    choice.Spent
}

const limit = 100.0 // calls a second of the one route

func newRelays(t *testing.T, n int, seed uint64) *relays { return newToldRelays(t, n, seed, nil) }

func newToldRelays(t *testing.T, n int, seed uint64, limits map[int]quota.Limit) *relays {
	w := &relays{limits: limits, n: n, bound: 1, draw: rand.New(rand.NewPCG(seed, 9)), still: make([]bool, n), born: make([]time.Duration, n), granted: make([]int, n),
		carry: func(int, int) (time.Duration, bool) { return 5 * ms, true }}
	for i := range n {
		w.all = append(w.all, nil)
		w.start(t, i)
	}
	return w
}

func (w *relays) start(t *testing.T, i int) {
	w.lives++
	f, err := New(Settings{Index: i, Fleet: w.n, Seed: uint64(i), Rules: rules(), Rights: true, Life: uint32(w.lives), Limits: w.limits, Weights: w.weights})
	if err != nil {
		t.Fatal(err)
	}
	e := f.errand(5) // the limit is known to all
	e.heardOf[routeOf("a")] = hearsay{rumour{route: routeOf("a"), rate: limit, found: true}, 0}
	w.all[i], w.born[i] = f, w.now
}

// play leads all on for a while, and checks after each millisecond that what may be granted keeps to the bound.
func (w *relays) play(t *testing.T, span time.Duration) {
	t.Helper()
	for end := w.now + span; w.now < end; w.now += ms {
		sum := 0.0
		for i, f := range w.all {
			if w.still[i] {
				continue
			}
			heard := []choice.Heard{}
			w.wire = slices.DeleteFunc(w.wire, func(p passing) bool {
				if p.at > w.now || p.to != i {
					return false
				}
				heard = append(heard, choice.Heard{From: p.from, Note: p.note})
				return true
			})
			said := []choice.Action{choice.Want{Dest: 5, Calls: 20 + int(w.now/(50*ms))%3, Value: 1, Routes: []string{"a"}}}
			w.calls = slices.DeleteFunc(w.calls, func(p passing) bool {
				if p.at > w.now || p.to != i {
					return false
				}
				said = append(said, p.spent)
				return true
			})
			acts, given := f.Step(w.now-w.born[i], heard, said)
			for _, a := range acts {
				if n, ok := a.(choice.Tell); ok {
					if after, ok := w.carry(i, n.To); ok {
						w.wire = append(w.wire, passing{at: w.now + after, from: i, to: n.To, note: n.Note})
					}
				}
			}
			for _, e := range given {
				g := e.(choice.Granted)
				w.granted[i]++
				w.times = append(w.times, w.now)
				w.calls = append(w.calls, passing{at: w.now + 20*ms, to: i, spent: choice.Spent{Dest: g.Dest, Route: g.Route, Grant: g.Grant,
					Outcome: choice.Served, Took: 20 * ms}})
			}
		}
		for i, f := range w.all {
			if k := f.desks[5]; k != nil && !w.still[i] {
				part, _ := f.part(k)
				sum += part
			}
		}
		if sum > w.bound+1e-9 {
			t.Fatalf("at %v %.3f of the limit may be granted", w.now, sum)
		}
	}
}

// took counts the calls granted since it was last asked, by number of the relay modulo so many.
func (w *relays) took(sides int) []int {
	calls := make([]int, sides)
	for i, n := range w.granted {
		calls[i%sides] += n
		w.granted[i] = 0
	}
	return calls
}

// A side of a cut uses what it has from the second second on, and so does the whole when it has healed. Grants of calls
// that are served raise the rate with nothing to hold it, but not in a cut.
func TestEachSideUsesItsPart(t *testing.T) {
	for sides := range 4 {
		sides += 2
		t.Run(fmt.Sprint(sides), func(t *testing.T) {
			w := newRelays(t, 12, 1)
			w.play(t, 3*time.Second)
			if n := w.took(1)[0]; n < 150 {
				t.Fatalf("%d calls in 3 s", n)
			}
			whole := w.carry
			w.carry = func(from, to int) (time.Duration, bool) { return 5 * ms, from%sides == to%sides }
			w.play(t, 1200*ms)
			w.took(1)
			w.play(t, 4*time.Second)
			for side, got := range w.took(sides) {
				if part := 4 * limit * float64((12+sides-1-side)/sides) / 12; float64(got) < 0.9*part || float64(got) > 1.05*part+limit/4 {
					t.Errorf("side %d: %d calls in 4 s, its part is %.0f", side, got, part)
				}
			}
			w.carry = whole
			w.play(t, time.Second)
			w.took(1)
			w.play(t, 2*time.Second)
			if n := w.took(1)[0]; n < 180 {
				t.Errorf("healed: %d calls in 2 s", n)
			}
		})
	}
}

// Of one-way links: relays that are not heard by the steward pledge to one that hears them.
func TestOneWay(t *testing.T) {
	w := newRelays(t, 12, 1)
	w.play(t, 3*time.Second)
	w.carry = func(from, to int) (time.Duration, bool) { return 5 * ms, from%2 == to%2 || from%2 == 0 }
	w.play(t, 2*time.Second)
	w.took(1)
	w.play(t, 10*time.Second)
	if n := w.took(1)[0]; n < 800 {
		t.Errorf("%d calls in 10 s, 1000 are the limit", n)
	}
}

// Guards against a steward that starts anew and whose calls are taken for old ones of its life before, as its clock begins
// anew too.
func TestStewardStartsAnew(t *testing.T) {
	w := newRelays(t, 12, 1)
	w.play(t, 5*time.Second)
	w.start(t, Stewards(5, 12)[0])
	w.play(t, 2*time.Second)
	w.took(1)
	w.play(t, 2*time.Second)
	if n := w.took(1)[0]; n < 180 {
		t.Errorf("%d calls in 2 s, 200 are the limit", n)
	}
}

// Relays that are dead take nothing along for long where three quarters are left, and do where fewer are.
func TestPartsOfTheDead(t *testing.T) {
	for dead, want := range map[int]float64{3: 0.9 * 4 * limit, 4: 0.9 * 4 * limit * 8 / 12} {
		w := newRelays(t, 12, 1)
		w.play(t, 3*time.Second)
		first := Stewards(5, 12)[0]
		for n, i := 0, 0; n < dead; i++ {
			if i != first {
				w.still[i], n = true, n+1
			}
		}
		w.play(t, 2*time.Second)
		w.took(1)
		w.play(t, 4*time.Second)
		// Who has all goes on learning, and finds that this route takes any number.
		if got := float64(w.took(1)[0]); got < want || dead == 4 && got > want/0.9*1.05+limit/4 {
			t.Errorf("%d of 12 dead: %v calls in 4 s, about %.0f expected", dead, got, want/0.9)
		}
	}
}

// Whatever becomes of links and relays, what may be granted is never more than the limit, and what Over states more where
// most of the fleet goes by that the others are dead.
func TestPartsAreConserved(t *testing.T) {
	for seed := range uint64(*courses) {
		w := newRelays(t, 3+int(seed%6), seed)
		w.bound = Over(w.n)
		for range 12 {
			w.trouble(t)
		}
	}
}

// trouble draws a cut, loss, late notes, relays that stand still and ones that start anew, and plays on.
func (w *relays) trouble(t *testing.T) {
	t.Helper()
	r := w.draw
	lose, late, sides := 0.4*r.Float64(), time.Duration(r.Int64N(int64(100*ms))), 1+r.IntN(4)
	if r.Float64() < 0.3 {
		late = 2 * time.Second
	}
	w.carry = func(from, to int) (time.Duration, bool) {
		return ms + time.Duration(r.Int64N(int64(late)+1)), r.Float64() >= lose && from%sides == to%sides
	}
	for i := range w.n {
		w.still[i] = r.Float64() < 0.2
		if r.Float64() < 0.1 {
			w.start(t, i)
		}
	}
	w.play(t, time.Duration(300+r.IntN(1200))*ms)
}

// The bound on what may be granted of a limit that was found out is what the pages say.
func TestStatedBound(t *testing.T) {
	for n, want := range map[int]float64{1: 1, 2: 1, 3: 4.0 / 3, 4: 1.25, 5: 1.4, 8: 1.25, 16: 1.25, 24: 1.25, 63: 1 + 15.0/63, 64: 1.25} {
		if got := Over(n); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("%d relays: %v, want %v", n, got, want)
		}
	}
}

// A limit that was told holds whatever becomes of links and relays: in any span the calls are at most what it gives in it and
// in the time that a grant may be under way, and one burst, or a call for each relay.
func TestToldLimitHolds(t *testing.T) {
	told := quota.Limit{Rate: 50, Burst: 10, AtOnce: 40}
	for seed := range uint64(*courses) {
		n := 1 + int(seed%6)
		w := newToldRelays(t, n, seed, map[int]quota.Limit{5: told})
		w.bound = 1
		w.play(t, 2*time.Second)
		w.took(1)
		if w.play(t, 2*time.Second); w.took(1)[0] < 90 {
			t.Errorf("course %d, %d relays: less than nine tenths of what was told are used", seed, n)
		}
		for range 8 {
			w.trouble(t)
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
				if most := told.Rate*(span+lateAfter).Seconds() + max(told.Burst, float64(n)) + 1; float64(calls) > most {
					t.Fatalf("course %d, %d relays: %d calls within %v from %v, %.0f at most", seed, n, calls, span, at, most)
				}
			}
		}
	}
}

// A relay with more to do has more parts, in a cut too; together they keep to the limit.
func TestPartsByWeight(t *testing.T) {
	w := &relays{n: 4, bound: 1, weights: []int{1, 1, 1, 5}, draw: rand.New(rand.NewPCG(1, 9)), still: make([]bool, 4), born: make([]time.Duration, 4), granted: make([]int, 4),
		limits: map[int]quota.Limit{5: {Rate: limit, Burst: 10}}, carry: func(int, int) (time.Duration, bool) { return 5 * ms, true }}
	for i := range 4 {
		w.all = append(w.all, nil)
		w.start(t, i)
	}
	w.play(t, 3*time.Second)
	w.took(1)
	if w.play(t, 2*time.Second); w.took(1)[0] < 180 {
		t.Error("the whole fleet does not use what it may")
	}
	w.carry = func(int, int) (time.Duration, bool) { return 0, false }
	w.play(t, 3*time.Second)
	w.took(1)
	w.play(t, 4*time.Second)
	for i, got := range w.took(4) {
		if want := 4 * limit * float64(w.weights[i]) / 8; float64(got) < 0.85*want || float64(got) > 1.05*want+2 {
			t.Errorf("relay %d, alone: %d calls in 4 s, its part is %.0f", i, got, want)
		}
	}
}

// A fleet that grows by restarts, and one of whose relays is gone for good: the parts sum to one at most throughout, and the
// rest has all of the limit in the end.
func TestPartsFollowTheFleet(t *testing.T) {
	w := newToldRelays(t, 5, 1, map[int]quota.Limit{5: {Rate: limit, Burst: 10}})
	w.bound = 1
	w.still[3], w.still[4] = true, true
	resize := func(parts int, lost ...int) {
		for _, f := range w.all {
			f.Resize(parts, lost)
		}
	}
	resize(3, 3, 4) // not there yet
	use := func(what string, least, most int) {
		t.Helper()
		w.play(t, 2*time.Second)
		w.took(1)
		w.play(t, 2*time.Second)
		if n := w.took(1)[0]; n < least || n > most {
			t.Errorf("%s: %d calls in 2 s, want %d to %d", what, n, least, most)
		}
	}
	use("three", 180, 215)
	for i := range 5 { // one after another starts with the longer list; who hears of it goes by that
		w.still[i] = false
		w.start(t, i)
		resize(5)
		w.play(t, time.Second)
	}
	use("five", 180, 215)
	w.still[1] = true
	use("one of five is dead", 140, 172)
	resize(4, 1)
	use("and gone for good", 180, 215)
	w.still[1] = false
	use("it was not, and hears that it is", 180, 215)
}

// A peer whose notes are well formed and wrong: it pledges its part to all, calls in the place of better stewards, grants what it
// likes and makes ends up. The parts of the others stay conserved, so that it adds its own part for each steward at most; nobody
// falls over, and a minute after it is silent all is as before: it may have told a wait.
func TestLiar(t *testing.T) {
	for seed := range uint64(2) {
		n := 4 + int(seed%3)
		w := newToldRelays(t, n, seed, map[int]quota.Limit{5: {Rate: limit, Burst: 10}})
		w.bound = 2 * float64(n-1) / float64(n)
		w.still[0] = true
		for i := 1; i < n; i++ {
			f := w.all[i]
			f.Resize(n, nil)
		}
		r := w.draw
		lie := func() record {
			x := record{kind: kind(1 + r.IntN(int(releaseKind))), dest: 5, calls: r.IntN(300), value: r.ExpFloat64() * 1e6, grant: r.Uint32N(50),
				routes: []rumour{{route: routeOf("a"), rate: r.ExpFloat64() * 1e5, found: true, state: state(r.IntN(3)), saw: r.IntN(2) == 0}}, life: grantLife,
				mark: markOf(w.now), outcome: choice.Outcome(r.IntN(8)), wait: time.Duration(r.Int64N(int64(time.Hour))), steward: r.IntN(200), answer: r.IntN(2) == 0,
				units: r.Uint32(), stamp: quota.Stamp{Life: uint32(1 + r.IntN(2*n)), At: w.now + time.Duration(r.Int64N(int64(2*time.Second))) - time.Second}}
			return x
		}
		for range 300 {
			for range 3 {
				to := 1 + r.IntN(n-1)
				w.wire = append(w.wire, passing{at: w.now, from: 0, to: to, note: gossip.Seal(lie().append([]byte{version}))})
			}
			w.play(t, 10*ms)
		}
		w.play(t, mostWait+3*time.Second)
		w.took(1)
		w.play(t, 2*time.Second)
		if got, want := w.took(1)[0], 0.85*2*limit*float64(n-1)/float64(n); float64(got) < want {
			t.Errorf("seed %d: %d calls in 2 s once the liar of %d is silent, want %.0f", seed, got, n, want)
		}
	}
}

// Limits that are told anew, lower, higher, for the first time and no more, hold from then on.
func TestToldAnew(t *testing.T) {
	w := newToldRelays(t, 3, 1, map[int]quota.Limit{5: {Rate: 50, Burst: 10}})
	for _, c := range []struct {
		limits      map[int]quota.Limit
		least, most int
	}{{map[int]quota.Limit{5: {Rate: 50, Burst: 10}}, 92, 112}, {map[int]quota.Limit{5: {Rate: 20, Burst: 5}}, 36, 45}, {map[int]quota.Limit{5: {Rate: 80, Burst: 5}}, 140, 170},
		{nil, 180, 1 << 20}, {map[int]quota.Limit{5: {Rate: 20, Burst: 5}}, 36, 45}} {
		for _, f := range w.all {
			f.Tell(c.limits)
		}
		w.play(t, 2*time.Second)
		w.took(1)
		w.play(t, 2*time.Second)
		if n := w.took(1)[0]; n < c.least || n > c.most {
			t.Errorf("told %v: %d calls in 2 s, want %d to %d", c.limits, n, c.least, c.most)
		}
	}
	for _, v := range w.all[Stewards(5, 3)[0]].PartViews() {
		if v.Told == nil || v.Over != 1 || v.Own < 0.333 || v.Own > 0.334 || v.Granted < 0.99 || v.Steward != Stewards(5, 3)[0] {
			t.Errorf("shown as %+v", v)
		}
	}
}
