package lifecycle

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"larchrouter/internal/ctxtime"
)

const (
	startTimeout    = 2 * time.Minute  // of each step of a start that a passing condition holds up
	settingsTimeout = 10 * time.Second // in which a settings file that is being written becomes complete
	retryInterval   = 50 * time.Millisecond
)

// ErrStopped reports that the process was told to stop during its start.
var ErrStopped = errors.New("told to stop during the start")

// Await runs a step of a start until it succeeds or fails for a cause that does not pass, for startTimeout at most. It returns
// ErrStopped if ctx ends first.
func Await(ctx context.Context, log *slog.Logger, step func() error) error {
	return (&waiter{log: log, timeout: startTimeout, passes: func(err error) bool { return CauseOf(err).passes() }}).run(ctx, step)
}

// Listen listens at all of the addresses, or at none while one of them is taken. It waits as Await does.
func Listen(ctx context.Context, log *slog.Logger, addrs ...string) (listeners []net.Listener, err error) {
	err = Await(ctx, log, func() error {
		listeners, err = listenAll(ctx, addrs)
		return err
	})
	return listeners, err
}

func listenAll(ctx context.Context, addrs []string) ([]net.Listener, error) {
	var config net.ListenConfig
	listeners := make([]net.Listener, 0, len(addrs))
	for _, addr := range addrs {
		l, err := config.Listen(ctx, "tcp4", addr)
		if err != nil {
			for _, open := range listeners {
				open.Close()
			}
			return nil, errors.Wrap(err, "free the port, or change the address in the settings")
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// waiter retries a step of a start.
type waiter struct {
	log     *slog.Logger
	timeout time.Duration
	passes  func(error) bool // whether an error may pass by itself
}

func (w *waiter) run(ctx context.Context, step func() error) error {
	began := time.Now()
	var logged Cause // the last cause that was logged; Stopped for none
	for {
		if ctx.Err() != nil {
			return ErrStopped
		}
		err := step()
		if err == nil {
			if logged != Stopped {
				w.log.Info("the start goes on", "cause", logged, "after", time.Since(began))
			}
			return nil
		}
		if ctx.Err() != nil {
			return ErrStopped
		}
		if !w.passes(err) {
			return err
		}
		if time.Since(began) > w.timeout {
			return errors.Wrapf(err, "gave up after %v", w.timeout)
		}
		if cause := CauseOf(err); cause != logged {
			logged = cause
			w.log.Warn("the start waits", "cause", cause, "at_most", w.timeout, "err", err)
		}
		if !ctxtime.Sleep(ctx, retryInterval) {
			return ErrStopped
		}
	}
}
