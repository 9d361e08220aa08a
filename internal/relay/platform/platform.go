// Package platform runs the relay as a service of the platform: BALANCER_CONFIG names its configuration file,
// SIGTERM stops it, SIGHUP reloads the configuration, and a second process that is started with the same state
// folder takes over from it.
//
// A process runs one relay at a time, and owns the state folder's lock while it does. If its successor ends
// before the takeover is complete, it starts a new relay from the journal.
package platform

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"larchrouter/internal/relay"
	"larchrouter/internal/relay/front/admin"
	"larchrouter/internal/relay/handover"
	"larchrouter/internal/relay/statedir"
)

const (
	// takeoverTimeout bounds the time in which a process gets the state folder. The platform expects it to
	// serve within 6 s.
	takeoverTimeout       = 5 * time.Second
	takeoverRetryInterval = 50 * time.Millisecond

	// memoryLimitShare is the share of the process's memory limit that the Go runtime may use: file pages count
	// as well, and the runtime exceeds its limit at times.
	memoryLimitShare = 0.6
)

// Run runs relays until a signal stops them or another process has taken over. env looks up environment
// variables; stop delivers the signals to stop and reload those to read the configuration again. Run returns an
// error if the configuration is invalid or a relay does not start.
func Run(env func(string) string, stop, reload <-chan os.Signal) error {
	conf, err := relay.ReadConfig(env)
	if err != nil {
		return err
	}
	slog.Debug("configuration", "file", string(conf.File()))
	Limit(max(1, conf.Cores), conf.MemoryMB)
	sup := new(supervisor)
	if conf.Admin != "" {
		adminServer, err := admin.Listen(conf.Admin)
		if err != nil {
			return err
		}
		adminServer.Serve(sup)
		defer adminServer.Close()
		slog.Info("second address", "at", adminServer.Addr()) // not "addr", which is the clients'
	}
	go sup.handleSignals(conf, env, stop, reload)
	for initial := conf; ; {
		reloaded := sup.reloaded.Load()
		if conf = initial; reloaded != nil {
			conf = *reloaded
		}
		switch restart, err := serve(conf, reloaded, sup); {
		case err != nil:
			return err
		case !restart || sup.stopping.Load():
			slog.Info("stopped")
			return nil
		}
		slog.Warn("the process that took this one's place has gone; taking the relay up again")
	}
}

// serve runs one relay from its start to its end. It reports whether the relay must be started again, because
// its successor ended before the takeover was complete. reloaded is the reloaded configuration that conf was
// copied from; nil if conf is the initial one.
func serve(conf relay.Config, reloaded *relay.Config, sup *supervisor) (restart bool, err error) {
	successor, lock, err := acquireState(conf.State)
	if err != nil {
		return false, err
	}
	defer lock.Close()
	conf.Successor, conf.Unlock = successor, func() { lock.Close() }
	r, err := relay.New(conf)
	if err != nil {
		return false, err
	}
	handoverServer, err := handover.Listen(conf.State, r)
	if err != nil {
		r.Abandon()
		return false, err
	}
	defer handoverServer.Close()
	sup.setRelay(r, reloaded)
	slog.Info("serving", "addr", r.Addr())
	if successor != nil {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			successor.ReceiveOutcomes(ctx, r.AcceptOutcome)
			r.PredecessorLost()
		}()
	}
	r.Serve()
	return r.Orphaned(), nil
}

// acquireState locks the state folder for this process. If another process owns it, acquireState asks it to
// hand over, or waits for its end if that is near. successor is this process's side of the handover; nil if no
// process handed over.
func acquireState(dir string) (successor *handover.Successor, lock *os.File, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
	defer cancel()
	for {
		if successor == nil {
			successor, err = handover.Request(ctx, dir)
		}
		if err == nil {
			if lock, err = statedir.Lock(dir); err == nil {
				return successor, lock, nil
			}
		}
		if rejected := (*handover.RefusedError)(nil); !errors.Is(err, statedir.ErrInUse) && !errors.As(err, &rejected) {
			return nil, nil, err
		}
		select {
		case <-ctx.Done():
			return nil, nil, err
		case <-time.After(takeoverRetryInterval):
		}
	}
}

// Limit sets the runtime's limits to the process's: the number of cores (0 for all) and the memory in MiB (0
// for no limit).
func Limit(cores, memoryMB float64) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cores)))
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB*memoryLimitShare) << 20)
	}
}
