// Command larch-proxy is the data plane of the serving tier: a reverse proxy between agent programs and hosts.
package main

import (
	"cmp"
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"larchrouter/choice/oracle"
	"larchrouter/internal/lifecycle"
	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/proxy"
	"larchrouter/internal/tier/turnstore"
)

// program is the command line, which has no flags: the settings file is named by a variable.
type program struct{}

// defaultUsageWindow is the length of the windows in which usage is counted, where the settings name none.
const defaultUsageWindow = 5 * time.Second

// exitMarginDivisor divides the grace period: that part of it is left at its end for the process to exit.
const exitMarginDivisor = 32

// requireSettings returns an ErrSettings if a setting that a front cannot do without is empty.
func requireSettings(s *process.Settings) error {
	return cmp.Or(
		process.RequireSetting("bind_addrs.front_addr", s.Bind.Front, "give HOST:PORT, for clients"),
		process.RequireSetting("bind_addrs.ready_addr", s.Bind.Ready, "give HOST:PORT, for the platform"),
	)
}

// serve runs a front until the context ends.
func serve(ctx context.Context, node lifecycle.Node) error {
	s, log := node.Settings, node.Log
	listeners, err := lifecycle.Listen(ctx, log, s.Bind.Ready, s.Bind.Front)
	if err != nil {
		return err
	}
	ready, front := listeners[0], listeners[1]
	calls := &rpc.Clients{}
	defer calls.Close()
	follower := feed.NewFollower(s, calls, log)
	ledger := turnstore.NewClient(follower.Placement, calls, s.Zone, log)
	ledger.SetLimits(turnstore.ClientLimits{Cache: s.CacheMemory(turnstore.ClientCacheBytes), Closing: s.ClosingMemory()})
	grace := s.TimingBound("grace_period_s", 8*time.Second)
	options := proxy.Options{
		Zone:            s.Zone,
		Source:          follower,
		Ledger:          ledger,
		ReportHealth:    follower.ReportHealth,
		Log:             log,
		GracePeriod:     grace,
		RevocationBound: revocationBound(s),
		Seed:            rand.Uint64(),
		MaxClientConns:  s.Limits.MaxFDs / 2,
		Memory:          s.RequestMemory(process.SmallRequest),

		LinkBytesPerSecond: s.LinkBytesPerSecond(),
		Cores:              s.GrantedCores(),
		NewOracle:          func(bound time.Duration) balancer.Oracle { return oracle.NewDestination(bound) },
	}
	following, unfollow := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	if len(s.Platform.Duties) > 0 {
		reporter := proxy.NewUsageReporter(follower.ReportUsage, s.TimingBound("usage_window_s", defaultUsageWindow))
		options.Usage = reporter
		wg.Go(func() { reporter.Run(following) })
	}
	server := proxy.New(options)
	wg.Go(func() { follower.Run(following) })
	wg.Go(func() { process.WatchSettings(following, log, s, follower.UpdateSeeds) })
	wg.Go(func() { server.Serve(front, ready) })
	<-ctx.Done()
	draining, done := context.WithTimeout(context.Background(), grace-grace/exitMarginDivisor)
	defer done()
	server.Drain(draining)
	server.Close()
	ledger.Shutdown(draining)
	unfollow()
	calls.Close()
	wg.Wait()
	return nil
}

// revocationBound returns the time after which a revoked key runs nothing any more, 0 where that is not asked for.
func revocationBound(s *process.Settings) time.Duration {
	if s.Bounds["revocation"] == 0 {
		return 0
	}
	return s.TimingBound("revoke_max_ms", 0)
}

func main() {
	var p program
	const description = "The data plane of the serving tier. Its settings file is named by " + process.SettingsVariable + "."
	k := kong.Must(&p, kong.Name("larch-proxy"), kong.Description(description))
	_, err := k.Parse(os.Args[1:])
	k.FatalIfErrorf(err)
	os.Exit(lifecycle.Run(lifecycle.Role{Name: "larch-proxy", Require: requireSettings, Run: serve}))
}
