package balancer

import (
	"testing"
	"time"

	"larchrouter/internal/tier/discovery"
)

// listOf returns three hosts, the first in a phase.
func listOf(phase string) []discovery.Host {
	hosts := parseHosts("a-0 z 8, a-1 z 8, a-2 z 8")
	hosts[0].Phase = phase
	return hosts
}

// A verdict of the list takes a host out, whatever this front saw of it, until the list or the front's own bound ends it.
func TestVerdictOfTheList(t *testing.T) {
	b := New("z", 99, 1)
	candidates := func(now time.Time) int { return len(b.candidates(PickInfo{Service: "a"}, now)) }
	b.UpdateHosts(listOf(discovery.Ejected), start)
	if n := candidates(start); n != 2 {
		t.Errorf("%d candidates other than an ejected host, want 2", n)
	}
	h := b.Lookup("a-0")
	b.CallStarted(h)
	b.CallEnded(h, Success, start) // of a call that was under way
	if n := candidates(start); n != 2 {
		t.Errorf("%d candidates after its success, want 2", n)
	}
	b.UpdateHosts(listOf(discovery.Ejected), start.Add(time.Second)) // does not make it longer
	ttl := DefaultParams().Ejection.VerdictTTL
	if n := candidates(start.Add(ttl - 1)); n != 2 {
		t.Errorf("%d candidates within the bound, want 2", n)
	}
	if n := candidates(start.Add(ttl)); n != 3 {
		t.Errorf("%d candidates beyond the bound, want 3", n)
	}
	b.UpdateHosts(listOf(discovery.Probation), start.Add(2*time.Second))
	if n, capacity := candidates(start.Add(2*time.Second)), h.effectiveCapacity(start.Add(2*time.Second)); n != 3 || capacity != 4 {
		t.Errorf("%d candidates on probation with a capacity of %v, want 3 with 4", n, capacity)
	}
	b.UpdateHosts(listOf(discovery.Ready), start.Add(3*time.Second))
	if capacity := h.effectiveCapacity(start.Add(3 * time.Second)); capacity != 8 {
		t.Errorf("a capacity of %v once it is ready, want 8", capacity)
	}
}

// Where every host is ejected, they get calls all the same.
func TestEjectedHostsServeIfThereIsNoOther(t *testing.T) {
	b := New("z", 99, 1)
	hosts := listOf(discovery.Ejected)
	for i := range hosts {
		hosts[i].Phase = discovery.Ejected
	}
	b.UpdateHosts(hosts, start)
	if b.Pick(PickInfo{Service: "a"}, start) == nil {
		t.Error("no host is picked")
	}
}

// Many fronts with the same view of a service do not all pick the host that looks free, and still prefer those with less load and of
// their zone.
func TestFrontsDoNotAllPickTheFreeHost(t *testing.T) {
	hosts := parseHosts("a-0 z 8, a-1 z 8, a-2 z 8, a-3 z 8, a-4 z 8, a-5 y 8, a-6 y 8, a-7 y 8")
	picked := map[string]int{}
	const fronts = 1000
	for seed := range uint64(fronts) {
		b := New("z", 99, (seed+1)*0x9e3779b97f4a7c15)
		b.UpdateHosts(hosts, start)
		for _, h := range hosts[1:] {
			b.ReportLoad(b.Lookup(h.ID), 2, 0, start)
		}
		picked[b.Pick(PickInfo{Service: "a"}, start).ID]++
	}
	if n := picked["a-0"]; n < fronts*3/10 || n > fronts/2 {
		t.Errorf("%d of %d fronts pick the free host, want two fifths: %v", n, fronts, picked)
	}
	if n := picked["a-5"] + picked["a-6"] + picked["a-7"]; n > 0 {
		t.Errorf("%d fronts pick another zone with no less load", n)
	}
}
