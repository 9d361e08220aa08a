package chaostest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"larchrouter/internal/ctxtime"
	"larchrouter/internal/relay/scenario"
	"larchrouter/internal/standin"
)

// trial is a scenario's run.
type trial struct {
	plan     scenario.Plan
	options  Options
	recorder *recorder
	effects  *standin.Ledger
	hosts    [][]*standin.Host // by destination
	agents   []*standin.Platform
	links    *links
	fleet    *fleet
	closed   bool
}

// startAll starts hosts, agents, links and relays, and returns when the relays serve.
func (t *trial) startAll(ctx context.Context) error {
	t.effects = standin.NewLedger(15 * time.Second)
	servers, err := t.startHosts()
	if err != nil {
		return err
	}
	all, addrs, err := t.newProcesses(servers)
	if err != nil {
		return err
	}
	if t.links, err = newLinks(addrs, t.plan.Seed, t.recorder.now); err != nil {
		return err
	}
	peers := t.links.peers()
	for _, p := range all {
		if err := p.configure(t.plan, peers, servers); err != nil {
			return err
		}
	}
	t.fleet = newFleet(all, t.recorder)
	return t.fleet.start(ctx, t.plan.InitialRelays())
}

// startHosts starts the partners' hosts and returns them as the platform's list.
func (t *trial) startHosts() (servers []standin.Server, err error) {
	s := t.plan.Scenario
	for dest, p := range s.Partners {
		t.hosts = append(t.hosts, nil)
		for _, h := range p.Hosts {
			host, err := standin.NewHost(p.Name+"/"+h.Name, "here", t.effects, standin.Behaviour{Latency: h.Latency}, true)
			if err != nil {
				return nil, err
			}
			l := standin.Limit{Rate: h.Rate, Burst: h.Burst, Debt: h.Debt, MaxConcurrent: h.MaxConcurrent, RetryAfter: h.RetryAfter}
			if h.ColdStart {
				l.ColdShare, l.Warmup, l.OverloadFactor, l.Downtime = s.Rules.ColdFrom, s.Rules.Cold, s.Rules.OverloadFactor, s.Rules.Fall
			}
			host.SetLimit(l)
			t.hosts[dest] = append(t.hosts[dest], host)
			servers = append(servers, standin.Server{ID: "s-" + p.Name + "-" + h.Name, Addr: host.Addr(), Zone: "here",
				Kind: "partner", Cell: dest, State: "active", Weight: 1})
		}
	}
	return servers, nil
}

// newProcesses starts an agent for each relay and returns the relays, which do not run yet, and their gossip addresses.
func (t *trial) newProcesses(servers []standin.Server) (all []*process, addrs []netip.AddrPort, err error) {
	net8 := [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
	for i := range t.plan.Relays {
		listen, at, err := reserveAddresses(net8, i)
		if err != nil {
			return nil, nil, fmt.Errorf("an address for relay %d: %w", i, err)
		}
		agent, err := standin.NewPlatformWithNotices(servers, func(id, status string) { t.recordNotice(id, status) })
		if err != nil {
			return nil, nil, err
		}
		t.agents = append(t.agents, agent)
		addrs = append(addrs, at)
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, IdleConnTimeout: 2 * time.Second,
			DialContext: (&net.Dialer{Timeout: answerTimeout}).DialContext}}
		all = append(all, &process{index: i, standalone: t.plan.Scenario.Appliances, program: t.options.Program, fault: t.options.Fault,
			dir: t.options.Dir, listen: listen, gossipAddr: at, agent: agent, recorder: t.recorder, client: client})
	}
	return all, addrs, nil
}

// recordNotice records an agent's notice of a message's outcome.
func (t *trial) recordNotice(id, status string) {
	now := t.recorder.now()
	t.recorder.update(func(b *EventLog) {
		if m := b.Messages[id]; m != nil {
			m.Notices = append(m.Notices, Notice{now, status})
		} else {
			b.Errors = append(b.Errors, fmt.Sprintf("a notice %q for message %q, which nobody handed in", status, id))
		}
	})
}

// play executes the plan and returns when all messages are due.
func (t *trial) play(ctx context.Context) error {
	time.Sleep(warmup)
	shift := t.recorder.now()
	t.recorder.restartClock()
	for _, p := range t.fleet.all { // they were ready before the clock was restarted
		p.mu.Lock()
		p.readySince -= shift
		p.mu.Unlock()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { t.runSteps(ctx) })
	wg.Go(func() { t.sampleCapacity(ctx) })
	wg.Go(func() { t.reportProgress(ctx) })
	wg.Go(func() { t.sampleScheduling(ctx) })
	c := &clients{plan: t.plan, fleet: t.fleet, recorder: t.recorder}
	c.run(ctx)
	rest := time.Duration(0) // the longest time that a pending message has
	for _, p := range t.plan.Scenario.Partners {
		for _, load := range p.Loads {
			rest = max(rest, load.Timeout)
		}
	}
	ctxtime.Sleep(ctx, rest+recoveryTime+settleTime)
	if t.plan.Scenario.Appliances {
		t.queryOutcomes(ctx)
	}
	err := ctx.Err()
	cancel()
	wg.Wait()
	return err
}

// sampleCapacity records the hosts' capacity until the context ends.
func (t *trial) sampleCapacity(ctx context.Context) {
	last := t.recorder.now()
	for ctxtime.Sleep(ctx, sampleInterval) {
		now := t.recorder.now()
		for dest, hosts := range t.hosts {
			sample := CapacitySample{Dest: dest, From: last, Duration: now - last}
			for i, h := range hosts {
				rate, _ := h.Rate()
				if h.Refuses() {
					rate = 0
				}
				sample.Calls += rate * sample.Duration.Seconds()
				sample.Burst += t.plan.Scenario.Partners[dest].Hosts[i].Burst
			}
			t.recorder.update(func(b *EventLog) { b.Capacity = append(b.Capacity, sample) })
		}
		last = now
	}
}

// reportProgress reports the counts of each second until the context ends.
func (t *trial) reportProgress(ctx context.Context) {
	handed, effects := 0, 0
	for n := 1; ctxtime.Sleep(ctx, time.Duration(n)*time.Second-t.recorder.now()); n++ {
		var now int
		t.recorder.update(func(b *EventLog) { now = len(b.Messages) })
		done, _ := t.effects.Total()
		phase := t.plan.Phases[t.plan.PhaseAt(time.Duration(n)*time.Second-1)].Name
		t.options.Progress(fmt.Sprintf("%4ds  %-16s handed in %4d  delivered %4d", n, phase, now-handed, done-effects))
		handed, effects = now, done
	}
}

// close stops everything and returns when it has. Later calls do nothing.
func (t *trial) close() {
	if t.closed {
		return
	}
	t.closed = true
	t.recorder.update(func(b *EventLog) { b.End = t.recorder.now() })
	if t.fleet != nil {
		used := t.fleet.close()
		t.recorder.update(func(b *EventLog) { b.CPU = used })
	}
	if t.links != nil {
		t.links.close()
	}
	for _, hosts := range t.hosts {
		for _, h := range hosts {
			h.Close()
		}
	}
	for _, a := range t.agents {
		a.Close()
	}
}

// collectCalls copies the hosts' calls and the counts of the links to the event log.
func (t *trial) collectCalls() {
	b := t.recorder.log
	for dest, hosts := range t.hosts {
		for i, h := range hosts {
			_, overloads := h.Rate()
			b.ColdOverloads += overloads
			for _, c := range h.Calls() {
				b.Calls = append(b.Calls, Call{dest, i, c.ID, t.recorder.since(c.FirstByte), t.recorder.since(c.LastByte),
					c.Status, c.RetryAfter, c.Applied})
			}
		}
	}
	b.Datagrams, b.DatagramBytes = int(t.links.datagrams.Load()), int(t.links.bytes.Load())
	b.DatagramsLost = int(t.links.lost.Load())
}
