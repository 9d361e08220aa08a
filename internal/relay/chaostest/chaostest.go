// Package chaostest runs a scenario with real processes: relays of the program, started as the platform starts them, among
// stand-ins of agents, partners and clients, with links between the relays that can fail.
//
// Run records in an EventLog what partners, agents and clients observed; nothing in it is a relay's own account. Check, which is
// pure, compares an EventLog with the rules and with the scenario's expectations and returns a Report, which Text and Page print.
//
// Everything is on loopback and bounded in number and time. No process outlives Run; the relays' state directories and logs stay
// in Options.Dir, which the caller removes. The goroutines of a run share its EventLog through a recorder, which locks it; it is
// immutable for the caller after Run has returned, except that Check sorts its lists.
package chaostest

import (
	"context"
	"fmt"
	"os"
	"time"

	"larchrouter/internal/relay/config"
	"larchrouter/internal/relay/fleetlimit"
	"larchrouter/internal/relay/scenario"
)

const (
	sampleInterval = 100 * time.Millisecond
	settleTime     = 500 * time.Millisecond // after the last deadline that the rules set, until the event log is closed
	warmup         = 300 * time.Millisecond // from the last relay's readiness to the first message
)

// Options of a run.
type Options struct {
	Program  string            // path of the relay's program
	Relays   int               // 0 for the scenario's
	Seed     uint64            // 0 for the scenario's
	Dir      string            // for the relays' state directories and logs, which are not removed
	Fault    string            // a fault to switch on (internal/relay/faultinject), in a program that has them
	Progress func(text string) // gets a line per second; nil for none
}

// Run runs a scenario and returns its event log; with an error of ctx also that of an interrupted run.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*EventLog, error) {
	if o.Relays == 0 {
		o.Relays = s.Relays
	}
	if o.Relays < 1 || o.Relays > scenario.MaxRelays {
		return nil, fmt.Errorf("%d relays, must be from 1 to %d", o.Relays, scenario.MaxRelays)
	}
	if o.Seed == 0 {
		o.Seed = s.Seed
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	plan := scenario.NewPlan(s, o.Relays, o.Seed, func(dest int) int {
		if s.Appliances {
			dest = config.Number(s.Partners[dest].Name)
		}
		return fleetlimit.Coordinators(dest, o.Relays)[0]
	})
	t := &trial{plan: plan, options: o, recorder: newRecorder(plan)}
	defer t.close()
	if err := t.startAll(ctx); err != nil {
		return nil, err
	}
	err := t.play(ctx)
	t.close()
	t.collectCalls()
	return t.recorder.log, err
}

// TempDir creates a directory for a run, with a path short enough for Unix sockets in it. The caller removes it.
func TempDir() (string, error) { return os.MkdirTemp("", "larch-trial") }

// Program returns an error unless a path is that of an executable file.
func Program(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return fmt.Errorf("%s cannot be run", path)
	}
	return nil
}
