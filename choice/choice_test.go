package choice

import (
	"fmt"
	"testing"
)

func TestSettingsAreValidated(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"workers": func(s *Settings) { s.Workers = 0 }, "fleet": func(s *Settings) { s.Fleet = 0 },
		"classes": func(s *Settings) { s.Classes = nil }, "aim": func(s *Settings) { s.Classes[0].Aim = 0 },
		"tick": func(s *Settings) { s.Tick = 0 }, "fall": func(s *Settings) { s.Rules.Fall = 0 },
	} {
		cfg := settings()
		spoil(&cfg)
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Thousands of hosts, listed twice, allocate no latency table each, and messages can be sent; hosts that
// leave the list are removed.
func TestLargeEndpointList(t *testing.T) {
	var hosts, gone []Host
	for i := range 5000 {
		host := readyHost(fmt.Sprint("h", i), i, 0, 0)
		hosts = append(hosts, host)
		host.State = Gone
		gone = append(gone, host)
	}
	r := newHarness(t, settings(), hosts...)
	r.step(Listing{Whole: true, Hosts: hosts})
	msg := arrival("m", 0)
	msg.Dest = 4999
	if got := sends(r.step(msg)); len(got) != 1 || got[0].Host != "h4999" {
		t.Fatalf("sends %v, want one to h4999", got)
	}
	for id, dest := range r.c.destinations {
		if !dest.latencies.Empty() {
			t.Fatalf("destination %d has a table before its first answer", id)
		}
	}
	r.step(r.result("m", "h4999", Served))
	r.step(Listing{Hosts: gone})
	if len(r.c.destinations) != 0 || len(r.c.hosts) != 0 {
		t.Errorf("%d destinations and %d hosts remembered after all left", len(r.c.destinations), len(r.c.hosts))
	}
}
