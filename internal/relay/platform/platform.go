// Package platform runs the relay under the platform: told by BALANCER_CONFIG, stopped by SIGTERM, told of a
// new configuration by SIGHUP, replaced by a second process that is started beside it.
package platform

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"larchrouter/internal/relay"
	"larchrouter/internal/relay/front/admin"
	"larchrouter/internal/relay/handover"
	"larchrouter/internal/relay/statedir"
)

const (
	// takeoverTimeout is how long a second process tries to take the place of the first. The platform gives it 6 s to serve.
	takeoverTimeout       = 5 * time.Second
	takeoverRetryInterval = 50 * time.Millisecond
)

// Run serves until a signal stops the relay or another process has taken its place. Env looks up the environment.
func Run(env func(string) string, stop, reload <-chan os.Signal) error {
	conf, err := relay.ReadConfig(env)
	if err != nil {
		return err
	}
	slog.Debug("configuration", "file", string(conf.File()))
	Limit(max(1, conf.Cores), conf.MemoryMB)
	at := new(supervisor)
	if conf.Admin != "" {
		second, err := admin.Listen(conf.Admin)
		if err != nil {
			return err
		}
		second.Serve(at)
		defer second.Close()
		slog.Info("second address", "at", second.Addr()) // not "addr", which is the clients'
	}
	go at.handleSignals(conf, env, stop, reload)
	for first := conf; ; {
		heard := at.reloaded.Load()
		if conf = first; heard != nil {
			conf = *heard
		}
		switch again, err := serve(conf, heard, at); {
		case err != nil:
			return err
		case !again || at.stopping.Load():
			slog.Info("stopped")
			return nil
		}
		slog.Warn("the process that took this one's place has gone; taking the relay up again")
	}
}

// serve runs one relay from its start to its end, and tells whether it is wanted again. Heard is what was read again
// before, and stands in conf.
func serve(conf relay.Config, heard *relay.Config, at *supervisor) (again bool, err error) {
	heir, lock, err := acquireState(conf.State)
	if err != nil {
		return false, err
	}
	defer lock.Close()
	conf.Heir, conf.Unlock = heir, func() { lock.Close() }
	r, err := relay.New(conf)
	if err != nil {
		return false, err
	}
	next, err := handover.Listen(conf.State, r)
	if err != nil {
		r.Abandon()
		return false, err
	}
	defer next.Close()
	at.setRelay(r, heard)
	slog.Info("serving", "addr", r.Addr())
	if heir != nil {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			heir.Follow(ctx, r.Told)
			r.LeftAlone()
		}()
	}
	r.Serve()
	return r.Orphan(), nil
}

// acquireState makes the state folder this process's: another that runs hands over, one that is about to end is waited for.
func acquireState(dir string) (heir *handover.Heir, lock *os.File, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), takeoverTimeout)
	defer cancel()
	for {
		if heir == nil {
			heir, err = handover.Ask(ctx, dir)
		}
		if err == nil {
			if lock, err = statedir.Lock(dir); err == nil {
				return heir, lock, nil
			}
		}
		if refused := (*handover.Refused)(nil); !errors.Is(err, statedir.ErrInUse) && !errors.As(err, &refused) {
			return nil, nil, err
		}
		select {
		case <-ctx.Done():
			return nil, nil, err
		case <-time.After(takeoverRetryInterval):
		}
	}
}

// supervisor is where the relay of this process is, and what it has been told; a relay that is taken up again follows
// another in it.
type supervisor struct {
	relay    atomic.Pointer[relay.Relay]
	reloaded atomic.Pointer[relay.Config] // of the file as last read again; nil if it was not
	stopping atomic.Bool
}

// setRelay makes a relay the one that signals are for. Those that came while it was made were for nobody, or for the one
// before it: it is told of what it was not made with. Either this sees a signal, or the signal sees the relay.
func (s *supervisor) setRelay(r *relay.Relay, heard *relay.Config) {
	s.relay.Store(r)
	if c := s.reloaded.Load(); c != heard {
		s.reconfigure(r, c)
	}
	if s.stopping.Load() {
		go r.Terminate()
	}
}

func (s *supervisor) reconfigure(r *relay.Relay, c *relay.Config) {
	r.Rediscover(c.Discovery)
	r.Retune(c.Settings)
}

// handleSignals carries signals out.
func (s *supervisor) handleSignals(conf relay.Config, env func(string) string, stop, reload <-chan os.Signal) {
	for {
		select {
		case sig := <-stop:
			slog.Info("stopping", "signal", sig.String())
			s.stopping.Store(true)
			if r := s.relay.Load(); r != nil {
				go r.Terminate()
				continue
			}
			os.Exit(0) // nothing is held here yet
		case <-reload:
			again, err := conf.ReadAgain(env)
			if err != nil {
				slog.Error("configuration not read again, the old one stays", "err", err)
				continue
			}
			s.reloaded.Store(&again)
			slog.Info("configuration read again", "discovery", again.Discovery[0])
			if r := s.relay.Load(); r != nil {
				s.reconfigure(r, &again)
			}
		}
	}
}

var errStarting = errors.New("the relay is starting")

// Serving implements admin.Relay.
func (s *supervisor) Serving(ctx context.Context) error {
	if r := s.relay.Load(); r != nil {
		return r.Serving(ctx)
	}
	return errStarting
}

// Quiesce implements admin.Relay.
func (s *supervisor) Quiesce() {
	if r := s.relay.Load(); r != nil {
		r.Quiesce()
	}
}

// Resume implements admin.Relay.
func (s *supervisor) Resume() {
	if r := s.relay.Load(); r != nil {
		r.Resume()
	}
}

// Limit has the runtime keep to so many cores, 0 for all, and so much memory, 0 for no limit.
func Limit(cores, memoryMB float64) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cores)))
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB*0.6) << 20) // files count as well, and the runtime is not exact
	}
}
