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
	// takeIn is how long a second process tries to take the place of the first. The platform gives it 6 s to serve.
	takeIn    = 5 * time.Second
	takeAgain = 50 * time.Millisecond
)

// Run serves until a signal stops the relay or another process has taken its place. Env looks up the environment.
func Run(env func(string) string, stop, reload <-chan os.Signal) error {
	conf, err := relay.ReadConfig(env)
	if err != nil {
		return err
	}
	slog.Debug("configuration", "file", string(conf.File()))
	Limit(max(1, conf.Cores), conf.MemoryMB)
	at := new(seat)
	if conf.Admin != "" {
		second, err := admin.Listen(conf.Admin)
		if err != nil {
			return err
		}
		second.Serve(at)
		defer second.Close()
		slog.Info("second address", "at", second.Addr()) // not "addr", which is the clients'
	}
	go at.heed(conf, env, stop, reload)
	for first := conf; ; {
		heard := at.conf.Load()
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
func serve(conf relay.Config, heard *relay.Config, at *seat) (again bool, err error) {
	heir, lock, err := take(conf.State)
	if err != nil {
		return false, err
	}
	defer lock.Close()
	conf.Successor, conf.Unlock = heir, func() { lock.Close() }
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
	at.occupy(r, heard)
	slog.Info("serving", "addr", r.Addr())
	if heir != nil {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			heir.ReceiveOutcomes(ctx, r.AcceptOutcome)
			r.PredecessorLost()
		}()
	}
	r.Serve()
	return r.Orphaned(), nil
}

// take makes the state folder this process's: another that runs hands over, one that is about to end is waited for.
func take(dir string) (heir *handover.Successor, lock *os.File, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), takeIn)
	defer cancel()
	for {
		if heir == nil {
			heir, err = handover.Request(ctx, dir)
		}
		if err == nil {
			if lock, err = statedir.Lock(dir); err == nil {
				return heir, lock, nil
			}
		}
		if refused := (*handover.RefusedError)(nil); !errors.Is(err, statedir.ErrInUse) && !errors.As(err, &refused) {
			return nil, nil, err
		}
		select {
		case <-ctx.Done():
			return nil, nil, err
		case <-time.After(takeAgain):
		}
	}
}

// seat is where the relay of this process is, and what it has been told; a relay that is taken up again follows
// another in it.
type seat struct {
	relay    atomic.Pointer[relay.Relay]
	conf     atomic.Pointer[relay.Config] // of the file as last read again; nil if it was not
	stopping atomic.Bool
}

// occupy makes a relay the one that signals are for. Those that came while it was made were for nobody, or for the one
// before it: it is told of what it was not made with. Either this sees a signal, or the signal sees the relay.
func (s *seat) occupy(r *relay.Relay, heard *relay.Config) {
	s.relay.Store(r)
	if c := s.conf.Load(); c != heard {
		s.retell(r, c)
	}
	if s.stopping.Load() {
		go r.Terminate()
	}
}

func (s *seat) retell(r *relay.Relay, c *relay.Config) {
	r.Rediscover(c.Discovery)
	r.ReloadSettings(c.Settings)
}

// heed carries signals out.
func (s *seat) heed(conf relay.Config, env func(string) string, stop, reload <-chan os.Signal) {
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
			s.conf.Store(&again)
			slog.Info("configuration read again", "discovery", again.Discovery[0])
			if r := s.relay.Load(); r != nil {
				s.retell(r, &again)
			}
		}
	}
}

var errStarting = errors.New("the relay is starting")

// Serving implements admin.Relay.
func (s *seat) Serving(ctx context.Context) error {
	if r := s.relay.Load(); r != nil {
		return r.Serving(ctx)
	}
	return errStarting
}

// Quiesce implements admin.Relay.
func (s *seat) Quiesce() {
	if r := s.relay.Load(); r != nil {
		r.Quiesce()
	}
}

// Resume implements admin.Relay.
func (s *seat) Resume() {
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
