// Package chaostest plays a scenario with real processes: relays of the program, started as the platform starts them, with
// stand-in agents, partners and clients round them and links between them that can be cut. What it counts is what
// partners, agents and clients saw, never what a relay says of itself. Everything is on loopback, bounded in count and
// time, and gone when it ends.
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
	settleTime     = 500 * time.Millisecond // beyond what the rules allow, before the books are closed
	warmup         = 300 * time.Millisecond // from the last relay that serves to the first message
)

// Options of a trial.
type Options struct {
	Program  string // path of the relay's program
	Relays   int    // 0 for the scenario's
	Seed     uint64 // 0 for the scenario's
	Dir      string // for the relays' folders and logs; they stay
	Fault    string // a fault to switch in (internal/relay/faultinject), in a program that has them
	Progress func(text string)
}

// Run plays a scenario, and returns its books.
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

// TempDir makes a folder for a trial, with a path short enough for Unix sockets in it.
func TempDir() (string, error) { return os.MkdirTemp("", "larch-trial") }

// Program tells whether a path is that of a program that can be started.
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
