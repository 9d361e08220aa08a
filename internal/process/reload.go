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

const lookEvery = 5 * time.Second // for a file that changes without a signal

// hangups are caught from the first moment on: a SIGHUP during the start must not end the process.
var hangups = make(chan os.Signal, 1)

func init() { signal.Notify(hangups, syscall.SIGHUP) }

// WatchSettings has apply get the settings anew after each SIGHUP, and when the file changes without one. Settings that cannot
// be read or are wrong are told of, and what runs stays. It returns when ctx ends.
func WatchSettings(ctx context.Context, log *slog.Logger, apply func(*Settings)) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	follow(ctx, log, os.Getenv(SettingsVariable), hangups, tick.C, apply)
}

func follow(ctx context.Context, log *slog.Logger, path string, told <-chan os.Signal, look <-chan time.Time, apply func(*Settings)) {
	last, _ := os.ReadFile(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-told:
			signalled = true
		case <-look:
		}
		b, err := os.ReadFile(path)
		if err != nil {
			log.Error("the settings file cannot be read; what runs stays", "err", err)
			continue
		}
		if !signalled && bytes.Equal(b, last) {
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
