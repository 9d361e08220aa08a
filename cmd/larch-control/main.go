// Command larch-control is the control plane of the serving tier: core nodes, which replicate the control state, stores,
// which keep turns and budgets, and the operators' client.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"larchrouter/internal/earlysignal"
	"larchrouter/internal/lifecycle"
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
	os.Exit(lifecycle.Run(lifecycle.Role{Name: "larch-control core", Require: controlnode.RequireSettings, Run: runCore}))
	return nil
}

// runCore runs a core node until the context ends or its disk fails.
func runCore(ctx context.Context, node lifecycle.Node) error {
	for {
		if err := openAndRunCore(ctx, node); !errors.Is(err, controlnode.ErrFounder) {
			return err
		}
	}
}

// openAndRunCore runs a core node with the identity that its data folder has.
func openAndRunCore(ctx context.Context, node lifecycle.Node) (err error) {
	var server *controlnode.Server
	open := func() error {
		server, err = controlnode.Open(node.Settings, node.Log)
		return err
	}
	if err := lifecycle.Await(ctx, node.Log, open); err != nil {
		return err
	}
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go process.WatchSettings(watching, node.Log, node.Settings, server.UpdateSeeds)
	return server.Run(ctx)
}

// isNode reports whether a command runs a node of the tier; the others are the operators' commands.
func isNode(command string) bool { return command == "core" || command == "store" }

func main() {
	var p program
	const description = "The control plane of the serving tier, and its operators' client."
	k := kong.Must(&p, kong.Name("larch-control"), kong.Description(description), kong.UsageOnError())
	ctx, err := k.Parse(os.Args[1:])
	k.FatalIfErrorf(err)
	if !isNode(ctx.Command()) {
		earlysignal.Release() // a command that is interrupted must not look like one that succeeded
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "larch-control:", err)
		os.Exit(1)
	}
}
