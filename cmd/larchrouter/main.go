// Command larchrouter is one relay. With BALANCER_CONFIG set and no arguments it is the platform's; else it
// has subcommands, of which `larchrouter help` tells.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"larchrouter/internal/relay/platform"
)

// The exit codes, also in docs/operate/appliance.md.
const (
	exitOK      = 0
	exitFailed  = 1 // it was tried and did not go well
	exitUsage   = 2 // the command line is wrong
	exitFile    = 3 // the operator's file is wrong
	exitNoRelay = 4 // no relay runs there
	exitRefused = 5 // the relay says no: not as things stand, or no such thing
)

// logLevel is that of the platform's relay: info, or what LARCHROUTER_LOG names (debug, info, warn, error).
func logLevel() (l slog.Level) {
	if err := l.UnmarshalText([]byte(os.Getenv("LARCHROUTER_LOG"))); err != nil {
		return slog.LevelInfo
	}
	return l
}

// coded is an error with an exit code.
type coded struct {
	error
	code int
}

func (c coded) Unwrap() error { return c.error }

func main() {
	// From the start: either ends the process while it is not caught.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	if len(os.Args) == 1 && os.Getenv("BALANCER_CONFIG") != "" {
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
		if err := platform.Run(os.Getenv, stop, reload); err != nil {
			slog.Error("cannot start", "err", err)
			os.Exit(exitFailed)
		}
		return
	}
	err := command(os.Stdout, os.Stderr, stop, reload).Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var c coded
	if errors.As(err, &c) {
		os.Exit(c.code)
	}
	os.Exit(exitUsage)
}
