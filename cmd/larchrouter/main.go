// Command larchrouter is one relay on real sockets.
package main

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"larchrouter/internal/relay"
)

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	// From the start: either ends the process while it is not caught.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	if err := run(stop, reload); err != nil {
		slog.Error("cannot start", "err", err)
		os.Exit(1)
	}
}

func run(stop, reload <-chan os.Signal) error {
	conf, err := relay.ReadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(conf.Cores)))
	if conf.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(conf.MemoryMB*0.6) << 20) // files count as well, and the runtime is not exact
	}
	r, err := relay.New(conf)
	if err != nil {
		return err
	}
	go func() {
		s := <-stop
		slog.Info("stopping", "signal", s.String())
		r.Terminate()
	}()
	go func() {
		for range reload {
			addrs, err := relay.ReadDiscovery(os.Getenv)
			if err != nil {
				slog.Error("configuration not read again, the old one stays", "err", err)
				continue
			}
			slog.Info("configuration read again", "discovery", addrs[0])
			r.Rediscover(addrs)
		}
	}()
	slog.Info("serving", "addr", r.Addr())
	r.Serve()
	slog.Info("stopped")
	return nil
}
