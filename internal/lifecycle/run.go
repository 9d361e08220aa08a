package lifecycle

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	_ "larchrouter/internal/earlysignal" // handles signals before Run does
	"larchrouter/internal/process"
)

// Node is what a role runs in its process.
type Node struct {
	Settings *process.Settings
	Log      *slog.Logger
}

// Role is a program of the tier.
type Role struct {
	Name    string                                     // of the program and its command, for messages
	Require func(*process.Settings) error              // checks the settings that the role cannot do without; its errors are process.ErrSettings
	Run     func(ctx context.Context, node Node) error // returns after ctx has ended, or with an error
}

// Run runs a role until SIGTERM or SIGINT, or until it fails, and returns the exit code.
func Run(role Role) (exitCode int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ) // such writes fail
	output := process.NewLogWriter(os.Stderr)
	ring := process.NewRingHandler(output)
	defer ring.DumpOn(syscall.SIGUSR1)()
	log := slog.New(ring)
	err := role.run(ctx, log)
	if errors.Is(err, ErrStopped) {
		err = nil
	}
	cause := CauseOf(err)
	logEnd(log, cause, err)
	if err != nil {
		fmt.Fprintf(output, "%s: %v\n", role.Name, err)
	}
	return cause.ExitCode()
}

// run loads the settings and runs the role.
func (r Role) run(ctx context.Context, log *slog.Logger) error {
	settings, err := r.loadSettings(ctx, log)
	if err != nil {
		return err
	}
	settings.TuneRuntime()
	return r.Run(ctx, Node{Settings: settings, Log: log})
}

// loadSettings loads the settings. A file that cannot be used is read again, as it may be one that is being written.
func (r Role) loadSettings(ctx context.Context, log *slog.Logger) (settings *process.Settings, err error) {
	passes := func(err error) bool { return !errors.Is(err, process.ErrNoSettingsFile) }
	err = (&waiter{log: log, timeout: settingsTimeout, passes: passes}).run(ctx, func() error {
		if settings, err = process.Load(); err != nil {
			return err
		}
		return r.Require(settings)
	})
	return settings, err
}

// logEnd writes the last line of a process.
func logEnd(log *slog.Logger, cause Cause, err error) {
	attrs := []any{"cause", cause, "code", cause.ExitCode(), "peak_mb", peakMemoryMB()}
	if err != nil {
		log.Error("process ends", append(attrs, "err", err)...)
		return
	}
	log.Info("process ends", attrs...)
}

// peakMemoryMB returns the largest resident size of the process so far, in MiB.
func peakMemoryMB() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return usage.Maxrss >> 10 // KiB
}
