package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/standin/modelhost"
	"larchrouter/internal/tier/controlnode"
	"larchrouter/internal/tier/tiertest"
)

const (
	startTimeout        = 30 * time.Second // also for the end of the last runs
	eventInterval       = 30 * time.Millisecond
	healthCheckInterval = 300 * time.Millisecond
	parallelAgents      = 3
)

// runDemo runs a tier, starts programs for a time while faults are injected, and returns an error if a rule was violated.
func runDemo(ctx context.Context, out io.Writer, programs tiertest.Programs, dir string, duration time.Duration) error {
	d := &display{out: out, start: time.Now()}
	tier, err := tiertest.Start(tiertest.Options{Cores: 3, Stores: 4, Fronts: 2, Programs: programs, Dir: dir,
		HealthCheckInterval: healthCheckInterval})
	if err != nil {
		return err
	}
	defer tier.Close()
	if err := configure(ctx, tier); err != nil {
		return withOutput(tier, err)
	}
	d.printf("the tier is ready")
	if err := printMachines(out, tier); err != nil {
		return err
	}
	client := tiertest.NewClient(tier, tiertest.TurnPath)
	client.OnAttempt = func(a tiertest.Attempt) { d.printAttempt(tier.RunLog, a) }
	starting, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var wg sync.WaitGroup
	for lane := range parallelAgents {
		wg.Go(func() {
			for n := lane; starting.Err() == nil; n += parallelAgents {
				client.Run(context.Background(), newAgent(n)) // a program that was started runs to its end
			}
		})
	}
	err = injectFaults(starting, d, tier, duration)
	wg.Wait()
	if err != nil {
		return withOutput(tier, err)
	}
	return checkRules(d, tier)
}

// configure adds hosts, sends the first configuration, and waits until the tier serves.
func configure(ctx context.Context, t *tiertest.Tier) error {
	ctx, stop := context.WithTimeout(ctx, startTimeout)
	defer stop()
	if _, err := t.AddHosts(eventInterval); err != nil {
		return err
	}
	if err := t.Configure(ctx, tiertest.NewConfig(1, tiertest.DraftService, false)); err != nil {
		return err
	}
	return t.AwaitReady(ctx, t.Class(tiertest.Front)...)
}

// withOutput adds the output of all processes to an error.
func withOutput(t *tiertest.Tier, err error) error {
	for _, m := range t.Machines {
		if output := strings.TrimSpace(m.Log.String()); output != "" {
			err = errors.Wrapf(err, "%s said: %s\n", m.Name, output)
		}
	}
	return err
}

// injectFaults injects one fault after the other, evenly over a duration, and returns when the context ends.
func injectFaults(ctx context.Context, d *display, t *tiertest.Tier, duration time.Duration) error {
	tick := time.NewTicker(max(time.Millisecond, duration/6))
	defer tick.Stop()
	var head *tiertest.Machine
	for _, step := range []func() error{
		func() error {
			d.printf("--- store-2 is killed")
			t.Machine("store-2").Kill()
			return nil
		},
		func() error {
			d.printf("--- store-2 comes back")
			return t.Machine("store-2").Start()
		},
		func() error {
			status, err := t.Class(tiertest.Core)[0].Status(ctx)
			if err != nil {
				return err
			}
			d.printf("--- %s, the head of the core, is killed, and the operator moves all turns to another service", status.Head)
			head = t.Machine(status.Head)
			head.Kill()
			return t.Configure(ctx, tiertest.NewConfig(2, tiertest.ReviewService, false))
		},
		func() error {
			status, err := awaitVersion(ctx, t, 2)
			if err != nil {
				return err
			}
			d.printf("--- version %d is in force, the chain is %s; %s comes back",
				status.ConfigVersion, strings.Join(status.Chain, " > "), head.Name)
			return head.Start()
		},
	} {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
		if err := step(); err != nil && ctx.Err() == nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// awaitVersion waits until a core node has a version, and returns its status.
func awaitVersion(ctx context.Context, t *tiertest.Tier, version int64) (status *controlnode.Status, err error) {
	err = t.AwaitStatus(ctx, fmt.Sprintf("version %d is there", version), func(s *controlnode.Status) bool {
		status = s
		return s.ConfigVersion == version
	})
	return status, err
}

// checkRules waits for the end of all runs, checks all rules, and prints a summary.
func checkRules(d *display, t *tiertest.Tier) error {
	ctx, stop := context.WithTimeout(context.Background(), startTimeout)
	defer stop()
	if err := t.RunLog.Wait(ctx, func(runs []modelhost.Run) bool {
		return !slices.ContainsFunc(runs, func(run modelhost.Run) bool { return run.Outcome == modelhost.Running })
	}); err != nil {
		return err
	}
	history := t.EventLog.History(t.RunLog)
	var err error
	if history.ReadBack, err = t.Operator.Config(ctx); err != nil {
		return err
	}
	violations := tiertest.Check(history)
	for _, violation := range violations {
		d.printf("broken: %v", violation)
	}
	exhausted := 0
	for _, result := range history.Results {
		if result.Outcome == tiertest.BudgetExhausted {
			exhausted++
		}
	}
	d.printf("%d programs have ended, %d of them as their budget was spent; %d turns were answered whole",
		len(history.Results), exhausted, d.completedTurns)
	if len(violations) > 0 {
		return errors.Newf("%d rules were broken: the lines above say which", len(violations))
	}
	d.printf("every rule was kept: no turn lost, none run twice, histories whole, budgets kept")
	return nil
}
