package override

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// testFleet is the gossipers of all relays, in virtual time.
type testFleet struct {
	gossipers    []*Gossiper
	dead         []bool
	now          time.Duration
	random       *rand.Rand
	connected    func(from, to int) bool
	lossRate     float64
	delay        func() time.Duration
	inFlight     []delivery
	messages     int
	bytes        int
	appliedAt    map[string]time.Duration // by relay and subject
	durable      func(relay int) bool
	incarnations uint32
}

// delivery is a message in flight.
type delivery struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newTestFleet(t testing.TB, n int, seed uint64) *testFleet {
	f := &testFleet{dead: make([]bool, n), random: rand.New(rand.NewPCG(seed, 3)), connected: func(int, int) bool { return true },
		delay: func() time.Duration { return time.Millisecond }, appliedAt: map[string]time.Duration{},
		durable: func(int) bool { return true }}
	for i := range n {
		f.gossipers = append(f.gossipers, nil)
		f.start(t, i, nil)
	}
	return f
}

func names(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("r%02d", i))
	}
	return all
}

func (f *testFleet) start(t testing.TB, i int, recorded []Override) {
	f.incarnations++
	gossiper, err := New(Settings{Names: names(len(f.dead)), Self: i, Incarnation: f.incarnations}, f.now, recorded)
	if err != nil {
		t.Fatal(err)
	}
	f.gossipers[i], f.dead[i] = gossiper, false
}

func (f *testFleet) apply(i int, overrides []Override) {
	if !f.durable(i) {
		return
	}
	f.gossipers[i].Apply(f.now, overrides...)
	for _, o := range overrides {
		f.appliedAt[fmt.Sprint(i, o.Subject)] = f.now
	}
}

// set sets an override at a relay.
func (f *testFleet) set(t testing.TB, i int, subject string, active bool) Override {
	w, err := f.gossipers[i].Store().Next(subject, active, names(len(f.dead))[i], "op", 0)
	if err != nil {
		t.Fatal(err)
	}
	f.apply(i, []Override{w})
	return w
}

func (f *testFleet) run(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += time.Millisecond {
		var left []delivery
		inFlight := f.inFlight
		f.inFlight = nil
		for _, s := range inFlight {
			if s.at > f.now {
				left = append(left, s)
			} else if !f.dead[s.to] {
				f.apply(s.to, f.gossipers[s.to].Receive(f.now, s.from, s.data))
			}
		}
		for i, gossiper := range f.gossipers {
			if f.dead[i] {
				continue
			}
			messages, _ := gossiper.Due(f.now)
			for _, n := range messages {
				f.messages++
				f.bytes += len(n.Data)
				if f.connected(i, n.To) && f.random.Float64() >= f.lossRate {
					f.inFlight = append(f.inFlight, delivery{f.now + f.delay(), i, n.To, n.Data})
				}
			}
		}
		f.inFlight = append(f.inFlight, left...)
	}
}

// allHave reports whether a subject has a state at the given relays.
func (f *testFleet) allHave(subject string, want bool, relays ...int) bool {
	return !slices.ContainsFunc(relays, func(i int) bool { _, active := f.gossipers[i].Store().Get(subject); return active != want })
}

func upTo(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}
