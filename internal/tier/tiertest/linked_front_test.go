package tiertest

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"larchrouter/choice/oracle"
	"larchrouter/internal/process"
	"larchrouter/internal/rpc"
	"larchrouter/internal/standin/cutproxy"
	"larchrouter/internal/tier/balancer"
	"larchrouter/internal/tier/feed"
	"larchrouter/internal/tier/proxy"
	"larchrouter/internal/tier/turnstore"
)

// linkedFrontIP is the machine number of a linkedFront, above those of a tier's machines.
const linkedFrontIP = 200

// linkedFront is a front of a tier that runs in the test, since it reaches the core through relays: they cut it off from the core,
// while it reaches clients, hosts and stores. The load balancer does not know it.
type linkedFront struct {
	*Machine
	relays []*cutproxy.Relay // one for each core machine
}

// startLinkedFront starts a front with the settings and parts of larch-proxy, and waits until it has a configuration.
func startLinkedFront(tt *testTier) *linkedFront {
	tt.t.Helper()
	l := &linkedFront{Machine: &Machine{Name: "front-linked", Class: Front, IP: tt.block.ip(linkedFrontIP), Log: &Log{}, tier: tt.Tier,
		role: "balancer", incarnations: []*childProcess{nil}}}
	s, err := process.Parse([]byte(tt.settings(l.Machine)))
	must(tt.t, err)
	routes := map[string]string{}
	for _, core := range tt.Class(Core) {
		addr := s.PeerAddr(core.IP, process.CorePort)
		relay, err := cutproxy.New(addr, nil, nil)
		must(tt.t, err)
		tt.t.Cleanup(relay.Close)
		l.relays, routes[addr] = append(l.relays, relay), relay.Addr()
	}
	calls := &rpc.Clients{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if relay, linked := routes[addr]; linked {
			addr = relay
		}
		return new(net.Dialer).DialContext(ctx, "tcp4", addr)
	}}
	l.serve(tt.t, s, calls)
	return l
}

// serve runs the front until the end of the test.
func (l *linkedFront) serve(t *testing.T, s *process.Settings, calls *rpc.Clients) {
	t.Helper()
	front, err := net.Listen("tcp4", l.FrontAddr())
	must(t, err)
	ready, err := net.Listen("tcp4", l.readyAddr())
	must(t, err)
	log := process.NewLogger(io.Discard)
	follower := feed.NewFollower(s, calls, log)
	ledger := turnstore.NewClient(follower.Placement, calls, s.Zone, log)
	server := proxy.New(proxy.Options{Zone: s.Zone, Source: follower, Ledger: ledger, ReportHealth: follower.ReportHealth, Log: log,
		GracePeriod: gracePeriod, RevocationBound: l.tier.EventLog.revocationBound, Seed: 1,
		NewOracle: func(bound time.Duration) balancer.Oracle { return oracle.NewDestination(bound) }})
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { follower.Run(ctx) })
	wg.Go(func() { server.Serve(front, ready) })
	t.Cleanup(func() {
		server.Close()
		ledger.Shutdown(ctx)
		stop()
		calls.Close()
		wg.Wait()
	})
	must(t, Await(stepContext(t), "the front has its tables", l.Ready))
}

// cut cuts it off from the core.
func (l *linkedFront) cut() {
	for _, relay := range l.relays {
		relay.Hold(cutproxy.Forward)
		relay.Hold(cutproxy.Backward)
	}
}

// join ends a cut. What was held back is lost.
func (l *linkedFront) join() {
	for _, relay := range l.relays {
		relay.Reset()
		relay.Release(cutproxy.Forward)
		relay.Release(cutproxy.Backward)
	}
}
