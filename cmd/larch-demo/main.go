// Command larch-demo demonstrates the serving tier: it runs a whole tier on this machine with stand-ins for agent
// programs, hosts, the platform and an operator, and injects faults into machines. It is a command of its own so that the
// tier's programs do not contain the stand-ins.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"larchrouter/internal/tier/tiertest"
)

// program is the command line.
type program struct {
	For time.Duration `help:"How long programs are started." default:"9s"`
}

func (p program) Run() error {
	if p.For <= 0 {
		return errors.Newf("--for is %v: give more than 0", p.For)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	dir, err := os.MkdirTemp("", "larch-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	programs, err := findPrograms(ctx, os.Stdout, dir)
	if err != nil {
		return err
	}
	return runDemo(ctx, os.Stdout, programs, dir, p.For)
}

// findPrograms returns the tier's programs in the folder of this one, or else builds them from the sources into dir.
func findPrograms(ctx context.Context, out io.Writer, dir string) (tiertest.Programs, error) {
	if self, err := os.Executable(); err == nil {
		programs := tiertest.ProgramsIn(filepath.Dir(self))
		if exists(programs.Proxy) && exists(programs.Control) {
			return programs, nil
		}
	}
	fmt.Fprintln(out, "building larch-proxy and larch-control; the first time takes a minute or two")
	return tiertest.BuildPrograms(ctx, dir)
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

func main() {
	var p program
	const description = "Show the serving tier at work on this machine, among stand-ins, while machines fail. " +
		"Ends by itself, or on Ctrl-C."
	k := kong.Must(&p, kong.Name("larch-demo"), kong.Description(description))
	ctx, err := k.Parse(os.Args[1:])
	k.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "larch-demo:", err)
		os.Exit(1)
	}
}
