package platform

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"

	"larchrouter/internal/relay"
)

// supervisor passes signals and the requests of the admin server on to the relay that this process runs at the
// time. It implements admin.Relay and is safe for concurrent use.
type supervisor struct {
	relay    atomic.Pointer[relay.Relay]  // nil until the first relay has started
	reloaded atomic.Pointer[relay.Config] // last configuration that SIGHUP had read; nil if there is none
	stopping atomic.Bool

	reloading sync.Mutex // held while settings are applied, so that those read last are applied last
}

// setRelay makes r the relay that gets signals. reloaded is the reloaded configuration that r was made with. A
// signal that arrived while r was made had no effect on r, so it is applied here: setRelay stores the relay
// before it reads the signals' effects, and handleSignals stores those before it reads the relay, so that one
// of them sees the other.
func (s *supervisor) setRelay(r *relay.Relay, reloaded *relay.Config) {
	s.relay.Store(r)
	if c := s.reloaded.Load(); c != reloaded {
		s.reconfigure(r, c)
	}
	if s.stopping.Load() {
		go r.Terminate()
	}
}

// reconfigure applies those parts of a configuration that a running relay can change: the addresses of discovery at once, the
// settings once the relay's loop takes them. It does not wait for that, so that a signal to stop is not delayed.
func (s *supervisor) reconfigure(r *relay.Relay, c *relay.Config) {
	r.Rediscover(c.Discovery)
	go s.reloadSettings(r)
}

// reloadSettings applies the settings that were read last, and returns once they are in force, are refused, or the relay has
// ended.
func (s *supervisor) reloadSettings(r *relay.Relay) {
	s.reloading.Lock()
	defer s.reloading.Unlock()
	if err := r.ReloadSettings(context.Background(), s.reloaded.Load().Settings); err != nil {
		slog.Error("settings not taken, the old ones stay", "err", err)
	}
}

// handleSignals applies signals to the relay, for as long as the process runs. A signal to stop before the
// first relay has started ends the process.
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
			os.Exit(0) // no message has been accepted yet
		case <-reload:
			reloaded, err := conf.ReadAgain(env)
			if err != nil {
				slog.Error("configuration not read again, the old one stays", "err", err)
				continue
			}
			s.reloaded.Store(&reloaded)
			slog.Info("configuration read again", "discovery", reloaded.Discovery[0])
			if r := s.relay.Load(); r != nil {
				s.reconfigure(r, &reloaded)
			}
		}
	}
}

// errStarting is the result of health checks before the first relay has started.
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
