// Command larch-control is the control plane of the serving tier: core nodes, which replicate the control state, stores,
// which keep turns and budgets, and the operators' client.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"larchrouter/internal/process"
	"larchrouter/internal/tier/controlnode"
)

// program is the command line.
type program struct {
	Core  coreCommand  `cmd:"" help:"Run a core node: control state, operators' API, the platform's list."`
	Store storeCommand `cmd:"" help:"Run a store: turns with their histories, budgets of programs."`
	clientCommands
}

// coreCommand runs a core node.
type coreCommand struct{}

func (coreCommand) Run() error {
	s, ring, err := start()
	if err != nil {
		return err
	}
	log := slog.New(ring)
	c, err := controlnode.OpenAwaitingSpace(context.Background(), s, log) // a signal ends the process meanwhile: it has promised nothing
	if err != nil {
		return err
	}
	return runUntilSignal(ring, log, c.UpdateSeeds, c.Run)
}

// start loads the settings of a node and applies those of the Go runtime.
func start() (*process.Settings, *process.RingHandler, error) {
	s, err := process.Load()
	if err != nil {
		return nil, nil, err
	}
	s.TuneRuntime()
	return s, process.NewRingHandler(os.Stderr), nil
}

// runUntilSignal runs a node until SIGTERM or SIGINT; settings that change are given to reload.
func runUntilSignal(
	ring *process.RingHandler, log *slog.Logger, reload func(*process.Settings), run func(context.Context) error,
) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	defer ring.DumpOn(syscall.SIGUSR1)()
	go process.WatchSettings(ctx, log, reload)
	return run(ctx)
}

func main() {
	var p program
	const description = "The control plane of the serving tier, and its operators' client."
	k := kong.Must(&p, kong.Name("larch-control"), kong.Description(description), kong.UsageOnError())
	ctx, err := k.Parse(os.Args[1:])
	k.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "larch-control:", err)
		os.Exit(1)
	}
}
