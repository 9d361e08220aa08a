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
		t.Errorf("%d candidates beside an ejected host, want 2", n)
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
