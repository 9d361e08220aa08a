package chaostest

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"larchrouter/internal/relay/faultinject"
	"larchrouter/internal/relay/scenario"
	"larchrouter/internal/testbin"
)

var (
	seeds = flag.Uint64("trial.seeds", 1, "plays of each trial, from seed 1")
	nodes = flag.Int("trial.nodes", 0, "relays; 0 for the test's")
)

func TestMain(m *testing.M) { testbin.Main(leakCheck{m}) }

// leakCheck fails a run of tests that leaks goroutines.
type leakCheck struct{ m *testing.M }

func (l leakCheck) Run() int {
	code := l.m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	return code
}

// runScenario runs a scenario with real processes, logs its report, and fails with the findings and the check's error.
func runScenario(t *testing.T, text string, check func(r Report) error) {
	t.Helper()
	s, err := scenario.Parse([]byte(text), t.Name())
	if err != nil {
		t.Fatal(err)
	}
	program, err := testbin.Path()
	if err != nil {
		t.Fatal(err)
	}
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			assertNoFaults(t, func() (*EventLog, []string) {
				b, err := Run(t.Context(), s, Options{Program: program, Relays: *nodes, Seed: seed + 1, Dir: t.TempDir()})
				if err != nil {
					t.Fatal(err)
				}
				r := Check(b)
				var table strings.Builder
				Text(&table, r)
				t.Log(table.String())
				var faults []string
				for _, f := range r.Findings {
					faults = append(faults, f.String())
				}
				if check == nil {
					return b, faults
				}
				if err := check(r); err != nil {
					faults = append(faults, err.Error())
				}
				return b, faults
			})
		})
	}
}

const sixteenRelays = `
relays = 16
slots  = 200
partner "pay" {
  host "a" { rate = 50 }
  host "b" { rate = 50 }
  load "job-order" {
    rate   = 120
    within = "2s"
  }
  load "payment" {
    rate   = 30
    within = "2s"
  }
}
`

// Guards against a fleet that waits for a paused coordinator, and against a coordinator that resumes as if no time had passed.
// Demand changes more often than a coordinator may take to answer. Bounds are wide: sixteen processes may share two cores with
// other tests.
func TestPausedCoordinatorDoesNotStarveFleet(t *testing.T) {
	runScenario(t, strings.NewReplacer("rate   = 120", "rate   = 480", "rate   = 30", "rate   = 80").Replace(sixteenRelays)+`
phase "whole" { for = "3s" }
phase "steward-stands-still" {
  for = "3s"
  stop {
    relays     = 4
    steward_of = "pay"
  }
  expect {
    from      = "1500ms"
    delivered = 0.5
  }
}
phase "goes-on" {
  for = "2s"
  expect { delivered = 0.6 }
}`, func(r Report) error {
		if r.Notes == 0 || r.Clients["delivered in time"] < 200 {
			return fmt.Errorf("%d notes, %v", r.Notes, r.Clients)
		}
		return nil
	})
}

// Relays that are killed, lose their disk or are partitioned, with unresponsive agents, lose and repeat no message.
func TestFaultsLoseAndRepeatNothing(t *testing.T) {
	runScenario(t, sixteenRelays+`
phase "whole" { for = "1s" }
phase "cut" {
  for = "1500ms"
  cut "sides" {}
  agents { share = 0.5 }
  kill {
    relays = 4
    again  = "300ms"
  }
}
phase "lossy" {
  for = "1500ms"
  links {
    lose    = 0.3
    double  = 0.2
    reorder = 0.2
    delay   = "5ms"
    late    = "300ms"
  }
  partner "pay" {
    hosts = ["a"]
    down  = true
    for   = "800ms"
  }
  kill {
    relays = 2
    again  = "500ms"
    term   = true
  }
}
phase "healed" { for = "1s" }`, func(r Report) error {
		if r.Lost == 0 || r.Lost >= r.Notes || r.Clients["delivered in time"] == 0 {
			return fmt.Errorf("%d of %d notes lost, %v", r.Lost, r.Notes, r.Clients)
		}
		return nil
	})
}

const fourSides = `
relays = 16
slots  = 200
partner "pay" {
  host "a" {
    rate  = 50
    burst = 5
    debt  = 50
  }
  host "b" {
    rate  = 50
    burst = 5
    debt  = 50
  }
  load "job-order" {
    rate   = 800
    within = "1s"
  }
}
phase "whole" { for = "5s" }
phase "quarters" {
  for = "3s"
  cut "sides" { number = 4 }
  expect {
    from    = "1s"
    refused = 0.04
    offered = 1.25
  }
}`

// All sides of a partition together keep the limit, so that hosts reject nothing, and all make progress.
func TestPartitionKeepsRateLimit(t *testing.T) {
	runScenario(t, fourSides, func(r Report) error {
		if got := r.Seconds[len(r.Seconds)-1].Served(); got < 0.5 {
			return fmt.Errorf("%.2f of what the hosts take was delivered by four sides", got)
		}
		return nil
	})
}

// The check finds a coordinator that grants calls on expired pledges: one side grants all of the limit, the others their shares.
func TestPlantedExpiredLeaseIsFound(t *testing.T) {
	s, err := scenario.Parse([]byte(fourSides), t.Name())
	if err != nil {
		t.Fatal(err)
	}
	program, err := testbin.Planted()
	if err != nil {
		t.Fatal(err)
	}
	assertNoFaults(t, func() (*EventLog, []string) {
		b, err := Run(t.Context(), s, Options{Program: program, Seed: 1, Dir: t.TempDir(), Fault: faultinject.Lease})
		if err != nil {
			t.Fatal(err)
		}
		if r := Check(b); len(r.Findings) != 1 || r.Findings[0].Rule != "refused" {
			return b, []string{fmt.Sprintf("found %v, want that too much is refused", r.Findings)}
		}
		return b, nil
	})
}

// The rules hold in a small fleet without faults.
func TestThreeRelays(t *testing.T) {
	runScenario(t, strings.Replace(sixteenRelays, "relays = 16", "relays = 3", 1)+`phase "whole" { for = "1s" }`, nil)
}

// An interrupted run returns the error of its context and leaves no process.
func TestInterruptedRunLeavesNoProcess(t *testing.T) {
	text := strings.Replace(sixteenRelays, "relays = 16", "relays = 3", 1) +
		"phase \"whole\" {\n for = \"1m\"\n stop { relays = 1 }\n}"
	s, err := scenario.Parse([]byte(text), "s")
	if err != nil {
		t.Fatal(err)
	}
	program, err := testbin.Path()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	began, dir := time.Now(), t.TempDir()
	b, err := Run(ctx, s, Options{Program: program, Dir: dir, Progress: func(string) { cancel() }})
	if !errors.Is(err, context.Canceled) || time.Since(began) > 20*time.Second || b == nil || len(b.Messages) == 0 {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range all {
		if env, err := os.ReadFile(path); err == nil && strings.Contains(string(env), dir) {
			t.Errorf("%s is still there", filepath.Dir(path))
		}
	}
}

// A run that cannot start returns the cause and leaves nothing.
func TestRunErrors(t *testing.T) {
	s, err := scenario.Parse([]byte(sixteenRelays+`phase "whole" { for = "1s" }`), "s")
	if err != nil {
		t.Fatal(err)
	}
	if err := Program(t.TempDir()); err == nil {
		t.Error("a folder is no program")
	}
	for want, o := range map[string]Options{
		"must be from 1 to 64":   {Relays: 65},
		"ended before it served": {Program: "/bin/false", Relays: 2, Dir: t.TempDir()},
		"no such file":           {Program: "/nowhere", Relays: 1, Dir: t.TempDir()},
	} {
		if _, err := Run(t.Context(), s, o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
