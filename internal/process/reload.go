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

const pollInterval = 5 * time.Second // for a file that changes without a signal

// reloadSignals are caught from the first moment on: a SIGHUP during the start must not end the process.
var reloadSignals = make(chan os.Signal, 1)

func init() { signal.Notify(reloadSignals, syscall.SIGHUP) }

// WatchSettings has apply get the settings anew after each SIGHUP, and when the file changes without one. Settings that cannot
// be read or are wrong are told of, and what runs stays. It returns when ctx ends.
func WatchSettings(ctx context.Context, log *slog.Logger, apply func(*Settings)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	watch(ctx, log, os.Getenv(SettingsVariable), reloadSignals, tick.C, apply)
}

func watch(ctx context.Context, log *slog.Logger, path string, signals <-chan os.Signal, polls <-chan time.Time, apply func(*Settings)) {
	last, _ := os.ReadFile(path)
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
			log.Error("the settings file cannot be read; what runs stays", "err", err)
			continue
		}
		if !forced && bytes.Equal(b, last) {
			continue
		}
		last = b
		s, err := Parse(b)
		if err != nil {
			log.Error("the settings file is wrong; what runs stays", "err", err)
			continue
		}
		log.Debug("settings read again", "seeds", len(s.Seeds))
		apply(s)
	}
}
