// Command larch-control is the control plane of the serving tier: core nodes, which replicate the control state, stores,
// which keep turns and budgets, and the operators' client.
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"

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
	return runRole(lifecycle.Role{Name: "larch-control core", Require: controlnode.RequireSettings, Run: runCore})
}

// runCore runs a core node until the context ends or its disk fails.
func runCore(ctx context.Context, node lifecycle.Node) (err error) {
	var server *controlnode.Server
	open := func() error {
		server, err = controlnode.Open(node.Settings, node.Log)
		return err
	}
	if err := lifecycle.Await(ctx, node.Log, open); err != nil {
		return err
	}
	go process.WatchSettings(ctx, node.Log, node.Settings, server.UpdateSeeds)
	return server.Run(ctx)
}

// exitCode is the error of a command that has reported why it ended.
type exitCode int

func (c exitCode) Error() string { return "exit code " + strconv.Itoa(int(c)) }

// runRole runs a node of the tier in this process. Its error is an exitCode.
func runRole(role lifecycle.Role) error {
	if code := lifecycle.Run(role); code != 0 {
		return exitCode(code)
	}
	return nil
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
	err = ctx.Run()
	if code := exitCode(0); errors.As(err, &code) {
		os.Exit(int(code))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "larch-control:", err)
		os.Exit(1)
	}
}
