package process

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is the time between two looks at the file, for changes that no signal announces.
const pollInterval = 5 * time.Second

// reloadSignals gets SIGHUP from the program's initialization on: a SIGHUP during the start must not end the process.
var reloadSignals = make(chan os.Signal, 1)

func init() { signal.Notify(reloadSignals, syscall.SIGHUP) }

// WatchSettings calls apply with new settings after each SIGHUP, and within five seconds after the contents of the file
// became others than those of loaded. Settings that cannot be read or used are logged, and apply is not called. It
// returns when ctx ends. A process has one WatchSettings at a time.
func WatchSettings(ctx context.Context, log *slog.Logger, loaded *Settings, apply func(*Settings)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	watch(ctx, log, os.Getenv(SettingsVariable), loaded.contents, reloadSignals, tick.C, apply)
}

// watch is WatchSettings for a file whose contents were last when they were read.
func watch(ctx context.Context, log *slog.Logger, path string, last []byte, signals <-chan os.Signal, polls <-chan time.Time,
	apply func(*Settings)) {
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			forced = true
		case <-polls:
		}
		b, err := os.ReadFile(path)
		if err != nil {
			log.Error("the settings file cannot be read; the running settings stay in force", "err", err)
			continue
		}
		if !forced && bytes.Equal(b, last) {
			continue
		}
		last = b
		s, err := Parse(b)
		if err != nil {
			log.Error("the settings file is invalid; the running settings stay in force", "err", err)
			continue
		}
		log.Debug("settings read again", "seeds", len(s.Seeds))
		apply(s)
	}
}
