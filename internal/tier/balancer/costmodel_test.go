package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchrouter/internal/tier/discovery"
)

var testParams = DefaultParams()

// newEngineBalancer returns a balancer in zone z with hosts a, b, c, ..., of which the last is in another zone.
func newEngineBalancer(n int) *Balancer {
	b := New("z", 1000, 5)
	var list []discovery.Host
	for i := range n {
		zone := "z"
		if i == n-1 {
			zone = "far"
		}
		list = append(list, discovery.Host{ID: string(rune('a' + i)), Service: "s", Zone: zone, Capacity: 96, Phase: discovery.Ready})
	}
	b.UpdateHosts(list, start)
	return b
}

func (b *Balancer) generation(generation Generation, now time.Time) *Host {
	return b.Pick(PickInfo{Service: "s", Program: "p", Generation: &generation}, now)
}

func TestGenerationGoesToCacheHost(t *testing.T) {
	b := newEngineBalancer(5)
	for i := range 20 {
		home := string(rune('a' + i%4))
		if h := b.generation(Generation{PromptTokens: 4000, CacheHost: home, CachedTokens: 3500}, start); h.ID != home {
			t.Fatalf("picked %s, the prompt is cached at %s", h.ID, home)
		}
	}
	if h := b.generation(Generation{PromptTokens: 4000, CacheHost: "e", CachedTokens: 3500}, start); h.ID != "e" {
		t.Fatalf("picked %s: prefill of 3,500 tokens costs more than another zone", h.ID)
	}
	if h := b.generation(Generation{PromptTokens: 300, CacheHost: "e", CachedTokens: 100}, start); h.ID == "e" {
		t.Fatal("prefill of 100 tokens costs less than another zone")
	}
	if h := b.generation(Generation{PromptTokens: 4000, CacheHost: "gone", CachedTokens: 3500}, start); h == nil {
		t.Fatal("no host is picked once the cache host is unlisted")
	}
}

func TestLoadedCacheHostIsNotPicked(t *testing.T) {
	b := newEngineBalancer(5)
	for _, h := range b.services["s"] {
		b.ReportLoad(h, 2, 0, start)
	}
	b.ReportLoad(b.Lookup("b"), 40, 10, start)
	if h := b.generation(Generation{PromptTokens: 4000, CacheHost: "b", CachedTokens: 3500}, start); h.ID == "b" {
		t.Fatal("48 more calls cost more than prefill of 3,500 tokens")
	}
	later := start.Add(20 * time.Second) // the old report has moved to the mean
	if h := b.generation(Generation{PromptTokens: 4000, CacheHost: "b", CachedTokens: 3500}, later); h.ID != "b" {
		t.Fatalf("picked %s: a report of 20 s ago still counts", h.ID)
	}
}

func TestSharedPrefixCache(t *testing.T) {
	b := newEngineBalancer(4)
	generation := Generation{PromptTokens: 3000, SharedPrefix: "5c:2500", SharedTokens: 2500}
	first := b.generation(generation, start)
	b.ExpectFirstEvent(first, &generation, start)
	for range 10 {
		if h := b.generation(generation, start.Add(time.Second)); h != first {
			t.Fatalf("picked %s, %s has the shared prefix", h.ID, first.ID)
		}
	}
	if _, tokens := b.ExpectFirstEvent(first, &generation, start.Add(time.Second)); tokens != 500 {
		t.Fatalf("prefill of %d tokens, want 500 beyond the shared prefix", tokens)
	}
	if _, tokens := b.ExpectFirstEvent(first, &generation, start.Add(time.Minute)); tokens != 3000 {
		t.Fatalf("prefill of %d tokens after a minute without use, want all", tokens)
	}
}

func TestRelaysWithSameViewSpread(t *testing.T) {
	picked := map[string]int{}
	for relay := range 60 {
		b := newEngineBalancer(5)
		b.seed = uint64(relay)*2654435761 + 1
		picked[b.generation(Generation{PromptTokens: 1000}, start).ID]++
	}
	for _, id := range []string{"a", "b", "c", "d"} {
		if picked[id] < 4 {
			t.Errorf("%v: of 60 relays with four equal hosts, %d picked %s", picked, picked[id], id)
		}
	}
}

// The cost model is learned for engines with fast prefill and slow queues, and the other way round.
func TestCostModelLearns(t *testing.T) {
	for _, one := range []struct{ base, call, token float64 }{{40, 20, 0.01}, {90, 3, 0.1}, {60, 8, 0.03}} {
		seed := rand.Uint64()
		r := rand.New(rand.NewPCG(seed, 1))
		model := newCostModel(&testParams.Cost)
		for range 3000 {
			calls, tokens := float64(r.IntN(30)), r.IntN(5000)
			ms := one.base + one.call*calls + one.token*float64(tokens) + r.NormFloat64()*10
			model.observe(time.Duration(ms*float64(time.Millisecond)), calls, tokens)
		}
		near := func(got, want float64) bool { return got > want*0.7 && got < want*1.3 }
		if !near(model.perCallMs, one.call) || !near(model.perTokenMs, one.token) {
			t.Errorf("seed %d: learned %s, want %+v", seed, fmt.Sprintf("%.1f + %.2f a call + %.4f a token", model.baseMs, model.perCallMs, model.perTokenMs), one)
		}
	}
}

func TestCostModelBoundsOneObservation(t *testing.T) {
	model := newCostModel(&testParams.Cost)
	before := model.perCallMs
	model.observe(30*time.Second, 20, 1000)
	if model.perCallMs > before*1.5 || model.perTokenMs > testParams.Cost.InitialPerTokenMs*1.5 {
		t.Fatalf("%+v after one call of 30 s", model)
	}
	for range 1000 {
		model.observe(0, 20, 4000)
	}
	if model.perCallMs < testParams.Cost.MinPerCallMs || model.perTokenMs < testParams.Cost.MinPerTokenMs {
		t.Fatalf("%+v: other calls or prefill cost nothing", model)
	}
}
