package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchrouter/internal/tier/discovery"
)

var begin = time.Unix(1000, 0)

// engines makes a balancer in zone z with hosts a, b, c, ..., of which the last is in another zone.
func engines(n int) *Balancer {
	v := New("z", 1000, 5)
	var list []discovery.Host
	for i := range n {
		zone := "z"
		if i == n-1 {
			zone = "far"
		}
		list = append(list, discovery.Host{ID: string(rune('a' + i)), Service: "s", Zone: zone, Capacity: 96, Phase: discovery.Ready})
	}
	v.UpdateHosts(list, begin)
	return v
}

func (b *Balancer) generation(generation Generation, now time.Time) *Host {
	return b.Pick(PickInfo{Service: "s", Program: "p", Generation: &generation}, now)
}

func TestAGenerationGoesWhereItsPromptIs(t *testing.T) {
	v := engines(5)
	for i := range 20 {
		home := string(rune('a' + i%4))
		if h := v.generation(Generation{PromptTokens: 4000, CacheHost: home, CachedTokens: 3500}, begin); h.ID != home {
			t.Fatalf("it went to %s, its prompt is at %s", h.ID, home)
		}
	}
	if h := v.generation(Generation{PromptTokens: 4000, CacheHost: "e", CachedTokens: 3500}, begin); h.ID != "e" {
		t.Fatalf("it went to %s: reading 3,500 tokens anew is dearer than another zone", h.ID)
	}
	if h := v.generation(Generation{PromptTokens: 300, CacheHost: "e", CachedTokens: 100}, begin); h.ID == "e" {
		t.Fatal("100 tokens are read anew for less than another zone costs")
	}
	if h := v.generation(Generation{PromptTokens: 4000, CacheHost: "gone", CachedTokens: 3500}, begin); h == nil {
		t.Fatal("it has to go somewhere once its host is gone")
	}
}

func TestAFavouriteThatIsCrowdedIsLeft(t *testing.T) {
	v := engines(5)
	for _, h := range v.services["s"] {
		v.ReportLoad(h, 2, 0, begin)
	}
	v.ReportLoad(v.Lookup("b"), 40, 10, begin)
	if h := v.generation(Generation{PromptTokens: 4000, CacheHost: "b", CachedTokens: 3500}, begin); h.ID == "b" {
		t.Fatal("48 calls more are a longer wait than 3,500 tokens")
	}
	later := begin.Add(20 * time.Second) // told long ago: it counts as the others do
	if h := v.generation(Generation{PromptTokens: 4000, CacheHost: "b", CachedTokens: 3500}, later); h.ID != "b" {
		t.Fatalf("%s: what was told 20 s ago still keeps it away", h.ID)
	}
}

func TestSharedPartsAreReadAgainOnlyWhereTheyAreNotKept(t *testing.T) {
	v := engines(4)
	w := Generation{PromptTokens: 3000, SharedPrefix: "5c:2500", SharedTokens: 2500}
	first := v.generation(w, begin)
	v.ExpectFirstEvent(first, &w, begin)
	for range 10 {
		if h := v.generation(w, begin.Add(time.Second)); h != first {
			t.Fatalf("it went to %s, %s has the shared part", h.ID, first.ID)
		}
	}
	if _, tokens := v.ExpectFirstEvent(first, &w, begin.Add(time.Second)); tokens != 500 {
		t.Fatalf("%d tokens anew, 500 are its own", tokens)
	}
	if _, tokens := v.ExpectFirstEvent(first, &w, begin.Add(time.Minute)); tokens != 3000 {
		t.Fatalf("%d tokens anew after a minute of no use", tokens)
	}
}

func TestRelaysThatSeeTheSameSpread(t *testing.T) {
	went := map[string]int{}
	for relay := range 60 {
		v := engines(5)
		v.seed = uint64(relay)*2654435761 + 1
		went[v.generation(Generation{PromptTokens: 1000}, begin).ID]++
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		if went[id] < 4 {
			t.Errorf("%v: of 60 relays that see four equal hosts, %d went to %s", went, went[id], id)
		}
	}
}

// The price is learnt: an engine that reads fast and queues long, and one the other way round.
func TestPricesAreLearnt(t *testing.T) {
	for _, one := range []struct{ base, call, token float64 }{{40, 20, 0.01}, {90, 3, 0.1}, {60, 8, 0.03}} {
		seed := rand.Uint64()
		r := rand.New(rand.NewPCG(seed, 1))
		p := newCostModel()
		for range 3000 {
			calls, tokens := float64(r.IntN(30)), r.IntN(5000)
			ms := one.base + one.call*calls + one.token*float64(tokens) + r.NormFloat64()*10
			p.observe(time.Duration(ms*float64(time.Millisecond)), calls, tokens)
		}
		near := func(got, want float64) bool { return got > want*0.7 && got < want*1.3 }
		if !near(p.perCallMs, one.call) || !near(p.perTokenMs, one.token) {
			t.Errorf("seed %d: learnt %s, it is %+v", seed, fmt.Sprintf("%.1f + %.2f a call + %.4f a token", p.baseMs, p.perCallMs, p.perTokenMs), one)
		}
	}
}

func TestOneStallTeachesLittle(t *testing.T) {
	p := newCostModel()
	before := p.perCallMs
	p.observe(30*time.Second, 20, 1000)
	if p.perCallMs > before*1.5 || p.perTokenMs > initialPerTokenMs*1.5 {
		t.Fatalf("%+v after one call of 30 s", p)
	}
	for range 1000 {
		p.observe(0, 20, 4000)
	}
	if p.perCallMs < minPerCallMs || p.perTokenMs < minPerTokenMs {
		t.Fatalf("%+v: a crowd or a prompt costs nothing", p)
	}
}
