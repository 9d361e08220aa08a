package override

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var histories = flag.Int("histories", 100, "number of random histories of TestFleetConverges")

// The stated bounds: an override is applied everywhere within a second without loss, within three with three
// messages in ten lost, over a chain within two seconds; and its origin knows which relays have applied it.
func TestStatedConvergence(t *testing.T) {
	for name, c := range map[string]struct {
		lossRate  float64
		within    time.Duration
		connected func(from, to int) bool
	}{
		"no loss":           {0, time.Second, nil},
		"three in ten lost": {0.3, 3 * time.Second, nil},
		"chain":             {0, 2 * time.Second, func(a, b int) bool { return a-b == 1 || b-a == 1 }},
		"one way":           {0, 2 * time.Second, func(a, b int) bool { return a < 12 || b >= 12 }},
	} {
		for seed := range uint64(5) {
			f := newTestFleet(t, 24, seed)
			if f.lossRate = c.lossRate; c.connected != nil {
				f.connected = c.connected
			}
			f.run(2 * time.Second)
			began := f.now
			f.set(t, 0, "partner:p", true)
			for f.now-began < c.within && !f.allHave("partner:p", true, upTo(24)...) {
				f.run(5 * time.Millisecond)
			}
			if !f.allHave("partner:p", true, upTo(24)...) {
				t.Errorf("%s, seed %d: not everywhere after %v", name, seed, c.within)
			}
			took := f.now - began
			f.run(2 * time.Second)
			if name == "no loss" || name == "three in ten lost" {
				for _, v := range f.gossipers[0].PeerViews(f.now) {
					if !v.Self && (!v.InSync || v.SinceInSync > f.now-began) {
						t.Errorf("%s, seed %d: %s applied it, which is not known: %+v", name, seed, v.Name, v)
					}
				}
			}
			t.Logf("%s, seed %d: everywhere after %v", name, seed, took)
		}
	}
}

// A converged fleet sends only heartbeats: one to each other relay, five times a second.
func TestConvergedFleetSendsHeartbeatsOnly(t *testing.T) {
	for _, n := range []int{3, 24, 64} {
		f := newTestFleet(t, n, 1)
		f.run(2 * time.Second)
		f.set(t, 0, "partner:p", true)
		f.run(2 * time.Second)
		f.messages, f.bytes = 0, 0
		f.run(2 * time.Second)
		each := float64(f.messages) / 2 / float64(n)
		if most := 1.1 * 5 * float64(n-1); each > most {
			t.Errorf("%d relays: %.0f messages a second each, want %.0f at most", n, each, most)
		}
		t.Logf("%d relays: %.0f messages and %.0f bytes a second each", n, each, float64(f.bytes)/2/float64(n))
	}
}

// A partitioned relay is detected in time; one that a chain reaches is not taken for partitioned.
func TestPartitionedRelayIsDetected(t *testing.T) {
	f := newTestFleet(t, 8, 1)
	f.connected = func(a, b int) bool { return a-b == 1 || b-a == 1 }
	f.run(4 * time.Second)
	reachable := func(of int) (n int) {
		for _, v := range f.gossipers[of].PeerViews(f.now) {
			if v.Reachable {
				n++
			}
		}
		return n
	}
	if n := reachable(0); n < 3 { // heartbeats of the far end take 200 ms a link, which UnreachableAfter does not cover
		t.Errorf("in a chain of eight the first takes %d to be reachable", n)
	}
	f.connected = func(a, b int) bool { return a != 3 && b != 3 }
	f.run(UnreachableAfter + 2*HeartbeatInterval)
	if n := reachable(3); n != 1 {
		t.Errorf("the partitioned one takes %d to be reachable, itself included", n)
	}
	if n := reachable(0); n != 7 {
		t.Errorf("the others take %d to be reachable", n)
	}
}

// An override that is not durable does not count as applied, and is sent again until it is.
func TestAppliedMeansDurable(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.run(time.Second)
	f.durable = func(relay int) bool { return relay != 2 }
	setAt := f.now
	f.set(t, 0, "endpoint:a", true)
	f.run(2 * time.Second)
	if v := f.gossipers[0].PeerViews(f.now)[2]; v.InSync || v.SinceInSync < f.now-setAt {
		t.Errorf("a relay that could not record it: %+v", v)
	}
	f.durable = func(int) bool { return true }
	f.run(time.Second)
	if v := f.gossipers[0].PeerViews(f.now)[2]; !v.InSync || !f.allHave("endpoint:a", true, 2) {
		t.Errorf("once it could: %+v", v)
	}
}

// Overrides on two sides of a partition: the active one wins where neither operator knew of the other's, the
// later one where one did.
func TestConflictingOverridesConverge(t *testing.T) {
	f := newTestFleet(t, 6, 1)
	f.run(time.Second)
	f.set(t, 0, "partner:p", true)
	f.run(time.Second)
	f.connected = func(a, b int) bool { return a%2 == b%2 }
	f.set(t, 1, "partner:p", false) // knows of the drain: it is revoked
	f.set(t, 0, "partner:q", true)
	f.set(t, 1, "partner:q", true)
	f.run(time.Second)
	f.set(t, 3, "partner:q", false) // later than that of its own side, and of the other
	if f.run(time.Second); !f.allHave("partner:p", true, 0, 2, 4) || !f.allHave("partner:p", false, 1, 3, 5) {
		t.Fatal("an override crossed the partition")
	}
	f.connected = func(int, int) bool { return true }
	f.run(time.Second)
	if !f.allHave("partner:p", false, upTo(6)...) || !f.allHave("partner:q", false, upTo(6)...) {
		t.Error("an override is active that was revoked with knowledge of it")
	}
	f.connected = func(a, b int) bool { return a%2 == b%2 }
	f.set(t, 0, "partner:p", true)
	f.run(100 * time.Millisecond)
	f.set(t, 1, "partner:q", true)
	f.set(t, 0, "partner:q", true)
	f.set(t, 2, "endpoint:x", true)
	f.dead[2] = true // in the next instant
	f.run(time.Second)
	f.connected = func(int, int) bool { return true }
	f.start(t, 2, []Override{{Subject: "endpoint:x", Active: true, Counter: 1, Origin: "r02", Author: "op"}}) // what it had recorded
	if f.run(time.Second); !f.allHave("endpoint:x", true, upTo(6)...) || !f.allHave("partner:q", true, upTo(6)...) {
		t.Error("the override of a relay that died right after it was set is lost")
	}
	f.dead[4] = true
	f.run(time.Second)
	f.start(t, 4, nil) // with an empty folder, and its heartbeats restart
	if f.run(time.Second); !f.allHave("endpoint:x", true, upTo(6)...) {
		t.Error("a relay that restarted without state has not received the overrides")
	}
	if v := f.gossipers[0].PeerViews(f.now)[4]; !v.Reachable || !v.InSync {
		t.Errorf("it is not reachable: %+v", v)
	}
}

// After any history of overrides, partitions, loss, delayed messages, crashes and restarts all relays hold the
// same, and no last override is lost.
func TestFleetConverges(t *testing.T) {
	for seed := range uint64(*histories) {
		random := rand.New(rand.NewPCG(seed, 8))
		n := 2 + random.IntN(6)
		f := newTestFleet(t, n, seed)
		journals := make([]map[string]Override, n)
		for range 12 {
			side := make([]int, n)
			for i := range side {
				side[i] = random.IntN(2)
			}
			oneWay := random.IntN(4) == 0
			f.connected = func(a, b int) bool { return side[a] == side[b] || oneWay && a < b }
			f.lossRate = 0.5 * random.Float64()
			delayed := random.IntN(3) == 0
			f.delay = func() time.Duration {
				if delayed && random.IntN(4) == 0 {
					return 2 * time.Second
				}
				return time.Duration(1+random.IntN(30)) * time.Millisecond
			}
			for range random.IntN(4) {
				i, subject := random.IntN(n), fmt.Sprintf("endpoint:%d", random.IntN(30))
				if !f.dead[i] {
					_, active := f.gossipers[i].Store().Get(subject)
					f.set(t, i, subject, !active)
				}
			}
			f.run(time.Duration(random.IntN(400)) * time.Millisecond)
			if i := random.IntN(n); f.dead[i] {
				var recorded []Override
				for _, w := range journals[i] {
					recorded = append(recorded, w)
				}
				f.start(t, i, recorded)
			} else if random.IntN(3) == 0 {
				f.dead[i], journals[i] = true, map[string]Override{}
				for _, w := range f.gossipers[i].Store().All() {
					journals[i][w.Subject] = w
				}
			}
		}
		want := NewStore()
		for i := range n {
			if f.dead[i] {
				var recorded []Override
				for _, w := range journals[i] {
					recorded = append(recorded, w)
				}
				f.start(t, i, recorded)
			}
			for _, w := range f.gossipers[i].Store().All() {
				want.Merge(w)
			}
		}
		f.connected, f.lossRate, f.delay = func(int, int) bool { return true }, 0, func() time.Duration { return time.Millisecond }
		f.run(4 * time.Second) // messages in flight may be delayed by 2 s
		for i := range n {
			if got := f.gossipers[i].Store(); got.Digest() != want.Digest() || fmt.Sprint(got.All()) != fmt.Sprint(want.All()) {
				t.Fatalf("history %d: relay %d of %d holds\n%v\nwant\n%v", seed, i, n, got.All(), want.All())
			}
		}
	}
}

// Delayed messages do not count as recent; forged counters affect neither heartbeats nor overrides.
func TestDelayedAndForgedMessages(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.run(2 * time.Second)
	old, _ := f.gossipers[1].Due(f.now + HeartbeatInterval)
	f.run(2 * time.Second)
	f.dead[1] = true
	f.run(UnreachableAfter + HeartbeatInterval)
	for _, n := range old {
		if n.To == 0 {
			f.gossipers[0].Receive(f.now, 1, n.Data)
		}
	}
	if v := f.gossipers[0].PeerViews(f.now)[1]; v.Reachable {
		t.Errorf("a dead relay is reachable by a message of 3 s ago: %+v", v)
	}
	f.start(t, 1, nil)
	f.run(time.Second)
	if v := f.gossipers[0].PeerViews(f.now)[1]; !v.Reachable {
		t.Errorf("a restarted one is not reachable: %+v", v)
	}
	f.set(t, 0, "partner:p", true)
	f.run(time.Second)
	forged, _, _ := message{incarnation: 3, heartbeat: 1 << 50, listDigest: listDigest(names(3)), totalWeight: 3, weight: 1,
		heartbeats: []relayHeartbeat{{0, math.MaxUint64}, {1, 1 << 60}},
		overrides:  []Override{{Subject: "partner:p", Counter: 1 << 40, Origin: "r02"}}}.encode()
	for _, gossiper := range f.gossipers[:2] {
		if changes := gossiper.Receive(f.now, 2, forged); len(changes) > 0 {
			t.Errorf("accepted: %v", changes)
		}
	}
	f.run(2 * time.Second)
	for i := range 3 {
		for _, v := range f.gossipers[i].PeerViews(f.now) {
			if !v.Reachable {
				t.Errorf("after forged heartbeats relay %d takes %s for unreachable", i, v.Name)
			}
		}
	}
	if f.set(t, 1, "partner:p", false); f.gossipers[1].Store().overrides["partner:p"].Counter != 2 {
		t.Errorf("the override has counter %d after a forged one", f.gossipers[1].Store().overrides["partner:p"].Counter)
	}
	if f.run(time.Second); !f.allHave("partner:p", false, 0, 1, 2) {
		t.Error("an override has no effect after a forged counter")
	}
}

// While a fleet's list or weights change by restarts, all divide by the largest reported sum, so that their
// shares are one limit at most; and a wrong sum is accepted up to a bound.
func TestTotalWeightIsLargestReported(t *testing.T) {
	f := newTestFleet(t, 3, 1)
	f.run(time.Second)
	check := func(what string, want int) {
		t.Helper()
		f.run(500 * time.Millisecond)
		for i, gossiper := range f.gossipers {
			if got := gossiper.TotalWeight(f.now); got != want {
				t.Errorf("%s: relay %d divides by %d, want %d", what, i, got, want)
			}
		}
	}
	check("even", 3)
	f.gossipers[2].settings.Weights = []int{1, 1, 3}
	check("one has three in its own list", 5)
	f.gossipers[1].settings.Weights = []int{1, 4, 1}
	check("and another has four in its own: 1 + 4 + 3", 8)
	f.gossipers[1].settings.Weights, f.gossipers[2].settings.Weights = nil, nil
	check("all have the first list again", 3)
	f.gossipers[2].settings.Weights = []int{1, 1, 1 << 19}
	f.run(500 * time.Millisecond)
	if n := f.gossipers[0].TotalWeight(f.now); n != MaxTotalWeight {
		t.Errorf("total weight %d by a wrong list, want %d", n, MaxTotalWeight)
	}
	f.gossipers[2].settings.Weights = nil
	for i, gossiper := range f.gossipers {
		gossiper.SetRemoved([]int{1})
		if i == 1 {
			f.dead[i] = true
		}
	}
	f.run(500 * time.Millisecond)
	if n := f.gossipers[0].TotalWeight(f.now); n != 2 {
		t.Errorf("total weight %d without a removed relay, want 2", n)
	}
	if _, err := New(Settings{Names: names(2), Weights: []int{1}}, 0, nil); err == nil {
		t.Error("a weight for one of two")
	}
}
