package chaostest

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"larchrouter/internal/relay/faultinject"
	"larchrouter/internal/relay/scenario"
	"larchrouter/internal/testbin"
)

const configuredLimit = `
form   = "appliance"
relays = 3
partner "pay" {
  limit {
    rate  = 40
    burst = 5
  }
  host "a" { rate = 300 }
  load "job-order" {
    rate   = 300
    within = "1s"
  }
}
phase "whole" { for = "2s" }
phase "nobody" {
  for = "3s"
  cut "nobody" {}
}
phase "faults" {
  for = "3s"
  links {
    lose    = 0.3
    reorder = 0.2
    late    = "2s"
  }
  kill {
    relays = 1
    again  = "500ms"
    empty  = true
  }
  stop {
    relays = 1
    for    = "1s"
  }
}
phase "healed" { for = "2s" }`

// Appliances keep a configured limit under faults of links and relays.
func TestConfiguredLimitHolds(t *testing.T) {
	t.Parallel()
	runScenario(t, configuredLimit, func(r Report) error {
		if r.Clients["delivered in time"] < 100 {
			return fmt.Errorf("%v", r.Clients)
		}
		return nil
	})
}

const drainCommands = `
form   = "appliance"
relays = 4
partner "pay" {
  host "a" { rate = 300 }
  host "b" { rate = 300 }
  load "job-order" {
    rate   = 100
    within = "2s"
  }
}
phase "whole" {
  for = "2500ms"
  say "drain" {
    target = "endpoint:pay-a"
    relay  = 2
    at     = "200ms"
  }
}
phase "halves" {
  for = "2500ms"
  cut "sides" {}
  say "undrain" {
    target = "endpoint:pay-a"
    relay  = 1
  }
  say "drain" {
    target = "endpoint:pay-b"
    relay  = 1
    at     = "500ms"
  }
}
phase "healed" {
  for = "2500ms"
  kill {
    relays = 1
    again  = "500ms"
  }
}`

// A drain at one relay takes effect in time at all relays that a path of links connects to it.
func TestFleetObeysDrain(t *testing.T) {
	t.Parallel()
	runScenario(t, drainCommands, func(r Report) error {
		if r.Clients["delivered in time"] == 0 {
			return fmt.Errorf("%v", r.Clients)
		}
		return nil
	})
}

// Planted faults are found: each relay uses the whole configured limit; an override is recorded and not applied.
func TestPlantedApplianceFaultsAreFound(t *testing.T) {
	t.Parallel()
	program, err := testbin.Planted()
	if err != nil {
		t.Fatal(err)
	}
	for fault, c := range map[string]struct{ text, rule string }{
		faultinject.Contract: {configuredLimit, "told"},
		faultinject.Word:     {drainCommands, "stale"},
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			s, err := scenario.Parse([]byte(c.text), fault)
			if err != nil {
				t.Fatal(err)
			}
			s.Phases = s.Phases[:2]
			assertNoFaults(t, func() (*EventLog, []string) {
				b, err := Run(t.Context(), s, Options{Program: program, Seed: 1, Dir: t.TempDir(), Fault: fault})
				if err != nil {
					t.Fatal(err)
				}
				if r := Check(b); !slices.ContainsFunc(r.Findings, func(f Finding) bool { return f.Rule == c.rule }) {
					return b, []string{fmt.Sprintf("%s: found %v, want %q", fault, r.Findings, c.rule)}
				}
				return b, nil
			})
		})
	}
}

// An update reaches relays over links that work, from relays that run.
func TestReachableSince(t *testing.T) {
	s, err := scenario.Parse([]byte(strings.Replace(drainCommands, "relays = 4", "relays = 5", 1)+`
phase "chain" {
  for = "4s"
  cut "chain" {}
}`), "s")
	if err != nil {
		t.Fatal(err)
	}
	b := &EventLog{Plan: scenario.NewPlan(s, 5, 1, func(int) int { return 0 }), End: 11 * time.Second}
	for i := range 5 {
		b.Runs = append(b.Runs, ReadySpan{Relay: i, To: b.End})
	}
	b.Runs[3].To = 8500 * time.Millisecond // it does not run in the phase "chain"
	sec := time.Second
	for at, want := range map[time.Duration]string{
		1 * sec: "[1s 1s 1s 1s 1s]",
		4 * sec: "[4s 5s 4s 5s 4s]",
		9 * sec: "[9s 9s 9s -1ns -1ns]",
	} {
		if got := fmt.Sprint(b.reachableSince(0, at)); got != want {
			t.Errorf("from relay 0 at %v: %v, want %v", at, got, want)
		}
	}
}
