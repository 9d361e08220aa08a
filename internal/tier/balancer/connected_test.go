package balancer

import (
	"slices"
	"testing"
)

// connectedTo returns a PickInfo whose calls find open connections to some hosts.
func connectedTo(ids ...string) PickInfo {
	return PickInfo{Service: "a", Connected: func(h *Host) bool { return slices.Contains(ids, h.ID) }}
}

// Calls stay with the hosts to which connections are open, and go beyond them where those have more load.
func TestOpenConnectionsArePreferred(t *testing.T) {
	b := New("z", 999, 1)
	b.UpdateHosts(parseHosts("a-0 z 8, a-1 z 8, a-2 z 8, a-3 z 8, a-4 z 8, a-5 z 8, a-6 y 8"), start)
	info := connectedTo("a-1", "a-6")
	for range 100 {
		if h := b.Pick(info, start); h.ID != "a-1" {
			t.Fatalf("%s is picked, which is neither connected nor of the zone", h.ID)
		}
	}
	for range 5 {
		b.CallStarted(b.Lookup("a-1"))
	}
	if h := b.Pick(info, start); h.ID == "a-1" {
		t.Error("a host with five calls more is picked")
	}
}

// A generation goes to the host with its prompt in the cache rather than to one with an open connection.
func TestOpenConnectionWeighsLessThanPromptInCache(t *testing.T) {
	b := New("z", 999, 1)
	b.UpdateHosts(parseHosts("a-0 z 8, a-1 z 8, a-2 z 8"), start)
	info := connectedTo("a-2")
	info.Generation = &Generation{PromptTokens: 4000}
	for range 20 {
		if h := b.Pick(info, start); h.ID != "a-2" {
			t.Fatalf("%s is picked, which has no open connection", h.ID)
		}
	}
	info.Generation.CacheHost, info.Generation.CachedTokens = "a-0", 4000
	for range 20 {
		if h := b.Pick(info, start); h.ID != "a-0" {
			t.Fatalf("%s is picked, which has to read the prompt", h.ID)
		}
	}
}
